package forward

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/budget"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/plan"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// activeRequest is the state of one request in progress. The slices services,
// tried, firstSentAt and responses are indexed by shard; a request to one service
// has one shard.
type activeRequest struct {
	engine        *Engine
	req           *Request
	admitted      admittedRequest
	services      []string
	plan          *plan.Plan
	profile       balance.Profile
	routeStats    *routeStats
	results       chan *upstream.Result
	attempts      []*upstream.Attempt
	tried         [][]string  // IDs of the targets of all attempts
	firstSentAt   []time.Time // when the first attempt was sent
	responses     []upstream.Result
	lastFailure   upstream.Result // the last refusal or failure that a target sent
	denied        int             // extra attempts denied by the retry budget
	inProgress    int             // attempts without a result
	quarantined   int             // shards that no attempt may be sent to, as the request crashes targets
	extraAttempts int
	maxTargets    int // of each shard
	sendBy        time.Time
	failures      map[upstream.Outcome]int
	// refusedShards is the number of shards of which a target has refused an attempt, and
	// refusedOnce marks them; nil if there are none.
	refusedShards int
	refusedOnce   []bool
	// stopped is true if the request ends because the process does.
	stopped bool
}

// Do serves a request. ctx must be canceled when the caller disconnects.
func (e *Engine) Do(ctx context.Context, req *Request) Response {
	if resp, refused := e.Refuse(req); refused {
		return resp
	}
	if e.ending() {
		return RefuseStopping()
	}
	admitted, resp, ok := e.admit(ctx, req)
	if !ok {
		return resp
	}
	r := e.newActiveRequest(req, admitted)
	resp = r.run(ctx)
	r.ended(&resp)
	return resp
}

// ending reports whether the process is about to end.
func (e *Engine) ending() bool {
	select {
	case <-e.opts.Ending:
		return true
	default:
		return false
	}
}

