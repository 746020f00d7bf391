package relay

import (
	"context"
	"time"

	"github.com/goldcrestmux/goldcrestmux/reach"
	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/juju/errors"
)

const (
	// A request without a response counts as stalled after stallMultiple times the
	// target's mean service time, clamped to the range from minStallTime to
	// maxStallTime.
	stallMultiple = 10
	minStallTime  = 80 * time.Millisecond
	maxStallTime  = 500 * time.Millisecond
	// minRetireInterval is the minimum time between two retirements of the
	// connections to one target. It bounds how often a slow request is mistaken for
	// one on a silent connection.
	minRetireInterval = time.Second
	// sampleWeight is the weight of a new sample in the moving average of the service
	// time.
	sampleWeight = 0.1
)

// errStalled is the cause of the cancellation of a request whose connection is
// assumed to be silent.
const errStalled = errors.ConstError("no answer although the target answers on a new connection")

// connHealth tracks the service time of a target and when its connections were
// retired, in order to detect silent connections: those that stay open although no
// data arrives. It is not safe for concurrent use.
type connHealth struct {
	meanServiceTime time.Duration // moving average
	lastRetired     time.Time     // when the connections were last retired
}

// observe records the service time of a response.
func (h *connHealth) observe(serviceTime time.Duration) {
	if h.meanServiceTime == 0 {
		h.meanServiceTime = serviceTime
	}
	h.meanServiceTime += time.Duration(sampleWeight * float64(serviceTime-h.meanServiceTime))
}

// stallTime returns the time without a response after which a request counts as
// stalled.
func (h *connHealth) stallTime() time.Duration {
	return min(max(stallMultiple*h.meanServiceTime, minStallTime), maxStallTime)
}

// mayRetire reports whether the connections may be retired now.
func (h *connHealth) mayRetire(now time.Time) bool {
	return now.Sub(h.lastRetired) >= minRetireInterval
}

// retire records that the connections were retired.
func (h *connHealth) retire(now time.Time) { h.lastRetired = now }

// isRetired reports whether a request that was sent at the given time is on a
// connection that was retired afterwards.
func (h *connHealth) isRetired(sent time.Time) bool { return sent.Before(h.lastRetired) }

// stallTime returns the time without a response after which a request counts as stalled.
func (e *targetEntry) stallTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns.stallTime()
}

// search sends an idempotent request. If the request stalls while the target responds
// on a new connection, it is canceled and sent once more, on a new connection.
func (r *Relay) search(e *targetEntry, j *job, request *targetapi.TargetRequest, deadline time.Time) targetapi.Result {
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	sent := time.Now()
	timer := time.AfterFunc(e.stallTime(), func() { r.handleStall(e, sent, cancel) })
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

// handleStall cancels a stalled request if its connection was retired after it was
// sent, or if the connections may be retired now and the target responds to a probe.
func (r *Relay) handleStall(e *targetEntry, sent time.Time, cancel context.CancelCauseFunc) {
	e.mu.Lock()
	retired := e.conns.isRetired(sent)
	mayRetire := e.conns.mayRetire(time.Now())
	e.mu.Unlock()
	if retired || mayRetire && r.probe(e) {
		cancel(errStalled)
	}
}

// probe requests a target's health on a new connection. If the target responds, a
// fault of the open connections is assumed and all of them are retired. The result is
// passed to the target's machine. probe reports whether the target responded.
func (r *Relay) probe(e *targetEntry) bool {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), probeTimeout)
	defer cancel()
	health, err := e.client.Probe(ctx)
	responded := err == nil
	if responded {
		e.mu.Lock()
		e.conns.retire(time.Now())
		e.mu.Unlock()
		e.client.RetireConnections()
	}
	failedByPath := !responded && r.path.await() != reach.Open
	e.applyEvent(func(now time.Time, m *target.Machine) []target.Action {
		if failedByPath {
			m.ProbeAborted(now)
			return nil
		}
		e.pathRestored()
		if !responded || health.Draining {
			return m.ProbeDone(now, false, "", false)
		}
		return m.ProbeDone(now, true, health.BootID, health.Reported.Warm)
	})
	return responded
}

// startProbe probes a target without waiting for the result.
func (r *Relay) startProbe(e *targetEntry) {
	r.tomb.Go(func() error {
		r.probe(e)
		return nil
	})
}
