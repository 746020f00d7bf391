// Package budget bounds extra attempts (hedges and retries) to a fraction of
// first attempts in a sliding window, by search and by target.
//
// The bound holds for every window that ends with an extra attempt: at that
// moment the extra attempts of the window are at most a fraction of its first
// attempts or a floor, whichever is larger, or the sum of the fraction and a slack.
// The package is pure: time is passed in.
package budget

import "time"

// Parameters of the sliding window.
const (
	// MaxFraction is the largest ratio of extra attempts to first attempts.
	MaxFraction = 0.05
	// WindowLength is the length of the sliding window.
	WindowLength = 10 * time.Second
	// bucketWidth is the resolution at which attempts leave the window.
	bucketWidth = 250 * time.Millisecond
	// bucketCount covers WindowLength and the bucket that is only partly inside
	// it.
	bucketCount = int64(WindowLength/bucketWidth) + 1
)

// Window counts first and extra attempts, such as those of one search or one target.
// It is not safe for concurrent use. The zero value grants nothing; use NewWindow.
type Window struct {
	fraction float64
	floor    uint32
	// slack is the number of extra attempts granted in addition to the
	// fraction. If it is negative, the larger of the fraction and the floor is
	// granted instead.
	slack   float64
	origin  time.Time // start of bucket 0
	head    int64     // number of the newest bucket
	buckets [bucketCount]bucket
	firsts  uint32
	extras  uint32
}

type bucket struct {
	firsts uint32
	extras uint32
}

// NewWindow returns an empty window. Fraction is clamped to the range from 0 to
// MaxFraction. Floor is the number of extra attempts granted in a window
// regardless of the number of first attempts; 0 grants none.
func NewWindow(fraction float64, floor uint32) *Window {
	w := &Window{floor: floor, slack: -1}
	w.SetFraction(fraction)
	return w
}

// NewWindowWithSlack returns an empty window that grants the given fraction of
// first attempts plus a slack, which is zero until SetSlack. Both are limits
// that the operators of targets publish, so neither is clamped.
func NewWindowWithSlack(fraction float64) *Window { return &Window{fraction: fraction} }

// SetSlack changes the number of extra attempts granted in addition to the
// fraction. It need not be whole: the sum of both is rounded down.
func (w *Window) SetSlack(slack float64) { w.slack = slack }

// SetFraction changes the fraction, clamped to the range from 0 to MaxFraction.
func (w *Window) SetFraction(fraction float64) { w.fraction = min(max(fraction, 0), MaxFraction) }

// AddFirst counts a first attempt.
func (w *Window) AddFirst(now time.Time) {
	w.advance(now)
	w.buckets[w.head%bucketCount].firsts++
	w.firsts++
}

// AllowsExtra reports whether TryExtra would grant an extra attempt now.
func (w *Window) AllowsExtra(now time.Time) bool {
	w.advance(now)
	// The oldest bucket is partly outside the window: its extra attempts still
	// count, its first attempts no longer do.
	oldest := w.buckets[(w.head+1)%bucketCount]
	firsts := w.firsts - oldest.firsts
	if w.slack >= 0 {
		return w.extras < uint32(w.fraction*float64(firsts)+w.slack)
	}
	return w.extras < max(uint32(w.fraction*float64(firsts)), w.floor)
}

// TryExtra counts an extra attempt and returns true, or returns false if the
// budget is used up.
func (w *Window) TryExtra(now time.Time) bool {
	_, ok := w.Take(now)
	return ok
}

// Taken identifies an extra attempt that was counted.
type Taken struct{ bucket int64 }

// Take is like TryExtra, and returns what Return needs if the attempt is not made.
func (w *Window) Take(now time.Time) (Taken, bool) {
	if !w.AllowsExtra(now) {
		return Taken{}, false
	}
	w.buckets[w.head%bucketCount].extras++
	w.extras++
	return Taken{bucket: w.head}, true
}

// Return takes back the count of an extra attempt that was not made. It must be
// called once at most for each Taken.
func (w *Window) Return(t Taken) {
	if w.head-t.bucket >= bucketCount {
		return // it has left the window
	}
	w.buckets[t.bucket%bucketCount].extras--
	w.extras--
}

// Counts returns the attempts in the window, rounded up to whole buckets.
func (w *Window) Counts(now time.Time) (firsts, extras int) {
	w.advance(now)
	return int(w.firsts), int(w.extras)
}

// advance drops the buckets that have left the window. A time earlier than that
// of a previous call does not move the window back.
func (w *Window) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	// Sub uses the monotonic clock, so that setting the wall clock does not
	// move the window.
	number := int64(now.Sub(w.origin) / bucketWidth)
	if number <= w.head {
		return
	}
	if number-w.head >= bucketCount {
		w.buckets = [bucketCount]bucket{}
		w.firsts, w.extras = 0, 0
		w.head = number
		return
	}
	for w.head < number {
		w.head++
		expired := &w.buckets[w.head%bucketCount]
		w.firsts -= expired.firsts
		w.extras -= expired.extras
		*expired = bucket{}
	}
}
