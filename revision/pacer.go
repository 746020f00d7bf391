package revision

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pacer spaces one process's watches of the configuration service. At most one
// call is in progress: the driver asks Next after each. Not safe for
// concurrent use.
type Pacer struct {
	opts     Options
	failures int
}

// NewPacer returns a Pacer.
func NewPacer(opts Options) *Pacer { return &Pacer{opts: opts.withDefaults()} }

// Next returns the pause before the next call, and how long the service shall
// hold it. A process that doesn't watch polls, with no wait.
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

// Watches tells whether the process of that name is among the ones that watch:
// those whose hashed names come first, at most o.Watchers.
func (p *Pacer) Watches(name string, processes []string) bool {
	own := xxhash.Sum64String(name)
	before := 0
	for _, other := range processes {
		if xxhash.Sum64String(other) < own {
			before++
		}
	}
	return before < p.opts.MaxWatchers || !slices.Contains(processes, name)
}
