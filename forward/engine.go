// Package forward serves requests: it sends each request to a target of its
// route's service, or to one target of each shard, and returns the response.
package forward

import (
	"cmp"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/share"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// Request is one request of a caller.
type Request struct {
	Call  *upstream.Call
	Route *catalog.Route
	// Organisation is that of the caller; nil if none is known. Key is the hash of the key
	// that it was authenticated with.
	Organisation *catalog.Organisation
	Key          catalog.KeyHash
	// KeyUnchecked is true if the caller sent the key that Key is the hash of, but no
	// organisations are configured here. A peer with a later configuration checks it.
	KeyUnchecked bool
	// Version is the version of the configuration that Route is from.
	Version uint64
	// ConfirmedAt is when the store last confirmed the view that Route is from.
	ConfirmedAt time.Time
	// ReceivedAt is when the request was read.
	ReceivedAt time.Time
	// NewConnection is true if the caller opened its connection for this request.
	NewConnection bool
	// HopMargin is reserved for the way of the response to the process that the caller
	// is connected to; zero if that is this one.
	HopMargin time.Duration
	// For is the VM of that process; empty if it is this one.
	For string
	// Counted is true if the retry budget of that process has counted the request.
	Counted bool
	// Repeat is true if that process may have sent the request to targets: each attempt
	// draws on the retry budget.
	Repeat bool
	// MaxTargets bounds the targets of the request, or of each of its shards, besides the
	// bound of the route; zero for none.
	MaxTargets int
}

// Priority ranks the request: that of the organisation if it has one, else that of the
// route; 0 is the most urgent.
func (r *Request) Priority() int {
	if r.Organisation != nil && r.Organisation.HasPriority {
		return r.Organisation.Priority
	}
	return r.Route.Priority
}

// Services returns the services that the request needs.
func (r *Request) Services() []string {
	if r.Route.Sharded() {
		return r.Route.Shards
	}
	return []string{r.Route.Pick(r.Call.ID)}
}

// SendBy returns until when the request may wait for a target, or for a peer that reaches one.
func (r *Request) SendBy() time.Time {
	return r.ReceivedAt.Add(time.Duration(maxUnsentFraction * float64(LatencyObjective(r.Route))))
}

// Response is the response to a request of a caller.
type Response struct {
	Status int
	// Header and Signature are those of the target whose response is forwarded.
	Header    http.Header
	Signature string
	// Signatures are the signatures of the shards' responses to a sharded request.
	Signatures []string
	// Missing is the number of shards whose responses are not included.
	Missing int
	Sharded bool
	Body    []byte
	// RetryAfter is how long the caller should wait before it retries; zero if
	// unspecified.
	RetryAfter time.Duration
	// Reason is why the request was refused or failed; empty for success.
	Reason string
	// Detour is set if a peer that reaches the targets may serve the request instead; the
	// response is then for the case that none does.
	Detour *Detour
}

// Detour describes what a peer may do that serves a request in place of this process.
type Detour struct {
	// PathLost is true if this process reaches no target, rather than none of one service.
	PathLost bool
	// Repeat and MaxTargets are those of the request at the peer.
	Repeat     bool
	MaxTargets int
}

// Options configures an Engine.
type Options struct {
	Pool   *upstream.Pool
	Budget RetryBudget
	Logger *slog.Logger
	// Hedge configures the hedge delay for the shards of sharded requests, and
	// SingleHedge for requests to one service.
	Hedge       hedge.Options
	SingleHedge hedge.Options
	// MaxSubRequests bounds the sub-requests in progress of one group of routes while its
	// targets are overloaded; zero if there is no such bound.
	MaxSubRequests int
	// Ending is closed when requests in progress must be answered with what there is, as the
	// process is about to end; nil if that never happens.
	Ending <-chan struct{}
}

// Engine serves requests. Methods are safe for concurrent use.
//
// Lock order: mu is acquired with no other lock held, and no other lock is
// acquired while it is held.
type Engine struct {
	opts      Options
	admission atomic.Pointer[admissionGroups]

	mu      sync.Mutex
	routes  map[string]*routeStats    // by route name
	budgets map[string]*serviceBudget // by service name
	fleet   share.Fleet
	// fleetKnownAt is when the size of the fleet became known; zero before.
	fleetKnownAt time.Time
	extras       ExtraCounts
	// sharded and single are the numbers of requests since the start.
	sharded, single uint64
	// usedUpLoggedAt is when it was last logged that a retry budget is used up.
	usedUpLoggedAt time.Time
}

// routeStats holds the latency statistics of one route.
type routeStats struct {
	latency *hedge.Estimator
	usedAt  time.Time
}

// New returns an Engine.
func New(opts Options) *Engine {
	return &Engine{opts: opts, routes: map[string]*routeStats{}, budgets: map[string]*serviceBudget{}}
}

// Requests returns the numbers of sharded and of other requests since the start.
func (e *Engine) Requests() (sharded, single uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sharded, e.single
}

// UsualDuration returns how long most requests of a route take at a target, or at one of a
// shard, and nearly all of those that must not run twice, as seen in the last seconds. It returns
// the latency objective if nothing is known.
func (e *Engine) UsualDuration(now time.Time, route *catalog.Route) time.Duration {
	quantile := usualQuantileOnce
	if route.Idempotent || route.Sharded() {
		quantile = usualQuantile
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	objective := LatencyObjective(route)
	if stats := e.routes[route.Name]; stats != nil {
		return cmp.Or(stats.latency.Quantile(now, quantile), objective)
	}
	return objective
}

// The quantiles of the latencies of a route that count as its usual duration: of requests that
// may run again, which callers can repeat elsewhere if they don't end, and of those that must not.
const (
	usualQuantile     = 0.80
	usualQuantileOnce = 0.99
)

// Timing and attempts of requests.
const (
	// responseMargin is reserved for the network time between the caller and this
	// process, both ways, and for timers that fire late.
	responseMargin = 11 * time.Millisecond
	// connectMargin is added to responseMargin if the caller opened a connection
	// for the request, which takes another round trip.
	connectMargin = 4 * time.Millisecond
	// minResponseMargin is the shortest such network time if the caller's
	// connection was open already.
	minResponseMargin = 8 * time.Millisecond
	// shardMargin is added to responseMargin and minResponseMargin for each
	// shard. The signature of each shard makes the response longer, and on a
	// small VM the response shares the network link and the processor with the
	// last responses of shards.
	shardMargin = 35 * time.Microsecond
	// deadlineMargin is how long before the caller's deadline a failure is
	// reported.
	deadlineMargin = 20 * time.Millisecond
	// lateFactor is the time after which a request that has missed its latency
	// objective no longer waits for missing shards, in multiples of the objective.
	lateFactor = 2
	// maxUnsentFraction is the fraction of the latency objective after which a
	// request that could not be sent to any target is refused, so that the caller
	// can retry elsewhere.
	maxUnsentFraction = 0.25
	// defaultLatencyObjective applies to routes without a latency objective.
	defaultLatencyObjective = 500 * time.Millisecond
	// maxHedgeDelayFraction bounds the hedge delay to a fraction of the latency
	// objective.
	maxHedgeDelayFraction = 0.5
	// hedgeDurationFactor is the time that a hedge of a sharded request needs, in
	// multiples of the expected duration of an attempt. It allows for a remote
	// data centre and a new connection.
	hedgeDurationFactor = 2.5
	// minHedgeDelayFactor is the smallest hedge delay of a sharded request, in
	// multiples of the expected duration of an attempt.
	minHedgeDelayFactor = 1.5
	// remotePenaltyFraction is the cost added to targets in remote data centres,
	// as a fraction of the latency objective.
	remotePenaltyFraction = 0.2
	// defaultMaxAttempts applies to routes that do not set MaxAttempts.
	defaultMaxAttempts = 2
	// maxTargets bounds the targets of a request, or of each shard, whatever its route
	// allows.
	maxTargets = 16
	// disconnectLinger is how long attempts may continue after their caller has
	// disconnected, so that their connections can be reused.
	disconnectLinger = 250 * time.Millisecond
	// quarantineRecheck is the time between two questions whether an attempt may be sent
	// that waits for what another one, or another process, tells of its request.
	quarantineRecheck = 5 * time.Millisecond
	// minRetryAfter is the shortest RetryAfter of a refused request.
	minRetryAfter = 50 * time.Millisecond
	// unservedRetryAfter is the mean RetryAfter of a request that is refused because
	// its services have no targets: targets register again within about two seconds.
	unservedRetryAfter = 500 * time.Millisecond
)

// idleRetention is how long the state of a route or service that gets no requests
// is kept. It must exceed budget.WindowLength, or extra attempts that are still in
// the window would be forgotten.
const idleRetention = time.Minute

// EvictIdle deletes the state of routes and services that get no requests. Without
// it, state would accumulate, as names come and go with the configuration.
func (e *Engine) EvictIdle(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, stats := range e.routes {
		if now.Sub(stats.usedAt) > idleRetention {
			delete(e.routes, name)
		}
	}
	for name, b := range e.budgets {
		if now.Sub(b.usedAt) > idleRetention {
			delete(e.budgets, name)
		}
	}
}
