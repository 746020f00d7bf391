package link

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay between two attempts to dial a peer.
const (
	minRedial = 50 * time.Millisecond
	maxRedial = 5 * time.Second
)

// backoff spaces the attempts to dial one peer: exponential with full jitter.
type backoff struct {
	failures int
	next     time.Time
}

// due reports whether an attempt may start at now.
func (b *backoff) due(now time.Time) bool { return !now.Before(b.next) }

// failed schedules the next attempt after a failed one.
func (b *backoff) failed(now time.Time, rng *rand.Rand) {
	limit := minRedial << min(b.failures, 10)
	limit = min(limit, maxRedial)
	b.failures++
	b.next = now.Add(limit/2 + time.Duration(rng.Int64N(int64(limit/2))))
}

// succeeded forgets former failures.
func (b *backoff) succeeded() { *b = backoff{} }
