// Package attempt tracks the attempts of one request on one hop, and derives from
// them whether the request has run and whether it may be retried.
//
// A Tracker is a pure state machine: it does no I/O and reads no clock.
package attempt

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
)

// State is the progress of an attempt on this hop.
type State uint8

// States of an attempt.
const (
	// NotSent means that no byte of the attempt has been sent.
	NotSent State = iota
	// Refused means that the next hop guarantees that the request did not run.
	Refused
	// Sent means that a byte may have been sent and the outcome is not known yet.
	Sent
	// Responded means that a response was received, so the request has run.
	Responded
	// Lost means that a byte may have been sent and no outcome is expected any
	// more.
	Lost
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"not_sent", "refused", "sent", "answered", "lost"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// StateOf returns the state of an attempt whose final response has the given run
// status.
func StateOf(run code.RunStatus) State {
	switch run {
	case code.NotRun:
		return Refused
	case code.Ran:
		return Responded
	default:
		return Lost
	}
}

// mayHaveRun reports whether the request may have run, or may still run, at a
// target.
func (s State) mayHaveRun() bool { return s == Sent || s == Responded || s == Lost }

// canBecome reports whether an attempt may change from state s to next. A late
// response may still determine the outcome of a lost attempt.
func (s State) canBecome(next State) bool {
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
// action. Add is cheapest if ids ascend. It is not safe for concurrent use.
type Tracker struct {
	deadline time.Time
	action   bool
	closed   bool
	// attempts is sorted by id.
	attempts []record
}

type record struct {
	id    uint64
	state State
}

// New returns a tracker without attempts. No attempt is sent at or after the
// deadline. Action is true for a non-idempotent request, which is retried only
// if no earlier attempt can have run.
func New(deadline time.Time, action bool) *Tracker {
	return &Tracker{deadline: deadline, action: action}
}

// Add starts a new attempt in state NotSent. It returns false if the id is
// already in use, the tracker is closed, or MayRetry forbids it.
func (t *Tracker) Add(id uint64) bool {
	if t.closed || t.find(id) != nil || !t.MayRetry(!t.action) {
		return false
	}
	at, _ := slices.BinarySearchFunc(t.attempts, id, byID)
	t.attempts = slices.Insert(t.attempts, at, record{id: id})
	return true
}

// Send marks an attempt as sent, and must be called right before the first byte
// is written. Nothing may be written unless it returns code.OK. It returns
// code.DeadlinePassed at or after the deadline, code.Canceled if the tracker is
// closed or the attempt is not in state NotSent, and code.OutcomeUnknown if
// another attempt of an action may have run.
func (t *Tracker) Send(now time.Time, id uint64) code.Code {
	r := t.find(id)
	if r == nil || t.closed || r.state != NotSent {
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

// Set changes the state of an attempt to one other than Sent. It returns false,
// and changes nothing, if the attempt is unknown or the change is not allowed:
// Refused and Responded are final, and no attempt returns to NotSent.
func (t *Tracker) Set(id uint64, state State) bool {
	r := t.find(id)
	if r == nil || state == Sent || !r.state.canBecome(state) {
		return false
	}
	r.state = state
	return true
}

// RunStatus returns whether the request has run: code.NotRun if no attempt may
// have run or may still run, code.Ran if an attempt is in state Responded,
// otherwise code.RunUnknown. NotRun is final only after Close, which prevents
// attempts in state NotSent from being sent.
func (t *Tracker) RunStatus() code.RunStatus {
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

// MayRetry reports whether another attempt may be started. Unless the tracker is
// closed, an idempotent request may always be retried; any other request only
// while every attempt is NotSent or Refused.
func (t *Tracker) MayRetry(idempotent bool) bool {
	if t.closed {
		return false
	}
	return idempotent || !t.anyMayHaveRun()
}

// Close ends the request: no attempt is added or sent afterwards. It returns the
// RunStatus, which may now be reported to the caller.
func (t *Tracker) Close() code.RunStatus {
	t.closed = true
	return t.RunStatus()
}

// Expired reports whether the deadline has passed.
func (t *Tracker) Expired(now time.Time) bool { return !now.Before(t.deadline) }

// Count returns the number of attempts.
func (t *Tracker) Count() int { return len(t.attempts) }

// State returns the state of an attempt; ok is false if the id is unknown.
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
