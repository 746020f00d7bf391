package attempt

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestmux/goldcrestmux/code"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

var deadline = time.Unix(1_700_000_000, 0)

func TestNotRunAndMayRetry(t *testing.T) {
	tests := []struct {
		states []State
		run    code.Run
		retry  bool // of an action
	}{
		{nil, code.NotRun, true},
		{[]State{NotSent}, code.NotRun, true},
		{[]State{Refused, NotSent}, code.NotRun, true},
		{[]State{Sent}, code.RunUnknown, false},
		{[]State{Refused, Lost}, code.RunUnknown, false},
		{[]State{Answered}, code.Ran, false},
		{[]State{Lost, Answered}, code.Ran, false},
	}
	for _, tt := range tests {
		tr := New(deadline, true)
		for i, s := range tt.states {
			tr.attempts = append(tr.attempts, record{id: uint64(i), state: s})
		}
		if tr.NotRun() != tt.run || tr.MayRetry(false) != tt.retry || !tr.MayRetry(true) {
			t.Errorf("%v: run %v, retry %v", tt.states, tr.NotRun(), tr.MayRetry(false))
		}
		if tr.Close() != tt.run || tr.MayRetry(true) || tr.Add(99) {
			t.Errorf("%v: work goes on after Close", tt.states)
		}
	}
}

// Against targets that run whatever reaches them unless they refuse it, an
// action runs at most once, and one told as not run never runs.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New(deadline, true)
		ran := 0
		atTarget := map[uint64]bool{} // sent and not yet decided by the target
		told := code.RunUnknown
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			id := rapid.Uint64Range(1, 4).Draw(t, "id")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				tr.Add(id)
			case 1:
				now := deadline.Add(time.Duration(rapid.IntRange(-9, 1).Draw(t, "late")))
				got := tr.Send(now, id)
				if got == code.OK && (told == code.NotRun || tr.Expired(now)) {
					t.Fatalf("attempt %d sent after not run was told or late", id)
				}
				if got == code.OK {
					atTarget[id] = true
				}
			case 2: // the target runs it; the answer may come late
				if atTarget[id] {
					delete(atTarget, id)
					ran++
					if rapid.Bool().Draw(t, "heard") {
						tr.Set(id, Answered)
					}
				}
			case 3: // the target refuses it
				if atTarget[id] {
					delete(atTarget, id)
					tr.Set(id, StateOf(code.NotRun))
				}
			case 4: // the connection breaks
				if s, ok := tr.State(id); ok && s != NotSent {
					tr.Set(id, StateOf(code.RunUnknown))
				}
			case 5:
				if rapid.IntRange(0, 4).Draw(t, "give up") == 0 {
					told = tr.Close()
				}
			}
			if ran > 1 || ran > 0 && told == code.NotRun {
				t.Fatalf("ran %d times, told %v", ran, told)
			}
		}
	})
}
