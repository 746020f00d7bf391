package upstream

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/pushback"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// Target is one target with its connections. ID and Service do not change; the
// other fields are guarded by Pool.mu.
type Target struct {
	ID      string
	Service string
	entry   *catalog.Entry
	remote  bool
	stats   balance.Stats
	// capacity is what was logged of the learned capacity.
	capacity capacityChange
	// idle holds the idle connections, the most recently used one last.
	idle []*conn
	// openConns is the number of connections, including those being opened.
	openConns int
	waiting   []*Attempt // for a connection
	// maxConns and coldRateLimit are this process's shares of the limits of the
	// target: connections, and requests per second while it is cold.
	maxConns      int
	coldRateLimit int
	coldRate      share.RateLimiter
	// pushback is what the target has asked of its callers.
	pushback pushback.State
	// verifying is true while a connection is about to be opened that tells whether the
	// target has ended.
	verifying bool
	// heardAt is when anything was last received from the target.
	heardAt time.Time
	// removed is set by Pool.retire. No new requests are sent to the target.
	removed bool
	// evacuated is true if the data centre of the target is evacuated.
	evacuated bool
}

// takeIdle removes and returns the most recently used idle connection whose last request
// had another ID, or returns nil.
func (t *Target) takeIdle(id string) *conn {
	for i := len(t.idle) - 1; i >= 0; i-- {
		if c := t.idle[i]; c.lastID != id || id == "" {
			t.idle = slices.Delete(t.idle, i, i+1)
			return c
		}
	}
	return nil
}

// takeWaitingExcept removes and returns the first waiting attempt whose request has
// another ID, or returns nil.
func (t *Target) takeWaitingExcept(id string) *Attempt {
	for i, a := range t.waiting {
		if a.Call.ID != id {
			t.waiting = slices.Delete(t.waiting, i, i+1)
			return a
		}
	}
	return nil
}

// removeIdle removes a connection from the idle connections if it is one of them.
func (t *Target) removeIdle(c *conn) {
	for i, other := range t.idle {
		if other == c {
			t.idle = append(t.idle[:i], t.idle[i+1:]...)
			return
		}
	}
}

// removeWaiting removes an attempt that waits for a connection and reports whether
// it was waiting.
func (t *Target) removeWaiting(a *Attempt) bool {
	for i, other := range t.waiting {
		if other == a {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// isCold reports whether the target is cold: it started recently, or its data
// centre was evacuated until recently.
func (t *Target) isCold(now time.Time) bool { return now.Before(t.entry.ColdUntil) }

// usable reports whether the target may receive requests, leaving aside that it may be
// limited or paused. A draining or leaving target may for drainGrace.
func (t *Target) usable(now time.Time, drainGrace time.Duration) bool {
	return t.unusable(now, drainGrace) == ""
}

// unusable returns why the target may not receive requests, as usable says; empty if it may.
func (t *Target) unusable(now time.Time, drainGrace time.Duration) string {
	switch {
	case t.removed:
		return "removed"
	case t.evacuated:
		return "its data centre is evacuated"
	case t.entry.Deregistered() && !now.Before(t.entry.GraceEnd):
		return "no longer registered"
	case t.entry.Draining && now.Sub(t.entry.DrainingSince) >= drainGrace:
		return "draining"
	case t.leaving() && now.Sub(t.pushback.LeavingSince()) >= drainGrace:
		return "leaving"
	}
	return ""
}

// unsendable returns why an attempt for which the target was chosen earlier may no longer be
// sent, or nil.
func (t *Target) unsendable(now time.Time) error {
	switch {
	case t.removed:
		return errTargetRemoved
	case t.pushback.Paused(now):
		return errPaused
	}
	return nil
}

// leaving reports whether the target has said in a response that it is leaving.
func (t *Target) leaving() bool { return !t.pushback.LeavingSince().IsZero() }

// lastResort reports whether the target is used only if there is no other.
func (t *Target) lastResort() bool {
	return t.entry.Deregistered() || t.entry.Draining || t.leaving()
}
