package member

import (
	"testing"
	"time"
)

func TestSuspicionWindowShrinksWithAccusers(t *testing.T) {
	s := &suspicion{started: start}
	want := []time.Duration{30 * time.Second, 17381 * time.Millisecond, 10 * time.Second, 10 * time.Second}
	for i := range uint32(4) {
		grew := s.confirm([]uint32{i, i}, 3)
		got := s.window(10*time.Second, 30*time.Second, 3).Round(time.Millisecond)
		if grew != (i < 3) || got != want[i] {
			t.Errorf("accuser %d: counted %v, window %v, want %v", i+1, grew, got, want[i])
		}
	}
}

func TestAwarenessNeedsMostPeersForAWhile(t *testing.T) {
	a := awareness{quiet: 10 * time.Second}
	steps := []struct {
		at    time.Duration
		heard int
		want  bool
	}{{0, 2, false}, {9 * time.Second, 5, false}, {10 * time.Second, 2, true}, {11 * time.Second, 1, false}, {20 * time.Second, 2, false}, {30 * time.Second, 2, true}}
	for _, s := range steps {
		a.observe(start.Add(s.at), tally{s.heard, 5})
		if got := a.aware(start.Add(s.at)); got != s.want {
			t.Errorf("at %v hearing %d of 5: aware %v, want %v", s.at, s.heard, got, s.want)
		}
	}
	a.gap()
	if a.aware(start.Add(time.Minute)) {
		t.Error("aware right after a gap")
	}
}
