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

// Next returns the pause before the next call, and how long the service holds
// that call while nothing changes. A process that does not watch polls, with
// no wait.
func (p *Pacer) Next(watch bool, failed bool) (pause, wait time.Duration) {
	o := &p.opts
	if failed {
		p.failures++
	} else {
		p.failures = 0
	}
	if !watch {
		pause = o.PollInterval/2 + jitter(o.Rand, o.PollInterval)
	} else {
		pause, wait = jitter(o.Rand, o.WatchJitter), o.WatchWait
	}
	if p.failures > 0 {
		pause = max(pause, backoff(o.Rand, p.failures, o.WatchRetryMin, o.WatchRetryMax))
	}
	return pause, wait
}

// Watches reports whether the process of that name is among the ones that watch:
// the first Options.MaxWatchers in the order of their hashed names. A process
// that is not on the list watches.
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
