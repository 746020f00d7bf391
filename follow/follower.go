package follow

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"gopkg.in/tomb.v2"
)

// Options configures a Follower.
type Options struct {
	Source Source
	// Scheduler decides which call to make next.
	Scheduler *Scheduler
	// Catalog receives what is read. The Follower must be its only user.
	Catalog *catalog.State
	Logger  *slog.Logger
	// Feed receives what is read and serves it to peers.
	Feed *Feed
	// Publish is called with each new view, by one goroutine at a time.
	Publish func(*catalog.View)
	// TickInterval is the time between two calls of Catalog.Tick.
	TickInterval time.Duration
}

// Time limits of calls to the source.
const (
	// callSlack is the time allowed for a call on top of the wait of a watch. The
	// store responds within milliseconds, and within a fraction of a second while
	// it is slow.
	callSlack = time.Second
	// listTimeout bounds a listing, which may have many pages.
	listTimeout = 5 * time.Second
	// outageWindow is how long after a failed call an entry that disappears may
	// have expired only because the store was unavailable.
	outageWindow = 4 * time.Second
)

// Follower makes the calls that a Scheduler decides on, one at a time, and applies
// the results to a catalog.State and a Feed.
type Follower struct {
	opts   Options
	tomb   tomb.Tomb
	ctx    context.Context
	cancel context.CancelFunc
	// results carries the result of the one call in progress.
	results chan result
	down    bool // whether the last call failed
	// unconfirmed is the last listing if it may lag and no watch has followed yet.
	unconfirmed *Batch
	calls       atomic.Int64
	// confirmed is when the state was last known to be up to date with the
	// store; nil before the first listing.
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

// Start begins to follow the source in a new goroutine.
func (f *Follower) Start() { f.tomb.Go(f.run) }

// Stop cancels the call in progress and waits until all goroutines have ended.
func (f *Follower) Stop() error {
	f.cancel()
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

// ConfirmedAt returns when the state was last known to be up to date with the
// store. It is zero before the first listing.
func (f *Follower) ConfirmedAt() time.Time {
	if at := f.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Calls returns the number of calls to the source that were started.
func (f *Follower) Calls() int64 { return f.calls.Load() }

func (f *Follower) run() error {
	ticker := time.NewTicker(f.opts.TickInterval)
	defer ticker.Stop()
	f.startStep(f.opts.Scheduler.Begin())
	for {
		select {
		case <-f.tomb.Dying():
			return nil
		case now := <-ticker.C:
			if changes := f.opts.Catalog.Tick(now); len(changes) > 0 {
				f.report(changes, f.unconfirmed == nil)
			}
		case r := <-f.results:
			f.startStep(f.apply(r))
		}
	}
}

// startStep runs a step in its own goroutine, because the step may wait for seconds.
func (f *Follower) startStep(step Step) {
	f.tomb.Go(func() error {
		if step.Delay > 0 {
			select {
			case <-f.tomb.Dying():
				return nil
			case <-time.After(step.Delay):
			}
		}
		f.calls.Add(1)
		started := time.Now()
		batch, err := f.call(step)
		f.results <- result{step: step, batch: batch, err: err, took: time.Since(started)}
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

// apply applies the result of a call and returns the next step.
func (f *Follower) apply(r result) Step {
	now := time.Now()
	if r.err != nil {
		step := f.opts.Scheduler.Failed(r.err)
		if !unusable(r.err) {
			f.opts.Catalog.ExtendGraceUntil(now.Add(outageWindow))
		}
		if !f.down && !needsListing(r.err) {
			f.down = true
			f.opts.Logger.Warn("store unavailable, retrying", "error", r.err, "took", r.took, "retry_in", step.Delay)
		} else {
			f.opts.Logger.Info("store call failed, retrying", "error", r.err, "took", r.took, "retry_in", step.Delay)
		}
		return step
	}
	if f.down {
		f.down = false
		f.opts.Logger.Info("store available again", "revision", r.batch.Revision)
	}
	if r.batch.Stale {
		return f.applyStale(now, r)
	}
	asOf := now.Add(-r.batch.Age)
	f.confirmed.Store(&asOf)
	if r.step.Op == OpList {
		f.unconfirmed = nil
		f.opts.Feed.Listed(asOf, r.batch)
		f.report(f.opts.Catalog.Replace(now, r.batch.Items, catalog.Position{Era: r.batch.Era, Revision: r.batch.Revision}), true)
		f.opts.Catalog.Confirm(asOf)
		f.opts.Logger.Info("store listed", "era", r.batch.Era, "revision", r.batch.Revision, "items", len(r.batch.Items), "took", r.took, "stale", r.step.Stale)
		return f.opts.Scheduler.Listed(r.batch.Revision)
	}
	confirms := f.unconfirmed != nil
	if confirms {
		f.opts.Feed.Listed(asOf, *f.unconfirmed)
		f.unconfirmed = nil
	}
	f.opts.Feed.Changed(asOf, r.batch)
	f.report(f.opts.Catalog.Apply(now, r.batch.Items), confirms || len(r.batch.Items) > 0)
	f.opts.Catalog.Confirm(asOf)
	return f.opts.Scheduler.Watched(r.batch.Revision, len(r.batch.Items), r.took)
}

// applyStale applies a listing that may lag. It is neither published nor served to peers
// before a watch has returned what has changed since: it may list targets that have left.
func (f *Follower) applyStale(now time.Time, r result) Step {
	f.unconfirmed = &r.batch
	f.report(f.opts.Catalog.Replace(now, r.batch.Items, catalog.Position{Era: r.batch.Era, Revision: r.batch.Revision}), false)
	f.opts.Logger.Info("store listed", "era", r.batch.Era, "revision", r.batch.Revision, "items", len(r.batch.Items), "took", r.took, "stale", true)
	return f.opts.Scheduler.ListedStale(r.batch.Revision)
}

// maxLoggedChanges is the number of changes up to which each one is logged. A
// listing or a resharding changes hundreds of targets at once, which are counted
// instead.
const maxLoggedChanges = 12

// report logs changes and, if publish is true, publishes the current view.
func (f *Follower) report(changes []catalog.Change, publish bool) {
	counts := map[string]int{}
	for _, c := range changes {
		if c.Resource == catalog.ResourceTarget && c.Err == nil && len(changes) > maxLoggedChanges {
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
		f.opts.Logger.Info("published targets changed", "outcomes", counts)
	}
	if publish {
		f.opts.Publish(f.opts.Catalog.View())
	}
}
