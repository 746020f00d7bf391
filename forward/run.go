package forward

import (
	"cmp"
	"context"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/plan"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// run is one request in progress.
type run struct {
	engine        *Engine
	req           *Request
	services      []string
	plan          *plan.Plan
	profile       balance.Profile
	routeStats    *routeStats
	results       chan *upstream.Result
	attempts      []*upstream.Attempt
	tried         [][]string  // target ids by shard
	firstSentAt   []time.Time // when the first attempt at each shard was made
	responses     []upstream.Result
	lastFailure   upstream.Result // the last failure that a target answered
	denied        int             // attempts that the budget did not allow
	extraAttempts int
	failures      map[upstream.Outcome]int
}

// Do serves a request. The context ends when the caller leaves.
func (e *Engine) Do(ctx context.Context, req *Request) Response {
	r := e.newRun(req)
	now := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		r.sendDue(now)
		verdict := r.plan.Decide(now)
		if verdict != plan.Wait {
			r.observePending(now)
			r.abandonAttempts(r.linger(now))
			return r.respond(now, verdict)
		}
		timer.Reset(r.plan.WakeAt(now).Sub(now))
		select {
		case res := <-r.results:
			r.handleResult(res)
		case <-timer.C:
		case <-ctx.Done():
			r.abandonAttempts(disconnectLinger)
			return r.callerDisconnected(time.Now())
		}
		r.drainResults()
		now = time.Now()
	}
}

// linger returns how long attempts that have lost may go on so that their
// connections can be kept. The parts of a sharded request are short; a single
// request would keep its target busy for nothing.
func (r *run) linger(now time.Time) time.Duration {
	if r.req.Route.Sharded() {
		return r.req.Call.Deadline.Sub(now)
	}
	return 0
}

// drainResults takes all results that are there.
func (r *run) drainResults() {
	for {
		select {
		case res := <-r.results:
			r.handleResult(res)
		default:
			return
		}
	}
}

// latencyObjective returns the aim of a route, or the default where it has none.
func latencyObjective(route *catalog.Route) time.Duration {
	return cmp.Or(route.LatencyObjective, defaultLatencyObjective)
}

func (e *Engine) newRun(req *Request) *run {
	route := req.Route
	r := &run{engine: e, req: req, services: route.Shards, failures: map[upstream.Outcome]int{}}
	if !route.Sharded() {
		r.services = []string{route.Pick(req.Call.ID)}
	}
	aim := latencyObjective(route)
	attempts := max(cmp.Or(route.MaxAttempts, defaultMaxAttempts), 1)
	now := time.Now()
	hedgeAfter := e.recordRequest(now, route, r)
	if route.Timeout > 0 {
		if at := req.ReceivedAt.Add(route.Timeout); at.Before(req.Call.Deadline) {
			req.Call.Deadline = at
		}
	}
	parts := time.Duration(len(r.services)) * shardMargin
	margin := responseMargin
	if req.NewConnection {
		margin += connectMargin
	}
	opts := plan.Options{
		Shards: len(r.services), MaxTargets: attempts, Idempotent: route.Idempotent || route.Sharded(),
		MinFraction:   1,
		PartialAt:     req.ReceivedAt.Add(aim - margin - parts),
		OnTimeUntil:   req.ReceivedAt.Add(aim - minResponseMargin - parts),
		LatePartialAt: req.ReceivedAt.Add(lateFactor * aim),
		SendBy:        req.ReceivedAt.Add(time.Duration(maxUnsentFraction * float64(aim))),
		Deadline:      req.Call.Deadline.Add(-deadlineMargin), HedgeAfter: min(hedgeAfter, time.Duration(maxHedgeDelayFraction*float64(aim))),
	}
	if route.Sharded() {
		opts.MinFraction = route.MinShardFraction
		opts.HedgeAfter = capHedgeDelay(opts.HedgeAfter, opts.PartialAt.Sub(req.ReceivedAt), r.profile.Expected)
	}
	r.profile.RemotePenalty = time.Duration(remotePenaltyFraction * float64(aim))
	r.profile.OverdueAfter = opts.HedgeAfter
	e.opts.Pool.Prepare(req.Call)
	r.plan = plan.New(now, opts)
	r.results = make(chan *upstream.Result, len(r.services)*(attempts+plan.AttemptHeadroom))
	r.tried = make([][]string, len(r.services))
	r.firstSentAt = make([]time.Time, len(r.services))
	r.responses = make([]upstream.Result, len(r.services))
	return r
}

// capHedgeDelay returns the hedge delay of a sharded request, cut so that a hedge
// can still be answered within the time that the request has.
func capHedgeDelay(delay, within, usual time.Duration) time.Duration {
	latest := within - time.Duration(hedgeDurationFactor*float64(usual))
	return min(delay, max(latest, time.Duration(minHedgeDelayFactor*float64(usual))))
}