// run sends the request to targets and returns the response.
func (r *activeRequest) run(ctx context.Context) Response {
	e := r.engine
	now := time.Now()
	if wait, reason := r.unservable(now); reason != "" {
		return r.refuse(now, wait, reason)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	lost, ending := e.opts.Pool.PathLost(), e.opts.Ending
	for {
		r.sendDue(now)
		decision := r.plan.Decide(now)
		if decision != plan.Wait {
			r.observePending(now)
			r.abandonAttempts(r.linger(now, decision))
			return r.respond(now, decision)
		}
		timer.Reset(r.plan.WakeAt(now).Sub(now))
		select {
		case res := <-r.results:
			r.handleResult(res)
		case <-timer.C:
		case <-lost:
			lost = nil
			if resp, ended := r.pathLost(time.Now()); ended {
				return resp
			}
		case <-ending:
			ending = nil
			r.stop(time.Now())
		case <-ctx.Done():
			r.abandonAttempts(disconnectLinger)
			return r.callerDisconnected(time.Now())
		}
		r.drainResults()
		now = time.Now()
	}
}

// stop makes the request end with the results so far.
func (r *activeRequest) stop(now time.Time) {
	r.stopped = true
	for _, a := range r.attempts {
		if r.engine.opts.Pool.Recall(a) {
			r.inProgress--
			r.plan.Recalled(a.Shard, a.Target.ID)
		}
	}
	r.drainResults()
	r.plan.End(now)
}

// linger returns how long attempts whose responses are no longer needed may
// continue so that their connections can be reused. Attempts at shards are
// short; an attempt of an unsharded request would keep its target busy to no
// purpose. If targets may be overloaded, nor may those of a request that has failed.
func (r *activeRequest) linger(now time.Time, decision plan.Decision) time.Duration {
	if decision == plan.Failed && r.admitted.group != nil {
		return 0
	}
	if r.req.Route.Sharded() {
		return r.req.Call.Deadline.Sub(now)
	}
	return 0
}

// drainResults handles all results that are available without blocking.
func (r *activeRequest) drainResults() {
	for {
		select {
		case res := <-r.results:
			r.handleResult(res)
		default:
			return
		}
	}
}

// LatencyObjective returns the latency objective of a route, or the default if
// it has none.
func LatencyObjective(route *catalog.Route) time.Duration {
	return cmp.Or(route.LatencyObjective, defaultLatencyObjective)
}

// newActiveRequest returns the state of a new request. It shortens the deadline of
// the request to the timeout of its route.
func (e *Engine) newActiveRequest(req *Request, admitted admittedRequest) *activeRequest {
	route := req.Route
	r := &activeRequest{engine: e, req: req, admitted: admitted, services: req.Services(), failures: map[upstream.Outcome]int{}}
	objective := LatencyObjective(route)
	maxAttempts := min(max(cmp.Or(route.MaxAttempts, defaultMaxAttempts), 1), maxTargets)
	if req.MaxTargets > 0 {
		maxAttempts = min(maxAttempts, req.MaxTargets)
	}
	r.maxTargets = maxAttempts
	now := time.Now()
	hedgeAfter := e.recordRequest(now, route, r)
	if route.Timeout > 0 {
		if at := req.ReceivedAt.Add(route.Timeout); at.Before(req.Call.Deadline) {
			req.Call.Deadline = at
		}
	}
	r.sendBy = req.SendBy()
	latePartialAt := req.ReceivedAt.Add(lateFactor * objective)
	if req.Counted { // the time that another process took for it does not count
		r.sendBy = r.sendBy.Add(now.Sub(req.ReceivedAt))
		latePartialAt = latePartialAt.Add(now.Sub(req.ReceivedAt))
	}
	shardMargins := time.Duration(len(r.services)) * shardMargin
	margin := responseMargin + req.HopMargin
	if req.NewConnection {
		margin += connectMargin
	}
	opts := plan.Options{
		Shards: len(r.services), MaxTargets: maxAttempts, Idempotent: route.Idempotent || route.Sharded(),
		MinFraction:   1,
		PartialAt:     req.ReceivedAt.Add(objective - margin - shardMargins),
		OnTimeUntil:   req.ReceivedAt.Add(objective - minResponseMargin - req.HopMargin - shardMargins),
		LatePartialAt: latePartialAt,
		SendBy:        r.sendBy,
		Deadline:      req.Call.Deadline.Add(-deadlineMargin), HedgeAfter: min(hedgeAfter, time.Duration(maxHedgeDelayFraction*float64(objective))),
	}
	if route.Sharded() {
		opts.MinFraction = route.MinShardFraction
		opts.HedgeAfter = capHedgeDelay(opts.HedgeAfter, opts.PartialAt.Sub(req.ReceivedAt), r.profile.Expected)
	}
	r.profile.RemotePenalty = time.Duration(remotePenaltyFraction * float64(objective))
	r.profile.OverdueAfter = opts.HedgeAfter
	if !admitted.hedges(req.Priority()) {
		opts.HedgeAfter = 0
	}
	req.Call.Sharded = route.Sharded()
	e.opts.Pool.Prepare(req.Call)
	r.plan = plan.New(now, opts)
	r.results = make(chan *upstream.Result, len(r.services)*(maxAttempts+plan.AttemptHeadroom))
	r.tried = make([][]string, len(r.services))
	r.firstSentAt = make([]time.Time, len(r.services))
	r.responses = make([]upstream.Result, len(r.services))
	return r
}

// capHedgeDelay returns the hedge delay of a sharded request, reduced so that
// the response to a hedge can still arrive within available. Expected is the
// usual duration of an attempt.
func capHedgeDelay(delay, available, expected time.Duration) time.Duration {
	latest := available - time.Duration(hedgeDurationFactor*float64(expected))
	return min(delay, max(latest, time.Duration(minHedgeDelayFactor*float64(expected))))
}

// recordRequest sets the statistics of the route and the expected duration of
// an attempt on r, counts a first attempt in the retry budget of each service,
// and returns the hedge delay.
func (e *Engine) recordRequest(now time.Time, route *catalog.Route, r *activeRequest) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if route.Sharded() {
		e.sharded++
	} else {
		e.single++
	}
	stats := e.routes[route.Name]
	if stats == nil {
		opts := e.opts.Hedge
		if !route.Sharded() {
			opts = e.opts.SingleHedge
			opts.InitialDelay = time.Duration(maxHedgeDelayFraction * float64(LatencyObjective(route)))
		}
		stats = &routeStats{latency: hedge.New(opts)}
		e.routes[route.Name] = stats
	}
	stats.usedAt = now
	r.routeStats = stats
	r.profile.Expected = cmp.Or(stats.latency.Quantile(now, 0.5), e.opts.Hedge.InitialDelay/2)
	delay, _ := stats.latency.Delay(now)
	if !r.req.Counted {
		for _, service := range r.services {
			e.serviceBudget(now, service).AddFirst(now)
		}
	}
	return delay
}

