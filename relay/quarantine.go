package relay

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/reach"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/juju/errors"
)

// verifyDelay is the time between the end of a connection and the probe that tells whether
// the target's process has ended: its connections and its listener do not close at the same
// instant.
const verifyDelay = 10 * time.Millisecond

// quarantineRequest returns a job as package quarantine knows it.
func (j *job) quarantineRequest() *quarantine.Request {
	return &quarantine.Request{
		Keys: quarantine.Keys{Exact: j.batch.Key}, ID: fmt.Sprintf("%s-%d", j.id.link.Peer().VM, j.batch.QueryID), Service: j.sub.Shard,
	}
}

// blocked reports whether a job must not reach its target.
func (r *Relay) blocked(j *job) bool {
	return j.batch.Key.Known() && r.opts.Guard.Blocked(time.Now(), j.quarantineRequest())
}

// tellGuard tells the guard how the target fared that ran a job from the given time.
func (r *Relay) tellGuard(w readyJob, startedAt time.Time, result *targetapi.Result) {
	if !w.job.batch.Key.Known() {
		return
	}
	now := time.Now()
	switch result.Code {
	case code.OK:
		r.opts.Guard.Completed(now, w.job.quarantineRequest(), true)
	case code.ConnectionBroken:
		e := w.entry
		e.mu.Lock()
		incarnation := int64(0)
		if boot := e.machine.BootID(); boot != "" {
			incarnation = int64(xxhash.Sum64String(boot))
		}
		e.mu.Unlock()
		r.opts.Guard.Broke(now, w.job.quarantineRequest(), quarantine.Run{
			Target: e.name, Incarnation: incarnation, StartedAt: startedAt, EndedAt: now,
		})
		r.tomb.Go(func() error {
			r.verifyEnd(e, incarnation)
			return nil
		})
	}
}

// verifyEnd finds out whether a target has ended, and tells the guard.
func (r *Relay) verifyEnd(e *targetEntry, incarnation int64) {
	time.Sleep(verifyDelay)
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), probeTimeout)
	defer cancel()
	_, err := e.client.Probe(ctx)
	ended := errors.Is(err, syscall.ECONNREFUSED) && r.path.await() == reach.Open
	r.opts.Guard.Confirm(time.Now(), e.name, incarnation, ended)
}
