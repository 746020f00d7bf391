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

// progressPeriod is how often progress is written.
const progressPeriod = time.Second

// actionBatch is the number of actions asked for in one call to a ledger.
const actionBatch = 1000

// runner carries out one plan.
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

// Run carries out a plan and returns its report. Progress goes to the given
// writer. It fails if the plan is invalid or the stand-ins can't be reached;
// broken promises are in the report.
func Run(ctx context.Context, plan Plan, progress io.Writer) (*Report, error) {
	if err := plan.complete(); err != nil {
		return nil, errors.Trace(err)
	}
	r := &runner{plan: plan, client: newClient()}
	if err := r.connect(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	before, err := r.ledgers(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := r.drive(ctx, progress); err != nil {
		return nil, errors.Trace(err)
	}
	after, err := r.ledgers(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.checkActions(ctx)
	return r.recorder.report(before, after), nil
}

// connect reads the layouts and prepares the checks.
func (r *runner) connect(ctx context.Context) error {
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

// drive sends all requests and waits for their outcomes.
func (r *runner) drive(ctx context.Context, progress io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.balancer.refresh(ctx, r.client)
	r.start = time.Now()
	r.recorder = newRecorder(&r.plan, r.checker, r.start)
	run := fmt.Sprintf("%x", r.start.UnixNano())

	var background tomb.Tomb
	background.Go(func() error {
		background.Go(func() error { return r.balance(ctx) })
		background.Go(func() error { return r.report(ctx, progress) })
		background.Go(func() error { return r.makeEvents(ctx) })
		return nil
	})
	r.tomb.Go(func() error {
		for i := range r.plan.Streams {
			r.tomb.Go(func() error { return r.stream(ctx, i, run) })
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

// stream sends the requests of one stream when they are due.
func (r *runner) stream(ctx context.Context, index int, run string) error {
	s := &r.plan.Streams[index]
	search, err := r.checker.search(s.Search)
	if err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(index)))
	requests := newSchedule(s, fmt.Sprintf("%s-%d", run, index), search.layout.Kind, search.records, rng)
	free := make(chan struct{}, s.InFlight)
	for {
		request, ok := requests.next()
		if !ok || !sleepUntil(ctx, r.start.Add(request.At)) {
			return nil
		}
		select {
		case free <- struct{}{}:
		default:
			r.recorder.drop(request)
			continue
		}
		r.tomb.Go(func() error {
			defer func() { <-free }()
			r.request(ctx, request)
			return nil
		})
	}
}

func (r *runner) request(ctx context.Context, request Request) {
	due := r.start.Add(request.At)
	lag := time.Since(due)
	distance := r.plan.ClientDistance.Std()
	sleepUntil(ctx, time.Now().Add(distance))
	outcome := r.client.send(ctx, r.balancer.pick(), request)
	sleepUntil(ctx, time.Now().Add(distance))
	outcome.Lag = lag
	outcome.Latency = time.Since(due)
	r.recorder.record(outcome)
}

// balance follows the gateways' readiness.
func (r *runner) balance(ctx context.Context) error {
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

func (r *runner) report(ctx context.Context, progress io.Writer) error {
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

// makeEvents changes the stand-ins at the plan's times.
func (r *runner) makeEvents(ctx context.Context) error {
	for _, e := range r.plan.Events {
		if !sleepUntil(ctx, r.start.Add(e.At.Std())) {
			return nil
		}
		for _, admin := range r.admins {
			if err := e.apply(ctx, admin); err != nil {
				r.recorder.eventFailed(e, err)
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

// checkActions compares what was told of each action with the ledgers.
func (r *runner) checkActions(ctx context.Context) {
	said := r.recorder.actions()
	for len(said) > 0 {
		batch := said[:min(actionBatch, len(said))]
		said = said[len(batch):]
		ids := make([]string, len(batch))
		for i, a := range batch {
			ids[i] = a.id
		}
		runs := make([]int, len(batch))
		for _, admin := range r.admins {
			counts, err := admin.ActionRuns(ctx, ids)
			if err != nil || len(counts) != len(batch) {
				r.recorder.fault(&Fault{Kind: FaultUnchecked, Detail: fmt.Sprintf("%d actions: %v", len(batch), err)})
				return
			}
			for i := range counts {
				runs[i] += counts[i].Runs
			}
		}
		for i, a := range batch {
			r.recorder.fault(checkRuns(a.id, a.run, runs[i]))
		}
	}
}

// sleepUntil waits for the time. It reports false if ctx was done before.
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

// balancer spreads requests over the gateways that are ready, in turn. It is
// safe for concurrent use.
type balancer struct {
	gateways []string

	mu    sync.Mutex
	ready []string
	next  int
}

func newBalancer(gateways []string) *balancer { return &balancer{gateways: gateways, ready: gateways} }

// refresh asks every gateway whether it is ready. If none is, all are used.
func (b *balancer) refresh(ctx context.Context, c *client) {
	ctx, cancel := context.WithTimeout(ctx, DefaultReadyPeriod)
	defer cancel()
	answers := make([]bool, len(b.gateways))
	var group sync.WaitGroup
	for i, gateway := range b.gateways {
		group.Go(func() { answers[i] = c.ready(ctx, gateway) })
	}
	group.Wait()
	var ready []string
	for i, ok := range answers {
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
