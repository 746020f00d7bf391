package member

import (
	"testing"
	"time"
)

func TestAccusationTimeoutFallsWithNumberOfAccusers(t *testing.T) {
	a := &accusation{started: startTime}
	want := []time.Duration{30 * time.Second, 17381 * time.Millisecond, 10 * time.Second, 10 * time.Second}
	for i := range uint32(4) {
		added := a.add([]uint32{i, i}, 3)
		got := a.timeout(10*time.Second, 30*time.Second, 3).Round(time.Millisecond)
		if added != (i < 3) || got != want[i] {
			t.Errorf("accuser %d: added %v, timeout %v, want %v", i+1, added, got, want[i])
		}
	}
}

// A process is healthy once a third of its peers have been live for the whole
// recovery period.
func TestLocalHealthNeedsLivePeersForRecoveryPeriod(t *testing.T) {
	h := localHealth{recoveryPeriod: 10 * time.Second}
	steps := []struct {
		at   time.Duration
		live int
		want bool
	}{{0, 2, false}, {9 * time.Second, 5, false}, {10 * time.Second, 2, true}, {11 * time.Second, 1, false}, {20 * time.Second, 2, false}, {30 * time.Second, 2, true}}
	for _, s := range steps {
		h.observe(startTime.Add(s.at), peerCount{s.live, 5})
		if got := h.healthy(startTime.Add(s.at)); got != s.want {
			t.Errorf("at %v with %d of 5 peers live: healthy %v, want %v", s.at, s.live, got, s.want)
		}
	}
	h.reset()
	if h.healthy(startTime.Add(time.Minute)) {
		t.Error("healthy right after a pause")
	}
}
