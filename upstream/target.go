package upstream

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// Target is one target with its connections. All fields are guarded by the
// pool's lock.
type Target struct {
	ID      string
	Service string
	entry   *catalog.Entry
	remote  bool
	stats   balance.Stats
	// idle holds the unused connections, the last used one at the end.
	idle []*conn
	// openConns counts connections, also those that are being opened.
	openConns int
	waiting   []*Attempt
	// maxConns and coldLimit are this process's parts of what the target
	// bears: maxConns, and requests a second while it is cold.
	maxConns      int
	coldRateLimit int
	coldRate      share.RateLimiter
	removed       bool
	// evacuated is true if its data centre is evacuated.
	evacuated bool
}

// takeIdle returns the connection that was used last, or nil.
func (t *Target) takeIdle() *conn {
	n := len(t.idle)
	if n == 0 {
		return nil
	}
	c := t.idle[n-1]
	t.idle[n-1] = nil
	t.idle = t.idle[:n-1]
	return c
}

// removeIdle removes a connection from the idle ones.
func (t *Target) removeIdle(c *conn) {
	for i, other := range t.idle {
		if other == c {
			t.idle = append(t.idle[:i], t.idle[i+1:]...)
			return
		}
	}
}

// removeWaiting removes an attempt that waits for a connection.
func (t *Target) removeWaiting(a *Attempt) bool {
	for i, other := range t.waiting {
		if other == a {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// isCold reports whether the target has started lately.
func (t *Target) isCold(now time.Time) bool { return now.Before(t.entry.ColdUntil) }

// usable reports whether the target may get requests.
func (t *Target) usable(now time.Time, drainUse time.Duration) bool {
	if t.removed || t.evacuated || (t.entry.Deregistered() && !now.Before(t.entry.GraceEnd)) {
		return false
	}
	return !t.entry.Draining || now.Sub(t.entry.DrainingSince) < drainUse
}
