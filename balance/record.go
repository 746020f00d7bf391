// Package balance chooses the target that a request is sent to, by what the
// work itself shows of each target: how slow it is beside others, whether an
// attempt is overdue, and how many of its attempts fail.
//
// The package is pure: time is passed in. It isn't safe for concurrent use.
package balance

import (
	"math"
	"slices"
	"time"
)

// Weights of what is seen.
const (
	// slownessGain is the weight of the newest attempt in the running mean.
	slownessGain = 0.25
	// forgetAfter is the time in which a mean that no attempt renews fades to
	// 1/e, so that a target that was slow is tried again.
	forgetAfter = 4 * time.Second
	// failureGain is the weight of the newest outcome in the share of failures.
	failureGain = 0.2
	// maxSlowness bounds what one attempt adds to the mean.
	maxSlowness = 20
)

// Stats is what the attempts at one target have shown. The zero value knows nothing.
type Stats struct {
	// slowness is the mean ratio of an attempt's time to the time expected of
	// its kind, less 1.
	slowness float64
	failing  float64 // share of attempts that failed
	seen     time.Time
	// sent holds the attempts in progress, oldest first.
	sent []attempt
	// avoidUntil is set after failures to connect.
	avoidUntil time.Time
	refusals   int // in a row
}

// attempt is one attempt in progress.
type attempt struct {
	sent time.Time
	// overdue is when it has taken longer than its kind usually does.
	overdue time.Time
}

// Sent records that an attempt begins, which is overdue after a time.
func (r *Stats) Sent(now time.Time, overdue time.Duration) {
	r.sent = append(r.sent, attempt{now, now.Add(overdue)})
}

// Outstanding returns the number of attempts in progress.
func (r *Stats) Outstanding() int { return len(r.sent) }

// Responded records the answer to an attempt that was sent at the given time,
// and the time that was expected of its kind.
func (r *Stats) Responded(now, sent time.Time, expected time.Duration) {
	r.end(sent)
	r.fade(now)
	ratio := 1.0
	if expected > 0 {
		ratio = min(float64(now.Sub(sent))/float64(expected), maxSlowness)
	}
	r.slowness += slownessGain * (ratio - 1 - r.slowness)
	r.failing -= failureGain * r.failing
	r.refusals = 0
}

// Failed records that an attempt ended without a usable answer.
func (r *Stats) Failed(now, sent time.Time) {
	r.end(sent)
	r.fade(now)
	r.failing += failureGain * (1 - r.failing)
}

// Bounds of the time for which a target that can't be reached is avoided. One
// that refuses may only have too many connections for the moment; one that is
// silent costs each attempt its whole time.
const (
	minAvoidRefused = 100 * time.Millisecond
	minAvoidSilent  = 1 * time.Second
	maxAvoid        = 4 * time.Second
)

// Unreachable records that no connection could be had, or that nothing came
// back. Silent tells that it took until a time-out.
func (r *Stats) Unreachable(now, sent time.Time, silent bool) {
	r.Failed(now, sent)
	avoid := minAvoidRefused
	if silent {
		avoid = minAvoidSilent
	}
	r.avoidUntil = now.Add(min(avoid<<min(r.refusals, 8), maxAvoid))
	r.refusals++
}

// Canceled records that an attempt ended for a reason that says nothing of the target.
func (r *Stats) Canceled(sent time.Time) { r.end(sent) }

func (r *Stats) end(sent time.Time) {
	if i := slices.IndexFunc(r.sent, func(a attempt) bool { return a.sent.Equal(sent) }); i >= 0 {
		r.sent = slices.Delete(r.sent, i, i+1)
	}
}

// fade lets what was seen lose weight.
func (r *Stats) fade(now time.Time) {
	if r.seen.IsZero() {
		r.seen = now
		return
	}
	if age := now.Sub(r.seen); age > 0 {
		keep := math.Exp(-float64(age) / float64(forgetAfter))
		r.slowness *= keep
		r.failing *= keep
		r.seen = now
	}
}

// stalled reports whether an attempt in progress is overdue.
func (r *Stats) stalled(now time.Time) bool {
	for _, a := range r.sent {
		if now.After(a.overdue) {
			return true
		}
	}
	return false
}
