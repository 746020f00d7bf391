package follow

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/juju/errors"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Op is an operation on a Source.
type Op int

// Operations.
const (
	OpList  Op = iota + 1 // read all items
	OpWatch               // wait for changes
)

// Step is the next operation and the delay before it.
type Step struct {
	Op    Op
	Delay time.Duration
	// Stale allows a listing from a replica of the store that lags.
	Stale bool
	// After is the revision after which a watch returns changes.
	After uint64
	// Wait is the maximum time that a watch waits for changes.
	Wait time.Duration
}

// SchedulerOptions configures a Scheduler.
type SchedulerOptions struct {
	// Wait is the maximum time of one watch. A lost response is noticed only after
	// it.
	Wait time.Duration
	// ProbeWait is the maximum time of the first watch after a failure. It should
	// be short: the store may still be unresponsive, and its recovery must be
	// noticed soon.
	ProbeWait time.Duration
	// MinCoalesce and MaxCoalesce bound the delay before the next watch after a
	// watch has returned changes, so that changes in quick succession cost one
	// call. The delay doubles with each watch that returns changes immediately.
	MinCoalesce time.Duration
	MaxCoalesce time.Duration
	// MinBackoff and MaxBackoff bound the delay after failures. Until the first
	// listing, MaxInitialBackoff applies as well, because no requests can be
	// served before it.
	MinBackoff        time.Duration
	MaxBackoff        time.Duration
	MaxInitialBackoff time.Duration
	Rand              *rand.Rand
}

// Scheduler decides which operation to perform next to keep up with a store. It
// is not safe for concurrent use.
type Scheduler struct {
	opts       SchedulerOptions
	listed     bool // whether a watch can continue from revision
	everListed bool // whether a listing has ever succeeded
	stale      bool // whether the next listing may be stale
	revision   uint64
	failures   int // consecutive
	relistings int // consecutive failures after which a listing was needed
	// immediateWatches is the number of consecutive watches that returned changes
	// immediately.
	immediateWatches int
}

// initialImmediateWatches gives the first delays the maximum length: while a fleet
// starts, all its processes read the store, and targets register one after the
// other.
const initialImmediateWatches = 10

// NewScheduler returns a Scheduler that begins with a listing.
func NewScheduler(opts SchedulerOptions) *Scheduler {
	return &Scheduler{opts: opts, stale: true, immediateWatches: initialImmediateWatches}
}

// Begin returns the first step, a listing. It may be stale: the watch that follows
// returns the changes that the listing lacks.
func (s *Scheduler) Begin() Step { return Step{Op: OpList, Stale: true} }

// Listed records a successful listing and returns the next step.
func (s *Scheduler) Listed(revision uint64) Step {
	s.listed, s.everListed, s.revision, s.failures = true, true, revision, 0
	return s.watch(0)
}

// Watched records a successful watch and returns the next step. changes is the
// number of changes that the watch returned, took is how long it lasted.
func (s *Scheduler) Watched(revision uint64, changes int, took time.Duration) Step {
	s.failures, s.relistings = 0, 0
	s.stale = true
	s.revision = max(s.revision, revision)
	if changes == 0 {
		s.immediateWatches = 0
		return s.watch(0)
	}
	if took >= s.opts.MaxCoalesce {
		s.immediateWatches = 0
	}
	delay := min(s.opts.MinCoalesce<<min(s.immediateWatches, 10), s.opts.MaxCoalesce)
	s.immediateWatches++
	return s.watch(delay)
}

// ListedStale records a successful listing that may lag, and returns the next step: a
// watch that returns at once what the listing lacks.
func (s *Scheduler) ListedStale(revision uint64) Step {
	step := s.Listed(revision)
	step.Wait = confirmWait
	return step
}

// confirmWait is the wait of the watch that confirms a stale listing.
const confirmWait = time.Millisecond

func (s *Scheduler) watch(delay time.Duration) Step {
	return Step{Op: OpWatch, Delay: delay, After: s.revision, Wait: s.opts.Wait}
}

// Failed records the failure of the last step and returns the next step.
func (s *Scheduler) Failed(err error) Step {
	if needsListing(err) {
		// The source is reachable, so earlier failures cause no delay.
		step := Step{Op: OpList, Stale: false}
		s.listed, s.stale = false, false
		s.failures = 0
		s.relistings++
		if s.relistings > 1 {
			step.Delay = s.backoff(s.relistings)
		}
		return step
	}
	if errors.Is(err, ErrFormerEra) {
		s.stale = false // the answer may be that of a replica which lags
	}
	s.failures++
	step := Step{Op: OpList, Stale: s.stale, Delay: s.backoff(s.failures)}
	if s.listed {
		step = s.watch(step.Delay)
		step.Wait = min(step.Wait, s.opts.ProbeWait)
	}
	var busy *BusyError
	if errors.As(err, &busy) {
		step.Delay = max(step.Delay, busy.RetryAfter)
	}
	return step
}

// backoff returns a delay that doubles with each consecutive failure. Half of it
// is random.
func (s *Scheduler) backoff(failures int) time.Duration {
	d := s.opts.MinBackoff << min(failures-1, 10)
	d = min(d, s.opts.MaxBackoff)
	if !s.everListed {
		d = min(d, s.opts.MaxInitialBackoff)
	}
	return d/2 + time.Duration(s.opts.Rand.Int64N(int64(d/2)+1))
}
