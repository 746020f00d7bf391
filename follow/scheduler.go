package follow

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/juju/errors"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Op is what to do next.
type Op int

// Operations.
const (
	OpList  Op = iota + 1 // read all items
	OpWatch               // wait for changes
)

// Step is the next operation, to be begun after a delay.
type Step struct {
	Op    Op
	Delay time.Duration
	// Stale allows a listing from a replica.
	Stale bool
	// After is the revision from which a watch goes on.
	After uint64
	// Wait bounds how long the store may hold a watch.
	Wait time.Duration
}

// SchedulerOptions configures a State.
type SchedulerOptions struct {
	// Wait bounds one watch. A lost answer is noticed after it.
	Wait time.Duration
	// ProbeWait bounds the first watch after a failure: the store may still be
	// silent, and its return must be noticed soon.
	ProbeWait time.Duration
	// MinCoalesce and MaxGather bound the pause between two watches after changes,
	// so that changes in quick succession cost one call. The pause doubles while
	// each watch brings changes at once.
	MinCoalesce time.Duration
	MaxCoalesce time.Duration
	// MinBackoff and MaxBackoff bound the delay after failures, FirstBackoff
	// that until the first listing: nothing is served before.
	MinBackoff        time.Duration
	MaxBackoff        time.Duration
	MaxInitialBackoff time.Duration
	Rand              *rand.Rand
}

// Scheduler decides how a store is followed. It isn't safe for concurrent use.
type Scheduler struct {
	opts     SchedulerOptions
	listed   bool
	ever     bool // listed at least once
	stale    bool
	revision uint64
	failures int // in a row
	losses   int // of the history, without a watch that was answered between
	// bursts counts the watches in a row that brought changes at once.
	bursts int
}

// startBursts makes the first pauses the longest: while a fleet starts, all its
// processes read the store, and targets come one after the other.
const startBursts = 10

// NewScheduler returns a State that begins with a listing.
func NewScheduler(opts SchedulerOptions) *Scheduler {
	return &Scheduler{opts: opts, stale: true, bursts: startBursts}
}

// Begin returns the first step. A listing from a replica is enough: the watch
// that follows brings what the replica lacked.
func (s *Scheduler) Begin() Step { return Step{Op: OpList, Stale: true} }

// Listed takes a complete listing.
func (s *Scheduler) Listed(revision uint64) Step {
	s.listed, s.ever, s.revision, s.failures = true, true, revision, 0
	return s.watch(0)
}

// Watched takes the answer of a watch that took a while.
func (s *Scheduler) Watched(revision uint64, changes int, took time.Duration) Step {
	s.failures, s.losses = 0, 0
	s.stale = true
	s.revision = max(s.revision, revision)
	if changes == 0 {
		s.bursts = 0
		return s.watch(0)
	}
	if took >= s.opts.MaxCoalesce {
		s.bursts = 0
	}
	pause := min(s.opts.MinCoalesce<<min(s.bursts, 10), s.opts.MaxCoalesce)
	s.bursts++
	return s.watch(pause)
}

func (s *Scheduler) watch(delay time.Duration) Step {
	return Step{Op: OpWatch, Delay: delay, After: s.revision, Wait: s.opts.Wait}
}

// Failed takes the failure of the last step.
func (s *Scheduler) Failed(err error) Step {
	if errors.Is(err, ErrCompacted) {
		// Who tells it answers, so that failures before it delay nothing.
		step := Step{Op: OpList, Stale: false}
		s.listed = false
		s.failures = 0
		s.losses++
		if s.losses > 1 {
			step.Delay = s.backoff(s.losses)
		}
		return step
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

// backoff grows with the failures in a row, with half of it left to chance.
func (s *Scheduler) backoff(failures int) time.Duration {
	d := s.opts.MinBackoff << min(failures-1, 10)
	d = min(d, s.opts.MaxBackoff)
	if !s.ever {
		d = min(d, s.opts.MaxInitialBackoff)
	}
	return d/2 + time.Duration(s.opts.Rand.Int64N(int64(d/2)+1))
}
