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
	record  balance.Stats
	// idle holds the unused connections, the last used one at the end.
	idle []*conn
	// open counts connections, also those that are being opened.
	open    int
	waiting []*Attempt
	// connections and coldLimit are this process's parts of what the target
	// bears: connections, and requests a second while it is cold.
	connections int
	coldLimit   int
	coldRate    share.RateLimiter
	gone        bool
	// avoided is true if its data centre is evacuated.
	avoided bool
}

// take returns the connection that was used last, or nil.
func (t *Target) take() *conn {
	n := len(t.idle)
	if n == 0 {
		return nil
	}
	c := t.idle[n-1]
	t.idle[n-1] = nil
	t.idle = t.idle[:n-1]
	return c
}

// drop removes a connection from the idle ones.
func (t *Target) drop(c *conn) {
	for i, other := range t.idle {
		if other == c {
			t.idle = append(t.idle[:i], t.idle[i+1:]...)
			return
		}
	}
}

// unqueue removes an attempt that waits for a connection.
func (t *Target) unqueue(a *Attempt) bool {
	for i, other := range t.waiting {
		if other == a {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// cold reports whether the target has started lately.
func (t *Target) cold(now time.Time) bool { return now.Before(t.entry.ColdUntil) }

// usable reports whether the target may get requests.
func (t *Target) usable(now time.Time, drainUse time.Duration) bool {
	if t.gone || t.avoided || (t.entry.Deregistered() && !now.Before(t.entry.GraceEnd)) {
		return false
	}
	return !t.entry.Draining || now.Sub(t.entry.DrainingSince) < drainUse
}
