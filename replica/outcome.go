package replica

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
)

// Outcome describes how a sub-request ended.
type Outcome struct {
	Code code.Code
	// QueueLength is the number of sub-requests that waited or ran for the target
	// at the relay, as the response reports it.
	QueueLength int
	// ServiceTime is the time that the target took, or had taken when the attempt
	// was canceled or timed out; zero if unknown.
	ServiceTime time.Duration
	// RetryAfter is the delay that the target requests before the next attempt;
	// zero if it requests none.
	RetryAfter time.Duration
}

// Sent counts a sub-request that is sent to the target through the relay. Each
// call of Sent must be followed by one call of Done.
func (t *Table) Sent(relay, target string) {
	if r := t.route(relay, target); r != nil {
		r.outstanding++
	}
}

// Done records the end of a sub-request. It updates the estimate of the target's
// service time. A failure demotes the route, or the target on every route, for
// a backoff period.
func (t *Table) Done(now time.Time, relay, target string, o Outcome) {
	r := t.route(relay, target)
	if r == nil {
		return
	}
	r.outstanding = max(r.outstanding-1, 0)
	r.queueLength = o.QueueLength
	r.queueLengthAt = now
	t.updateServiceTime(now, r.target, o)
	t.demote(now, r, o)
	t.prune(r.target)
}

// updateServiceTime adds the service time of a response to the target's estimate.
// The time until an attempt was canceled or timed out is added only if it raises
// the estimate. Without it, the estimate of a slow target whose attempts are
// always canceled in favour of their hedges would stay low.
func (t *Table) updateServiceTime(now time.Time, tg *target, o Outcome) {
	switch o.Code {
	case code.OK:
	case code.Canceled, code.Timeout:
		if float64(o.ServiceTime) <= t.serviceTime(now, tg) {
			return
		}
	default:
		return
	}
	if o.ServiceTime > 0 {
		t.addServiceTime(now, tg, o.ServiceTime)
	}
}

// demote starts a demotion of the target or of the route, according to the
// outcome. A failure of the connection or of the relay demotes the route only.
func (t *Table) demote(now time.Time, r *route, o Outcome) {
	onTarget, onRoute := &r.target.demotion, &r.demotion
	switch o.Code {
	case code.OK:
		onTarget.failures, onRoute.failures = 0, 0
	case code.Shed, code.Overloaded:
		onTarget.begin(now, t.opts.ShedBackoff, t.opts.MaxBackoff)
		onTarget.extend(now.Add(o.RetryAfter))
	case code.TargetOutOfService, code.BadResponse:
		onTarget.begin(now, t.opts.FailureBackoff, t.opts.MaxBackoff)
	case code.TargetCold:
		// The relay's new grant is on its way; the route is not used until then.
		onRoute.begin(now, t.opts.ShedBackoff, t.opts.ShedBackoff)
	case code.Timeout, code.ConnectionBroken, code.Unreachable, code.PermitNotHeld, code.Stopping, code.NotReady, code.Internal:
		onRoute.begin(now, t.opts.FailureBackoff, t.opts.MaxBackoff)
	}
}

// demotion is the backoff period of a target or route that failed. A demoted
// route is used only for first attempts, and only if no route is healthy.
type demotion struct {
	until time.Time
	// failures is the number of demotions since the last response. A grant with
	// a better target state resets that of the target.
	failures int
}

func (d *demotion) active(now time.Time) bool { return now.Before(d.until) }

// begin starts a demotion for the backoff, which is doubled for each demotion
// since the last response, up to limit. Failures during a demotion, such as those of
// attempts that were in progress when it began, do not count.
func (d *demotion) begin(now time.Time, backoff, limit time.Duration) {
	if d.active(now) {
		return
	}
	for range d.failures {
		if backoff *= 2; backoff >= limit {
			break
		}
	}
	d.failures++
	d.until = now.Add(min(backoff, limit))
}

// extend makes a demotion last until the given time at least.
func (d *demotion) extend(until time.Time) {
	if until.After(d.until) {
		d.until = until
	}
}

// Weights of a new sample in the moving averages of service times.
const (
	serviceTimeWeight     = 0.1
	meanServiceTimeWeight = 0.01
	// maxSampleRatio bounds one sample to a multiple of the estimate, so that a
	// single straggler does not divert traffic from its target.
	maxSampleRatio = 3.0
)

// estimate is a moving average of a target's service time in nanoseconds.
type estimate struct {
	value float64
	at    time.Time
}

// addServiceTime adds a sample to the moving averages of the target and of all
// targets.
func (t *Table) addServiceTime(now time.Time, tg *target, serviceTime time.Duration) {
	sample := float64(serviceTime)
	current := t.serviceTime(now, tg)
	if current > 0 {
		sample = min(sample, maxSampleRatio*current)
	} else {
		current = sample
	}
	tg.serviceTime = estimate{value: current + serviceTimeWeight*(sample-current), at: now}
	if t.meanServiceTime == 0 {
		t.meanServiceTime = sample
	}
	t.meanServiceTime += meanServiceTimeWeight * (sample - t.meanServiceTime)
}

// serviceTime returns the target's estimated service time in nanoseconds. The
// estimate decays to the mean of all targets with its age.
func (t *Table) serviceTime(now time.Time, tg *target) float64 {
	if tg.serviceTime.value == 0 {
		return t.meanServiceTime
	}
	age := now.Sub(tg.serviceTime.at)
	if age <= 0 {
		return tg.serviceTime.value
	}
	weight := float64(t.opts.ServiceDecay) / float64(t.opts.ServiceDecay+age)
	return t.meanServiceTime + weight*(tg.serviceTime.value-t.meanServiceTime)
}

// load returns the number of requests that are known to wait or run for the
// target on this route: those of this gateway, or the relay's recent count if
// larger.
func (t *Table) load(now time.Time, r *route) int {
	if now.Sub(r.queueLengthAt) < t.opts.QueueMaxAge {
		return max(r.outstanding, r.queueLength)
	}
	return r.outstanding
}
