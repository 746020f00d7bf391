package revision

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pacer schedules one process's calls of the configuration service: watches or
// polls. At most one call is in progress; Next is called after each. It is not
// safe for concurrent use.
type Pacer struct {
	opts     Options
	failures int
}

// NewPacer returns a Pacer that uses opts.
func NewPacer(opts Options) *Pacer { return &Pacer{opts: opts.withDefaults()} }

// Next returns the delay before the next call, and how long the service holds
// that call while nothing changes. watch is whether the process watches; if not,
// it polls and wait is 0. failed is whether the previous call failed.
func (p *Pacer) Next(watch bool, failed bool) (delay, wait time.Duration) {
	o := &p.opts
	if failed {
		p.failures++
	} else {
		p.failures = 0
	}
	if !watch {
		delay = o.PollInterval/2 + jitter(o.Rand, o.PollInterval)
	} else {
		delay, wait = jitter(o.Rand, o.WatchJitter), o.WatchWait
	}
	if p.failures > 0 {
		delay = max(delay, backoff(o.Rand, p.failures, o.WatchRetryMin, o.WatchRetryMax))
	}
	return delay, wait
}

// Watches reports whether the named process watches the service. The first
// Options.MaxWatchers processes in the order of their hashed names do, and so
// does a process that is not in processes.
func (p *Pacer) Watches(name string, processes []string) bool {
	hash := xxhash.Sum64String(name)
	before := 0
	for _, other := range processes {
		if xxhash.Sum64String(other) < hash {
			before++
		}
	}
	return before < p.opts.MaxWatchers || !slices.Contains(processes, name)
}
