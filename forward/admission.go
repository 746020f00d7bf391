package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/admission"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// ReasonOverloaded is the reason of a response to a request that was refused because the
// targets of its route are overloaded, and others went first.
const ReasonOverloaded = "the targets are overloaded"

// Parameters of admission.
const (
	// maxQueueFraction is the fraction of the latency objective for which a request may be
	// queued. A refusal must reach the caller within a quarter of the objective.
	maxQueueFraction = 0.2
	// minAdmissionLimit is the smallest limit on requests of a group in progress.
	minAdmissionLimit = 2
	// minOverloadRetryAfter and maxOverloadRetryAfter bound the time after which refused
	// callers come back, before it is increased by up to as much at random. The queue drains
	// within a fraction of the objective; the demand that filled it lasts longer.
	minOverloadRetryAfter = 200 * time.Millisecond
	maxOverloadRetryAfter = time.Second
	// noHedgesAbove is the fraction of sub-requests that full targets refuse above which no
	// request is hedged.
	noHedgesAbove = 0.3
	// refusalLogInterval is the mean time between two log lines on refused requests of one
	// group, and refusalLogBurst their number beyond that.
	refusalLogInterval = 50 * time.Millisecond
	refusalLogBurst    = 50
	// maxSampledShards bounds the shards that the latencies of a request are taken over.
	maxSampledShards = 33
)

// admissionGroups holds the groups of routes whose requests have different priorities.
// Groups are replaced as a whole when the configuration changes.
type admissionGroups struct {
	version uint64
	byRoute map[string]*admissionGroup // by route name
	all     []*admissionGroup
}

// admissionGroup decides which requests to routes that share services are sent. mu is a leaf
// lock.
type admissionGroup struct {
	mu         sync.Mutex
	name       string
	routes     []string
	priorities []int
	controller *admission.Controller
	lastID     uint64
	waiters    map[uint64]chan admission.Decision
	refused    map[string]uint64 // by priority and cause
	admitted   map[int]uint64    // by priority
	// logTokens, loggedAt and unlogged bound the log lines on refused requests.
	logTokens float64
	loggedAt  time.Time
	unlogged  int
}

// newAdmissionController returns the controller of a group.
func newAdmissionController(rng *rand.Rand) *admission.Controller {
	return admission.New(admission.Options{
		Mode: admission.ModeGuard, AnyCaller: true, MinLimit: minAdmissionLimit,
		MinRetryAfter: minOverloadRetryAfter, MaxRetryAfter: maxOverloadRetryAfter,
	}, rng)
}

// SetView creates admission control for the groups of routes of a view whose requests have
// different priorities. A group that keeps a route keeps its state. Calls must not overlap.
func (e *Engine) SetView(v *catalog.View) {
	before := e.admission.Load()
	if before != nil && before.version == v.Version {
		return
	}
	after := &admissionGroups{version: v.Version, byRoute: map[string]*admissionGroup{}}
	kept := map[*admissionGroup]bool{}
	for _, rg := range v.RouteGroups() {
		if len(rg.Priorities) < 2 {
			continue
		}
		g := before.groupOf(rg.Routes, kept)
		if g == nil {
			g = &admissionGroup{
				controller: newAdmissionController(rand.New(rand.NewPCG(rand.Uint64(), 4))),
				waiters:    map[uint64]chan admission.Decision{}, refused: map[string]uint64{}, admitted: map[int]uint64{},
			}
		}
		kept[g] = true
		g.configure(&rg, e.opts.MaxSubRequests)
		after.all = append(after.all, g)
		for _, name := range g.routes {
			after.byRoute[name] = g
		}
	}
	e.admission.Store(after)
}

// groupOf returns a group that has one of the routes and is not yet kept, or nil.
func (a *admissionGroups) groupOf(routes []*catalog.Route, kept map[*admissionGroup]bool) *admissionGroup {
	if a == nil {
		return nil
	}
	for _, r := range routes {
		if g := a.byRoute[r.Name]; g != nil && !kept[g] {
			return g
		}
	}
	return nil
}

// configure sets what the configuration says of the group. maxSubRequests bounds the
// sub-requests in progress; zero if it is not known.
func (g *admissionGroup) configure(rg *catalog.RouteGroup, maxSubRequests int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.name, g.priorities, g.routes = rg.Name, rg.Priorities, nil
	g.controller.SetPriorities(rg.Priorities)
	services := 1
	for _, r := range rg.Routes {
		g.routes = append(g.routes, r.Name)
		services = max(services, len(r.Shards))
	}
	if maxSubRequests > 0 {
		g.controller.SetMaxLimit(max(maxSubRequests/services, minAdmissionLimit))
	}
}

// admissionGroupOf returns the group that decides on requests to a route, or nil.
func (e *Engine) admissionGroupOf(route *catalog.Route) *admissionGroup {
	if a := e.admission.Load(); a != nil {
		return a.byRoute[route.Name]
	}
	return nil
}