// sendDue sends the attempts that are due.
func (r *activeRequest) sendDue(now time.Time) {
	for {
		i, extra, ok := r.plan.Due(now)
		if !ok {
			return
		}
		switch r.check(now, i) {
		case quarantine.Wait:
			r.plan.Hold(i, now.Add(quarantineRecheck))
			continue
		case quarantine.Refuse:
			r.quarantined++
			r.plan.GiveUp(i)
			continue
		}
		extra = extra || r.req.Repeat
		var taken budget.Taken
		if extra {
			if taken, ok = r.takeExtra(now, i); !ok {
				r.denied++
				r.plan.Denied(now, i)
				continue
			}
		}
		a, availableAt := r.engine.opts.Pool.Start(r.req.Call, i, upstream.AttemptOptions{
			Service: r.services[i], Profile: r.profile, Tried: r.tried[i], Only: r.plan.OnlyTargets(i),
			Deadline: r.attemptDeadline(now), Extra: extra,
		}, r.results)
		if a == nil {
			if extra {
				r.returnExtra(now, i, taken)
			}
			r.plan.UnavailableUntil(now, i, availableAt)
			continue
		}
		if extra {
			r.extraAttempts++
		}
		if len(r.tried[i]) == 0 {
			r.firstSentAt[i] = now
		}
		r.tried[i] = append(r.tried[i], a.Target.ID)
		r.attempts = append(r.attempts, a)
		r.inProgress++
		r.plan.Sent(now, i, a.Target.ID)
	}
}

// check returns what to do with an attempt at shard i, as the request may crash targets.
func (r *activeRequest) check(now time.Time, i int) quarantine.Verdict {
	guard := r.engine.opts.Pool.Guard()
	if !guard.Watching() {
		return quarantine.Send // the usual case, which costs no allocation
	}
	return guard.Check(now, r.req.Call.Quarantine(r.services[i]), r.inProgress)
}

// attemptDeadline returns when the response to an attempt is no longer useful.
// After that a sharded request is completed without the shard, so the target
// need not continue to work on it.
func (r *activeRequest) attemptDeadline(now time.Time) time.Time {
	late := r.req.ReceivedAt.Add(lateFactor * LatencyObjective(r.req.Route))
	if r.req.Route.Sharded() && now.Before(late) && late.Before(r.req.Call.Deadline) {
		return late
	}
	return r.req.Call.Deadline
}

// handleResult records the result of an attempt.
func (r *activeRequest) handleResult(res *upstream.Result) {
	i, target := res.Attempt.Shard, res.Attempt.Target.ID
	r.inProgress--
	if res.Outcome != upstream.Responded {
		r.failures[res.Outcome]++
	}
	switch {
	case res.Outcome == upstream.Responded && r.usable(res):
		if r.plan.Responded(res.EndedAt, i, target) {
			r.responses[i] = *res
			r.observeLatency(res.EndedAt, i)
		}
	case res.Outcome == upstream.Responded:
		r.lastFailure = *res
		r.plan.Failed(res.EndedAt, i, target)
	case res.Outcome == upstream.Broken:
		r.plan.Failed(res.EndedAt, i, target)
	case res.Outcome == upstream.NotSent:
		r.plan.NotSent(res.EndedAt, i, target)
	default:
		if res.Outcome == upstream.Refused {
			r.lastFailure = *res
			r.recordRefused(res)
		}
		r.plan.Refused(res.EndedAt, i, target)
	}
}

// usable reports whether a response completes its shard. An error response of a
// target does not, and the request is retried at another target if it may run
// more than once.
func (r *activeRequest) usable(res *upstream.Result) bool {
	if res.Status >= 200 && res.Status < 300 {
		return res.Signature != ""
	}
	return !r.req.Route.Sharded() && res.Status < 500 && !PromisesNotRun(res.Status)
}

// PromisesNotRun reports whether the status tells a caller that its request has not run
// and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// observeLatency records the latency of the first attempt at a shard, or its
// duration so far if another attempt responded first. Without the latter, the
// sample would be biased towards fast attempts and the hedge delay would shrink.
func (r *activeRequest) observeLatency(now time.Time, i int) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	r.routeStats.latency.Observe(now, now.Sub(r.firstSentAt[i]))
}

// observePending records the durations so far of first attempts at shards that
// have not responded.
func (r *activeRequest) observePending(now time.Time) {
	for i := range r.services {
		if r.plan.Missing(i) && !r.firstSentAt[i].IsZero() {
			r.observeLatency(now, i)
		}
	}
}

// abandonAttempts abandons the attempts that are still in progress. A connection
// is closed if no response arrives on it within linger.
func (r *activeRequest) abandonAttempts(linger time.Duration) {
	for _, a := range r.attempts {
		r.engine.opts.Pool.Abandon(a, linger)
	}
}
