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

// workQueue holds the jobs that wait for a worker. Only jobs within the limits of
// their targets enter it, so its length is bounded by the sum of these limits.
type workQueue struct {
	mu        sync.Mutex
	available sync.Cond
	jobs      []readyJob
	closed    bool
}

func newWorkQueue() *workQueue {
	q := &workQueue{}
	q.available.L = &q.mu
	return q
}

// put appends a job.
func (q *workQueue) put(w readyJob) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.jobs = append(q.jobs, w)
	q.available.Signal()
}

// take waits for a job. It returns false once the queue is closed.
func (q *workQueue) take() (readyJob, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.jobs) == 0 && !q.closed {
		q.available.Wait()
	}
	if q.closed {
		return readyJob{}, false
	}
	w := q.jobs[0]
	q.jobs = q.jobs[1:]
	return w, true
}

// close ends take. Queued jobs are dropped.
func (q *workQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.available.Broadcast()
}

// dispatch passes jobs to the workers and refuses those that must not run.
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

// run sends one job to its target and the result to the gateway.
func (r *Relay) run(w readyJob) {
	e, j := w.entry, w.job
	if !r.permits.mayStart(e) {
		r.finish(w, targetapi.Result{Code: code.PermitNotHeld, Run: code.NotRun})
		return
	}
	if r.blocked(j) {
		r.finish(w, targetapi.Result{Code: code.Quarantined, Run: code.NotRun})
		return
	}
	startedAt := time.Now()
	request := &targetapi.TargetRequest{
		ID:      fmt.Sprintf("%d-%s-%d", j.id.link.Peer().Incarnation, j.id.link.Peer().VM, j.sub.ID),
		Search:  j.batch.Search,
		Version: j.batch.Version,
		Shard:   j.sub.Shard,
		Payload: j.batch.Payload,
	}
	metrics.sent.Add(1)
	deadline := r.targetDeadline(startedAt, j.deadline)
	r.path.sent(startedAt, e, e.stallTime())
	var result targetapi.Result
	if j.batch.Action {
		result = e.client.Do(j.ctx, targetapi.PathAction, request, deadline)
	} else {
		result = r.search(e, j, request, deadline)
	}
	r.path.observe(time.Now(), e, &result)
	r.tellGuard(w, startedAt, &result)
	r.finish(w, result)
}

// targetDeadline returns the deadline of a request at a target: that of the query,
// but no later than the end of the quiet period. The handover of permits from a relay
// that stopped without announcing it relies on that bound.
func (r *Relay) targetDeadline(now, deadline time.Time) time.Time {
	latest := now.Add(cmp.Or(r.opts.Permit.QuietPeriod, permit.DefaultQuietPeriod))
	if latest.Before(deadline) {
		return latest
	}
	return deadline
}

// finish passes the result of a job to the target's machine, and then responds to
// the gateway.
func (r *Relay) finish(w readyJob, result targetapi.Result) {
	e, j := w.entry, w.job
	metrics.outcomes.Add(string(result.Code), 1)
	if result.Code == code.BadResponse {
		r.opts.Logger.Warn("target sent an invalid response", "target", e.name, "error", result.Err)
	}
	var queueLength int
	e.mu.Lock()
	delete(e.running, j.id)
	if result.Code == code.OK {
		e.conns.observe(result.ServiceTime)
	}
	queueLength = len(e.queue) + len(e.running)
	e.mu.Unlock()
	response := newSubResponse(result, queueLength)
	r.done(e, outcome(w.epoch, result))
	j.respond(response)
}

// newSubResponse returns the response for the result of a request to a target.
func newSubResponse(result targetapi.Result, queueLength int) wire.SubResponse {
	response := wire.SubResponse{
		Code:          result.Code,
		Run:           result.Run,
		QueueLength:   uint16(queueLength),
		ServiceMicros: uint32(result.ServiceTime.Microseconds()),
	}
	if body := result.Response; body != nil {
		response.Records = body.Records
		response.Matched = body.Matched
	}
	if refusal := result.Refusal; refusal != nil {
		response.RetryAfterMillis = refusal.RetryAfterMillis
		response.Versions = refusal.Versions
	}
	if result.Err != nil {
		response.Detail = result.Err.Error()
	}
	return response
}

// outcome converts a result to the outcome that the target's machine takes. epoch is
// the value that the machine returned for the start of the request.
func outcome(epoch target.Epoch, result targetapi.Result) target.Outcome {
	return target.Outcome{
		Kind:        outcomeKind(result),
		Epoch:       epoch,
		BootID:      result.BootID,
		ServiceTime: result.ServiceTime,
		Draining:    result.Draining,
	}
}

// outcomeKind returns the kind of outcome of a result.
func outcomeKind(result targetapi.Result) target.Kind {
	switch result.Code {
	case code.OK, code.BadResponse:
		return target.OK
	case code.Shed, code.Overloaded, code.TargetCold:
		return target.Shed
	case code.VersionGone, code.VersionNotLoaded, code.BadRequest:
		return target.VersionMiss
	case code.ConnectionBroken:
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

// canceledKind distinguishes a cancellation that the target confirmed, or that came
// before the request was sent, from one without a response. Without a response the
// connection may be silent, as after a timeout.
func canceledKind(result targetapi.Result) target.Kind {
	if result.Sent && result.Refusal == nil {
		return target.Timeout
	}
	return target.Canceled
}

// unreachableKind distinguishes a target that refuses connections from one to which
// no connection could be opened in time.
func unreachableKind(err error) target.Kind {
	if errors.Is(err, context.DeadlineExceeded) {
		return target.Timeout
	}
	return target.ConnRefused
}

// perform performs the actions of a target's machine. It must be called with no lock
// held.
func (r *Relay) perform(e *targetEntry, actions []target.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case target.Notify:
			_ = r.opts.Links.Send(a.To, &wire.Frame{TargetNotifications: []wire.TargetNotification{a.Notification}})
		case target.ProbeNow:
			r.startProbe(e)
		}
	}
}
