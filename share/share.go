// Package share divides limits that hold for all processes together into the
// parts that each may use alone. Nothing is agreed on: each process works its
// part out from the processes that it knows, and uses it whether or not it is
// in touch with the others.
//
// The package is pure.
package share

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is the processes that share a limit, as one of them knows them.
type Fleet struct {
	// Self is this process.
	Self string
	// Members are the names of all, this one included.
	Members []string
	// AssumedSize is the number of processes that there may be while Members may
	// lack some; zero if Members is believed to be complete.
	AssumedSize int
}

// Size returns the number of processes that limits are divided by.
func (f *Fleet) Size() int { return max(len(f.Members), f.AssumedSize, 1) }

// reserve is the part of a limit that is divided. The rest covers processes that
// some know of and others don't yet.
const reserve = 0.8

// Share returns this process's part of a limit on what the key names. Processes
// that know the same members get parts that add up to the limit less a reserve.
func (f *Fleet) Share(limit float64, key string) int {
	n := f.Size()
	whole := int(limit * reserve)
	part := whole / n
	if f.AssumedSize > len(f.Members) {
		return part
	}
	if f.rank(key) < whole%n {
		part++
	}
	return part
}

// EvenShare returns this process's part of a limit whose parts need not be whole.
func (f *Fleet) EvenShare(limit float64) float64 { return limit * reserve / float64(f.Size()) }

// rank returns the position of this process in the order of members that the
// key gives.
func (f *Fleet) rank(key string) int {
	own := weight(key, f.Self)
	rank := 0
	for _, m := range f.Members {
		if m == f.Self {
			continue
		}
		if w := weight(key, m); w > own || (w == own && m < f.Self) {
			rank++
		}
	}
	return rank
}

func weight(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// RateLimiter bounds events to a number in any span of one second. The zero value has
// seen none. It isn't safe for concurrent use.
type RateLimiter struct {
	times []time.Time // of the events in the last second, oldest first
}

// rateSpan is the length of the sliding window.
const rateSpan = time.Second

// Allows reports whether another event keeps within the limit.
func (r *RateLimiter) Allows(now time.Time, limit int) bool {
	for len(r.times) > 0 && now.Sub(r.times[0]) >= rateSpan {
		r.times = r.times[1:]
	}
	return len(r.times) < limit
}

// Add records an event.
func (r *RateLimiter) Add(now time.Time) { r.times = append(r.times, now) }
