package link

import (
	"cmp"
	"time"
)

// Defaults of LivenessOptions.
const (
	DefaultIdlePing    = 5 * time.Second
	DefaultIdleTimeout = 10 * time.Second
	DefaultBusyPing    = 150 * time.Millisecond
	DefaultBusyTimeout = 500 * time.Millisecond
)

// LivenessOptions bounds how long a link may be quiet.
type LivenessOptions struct {
	// IdlePing is the silence after which a link without outstanding
	// sub-requests is pinged.
	IdlePing time.Duration
	// IdleTimeout is the silence after which such a link is closed.
	IdleTimeout time.Duration
	// BusyPing is the silence after which a link with outstanding
	// sub-requests is pinged.
	BusyPing time.Duration
	// BusyTimeout is the silence after which such a link is closed.
	BusyTimeout time.Duration
}

func (o LivenessOptions) withDefaults() LivenessOptions {
	o.IdlePing = cmp.Or(o.IdlePing, DefaultIdlePing)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.BusyPing = cmp.Or(o.BusyPing, DefaultBusyPing)
	o.BusyTimeout = cmp.Or(o.BusyTimeout, DefaultBusyTimeout)
	return o
}

// Decision is what Liveness.Check asks for.
type Decision uint8

// Verdicts of a check.
const (
	DecisionNone  Decision = iota // nothing to do
	DecisionPing                  // send a ping
	DecisionClose                 // close the link
)

// Liveness decides when a link is pinged and when it is given up. It is a pure
// state machine; the caller serialises its use.
type Liveness struct {
	opts      LivenessOptions
	heard     time.Time
	pinged    time.Time
	checked   time.Time
	busySince time.Time
	busy      bool
}

// NewLiveness returns the state of a link that was heard at now.
func NewLiveness(opts LivenessOptions, now time.Time) *Liveness {
	return &Liveness{opts: opts.withDefaults(), heard: now, checked: now}
}

// Received notes that a frame arrived.
func (l *Liveness) Received(now time.Time) { l.heard = now }

// SetBusy notes whether sub-requests are outstanding. Silence that began while
// the link was idle counts for the busy bounds only from the change on.
func (l *Liveness) SetBusy(now time.Time, busy bool) {
	if busy && !l.busy {
		l.busySince = now
	}
	l.busy = busy
}

// Check returns what to do at now. A check that comes much later than the one
// before means that this process itself was paused: the peer is given the
// whole timeout again.
func (l *Liveness) Check(now time.Time) Decision {
	paused := now.Sub(l.checked) > l.opts.BusyTimeout/2
	l.checked = now
	if paused {
		l.heard = now
		l.pinged = now
		return DecisionPing
	}
	ping, timeout, silence := l.bounds(now)
	if silence >= timeout {
		return DecisionClose
	}
	if silence < ping || now.Sub(l.pinged) < ping {
		return DecisionNone
	}
	l.pinged = now
	return DecisionPing
}

// Unresponsive reports whether a busy link has left its ping without an answer for a
// while: it may be silent, and new work is better sent elsewhere.
func (l *Liveness) Unresponsive(now time.Time) bool {
	ping, _, silence := l.bounds(now)
	return l.busy && silence >= ping+ping/quietPart
}

// quietPart is the part of the ping's delay that its answer may take before the
// link counts as quiet.
const quietPart = 3

func (l *Liveness) bounds(now time.Time) (ping, timeout, silence time.Duration) {
	silence = now.Sub(l.heard)
	if !l.busy {
		return l.opts.IdlePing, l.opts.IdleTimeout, silence
	}
	return l.opts.BusyPing, l.opts.BusyTimeout, min(silence, now.Sub(l.busySince))
}
