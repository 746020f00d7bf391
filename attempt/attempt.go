// Package attempt tracks the attempts made for one piece of work on one hop,
// and derives from them whether the work ran and whether it may be sent again.
//
// A Tracker is a pure state machine: it does no I/O and reads no clock.
package attempt

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
)

// State is how far an attempt got on this hop.
type State uint8

// States of an attempt.
const (
	// NotSent means that no byte of the attempt has left.
	NotSent State = iota
	// Refused means that the next hop guarantees that the work did not run.
	Refused
	// Sent means that a byte may have left and no outcome is known.
	Sent
	// Responded means that the work ran.
	Responded
	// Lost means that a byte may have left and no outcome is expected any more.
	Lost
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"not_sent", "refused", "sent", "answered", "lost"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// StateOf returns the state of an attempt whose final reply claims run.
func StateOf(run code.Run) State {
	switch run {
	case code.NotRun:
		return Refused
	case code.Ran:
		return Responded
	default:
		return Lost
	}
}

// mayHaveRun tells whether the work may have run, or may still run, at a target.
func (s State) mayHaveRun() bool { return s == Sent || s == Responded || s == Lost }

// follows tells whether an attempt may go from state s to next. A lost attempt
// may still be settled by a late reply.
func (s State) follows(next State) bool {
	switch s {
	case NotSent:
		return next != NotSent
	case Sent:
		return next == Refused || next == Responded || next == Lost
	case Lost:
		return next == Refused || next == Responded
	default:
		return false
	}
}

// Tracker holds the attempts of one query, over all its shards, or of one
// action. Ids that ascend make Add cheap. It is not locked; the caller
// serialises.
type Tracker struct {
	deadline time.Time
	action   bool
	sealed   bool
	// attempts is in order of ids.
	attempts []record
}

type record struct {
	id    uint64
	state State
}

// New returns a tracker without attempts. No attempt is sent at or after the
// deadline. Action marks non-idempotent work, which is sent again only when it
// is certain that no earlier attempt ran.
func New(deadline time.Time, action bool) *Tracker {
	return &Tracker{deadline: deadline, action: action}
}

// Add starts a new attempt in state NotSent. It returns false if the id is
// known, the tracker is closed, or MayRetry forbids it.
func (t *Tracker) Add(id uint64) bool {
	if t.sealed || t.find(id) != nil || !t.MayRetry(!t.action) {
		return false
	}
	at, _ := slices.BinarySearchFunc(t.attempts, id, byID)
	t.attempts = slices.Insert(t.attempts, at, record{id: id})
	return true
}

// Send marks an attempt as sent, and must be called right before the first
// byte is written. If it returns anything but code.OK, nothing may be written:
// code.DeadlinePassed after the deadline, code.Canceled if the tracker is
// closed or the attempt isn't in state NotSent, and code.OutcomeUnknown if
// another attempt of an action may have run.
func (t *Tracker) Send(now time.Time, id uint64) code.Code {
	r := t.find(id)
	if r == nil || t.sealed || r.state != NotSent {
		return code.Canceled
	}
	if !now.Before(t.deadline) {
		return code.DeadlinePassed
	}
	if t.action && t.anyMayHaveRun() {
		return code.OutcomeUnknown
	}
	r.state = Sent
	return code.OK
}

// Set moves an attempt to a state other than Sent. It returns false, and
// changes nothing, if the attempt is unknown or the step isn't allowed: Refused
// and Answered are final, and nothing returns to NotSent.
func (t *Tracker) Set(id uint64, state State) bool {
	r := t.find(id)
	if r == nil || state == Sent || !r.state.follows(state) {
		return false
	}
	r.state = state
	return true
}

// RunStatus tells whether the work ran: code.RunStatus if no attempt may have run or
// may still run, code.Ran if one was answered, else code.RunUnknown. The claim
// lasts only once Close has kept attempts in state NotSent from being sent.
func (t *Tracker) RunStatus() code.Run {
	unknown := false
	for _, r := range t.attempts {
		switch r.state {
		case Responded:
			return code.Ran
		case Sent, Lost:
			unknown = true
		}
	}
	if unknown {
		return code.RunUnknown
	}
	return code.NotRun
}

// MayRetry tells whether another attempt may be started. Idempotent work may
// always be; other work only while every attempt is NotSent or Refused.
func (t *Tracker) MayRetry(idempotent bool) bool {
	if t.sealed {
		return false
	}
	return idempotent || !t.anyMayHaveRun()
}

// Close ends the work: no attempt is added or sent afterwards. It returns what
// the caller may be told, as NotRun does.
func (t *Tracker) Close() code.Run {
	t.sealed = true
	return t.RunStatus()
}

// Expired tells whether the deadline has passed.
func (t *Tracker) Expired(now time.Time) bool { return !now.Before(t.deadline) }

// Count returns the number of attempts.
func (t *Tracker) Count() int { return len(t.attempts) }

// State returns an attempt's state; ok is false if the id is unknown.
func (t *Tracker) State(id uint64) (state State, ok bool) {
	if r := t.find(id); r != nil {
		return r.state, true
	}
	return NotSent, false
}

func (t *Tracker) find(id uint64) *record {
	at, ok := slices.BinarySearchFunc(t.attempts, id, byID)
	if !ok {
		return nil
	}
	return &t.attempts[at]
}

func byID(r record, id uint64) int { return cmp.Compare(r.id, id) }

func (t *Tracker) anyMayHaveRun() bool {
	for _, r := range t.attempts {
		if r.state.mayHaveRun() {
			return true
		}
	}
	return false
}
