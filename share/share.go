// Package share divides limits that hold for all processes together into the
// share that each process may use by itself. The processes do not coordinate:
// each computes its share from the processes that it knows, and uses it whether
// or not it can reach the others.
//
// The package is pure.
package share

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is the set of processes that share limits, as known to one of them. The
// zero value stands for a fleet of unknown size, in which all shares are zero.
type Fleet struct {
	// Self is the name of this process.
	Self string
	// Members are the names of all known processes, including this one. It is empty
	// if nothing indicates how many processes there are.
	Members []string
	// AssumedSize is the number of processes that may exist while Members may be
	// incomplete; zero if Members is considered complete.
	AssumedSize int
}

// Size returns the number of processes that limits are divided by, or 0 if it is
// unknown.
func (f *Fleet) Size() int {
	if len(f.Members) == 0 {
		return 0
	}
	return max(len(f.Members), f.AssumedSize)
}

// dividedFraction is the fraction of a limit that is divided. The rest is a
// reserve for processes that only some of the others know yet.
const dividedFraction = 0.8

// Share returns this process's share of a limit on the resource that the key
// names, in whole units. The shares of processes that know the same members add
// up to the limit less the reserve.
func (f *Fleet) Share(limit float64, key string) int {
	n := f.Size()
	if n == 0 {
		return 0
	}
	whole := int(limit * dividedFraction)
	share := whole / n
	if f.AssumedSize > len(f.Members) {
		return share
	}
	if f.rank(key) < whole%n {
		share++
	}
	return share
}

// EvenShare returns this process's share of a limit whose shares need not be
// whole.
func (f *Fleet) EvenShare(limit float64) float64 {
	n := f.Size()
	if n == 0 {
		return 0
	}
	return limit * dividedFraction / float64(n)
}

// Fraction returns the part, from 0 to 1, that each process has in a limit which is not
// divided into whole units. The parts of processes that know the same members add up to 1.
func (f *Fleet) Fraction() float64 {
	if n := f.Size(); n > 0 {
		return 1 / float64(n)
	}
	return 0
}

// Phase returns a number from 0 to less than 1. Those of processes that know the same members
// spread evenly; the key names the resource.
func (f *Fleet) Phase(key string) float64 {
	if n := len(f.Members); n > 0 {
		return float64(f.rank(key)) / float64(n)
	}
	return 0
}

// rank returns the position of this process in the rendezvous order of the
// members for the key.
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

// RateLimiter bounds the number of events in any span of one second. The zero
// value has recorded no events. It is not safe for concurrent use.
type RateLimiter struct {
	times []time.Time // of the events in the last second, oldest first
}

// RateWindow is the length of the sliding window of a RateLimiter.
const RateWindow = time.Second

// Allows reports whether another event is within the limit.
func (r *RateLimiter) Allows(now time.Time, limit int) bool {
	for len(r.times) > 0 && now.Sub(r.times[0]) >= RateWindow {
		r.times = r.times[1:]
	}
	return len(r.times) < limit
}

// Add records an event.
func (r *RateLimiter) Add(now time.Time) { r.times = append(r.times, now) }
