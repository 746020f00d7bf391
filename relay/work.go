package relay

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// workQueue holds the jobs that wait for a worker. It is bounded by the sum of
// the targets' limits, since only jobs with a permit get into it.
type workQueue struct {
	mu     sync.Mutex
	filled sync.Cond
	jobs   []readyJob
	closed bool
}

func newWorkQueue() *workQueue {
	q := &workQueue{}
	q.filled.L = &q.mu
	return q
}

func (q *workQueue) put(w readyJob) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.jobs = append(q.jobs, w)
	q.filled.Signal()
}

// take waits for a job; it returns false once the queue is closed.
func (q *workQueue) take() (readyJob, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.jobs) == 0 && !q.closed {
		q.filled.Wait()
	}
	if q.closed {
		return readyJob{}, false
	}
	w := q.jobs[0]
	q.jobs = q.jobs[1:]
	return w, true
}

func (q *workQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.filled.Broadcast()
}

// dispatch hands jobs to the workers and refuses those that must not run.
func (r *Relay) dispatch(ready []readyJob) {
	for _, w := range ready {
		if w.refuse != "" {
			w.job.refuse(w.refuse, 0)
			continue
		}
		r.work.put(w)
	}
}

// worker runs jobs until the relay stops.
func (r *Relay) worker() error {
	for {
		w, ok := r.work.take()
		if !ok {
			return nil
		}
		r.run(w)
	}
}

// run sends one job to its target and answers it.
func (r *Relay) run(w readyJob) {
	e, j := w.entry, w.job
	if !r.permits.mayStart(e) {
		r.finish(w, targetapi.Result{Code: code.NotHeld, Run: code.NotRun})
		return
	}
	request := &targetapi.TargetRequest{
		ID:      fmt.Sprintf("%d-%s-%d", j.id.link.Peer().Incarnation, j.id.link.Peer().VM, j.sub.ID),
		Search:  j.batch.Search,
		Version: j.batch.Version,
		Shard:   j.sub.Shard,
		Payload: j.batch.Payload,
	}
	metrics.sent.Add(1)
	deadline := r.targetDeadline(time.Now(), j.deadline)
	if j.batch.Action {
		r.finish(w, e.client.Do(j.ctx, targetapi.PathAction, request, deadline))
		return
	}
	r.finish(w, r.search(e, j, request, deadline))
}

// targetDeadline returns until when a request may run at a target: the query's
// deadline, but no longer than the quiet period, on which the hand-over of
// permits from a relay that stopped without notice relies.
func (r *Relay) targetDeadline(now, deadline time.Time) time.Time {
	latest := now.Add(cmp.Or(r.opts.Permit.QuietPeriod, permit.DefaultQuietPeriod))
	if latest.Before(deadline) {
		return latest
	}
	return deadline
}

// finish tells the target's machine how a job ended, then the gateway.
func (r *Relay) finish(w readyJob, result targetapi.Result) {
	e, j := w.entry, w.job
	metrics.outcomes.Add(string(result.Code), 1)
	if result.Code == code.BadAnswer {
		r.opts.Logger.Warn("target gave a bad answer", "target", e.name, "error", result.Err)
	}
	var depth int
	e.mu.Lock()
	delete(e.running, j.id)
	if result.Code == code.OK {
		e.conns.observe(result.ServiceTime)
	}
	depth = len(e.queue) + len(e.running)
	e.mu.Unlock()
	reply := newReply(result, depth)
	e.change(func(now time.Time, m *target.Machine) []target.Action {
		return m.Done(now, outcome(w.ticket, result))
	})
	j.reply(reply)
}

func newReply(result targetapi.Result, depth int) wire.SubResponse {
	reply := wire.SubResponse{
		Code:          result.Code,
		Run:           result.Run,
		QueueLength:   uint16(depth),
		ServiceMicros: uint32(result.ServiceTime.Microseconds()),
	}
	if a := result.Response; a != nil {
		reply.Records = a.Records
		reply.Matched = a.Matched
	}
	if f := result.Refusal; f != nil {
		reply.RetryAfterMillis = f.RetryAfterMillis
		reply.Versions = f.Versions
	}
	if result.Err != nil {
		reply.Detail = result.Err.Error()
	}
	return reply
}

// outcome turns a result into what the target's machine learns from.
func outcome(ticket target.Epoch, result targetapi.Result) target.Outcome {
	return target.Outcome{
		Kind:        kind(result),
		Epoch:       ticket,
		BootID:      result.BootID,
		ServiceTime: result.ServiceTime,
		Draining:    result.Draining,
	}
}

func kind(result targetapi.Result) target.Kind {
	switch result.Code {
	case code.OK, code.BadAnswer:
		return target.OK
	case code.Shed, code.Overloaded, code.TargetCold:
		return target.Shed
	case code.VersionGone, code.VersionNotLoaded, code.BadRequest:
		return target.VersionMiss
	case code.Broken:
		return target.ConnReset
	case code.Timeout:
		return target.Timeout
	case code.Canceled:
		return canceledKind(result)
	case code.Unreachable:
		return unreachableKind(result.Err)
	default:
		return target.Canceled
	}
}

// canceledKind tells a cancellation that the target confirmed, or that left
// before the request did, from one that got no answer: then the connection may
// be silent, as after a timeout.
func canceledKind(result targetapi.Result) target.Kind {
	if result.Sent && result.Refusal == nil {
		return target.Timeout
	}
	return target.Canceled
}

// unreachableKind tells a target that refuses connections from one to which no
// connection could be made in time.
func unreachableKind(err error) target.Kind {
	if errors.Is(err, context.DeadlineExceeded) {
		return target.Timeout
	}
	return target.ConnRefused
}

// perform carries out what a target's machine asks for. No lock is held.
func (r *Relay) perform(e *entry, actions []target.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case target.Notify:
			_ = r.opts.Links.Send(a.To, &wire.Frame{TargetNotifications: []wire.TargetNotification{a.Notification}})
		case target.ProbeNow:
			r.probe(e)
		}
	}
}