// MayBeOverloaded reports whether requests to the route are limited because its targets are
// overloaded, or will be soon if they stay as they are.
func (e *Engine) MayBeOverloaded(route *catalog.Route) bool {
	g := e.admissionGroupOf(route)
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.MayBeOverloaded()
}

// admittedRequest is a request that was admitted; the zero value is one that needs no
// admission.
type admittedRequest struct {
	group *admissionGroup
	id    uint64
	at    time.Time
}

// admit waits until the request may be sent. If ok is false, it may not: the response is
// final, and no target has run the request.
func (e *Engine) admit(ctx context.Context, req *Request) (a admittedRequest, resp Response, ok bool) {
	g := e.admissionGroupOf(req.Route)
	now := time.Now()
	if g == nil || !now.Before(req.Call.Deadline) { // the latter sends nothing
		return admittedRequest{}, Response{}, true
	}
	r := admissionRequest(req)
	g.mu.Lock()
	g.lastID++
	r.ID = g.lastID
	d, others := g.controller.Submit(now, r)
	g.deliver(others)
	if d.Outcome != admission.Queued {
		defer g.mu.Unlock()
		return g.decided(e, now, req, d)
	}
	decided := make(chan admission.Decision, 1)
	g.waiters[r.ID] = decided
	g.mu.Unlock()
	timer := time.NewTimer(r.StartBy.Sub(now))
	defer timer.Stop()
	for {
		select {
		case d := <-decided:
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.decided(e, time.Now(), req, d)
		case <-timer.C:
			g.apply(func(now time.Time) []admission.Decision { return g.controller.Tick(now) })
			timer.Reset(time.Millisecond) // the decision follows unless the clock is behind the timer
		case <-e.opts.Ending:
			g.cancel(r.ID)
			return admittedRequest{}, RefuseStopping(), false
		case <-ctx.Done():
			g.cancel(r.ID)
			return admittedRequest{}, Response{Status: statusCallerDisconnected, Reason: ReasonCallerDisconnected}, false
		}
	}
}

// cancel withdraws a request that waits.
func (g *admissionGroup) cancel(id uint64) {
	g.apply(func(now time.Time) []admission.Decision {
		delete(g.waiters, id)
		return g.controller.Cancel(now, id)
	})
}

// admissionRequest returns the request as package admission knows it. Organisations of one
// priority take turns; without organisations, routes do.
func admissionRequest(req *Request) admission.Request {
	objective := LatencyObjective(req.Route)
	caller := req.Route.Name
	if req.Organisation != nil {
		caller = req.Organisation.Name
	}
	priority := req.Priority()
	return admission.Request{
		Caller: caller + "\x00" + strconv.Itoa(priority), Search: req.Route.Name, Priority: priority, Deadline: req.Call.Deadline,
		Objective: objective, UsefulUntil: req.ReceivedAt.Add(objective - minResponseMargin - req.HopMargin),
		StartBy: req.ReceivedAt.Add(time.Duration(maxQueueFraction * float64(objective))),
	}
}

// apply passes an event to the controller and delivers its decisions.
func (g *admissionGroup) apply(event func(now time.Time) []admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(event(time.Now()))
}

// deliver passes decisions to the requests that wait for them. g.mu must be held.
func (g *admissionGroup) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		if w := g.waiters[d.ID]; w != nil {
			delete(g.waiters, d.ID)
			w <- d
		}
	}
}

// decided counts a final decision, and returns what it means for the request. g.mu must be
// held; the logger does not block.
func (g *admissionGroup) decided(e *Engine, now time.Time, req *Request, d admission.Decision) (admittedRequest, Response, bool) {
	priority := req.Priority()
	if d.Outcome == admission.Admitted {
		g.admitted[priority]++
		return admittedRequest{group: g, id: d.ID, at: now}, Response{}, true
	}
	cause := string(d.Code)
	if d.Cause != 0 {
		cause = d.Cause.String()
	}
	g.refused["priority "+strconv.Itoa(priority)+": "+cause]++
	resp := Response{Status: http.StatusServiceUnavailable, RetryAfter: max(d.RetryAfter, minRetryAfter), Reason: ReasonOverloaded}
	g.logRefused(e, now, req, cause, &resp)
	return admittedRequest{}, resp, false
}

