package replica

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
)

// Outcome is what the table learns from a finished sub-request.
type Outcome struct {
	Code code.Code
	// QueueLength is the number of sub-requests that waited or ran at the relay for
	// the target, as its reply says.
	QueueLength int
	// ServiceTime is the time that the target took, or had taken when the attempt
	// was canceled or timed out; zero if it isn't known.
	ServiceTime time.Duration
	// RetryAfter is when the target wants to be asked again; zero if it doesn't say.
	RetryAfter time.Duration
}

// Sent counts a sub-request that goes to the target by the relay. Each Sent
// needs one Done.
func (t *Table) Sent(relay, target string) {
	if r := t.route(relay, target); r != nil {
		r.outstanding++
	}
}

// Done counts down a sub-request and learns from its outcome. An outcome that
// tells of a fault demotes the route, or the target on every route, for a
// short time.
func (t *Table) Done(now time.Time, relay, target string, o Outcome) {
	r := t.route(relay, target)
	if r == nil {
		return
	}
	r.outstanding = max(r.outstanding-1, 0)
	r.queue = o.QueueLength
	r.queueAt = now
	t.learn(now, r.target, o)
	t.demote(now, r, o)
	t.prune(r.target)
}

// learn takes the service time of an answer, and that of an attempt without
// one only as far as it raises the estimate. Otherwise a slow target whose
// attempts always lose to their hedges would never be known as slow.
func (t *Table) learn(now time.Time, tg *target, o Outcome) {
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
		t.observe(now, tg, o.ServiceTime)
	}
}

// demote decides whom an outcome speaks against. A connection that broke or
// went silent speaks against the route only.
func (t *Table) demote(now time.Time, r *route, o Outcome) {
	whole, way := &r.target.demotion, &r.demotion
	switch o.Code {
	case code.OK:
		whole.failures, way.failures = 0, 0
	case code.Shed, code.Overloaded:
		whole.extend(now, max(o.RetryAfter, t.opts.ShedBackoff), t.opts.MaxBackoff)
	case code.TargetOut, code.BadAnswer:
		whole.extend(now, t.opts.FailureBackoff, t.opts.MaxBackoff)
	case code.TargetCold:
		// The relay's holding follows; until then the route isn't used.
		way.extend(now, t.opts.ShedBackoff, t.opts.ShedBackoff)
	case code.Timeout, code.Broken, code.Unreachable, code.NotHeld, code.Stopping, code.NotReady, code.Internal:
		way.extend(now, t.opts.FailureBackoff, t.opts.MaxBackoff)
	}
}

// demotion is the time in which a target or route counts as failing.
type demotion struct {
	until time.Time
	// failures is the number of demotions without an answer in between.
	failures int
}

func (d *demotion) active(now time.Time) bool { return now.Before(d.until) }

// extend demotes for the pause, doubled for each demotion before that no answer
// has followed, up to longest. Further failures of attempts that were under way
// don't count.
func (d *demotion) extend(now time.Time, pause, longest time.Duration) {
	if d.active(now) {
		return
	}
	for range d.failures {
		if pause *= 2; pause >= longest {
			break
		}
	}
	d.failures++
	d.until = now.Add(min(pause, longest))
}

// Weights of the moving estimates of service times.
const (
	serviceWeight = 0.1
	meanWeight    = 0.01
	// maxRise bounds one sample to a multiple of the estimate, so that a single
	// straggler doesn't condemn its target.
	maxRise = 3.0
)

// estimate is a moving mean of a target's service time in nanoseconds.
type estimate struct {
	value float64
	at    time.Time
}

func (t *Table) observe(now time.Time, tg *target, took time.Duration) {
	sample := float64(took)
	current := t.serviceTime(now, tg)
	if current > 0 {
		sample = min(sample, maxRise*current)
	} else {
		current = sample
	}
	tg.service = estimate{value: current + serviceWeight*(sample-current), at: now}
	if t.meanService == 0 {
		t.meanService = sample
	}
	t.meanService += meanWeight * (sample - t.meanService)
}

// serviceTime returns the target's estimate, drawn towards the mean by its age.
func (t *Table) serviceTime(now time.Time, tg *target) float64 {
	if tg.service.value == 0 {
		return t.meanService
	}
	age := now.Sub(tg.service.at)
	if age <= 0 {
		return tg.service.value
	}
	keep := float64(t.opts.ServiceDecay) / float64(t.opts.ServiceDecay+age)
	return t.meanService + keep*(tg.service.value-t.meanService)
}

// load returns the number of requests that are known to wait or run for the
// target on this route: this gateway's own, or the relay's recent count if larger.
func (t *Table) load(now time.Time, r *route) int {
	if now.Sub(r.queueAt) < t.opts.QueueMaxAge {
		return max(r.outstanding, r.queue)
	}
	return r.outstanding
}
