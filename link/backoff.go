package link

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay between two dials of a peer.
const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 5 * time.Second
)

// backoff is the state of the exponential backoff between dials of one peer. Each
// delay is chosen at random between half of the exponential value and that value.
type backoff struct {
	failures int
	next     time.Time
}

// due reports whether a dial may start at now.
func (b *backoff) due(now time.Time) bool { return !now.Before(b.next) }

// failed schedules the next dial after a failed one.
func (b *backoff) failed(now time.Time, rng *rand.Rand) {
	limit := minRedialDelay << min(b.failures, 10)
	limit = min(limit, maxRedialDelay)
	b.failures++
	b.next = now.Add(limit/2 + time.Duration(rng.Int64N(int64(limit/2))))
}

// succeeded resets the backoff.
func (b *backoff) succeeded() { *b = backoff{} }
