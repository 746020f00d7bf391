package relay

import (
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/permit"
)

// The stall time follows the mean service time within its bounds, and connections are
// retired at most once per interval.
func TestConnHealth(t *testing.T) {
	now := time.Unix(1000, 0)
	var h connHealth
	if got := h.stallTime(); got != minStallTime {
		t.Errorf("stalled after %v without any response, want %v", got, minStallTime)
	}
	for range 100 {
		h.observe(20 * time.Millisecond)
	}
	if got := h.stallTime(); got < 190*time.Millisecond || got > 210*time.Millisecond {
		t.Errorf("stalled after %v with a mean of 20ms, want ten times that", got)
	}
	for range 200 {
		h.observe(time.Second)
	}
	if got := h.stallTime(); got != maxStallTime {
		t.Errorf("stalled after %v, want at most %v", got, maxStallTime)
	}
	if !h.mayRetire(now) {
		t.Error("connections may not be retired for the first time")
	}
	h.retire(now)
	if h.mayRetire(now.Add(minRetireInterval - 1)) {
		t.Error("connections may be retired twice within the interval")
	}
	if !h.isRetired(now.Add(-time.Millisecond)) || h.isRetired(now.Add(time.Millisecond)) {
		t.Error("a request must count as being on a retired connection if and only if it was sent before the retirement")
	}
}

// The handover of permits from a stopped relay assumes that its requests have ended
// after the quiet period.
func TestTargetDeadlineWithinQuietPeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Relay{opts: Options{Permit: permit.Options{QuietPeriod: time.Second}}}
	if got := r.targetDeadline(now, now.Add(time.Minute)); !got.Equal(now.Add(time.Second)) {
		t.Errorf("target deadline in %v, want the quiet period", got.Sub(now))
	}
	if got := r.targetDeadline(now, now.Add(time.Millisecond)); !got.Equal(now.Add(time.Millisecond)) {
		t.Errorf("target deadline in %v, want the deadline of the query", got.Sub(now))
	}
}
