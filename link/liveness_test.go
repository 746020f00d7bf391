package link

import (
	"testing"
	"time"
)

// Guards against a silent peer whose link is never closed, because each check that is as far
// from the one before as the checks of the pool are counts as a pause of this process.
func TestSilentLinkIsClosedWhateverTheCheckInterval(t *testing.T) {
	for _, interval := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond} {
		now := time.Unix(1_700_000_000, 0)
		l := NewLiveness(LivenessOptions{CheckInterval: interval}, now)
		l.SetBusy(now, true)
		closedAfter := time.Duration(0)
		for elapsed := interval; elapsed < 3*time.Second && closedAfter == 0; elapsed += interval + time.Millisecond {
			if l.Check(now.Add(elapsed)) == DecisionClose {
				closedAfter = elapsed
			}
		}
		if limit := DefaultBusyTimeout + interval + 10*time.Millisecond; closedAfter == 0 || closedAfter > limit {
			t.Errorf("checked every %v, the link is closed after %v, want at most %v", interval, closedAfter, limit)
		}
	}
}
