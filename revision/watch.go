package revision

import (
	"math/rand/v2"
	"time"
)

// Bounds of the pace at which one process calls the configuration service.
const (
	// MinWatch and MaxWatch bound how long one watch waits.
	MinWatch = 20 * time.Second
	MaxWatch = 30 * time.Second
	// minBackoff and maxBackoff bound the delay after failed calls.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// readRate is the number of processes per second that start to read a new
	// revision: it spreads their calls when a change wakes all watches at once.
	readRate = 500
)

// Pace spaces the calls of one process to the configuration service. At most
// one watch waits at a time. It is pure; the caller serialises.
type Pace struct {
	rng      *rand.Rand
	failures int
	readers  int
}

// NewPace returns a pace with a random source of its own.
func NewPace(rng *rand.Rand) *Pace { return &Pace{rng: rng} }

// SetReaders tells how many processes of the fleet read the service.
func (p *Pace) SetReaders(n int) { p.readers = n }

// Watch returns how long the next watch waits.
func (p *Pace) Watch() time.Duration { return MinWatch + p.jitter(MaxWatch-MinWatch) }

// Spread returns how long to wait before the files of a new revision are read.
func (p *Pace) Spread() time.Duration {
	return p.jitter(time.Duration(p.readers) * time.Second / readRate)
}

// Succeeded tells that a call was answered.
func (p *Pace) Succeeded() { p.failures = 0 }

// Failed tells that a call failed, and returns how long to wait before the next
// one: exponential with full jitter.
func (p *Pace) Failed() time.Duration {
	limit := min(minBackoff<<min(p.failures, 10), maxBackoff)
	p.failures++
	return limit/2 + p.jitter(limit/2)
}

func (p *Pace) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(p.rng.Int64N(int64(limit)))
}