// recordRequest looks up what is known of the route's attempts and counts the request
// for the budget of each service.
func (e *Engine) recordRequest(now time.Time, route *catalog.Route, r *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.routes[route.Name]
	if k == nil {
		opts := e.opts.Hedge
		if !route.Sharded() {
			opts = e.opts.SingleHedge
			opts.InitialDelay = time.Duration(maxHedgeDelayFraction * float64(latencyObjective(route)))
		}
		k = &routeStats{latency: hedge.New(opts)}
		e.routes[route.Name] = k
	}
	k.usedAt = now
	r.routeStats = k
	r.profile.Expected = cmp.Or(k.latency.Quantile(now, 0.5), e.opts.Hedge.InitialDelay/2)
	delay, _ := k.latency.Delay(now)
	for _, service := range r.services {
		e.window(now, service).AddFirst(now)
	}
	return delay
}

// sendDue makes the attempts that are due.
func (r *run) sendDue(now time.Time) {
	for {
		i, extra, ok := r.plan.Due(now)
		if !ok {
			return
		}
		if extra && !r.extraAllowed(now, i) {
			r.denied++
			r.plan.Denied(now, i)
			continue
		}
		a := r.engine.opts.Pool.Start(r.req.Call, i, upstream.AttemptOptions{
			Service: r.services[i], Profile: r.profile, Tried: r.tried[i], AllowNewTarget: r.plan.AllowsNewTarget(i),
			Deadline: r.attemptDeadline(now),
		}, r.results)
		if a == nil {
			r.plan.Unavailable(now, i)
			continue
		}
		if extra {
			r.extraAttempts++
			r.countExtra(now, i)
		}
		if len(r.tried[i]) == 0 {
			r.firstSentAt[i] = now
		}
		r.tried[i] = append(r.tried[i], a.Target.ID)
		r.attempts = append(r.attempts, a)
		r.plan.Sent(now, i)
	}
}

// attemptDeadline returns when the answer to an attempt is of no use any more: a
// sharded request is answered without it, so targets need not work on it.
func (r *run) attemptDeadline(now time.Time) time.Time {
	late := r.req.ReceivedAt.Add(lateFactor * latencyObjective(r.req.Route))
	if r.req.Route.Sharded() && now.Before(late) && late.Before(r.req.Call.Deadline) {
		return late
	}
	return r.req.Call.Deadline
}

func (r *run) extraAllowed(now time.Time, i int) bool {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.window(now, r.services[i])
	w.SetSlack(e.slackShare(now))
	return w.AllowsExtra(now)
}

func (r *run) countExtra(now time.Time, i int) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	e.window(now, r.services[i]).TryExtra(now)
}

// handleResult takes the end of an attempt.
func (r *run) handleResult(res *upstream.Result) {
	i := res.Attempt.Shard
	if res.Outcome != upstream.Responded {
		r.failures[res.Outcome]++
	}
	switch {
	case res.Outcome == upstream.Responded && r.usable(res):
		if r.plan.Responded(res.EndedAt, i) {
			r.responses[i] = *res
			r.observeLatency(res.EndedAt, i)
		}
	case res.Outcome == upstream.Responded:
		r.lastFailure = *res
		r.plan.Failed(res.EndedAt, i)
	case res.Outcome == upstream.Broken:
		r.plan.Failed(res.EndedAt, i)
	case res.Outcome == upstream.NotSent:
		r.plan.NotSent(res.EndedAt, i)
	default:
		if res.Outcome == upstream.Refused {
			r.lastFailure = *res
		}
		r.plan.Refused(res.EndedAt, i)
	}
}

// usable reports whether an answer ends its shard. A failure of a target is no
// part, and is tried again elsewhere if the request may run more than once.
func (r *run) usable(res *upstream.Result) bool {
	if res.Status >= 200 && res.Status < 300 {
		return res.Signature != ""
	}
	return !r.req.Route.Sharded() && res.Status < 500
}

// observeLatency records how long the first attempt at a shard took, or that it took
// at least until now: a sample of only those that were not overtaken by another
// attempt would make the delay of hedges shrink.
func (r *run) observeLatency(now time.Time, i int) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	r.routeStats.latency.Observe(now, now.Sub(r.firstSentAt[i]))
}

// observePending records the attempts that have not been answered.
func (r *run) observePending(now time.Time) {
	for i := range r.services {
		if r.plan.Missing(i) && !r.firstSentAt[i].IsZero() {
			r.observeLatency(now, i)
		}
	}
}

// abandonAttempts gives up the attempts that are still in progress.
func (r *run) abandonAttempts(linger time.Duration) {
	for _, a := range r.attempts {
		r.engine.opts.Pool.Abandon(a, linger)
	}
}
