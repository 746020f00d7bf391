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

// LivenessOptions bounds the time without a received frame on a link. Zero values
// are replaced by the defaults.
type LivenessOptions struct {
	// IdlePing is the time without a received frame after which a link without
	// outstanding sub-requests is pinged.
	IdlePing time.Duration
	// IdleTimeout is the time after which such a link is closed.
	IdleTimeout time.Duration
	// BusyPing is the time without a received frame after which a link with
	// outstanding sub-requests is pinged.
	BusyPing time.Duration
	// BusyTimeout is the time after which such a link is closed.
	BusyTimeout time.Duration
	// CheckInterval is the usual time between two checks.
	CheckInterval time.Duration
}

func (o LivenessOptions) withDefaults() LivenessOptions {
	o.IdlePing = cmp.Or(o.IdlePing, DefaultIdlePing)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.BusyPing = cmp.Or(o.BusyPing, DefaultBusyPing)
	o.BusyTimeout = cmp.Or(o.BusyTimeout, DefaultBusyTimeout)
	return o
}

// Decision is what to do with a link after a check.
type Decision uint8

// Decisions.
const (
	DecisionNone  Decision = iota // nothing to do
	DecisionPing                  // send a ping
	DecisionClose                 // close the link
)

// Liveness is a state machine that decides when a link is pinged and when it is
// closed. It is not safe for concurrent use.
type Liveness struct {
	opts         LivenessOptions
	lastReceived time.Time
	lastPinged   time.Time
	lastChecked  time.Time
	busySince    time.Time
	busy         bool
}

// NewLiveness returns the state of a link that received a frame at now.
func NewLiveness(opts LivenessOptions, now time.Time) *Liveness {
	return &Liveness{opts: opts.withDefaults(), lastReceived: now, lastChecked: now}
}

// Received records that a frame was received.
func (l *Liveness) Received(now time.Time) { l.lastReceived = now }

// SetBusy records whether sub-requests are outstanding. The busy bounds apply to
// the time without a received frame since the link last became busy.
func (l *Liveness) SetBusy(now time.Time, busy bool) {
	if busy && !l.busy {
		l.busySince = now
	}
	l.busy = busy
}

// Check returns what to do at now. If it comes more than half of BusyTimeout late, this
// process itself was paused, and the timeout starts anew.
func (l *Liveness) Check(now time.Time) Decision {
	paused := now.Sub(l.lastChecked) > l.opts.CheckInterval+l.opts.BusyTimeout/2
	l.lastChecked = now
	if paused {
		l.lastReceived = now
		l.lastPinged = now
		return DecisionPing
	}
	ping, timeout, silence := l.bounds(now)
	if silence >= timeout {
		return DecisionClose
	}
	if silence < ping || now.Sub(l.lastPinged) < ping {
		return DecisionNone
	}
	l.lastPinged = now
	return DecisionPing
}

// Unresponsive reports whether the peer of a busy link has not responded to a ping
// for a while. New work should then be sent over other links where possible.
func (l *Liveness) Unresponsive(now time.Time) bool {
	ping, _, silence := l.bounds(now)
	return l.busy && silence >= ping+ping/pongTimeoutDivisor
}

// pongTimeoutDivisor divides the ping interval to give the time within which a
// responsive peer responds to a ping.
const pongTimeoutDivisor = 3

// bounds returns the bounds that hold now, and the time without a received frame
// that they apply to.
func (l *Liveness) bounds(now time.Time) (ping, timeout, silence time.Duration) {
	silence = now.Sub(l.lastReceived)
	if !l.busy {
		return l.opts.IdlePing, l.opts.IdleTimeout, silence
	}
	return l.opts.BusyPing, l.opts.BusyTimeout, min(silence, now.Sub(l.busySince))
}
