package follow

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
)

func newTestState() *Scheduler {
	return NewScheduler(SchedulerOptions{
		Wait: 4 * time.Second, MinCoalesce: 150 * time.Millisecond, MaxCoalesce: 800 * time.Millisecond,
		ProbeWait: 200 * time.Millisecond, MinBackoff: 100 * time.Millisecond, MaxBackoff: time.Second, MaxInitialBackoff: 300 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 2)),
	})
}

func TestListThenWatchFromItsRevision(t *testing.T) {
	s := newTestState()
	if step := s.Begin(); step.Op != OpList || !step.Stale {
		t.Fatalf("first step %+v, want a listing that may be stale", step)
	}
	if step := s.Listed(40); step.Op != OpWatch || step.After != 40 || step.Delay != 0 {
		t.Fatalf("after the listing %+v, want a watch after 40", step)
	}
	if step := s.Watched(43, 2, time.Second); step.After != 43 || step.Delay != 150*time.Millisecond {
		t.Fatalf("after changes %+v, want a watch after 43 with a pause", step)
	}
	if step := s.Watched(43, 0, 4*time.Second); step.Delay != 0 {
		t.Fatalf("after no change %+v, want no pause", step)
	}
}

func TestLostHistoryIsListedFresh(t *testing.T) {
	s := newTestState()
	s.Listed(40)
	step := s.Failed(errors.Trace(ErrCompacted))
	if step.Op != OpList || step.Stale || step.Delay != 0 {
		t.Fatalf("step %+v, want a listing at once that isn't stale", step)
	}
	if step = s.Failed(ErrCompacted); step.Delay == 0 {
		t.Fatal("the history is lost again and again, and nothing slows the calls")
	}
}

// After an outage the history may be lost: the listing follows at once, whatever
// failed before.
func TestLostHistoryAfterFailuresIsListedAtOnce(t *testing.T) {
	s := newTestState()
	s.Listed(40)
	for range 6 {
		s.Failed(errors.New("timeout"))
	}
	if step := s.Failed(ErrCompacted); step.Op != OpList || step.Delay != 0 {
		t.Fatalf("step %+v, want a listing at once", step)
	}
	if step := s.Failed(errors.New("timeout")); step.Delay > 100*time.Millisecond {
		t.Fatalf("delay %v after one failed listing, want at most 100ms", step.Delay)
	}
}

func TestFailuresBackOffAndKeepTheRevision(t *testing.T) {
	s := newTestState()
	s.Listed(40)
	var last time.Duration
	for range 12 {
		step := s.Failed(errors.New("timeout"))
		if step.Op != OpWatch || step.After != 40 {
			t.Fatalf("step %+v, want the watch again", step)
		}
		if step.Delay > time.Second {
			t.Fatalf("delay %v, want at most 1s", step.Delay)
		}
		last = step.Delay
	}
	if last < 500*time.Millisecond {
		t.Fatalf("delay %v after 12 failures, want at least half of the bound", last)
	}
	if step := s.Failed(&BusyError{Status: 429, RetryAfter: 3 * time.Second}); step.Delay < 3*time.Second {
		t.Fatalf("delay %v, want what the store asked for", step.Delay)
	}
}

func TestChangesInQuickSuccessionAreGathered(t *testing.T) {
	s := newTestState()
	s.Listed(1)
	var total time.Duration
	calls := 0
	for rev := uint64(2); total < 8*time.Second; rev++ {
		step := s.Watched(rev, 1, 5*time.Millisecond)
		if step.Delay > 800*time.Millisecond {
			t.Fatalf("pause %v, want at most 800ms", step.Delay)
		}
		total += step.Delay + 5*time.Millisecond
		calls++
	}
	if calls > 13 {
		t.Fatalf("%d calls in 8 s of changes, want at most 13", calls)
	}
	if step := s.Watched(99, 1, 2*time.Second); step.Delay != 150*time.Millisecond {
		t.Fatalf("pause %v after a calm, want the shortest", step.Delay)
	}
}

// A store that is silent must not hold the first watch after a failure for long:
// it may return a moment after the watch was sent.
func TestFirstWatchAfterAFailureIsShort(t *testing.T) {
	s := newTestState()
	s.Listed(40)
	if step := s.Failed(errors.New("timeout")); step.Op != OpWatch || step.Wait > 200*time.Millisecond {
		t.Fatalf("step %+v, want a watch of at most 200ms", step)
	}
	if step := s.Watched(40, 0, 10*time.Millisecond); step.Wait != 4*time.Second {
		t.Fatalf("step %+v, want a full watch again", step)
	}
}

func TestFirstListingIsTriedOften(t *testing.T) {
	s := newTestState()
	for range 12 {
		if step := s.Failed(errors.New("timeout")); step.Op != OpList || step.Delay > 300*time.Millisecond {
			t.Fatalf("step %+v, want a listing within 300ms", step)
		}
	}
}
