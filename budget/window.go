// Package budget bounds the attempts beyond the first (hedges and retries) to
// a share of first attempts in a sliding window, by search and by target.
//
// The bound holds for every window that ends with an extra attempt: at that
// moment extras make up at most Share of the first attempts of the same
// window, or Floor, whichever is larger. The package is pure: time is passed in.
package budget

import "time"

// Limits of the accounting.
const (
	// MaxFraction is the largest share of first attempts that extras may add.
	MaxFraction = 0.05
	// WindowLength is the length of the sliding window.
	WindowLength = 10 * time.Second
	// bucketWidth is the resolution at which attempts leave the window.
	bucketWidth = 250 * time.Millisecond
	// bucketCount covers Span and the bucket that is only partly inside it.
	bucketCount = int64(WindowLength/bucketWidth) + 1
)

// Window counts the attempts of one search or one target. It is not locked;
// the caller serialises. The zero value grants nothing; use NewWindow.
type Window struct {
	share float64
	floor uint32
	// slack is granted on top of the share; below zero if the larger of floor
	// and share is granted.
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

// NewWindow returns an empty window. Share is cut to the range from 0 to
// MaxShare. Floor is the number of extras granted in a window whatever the
// number of first attempts; 0 grants none.
func NewWindow(share float64, floor uint32) *Window {
	w := &Window{floor: floor, slack: -1}
	w.SetFraction(share)
	return w
}

// NewWindowWithSlack returns an empty window that grants ratio of the first attempts
// and a slack beside, zero until SetSlack. Both are bounds that the targets'
// side publishes, so neither is cut.
func NewWindowWithSlack(ratio float64) *Window { return &Window{share: ratio} }

// SetSlack changes the number of extras that is granted beside the share. It
// may be a fraction: a window grants whole extras of share and slack together.
func (w *Window) SetSlack(slack float64) { w.slack = slack }

// SetFraction changes the share, cut to the range from 0 to MaxShare.
func (w *Window) SetFraction(share float64) { w.share = min(max(share, 0), MaxFraction) }

// AddFirst counts a first attempt.
func (w *Window) AddFirst(now time.Time) {
	w.advance(now)
	w.buckets[w.head%bucketCount].firsts++
	w.firsts++
}

// AllowsExtra tells whether TryExtra would grant an extra attempt now.
func (w *Window) AllowsExtra(now time.Time) bool {
	w.advance(now)
	// The oldest bucket is partly outside the window: its extras still count,
	// its first attempts no longer do.
	oldest := w.buckets[(w.head+1)%bucketCount]
	firsts := w.firsts - oldest.firsts
	if w.slack >= 0 {
		return w.extras < uint32(w.share*float64(firsts)+w.slack)
	}
	return w.extras < max(uint32(w.share*float64(firsts)), w.floor)
}

// TryExtra counts an extra attempt and returns true, or returns false if the
// budget is used up.
func (w *Window) TryExtra(now time.Time) bool {
	if !w.AllowsExtra(now) {
		return false
	}
	w.buckets[w.head%bucketCount].extras++
	w.extras++
	return true
}

// Counts returns the attempts in the window, rounded up to whole buckets.
func (w *Window) Counts(now time.Time) (firsts, extras int) {
	w.advance(now)
	return int(w.firsts), int(w.extras)
}

// advance drops the buckets that have left the window. A time before the last
// one counts as the last one.
func (w *Window) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	// A difference goes by the monotonic clock, which no change of the time of
	// day moves.
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
		gone := &w.buckets[w.head%bucketCount]
		w.firsts -= gone.firsts
		w.extras -= gone.extras
		*gone = bucket{}
	}
}
