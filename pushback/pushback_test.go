package pushback

import (
	"testing"
	"time"
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
	for _, n := range []Notice{{}, {Malformed: "x"}} {
		if c := s.Observe(at(120), at(60), n); c != Unchanged {
			t.Errorf("change %v after a response to an earlier request, want none", c)
		}
	}
	if c := s.Observe(at(200), at(150), Notice{Malformed: "x"}); c != Unchanged {
		t.Errorf("change %v after a limit that cannot be read, want none", c)
	}
	if c := s.Observe(at(200), at(150), Notice{}); c != LimitEnded {
		t.Errorf("change %v, want %v", c, LimitEnded)
	}
}

func TestReportCountsAttemptsSinceLimit(t *testing.T) {
	var s State
	s.Sent(false)
	s.Observe(at(0), at(-10), Notice{Limited: true, Limit: 7})
	s.Sent(false)
	s.Sent(true)
	s.Observe(at(10), at(5), Notice{Limited: true, Limit: 8})
	r, ok := s.Report(at(30))
	if !ok || *r.Limit != 8 || *r.Sent != (Counts{First: 1, Extra: 1}) || r.LimitForMs != 30 {
		t.Errorf("report %+v, sent %+v", r, r.Sent)
	}
}
