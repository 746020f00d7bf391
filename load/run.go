package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/goldcrestmux/goldcrestmux/standin"
)

// progressPeriod is how often a progress line is written.
const progressPeriod = time.Second

// actionBatchSize is the number of actions that one call to a ledger looks up.
const actionBatchSize = 1000

// runner runs one plan.
type runner struct {
	plan     Plan
	admins   []*standin.AdminClient
	checker  *checker
	client   *client
	balancer *balancer
	recorder *recorder
	start    time.Time
	tomb     tomb.Tomb
}

// Run runs a plan and returns its report. It writes progress lines to progress. It
// fails if the plan is invalid or a stand-in is unreachable; violated guarantees are
// in the report.
func Run(ctx context.Context, plan Plan, progress io.Writer) (*Report, error) {
	if err := plan.setDefaultsAndValidate(); err != nil {
		return nil, errors.Trace(err)
	}
	r := &runner{plan: plan, client: newClient()}
	if err := r.prepare(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	before, err := r.ledgers(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := r.generate(ctx, progress); err != nil {
		return nil, errors.Trace(err)
	}
	after, err := r.ledgers(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.checkActions(ctx)
	return r.recorder.report(before, after), nil
}

// prepare reads the stand-ins' layouts and creates the checker and the balancer.
func (r *runner) prepare(ctx context.Context) error {
	var layouts []standin.Layout
	for _, address := range r.plan.Standins {
		admin := standin.NewAdminClient(address)
		layout, err := admin.Layout(ctx)
		if err != nil {
			return errors.Trace(err)
		}
		r.admins = append(r.admins, admin)
		layouts = append(layouts, layout)
	}
	r.checker = newChecker(layouts)
	for _, s := range r.plan.Streams {
		if _, err := r.checker.search(s.Search); err != nil {
			return errors.Trace(err)
		}
	}
	r.balancer = newBalancer(r.plan.Gateways)
	return nil
}

// generate sends all requests and waits for their outcomes.
func (r *runner) generate(ctx context.Context, progress io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.balancer.refresh(ctx, r.client)
	r.start = time.Now()
	r.recorder = newRecorder(&r.plan, r.checker, r.start)
	runID := fmt.Sprintf("%x", r.start.UnixNano())

	var background tomb.Tomb
	background.Go(func() error {
		background.Go(func() error { return r.pollReadiness(ctx) })
		background.Go(func() error { return r.writeProgress(ctx, progress) })
		background.Go(func() error { return r.applyEvents(ctx) })
		return nil
	})
	r.tomb.Go(func() error {
		for i := range r.plan.Streams {
			r.tomb.Go(func() error { return r.sendStream(ctx, i, runID) })
		}
		return nil
	})
	err := r.tomb.Wait()
	cancel()
	return firstError(err, background.Wait())
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// sendStream sends each request of one stream when it is due.
func (r *runner) sendStream(ctx context.Context, index int, runID string) error {
	s := &r.plan.Streams[index]
	search, err := r.checker.search(s.Search)
	if err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(index)))
	requests := newSchedule(s, fmt.Sprintf("%s-%d", runID, index), search.layout.Kind, search.records, rng)
	inProgress := make(chan struct{}, s.MaxInProgress)
	for {
		request, ok := requests.next()
		if !ok || !sleepUntil(ctx, r.start.Add(request.At)) {
			return nil
		}
		select {
		case inProgress <- struct{}{}:
		default:
			r.recorder.drop(request)
			continue
		}
		r.tomb.Go(func() error {
			defer func() { <-inProgress }()
			r.sendRequest(ctx, request)
			return nil
		})
	}
}

// sendRequest sends a request with the network delay between clients and gateways,
// and records its outcome.
func (r *runner) sendRequest(ctx context.Context, request Request) {
	due := r.start.Add(request.At)
	lag := time.Since(due)
	delay := r.plan.ClientDelay.Std()
	sleepUntil(ctx, time.Now().Add(delay))
	outcome := r.client.send(ctx, r.balancer.pick(), request)
	sleepUntil(ctx, time.Now().Add(delay))
	outcome.Lag = lag
	outcome.Latency = time.Since(due)
	r.recorder.record(outcome)
}

// pollReadiness probes the gateways' readiness periodically until ctx is done.
func (r *runner) pollReadiness(ctx context.Context) error {
	ticker := time.NewTicker(r.plan.ReadyPeriod.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.balancer.refresh(ctx, r.client)
		case <-ctx.Done():
			return nil
		}
	}
}

// writeProgress writes progress lines periodically until ctx is done.
func (r *runner) writeProgress(ctx context.Context, progress io.Writer) error {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			fmt.Fprintln(progress, r.recorder.progress(time.Since(r.start)))
		case <-ctx.Done():
			return nil
		}
	}
}

