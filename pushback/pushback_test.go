package pushback

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a limit that is taken to have ended because a response from before it was
// named arrives late.
func TestLateResponseDoesNotEndLimit(t *testing.T) {
	var s State
	if c := s.Observe(at(100), at(50), Notice{Limited: true, Limit: 7}); c != LimitNamed {
		t.Fatalf("change %v, want %v", c, LimitNamed)
	}
	if c := s.Observe(at(120), at(60), Notice{}); c != Unchanged {
		t.Errorf("change %v after a response to an earlier request, want none", c)
	}
	for i, want := range []Change{Unreadable, Unchanged} {
		if c := s.Observe(at(200), at(150), Notice{Malformed: "x"}); c != want {
			t.Errorf("change %v after response %d with a limit that cannot be read, want %v", c, i, want)
		}
	}
	if c := s.Observe(at(200), at(150), Notice{}); c != LimitEnded {
		t.Errorf("change %v, want %v", c, LimitEnded)
	}
}

func TestReportCountsAttemptsSinceLimit(t *testing.T) {
	var s State
	s.Sent(start, false)
	s.Observe(at(0), at(-10), Notice{Limited: true, Limit: 7})
	s.Sent(start, false)
	s.Sent(start, true)
	s.Observe(at(10), at(5), Notice{Limited: true, Limit: 8})
	r, ok := s.Report(at(30))
	if !ok || *r.Limit != 8 || *r.Sent != (Counts{First: 1, Extra: 1}) || r.LimitForMs != 30 {
		t.Errorf("report %+v, sent %+v", r, r.Sent)
	}
}

// limitedState returns a State whose target names a limit, of which this process has a part.
func limitedState(limit float64, share Share) *State {
	s := &State{}
	s.SetShare(at(0), share)
	s.Observe(at(0), at(-10), Notice{Limited: true, Limit: limit})
	return s
}

// Guards against a process that sends more than its part of a limit: whatever the pattern of
// demand, in any 4 s it sends at most what it earns in 5 s, and one request more.
func TestSendsStayWithinPartOfLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.02, 30).Draw(t, "rate")
		s := limitedState(rate/usedFraction, Share{Fraction: 1, Phase: rapid.Float64Range(0, 0.99).Draw(t, "phase")})
		var sent []time.Time
		now := 0
		for range 400 {
			now += rapid.SampledFrom([]int{0, 1, 20, 100, 900, 5000}).Draw(t, "wait")
			if s.Available(at(now), true).After(at(now)) {
				continue
			}
			s.Sent(at(now), false)
			sent = append(sent, at(now))
		}
		const window = 4 * time.Second
		for i := range sent {
			n := 0
			for _, other := range sent[i:] {
				if other.Sub(sent[i]) < window {
					n++
				}
			}
			if allowed := max(rate, usedFraction*minLimit)*(window+creditLifetime).Seconds() + 1; float64(n) > allowed {
				t.Fatalf("%d requests in %v, allowed %v", n, window, allowed)
			}
		}
	})
}

// Guards against a limit whose capacity is given up: a process that always wants to send uses
// its part.
func TestPartOfLimitIsUsed(t *testing.T) {
	for _, rate := range []float64{0.5, 0.9, 3, 30} {
		s := limitedState(rate/usedFraction, Share{Fraction: 1})
		sent := 0
		for ms := range 60_000 {
			if !s.Available(at(ms), true).After(at(ms)) {
				s.Sent(at(ms), false)
				sent++
			}
		}
		if float64(sent) < 0.98*rate*60-1 {
			t.Errorf("%d requests in a minute at a rate of %v a second", sent, rate)
		}
	}
}

// Guards against requests that all processes send at once because each has earned one in the
// time in which there was no demand.
func TestKeptRequestsLapse(t *testing.T) {
	const processes = 200
	burst := 0
	for i := range processes {
		s := limitedState(12, Share{Fraction: 1.0 / processes, Phase: float64(i) / processes})
		if !s.Available(at(60_000), true).After(at(60_000)) {
			burst++
		}
	}
	if allowed := 12 * creditLifetime.Seconds(); float64(burst) > allowed {
		t.Errorf("%d processes may send at the same time, want at most what the limit allows in %v", burst, creditLifetime)
	}
}

// The time at which a request may be sent is told exactly.
func TestAvailableTellsWhenRequestMayBeSent(t *testing.T) {
	s := limitedState(10/usedFraction, Share{Fraction: 0.5})
	if got := s.Available(at(50), true); got.Sub(at(200)).Abs() > time.Millisecond {
		t.Errorf("available %v after the limit was named, want 200ms", got.Sub(at(0)))
	}
	s.Observe(at(60), at(55), Notice{Pause: 3 * time.Second})
	if got := s.Available(at(70), true); !got.Equal(at(3060)) {
		t.Errorf("available %v after the start, want 3.06s: the target asked for a pause", got.Sub(at(0)))
	}
	if !s.Paused(at(3059)) || s.Paused(at(3060)) {
		t.Error("the pause does not last as long as the target asked for")
	}
}

// A process that does not know how many others there are sends nothing to a limited target.
func TestProcessWithoutShareSendsNothing(t *testing.T) {
	s := limitedState(10, Share{})
	for ms := range 20_000 {
		if !s.Available(at(ms), true).After(at(ms)) {
			t.Fatalf("available after %d ms", ms)
		}
	}
}

// Guards against a pause that a later response cuts short.
func TestPauseIsNotShortened(t *testing.T) {
	var s State
	s.Observe(at(0), at(-1), Notice{Pause: 5 * time.Second})
	s.Observe(at(10), at(-1), Notice{Pause: time.Second})
	if !s.Paused(at(4999)) {
		t.Error("the target asked for a pause of 5 s")
	}
}

func TestLeavingIsNotTakenBack(t *testing.T) {
	var s State
	if c := s.Observe(at(0), at(-1), Notice{Leaving: true}); c != LeavingTold {
		t.Errorf("change %v, want %v", c, LeavingTold)
	}
	s.Observe(at(10), at(5), Notice{})
	if !s.LeavingSince().Equal(at(0)) {
		t.Errorf("leaving since %v, want since it was first told", s.LeavingSince())
	}
}

// Guards against first attempts that use up what hedges need while the other target pauses.
func TestReserveIsKeptForExtraAttempts(t *testing.T) {
	s := limitedState(4/usedFraction, Share{Fraction: 1})
	sent := 0
	for ms := range 20_000 {
		if !s.Available(at(ms), false).After(at(ms)) {
			s.Sent(at(ms), false)
			if ms >= 10_000 {
				sent++
			}
		}
	}
	if sent < 39 {
		t.Errorf("%d first attempts in 10 s at 4 a second, once the reserve was earned", sent)
	}
	if s.Available(at(20_000), true).After(at(20_000)) {
		t.Error("no extra attempt may be sent right after the first attempts")
	}
}
