package relay

import (
	"context"
	"time"

	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/juju/errors"
)

const (
	// stallFactor times a target's mean service time is when a request without
	// an answer counts as stalled, within minStall and maxStall.
	stallFactor = 10
	minStall    = 80 * time.Millisecond
	maxStall    = 500 * time.Millisecond
	// retireInterval is the shortest time between two moments at which the
	// connections to one target are given up. It bounds how often slow work is
	// taken for work on a silent connection.
	retireInterval = time.Second
	// meanWeight is the weight of a new sample in the mean service time.
	meanWeight = 0.1
)

// errStalled is the cause of a request's withdrawal because its connection is
// taken to be silent.
const errStalled = errors.ConstError("no answer although the target answers on a new connection")

// connHealth tracks whether a target's connections still carry answers. It is
// pure; the caller serialises.
type connHealth struct {
	mean    time.Duration // of the service time
	retired time.Time     // when the connections were given up last
}

// observe notes the service time of an answer.
func (p *connHealth) observe(took time.Duration) {
	if p.mean == 0 {
		p.mean = took
	}
	p.mean += time.Duration(meanWeight * float64(took-p.mean))
}

// stallAfter returns the time without an answer after which a request counts
// as stalled.
func (p *connHealth) stallAfter() time.Duration {
	return min(max(stallFactor*p.mean, minStall), maxStall)
}

// mayRetire reports whether the connections may be given up now.
func (p *connHealth) mayRetire(now time.Time) bool { return now.Sub(p.retired) >= retireInterval }

// retire notes that the connections were given up.
func (p *connHealth) retire(now time.Time) { p.retired = now }

// isRetired reports whether a request that was sent at a time is on a
// connection that was given up since.
func (p *connHealth) isRetired(sent time.Time) bool { return sent.Before(p.retired) }

// search sends an idempotent request. If it stalls while the target answers on
// a new connection, it is withdrawn there and sent once more, on a new one.
func (r *Relay) search(e *entry, j *job, request *targetapi.TargetRequest, deadline time.Time) targetapi.Result {
	ctx, withdraw := context.WithCancelCause(j.ctx)
	defer withdraw(nil)
	e.mu.Lock()
	after := e.conns.stallAfter()
	e.mu.Unlock()
	sent := time.Now()
	timer := time.AfterFunc(after, func() { r.stalled(e, sent, withdraw) })
	result := e.client.Do(ctx, targetapi.PathSearch, request, deadline)
	timer.Stop()
	if context.Cause(ctx) != errStalled || result.Response != nil || j.ctx.Err() != nil {
		return result
	}
	if !r.permits.mayStart(e) {
		return result
	}
	metrics.resent.Add(1)
	request.ID += "-again"
	return e.client.Do(j.ctx, targetapi.PathSearch, request, deadline)
}

// stalled looks into a request that got no answer for long.
func (r *Relay) stalled(e *entry, sent time.Time, withdraw context.CancelCauseFunc) {
	e.mu.Lock()
	retired := e.conns.isRetired(sent)
	mayRetire := e.conns.mayRetire(time.Now())
	e.mu.Unlock()
	if retired || mayRetire && r.check(e) {
		withdraw(errStalled)
	}
}

// check asks a target for its health on a new connection. If it answers, a
// connection was at fault and all that are open are given up. It tells the
// target's machine, and reports whether the target answered.
func (r *Relay) check(e *entry) bool {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), probeTimeout)
	defer cancel()
	health, err := e.client.Probe(ctx)
	answered := err == nil
	if answered {
		e.mu.Lock()
		e.conns.retire(time.Now())
		e.mu.Unlock()
		e.client.RetireConnections()
	}
	e.change(func(now time.Time, m *target.Machine) []target.Action {
		if !answered || health.Draining {
			return m.ProbeDone(now, false, "", false)
		}
		return m.ProbeDone(now, true, health.BootID, health.Reported.Warm)
	})
	return answered
}

// probe checks a target without waiting for the outcome.
func (r *Relay) probe(e *entry) {
	r.tomb.Go(func() error {
		r.check(e)
		return nil
	})
}
