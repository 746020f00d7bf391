package follow

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

// Options configures a Follower.
type Options struct {
	Source Source
	// Scheduler decides how the store is followed.
	Scheduler *Scheduler
	// Catalog is fed with what is read. The follower is its only user.
	Catalog *catalog.State
	Logger  *slog.Logger
	// Replica is told what is read, for peers.
	Replica *Replica
	// Publish is told each new picture, by one goroutine at a time.
	Publish func(*catalog.View)
	// TickInterval is how often the catalog lets time take effect.
	TickInterval time.Duration
}

// Bounds of calls.
const (
	// callSlack is how long a call may take beyond the time that a watch waits:
	// the store answers within milliseconds, and within parts of a second while
	// it is slow.
	callSlack = time.Second
	// listTimeout bounds a listing of many pages.
	listTimeout = 5 * time.Second
	// unsteadySpan is how long after a failed call entries may be missing that
	// lapsed while the store was away.
	unsteadySpan = 4 * time.Second
)

// Follower drives a State.
type Follower struct {
	opts   Options
	tomb   tomb.Tomb
	ctx    context.Context
	cancel context.CancelFunc
	// results carries the answers of the one call in progress.
	results chan result
	down    bool
	calls   atomic.Int64
	// confirmed is when the store last told all that it knew; nil before.
	confirmed atomic.Pointer[time.Time]
}

type result struct {
	step  Step
	batch Batch
	err   error
	took  time.Duration
}

// New returns a Follower that is not started.
func New(opts Options) *Follower {
	f := &Follower{opts: opts, results: make(chan result, 1)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// Start begins to follow.
func (f *Follower) Start() { f.tomb.Go(f.run) }

// Stop ends all calls and waits.
func (f *Follower) Stop() error {
	f.cancel()
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

// ConfirmedAt returns when the store last told all that it knew; zero before.
func (f *Follower) ConfirmedAt() time.Time {
	if at := f.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Calls returns the number of calls that were begun.
func (f *Follower) Calls() int64 { return f.calls.Load() }

func (f *Follower) run() error {
	ticker := time.NewTicker(f.opts.TickInterval)
	defer ticker.Stop()
	f.begin(f.opts.Scheduler.Begin())
	for {
		select {
		case <-f.tomb.Dying():
			return nil
		case now := <-ticker.C:
			if changes := f.opts.Catalog.Tick(now); len(changes) > 0 {
				f.note(changes, true)
			}
		case r := <-f.results:
			f.begin(f.take(r))
		}
	}
}

// begin starts a step in a goroutine of its own, since it may wait for long.
func (f *Follower) begin(step Step) {
	f.tomb.Go(func() error {
		if step.Delay > 0 {
			select {
			case <-f.tomb.Dying():
				return nil
			case <-time.After(step.Delay):
			}
		}
		f.calls.Add(1)
		begun := time.Now()
		batch, err := f.call(step)
		f.results <- result{step: step, batch: batch, err: err, took: time.Since(begun)}
		return nil
	})
}

func (f *Follower) call(step Step) (Batch, error) {
	timeout := step.Wait + callSlack
	if step.Op == OpList {
		timeout = listTimeout
	}
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	if step.Op == OpList {
		return f.opts.Source.List(ctx, step.Stale)
	}
	return f.opts.Source.Watch(ctx, step.After, step.Wait)
}

// take applies an answer and returns the next step.
func (f *Follower) take(r result) Step {
	now := time.Now()
	if r.err != nil {
		step := f.opts.Scheduler.Failed(r.err)
		f.opts.Catalog.ExtendGraceUntil(now.Add(unsteadySpan))
		if !f.down && !errors.Is(r.err, ErrCompacted) {
			f.down = true
			f.opts.Logger.Warn("lost the store", "error", r.err, "took", r.took, "retry_in", step.Delay)
		} else {
			f.opts.Logger.Info("store call failed", "error", r.err, "took", r.took, "retry_in", step.Delay)
		}
		return step
	}
	if f.down {
		f.down = false
		f.opts.Logger.Info("regained the store", "revision", r.batch.Revision)
	}
	asOf := now.Add(-r.batch.Age)
	f.confirmed.Store(&asOf)
	if r.step.Op == OpList {
		f.opts.Replica.Listed(asOf, r.batch)
		f.note(f.opts.Catalog.Replace(now, r.batch.Items, r.batch.Revision), true)
		f.opts.Logger.Info("listed the store", "revision", r.batch.Revision, "items", len(r.batch.Items), "took", r.took, "stale", r.step.Stale)
		return f.opts.Scheduler.Listed(r.batch.Revision)
	}
	f.opts.Replica.Changed(asOf, r.batch)
	f.note(f.opts.Catalog.Apply(now, r.batch.Items), len(r.batch.Items) > 0)
	return f.opts.Scheduler.Watched(r.batch.Revision, len(r.batch.Items), r.took)
}

// maxTold is the number of changes up to which each is logged. A listing or a
// resharding changes hundreds of targets at once; those are counted.
const maxTold = 12

// note logs changes and publishes the new picture if there may be one.
func (f *Follower) note(changes []catalog.Change, publish bool) {
	counts := map[string]int{}
	for _, c := range changes {
		if c.Resource == catalog.ResourceTarget && c.Err == nil && len(changes) > maxTold {
			counts[c.Outcome]++
			continue
		}
		attrs := []any{"what", c.Resource, "outcome", c.Outcome, "revision", c.Revision}
		if c.Name != "" {
			attrs = append(attrs, "name", c.Name)
		}
		if c.Version != 0 {
			attrs = append(attrs, "version", c.Version)
		}
		if c.Err != nil {
			attrs = append(attrs, "error", c.Err.Error())
		}
		f.opts.Logger.Info("published state changed", attrs...)
	}
	if len(counts) > 0 {
		f.opts.Logger.Info("many targets changed", "outcomes", counts)
	}
	if publish {
		f.opts.Publish(f.opts.Catalog.View())
	}
}