// logRefused logs a refused request with what decided it. g.mu must be held.
func (g *admissionGroup) logRefused(e *Engine, now time.Time, req *Request, cause string, resp *Response) {
	g.logTokens = min(g.logTokens+float64(now.Sub(g.loggedAt))/float64(refusalLogInterval), refusalLogBurst)
	g.loggedAt = now
	if g.logTokens < 1 {
		g.unlogged++
		return
	}
	g.logTokens--
	s := g.controller.Stats()
	e.opts.Logger.Info("request refused for overload", "id", req.Call.ID, "route", req.Route.Name, "version", req.Version,
		"organisation", req.Call.Organisation, "priority", req.Priority(), "status", resp.Status, "cause", cause, "retry_after", resp.RetryAfter,
		"took", now.Sub(req.ReceivedAt), "left", req.Call.Deadline.Sub(now), "group", g.name, "limit", s.Limit, "running", s.Running, "waiting", s.Queued,
		"usual_time", s.ServiceTime, "latency_of_tolerated", s.Guard.Latency, "refused_by_targets", s.Guard.Refused, "not_logged_before", g.unlogged, "for", req.For)
	g.unlogged = 0
}

// hedges reports whether the request may be hedged: while its targets are overloaded, only
// the most urgent requests are, and none while most targets are full.
func (a admittedRequest) hedges(priority int) bool {
	if a.group == nil {
		return true
	}
	a.group.mu.Lock()
	defer a.group.mu.Unlock()
	limited, refused := a.group.controller.Overloaded()
	return !limited || (priority <= a.group.priorities[0] && refused <= noHedgesAbove)
}

// ended reports the end of an admitted request.
func (r *activeRequest) ended(resp *Response) {
	a := r.admitted
	if a.group == nil {
		return
	}
	now := time.Now()
	median, faster := r.latencies(now)
	result := admission.Result{
		OK: resp.Status < http.StatusInternalServerError, Latency: now.Sub(a.at), SubRequestLatency: median, FasterLatency: faster,
		RefusedFraction: float64(r.refusedShards) / float64(len(r.services)), ServedFraction: float64(r.plan.Responses()) / float64(len(r.services)),
	}
	leftEarly := resp.Status == statusCallerDisconnected && result.Latency < LatencyObjective(r.req.Route)/2
	a.group.apply(func(now time.Time) []admission.Decision {
		if leftEarly || len(r.attempts) == 0 {
			return a.group.controller.Cancel(now, a.id) // tells nothing of the targets
		}
		return a.group.controller.Finish(now, a.id, result)
	})
}

// latencies returns the median time from the first attempt at a shard to its response, or until now
// if there is none yet, and the time than which a third of the shards are faster. They are taken
// over at most maxSampledShards of the shards.
func (r *activeRequest) latencies(now time.Time) (median, faster time.Duration) {
	var buf [maxSampledShards]time.Duration
	latencies := buf[:0]
	step := (len(r.services) + maxSampledShards - 1) / maxSampledShards
	for i := 0; i < len(r.services); i += step {
		switch {
		case r.firstSentAt[i].IsZero():
		case r.plan.Missing(i):
			latencies = append(latencies, now.Sub(r.firstSentAt[i]))
		default:
			latencies = append(latencies, r.responses[i].EndedAt.Sub(r.firstSentAt[i]))
		}
	}
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], latencies[len(latencies)/3]
}

// recordRefused counts a shard the first time that a target refuses an attempt at it.
func (r *activeRequest) recordRefused(res *upstream.Result) {
	if r.refusedOnce == nil {
		r.refusedOnce = make([]bool, len(r.services))
	}
	if i := res.Attempt.Shard; !r.refusedOnce[i] {
		r.refusedOnce[i] = true
		r.refusedShards++
		if g := r.admitted.group; g != nil {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.controller.Refused(res.EndedAt, r.admitted.id, float64(r.refusedShards)/float64(len(r.services)))
		}
	}
}

// AdmissionState describes admission control of a group of routes for operators.
type AdmissionState struct {
	Routes     []string `json:"routes"`
	Priorities []int    `json:"priorities"`
	// Limit is the largest number of requests in progress; zero while there is none.
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// UsualTime is the mean time of a request, in milliseconds.
	UsualTime float64 `json:"usual_ms"`
	// Admitted counts requests by priority, Refused by priority and cause.
	Admitted map[string]uint64 `json:"admitted"`
	Refused  map[string]uint64 `json:"refused"`
	admission.GuardStats
}

// AdmissionState returns the state of admission control by group.
func (e *Engine) AdmissionState() map[string]AdmissionState {
	out := map[string]AdmissionState{}
	a := e.admission.Load()
	if a == nil {
		return out
	}
	for _, g := range a.all {
		name, state := g.describe()
		out[name] = state
	}
	return out
}

func (g *admissionGroup) describe() (name string, state AdmissionState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.controller.Stats()
	out := AdmissionState{
		Routes: g.routes, Priorities: g.priorities, Running: s.Running, Waiting: s.Queued, GuardStats: *s.Guard,
		UsualTime: float64(s.ServiceTime) / float64(time.Millisecond), Admitted: map[string]uint64{}, Refused: maps.Clone(g.refused),
	}
	if s.Guard.Limited {
		out.Limit = s.Limit
	}
	for priority, n := range g.admitted {
		out.Admitted[strconv.Itoa(priority)] = n
	}
	return g.name, out
}