// applyEvents applies the plan's events to the stand-ins when they are due.
func (r *runner) applyEvents(ctx context.Context) error {
	for _, e := range r.plan.Events {
		if !sleepUntil(ctx, r.start.Add(e.At.Std())) {
			return nil
		}
		for _, admin := range r.admins {
			if err := e.apply(ctx, admin); err != nil {
				r.recorder.addFailedEvent(e, err)
			}
		}
	}
	return nil
}

func (e *Event) apply(ctx context.Context, admin *standin.AdminClient) error {
	var errs []error
	if e.Targets != nil {
		_, err := admin.ChangeTargets(ctx, *e.Targets)
		errs = append(errs, err)
	}
	if e.Folder != nil {
		_, err := admin.ChangeFolder(ctx, *e.Folder)
		errs = append(errs, err)
	}
	if e.Config != nil {
		errs = append(errs, admin.SetConfigFault(ctx, *e.Config))
	}
	if e.Cables != nil {
		errs = append(errs, admin.SetCables(ctx, *e.Cables))
	}
	return firstError(errs...)
}

// ledgers returns the ledgers of all stand-ins.
func (r *runner) ledgers(ctx context.Context) ([]standin.Summary, error) {
	var out []standin.Summary
	for _, admin := range r.admins {
		summary, err := admin.Ledger(ctx, time.Time{})
		if err != nil {
			return nil, errors.Trace(err)
		}
		out = append(out, summary)
	}
	return out, nil
}

// checkActions compares the reported outcome of each action with the ledgers.
func (r *runner) checkActions(ctx context.Context) {
	reported := r.recorder.actions()
	for len(reported) > 0 {
		batch := reported[:min(actionBatchSize, len(reported))]
		reported = reported[len(batch):]
		ids := make([]string, len(batch))
		for i, a := range batch {
			ids[i] = a.id
		}
		runs := make([]int, len(batch))
		for _, admin := range r.admins {
			counts, err := admin.ActionRuns(ctx, ids)
			if err != nil || len(counts) != len(batch) {
				r.recorder.addFault(&Fault{Kind: FaultUnverified, Detail: fmt.Sprintf("%d actions: %v", len(batch), err)})
				return
			}
			for i := range counts {
				runs[i] += counts[i].Runs
			}
		}
		for i, a := range batch {
			r.recorder.addFault(checkExecutions(a.id, a.runStatus, runs[i]))
		}
	}
}

// sleepUntil waits until t. It returns false if ctx is done before that.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// balancer distributes requests round-robin over the ready gateways. It is safe for
// concurrent use.
type balancer struct {
	gateways []string

	mu    sync.Mutex
	ready []string
	next  int
}

func newBalancer(gateways []string) *balancer { return &balancer{gateways: gateways, ready: gateways} }

// refresh probes the readiness of every gateway. If none is ready, all are used.
func (b *balancer) refresh(ctx context.Context, c *client) {
	ctx, cancel := context.WithTimeout(ctx, DefaultReadyPeriod)
	defer cancel()
	isReady := make([]bool, len(b.gateways))
	var group sync.WaitGroup
	for i, gateway := range b.gateways {
		group.Go(func() { isReady[i] = c.ready(ctx, gateway) })
	}
	group.Wait()
	var ready []string
	for i, ok := range isReady {
		if ok {
			ready = append(ready, b.gateways[i])
		}
	}
	if len(ready) == 0 {
		ready = b.gateways
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.ready[b.next%len(b.ready)]
}
