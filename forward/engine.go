// Package forward serves requests: it sends each to a target of its route's
// service, or to one target of each shard, and makes the answer.
package forward

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/budget"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/share"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// Request is one request of a caller.
type Request struct {
	Call  *upstream.Call
	Route *catalog.Route
	// Version is the configuration that named the route.
	Version uint64
	// ConfirmedAt is when the store last confirmed the picture that names it.
	ConfirmedAt time.Time
	// ReceivedAt is when the request was read.
	ReceivedAt time.Time
	// NewConnection is true if the caller opened its connection for the request.
	NewConnection bool
}

// Response is the final answer to a request.
type Response struct {
	Status int
	// Header and Seal are those of the target whose answer is passed on.
	Header    http.Header
	Signature string
	// Signatures are the signatures of the parts of a sharded answer.
	Signatures []string
	// Missing is the number of shards that are left out.
	Missing int
	Sharded bool
	Body    []byte
	// RetryAfter is when the caller may come back; zero if it isn't told.
	RetryAfter time.Duration
	// Reason tells why the request was refused or failed; empty for success.
	Reason string
}

// RetryBudget is the published bound on attempts beyond the first.
type RetryBudget struct {
	// Ratio is the number of extra attempts per request.
	Ratio float64
	// Slack is the number of extra attempts in a window beside, of all
	// processes together.
	Slack int
}

// Options configures an Engine.
type Options struct {
	Pool   *upstream.Pool
	Budget RetryBudget
	Logger *slog.Logger
	// Hedge is how the delay of hedges is found for the shards of a request,
	// and SingleHedge for requests to one service.
	Hedge       hedge.Options
	SingleHedge hedge.Options
}

// Engine serves requests. Its methods may be called concurrently.
//
// Lock order: mu is taken with no other lock held, and none is taken under it.
type Engine struct {
	opts Options

	mu        sync.Mutex
	routes    map[string]*routeStats // by route name
	budgets   map[string]*serviceBudget
	fleet     share.Fleet
	startedAt time.Time
}

// routeStats is what is known of the attempts of one route.
type routeStats struct {
	latency *hedge.Estimator
	usedAt  time.Time
}

// serviceBudget is what the retry budget of one service has been used for.
type serviceBudget struct {
	*budget.Window
	usedAt time.Time
}

// New returns an Engine.
func New(opts Options) *Engine {
	return &Engine{opts: opts, routes: map[string]*routeStats{}, budgets: map[string]*serviceBudget{}, startedAt: time.Now()}
}

// budgetFraction is the part of the retry ratio that is used. The rest covers
// differences between this process's clock and window and the targets'.
const budgetFraction = 0.9

// SetFleet takes the processes that share the slack of the retry budget.
func (e *Engine) SetFleet(f share.Fleet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet = f
}

// Parts of the budget's slack that are used. A process that has just started
// does not know what it sent before; both parts together keep to the slack.
const (
	slackFraction        = 0.9
	startupSlackFraction = 0.25
)

// slackShare returns this process's part of the slackShare of each service. The lock is held.
func (e *Engine) slackShare(now time.Time) float64 {
	use := slackFraction
	if now.Sub(e.startedAt) < budget.WindowLength {
		use = startupSlackFraction
	}
	return e.fleet.EvenShare(use * float64(e.opts.Budget.Slack))
}

// window returns the budget of a service. The lock is held.
func (e *Engine) window(now time.Time, service string) *budget.Window {
	w := e.budgets[service]
	if w == nil {
		w = &serviceBudget{Window: budget.NewWindowWithSlack(budgetFraction * e.opts.Budget.Ratio)}
		e.budgets[service] = w
	}
	w.usedAt = now
	return w.Window
}

// Timings of requests.
const (
	// responseMargin is the time that a request and its answer take on their ways,
	// with some for a timer that is late.
	responseMargin = 11 * time.Millisecond
	// connectMargin is added if the caller opened a connection for the request,
	// which takes it another way there and back.
	connectMargin = 4 * time.Millisecond
	// minResponseMargin is the least time for an answer's way to a caller whose
	// connection was open already.
	minResponseMargin = 8 * time.Millisecond
	// shardMargin is added to both for each shard: each part's signature adds to
	// the answer, which shares the link of a small VM and its processor with the
	// last parts.
	shardMargin = 35 * time.Microsecond
	// deadlineMargin is how long before the caller's deadline a failure is told.
	deadlineMargin = 20 * time.Millisecond
	// lateFactor is how long an answer that has missed its aim is held for
	// missing shards, in multiples of the aim.
	lateFactor = 2
	// maxUnsentFraction is the part of the aim after which a request that could not
	// be sent to any target is refused, so that the caller can go elsewhere.
	maxUnsentFraction = 0.25
	// defaultLatencyObjective is used where the route has none.
	defaultLatencyObjective = 500 * time.Millisecond
	// maxHedgeDelayFraction bounds the hedge delay to a part of the aim.
	maxHedgeDelayFraction = 0.5
	// hedgeDurationFactor is the time that a hedge needs to be of use in a sharded request,
	// in multiples of an attempt's usual time. It covers another data centre and
	// a new connection.
	hedgeDurationFactor = 2.5
	// minHedgeDelayFactor is the least hedge delay, in multiples of an attempt's usual time.
	minHedgeDelayFactor = 1.5
	// remotePenaltyFraction is what staying in the own data centre is worth, as a part of the aim.
	remotePenaltyFraction = 0.2
	// defaultMaxAttempts is used where the route tells no number of attempts.
	defaultMaxAttempts = 2
	// disconnectLinger is how long attempts of a caller that has left may go on,
	// so that their connections can be kept.
	disconnectLinger = 250 * time.Millisecond
	// minRetryAfter is the least that a refused caller is told to wait.
	minRetryAfter = 50 * time.Millisecond
)

// idleRetention is how long what is known of a route or service that gets no
// requests is kept; it is well above the window of the budget.
const idleRetention = time.Minute

// EvictIdle drops what is known of routes and services that get no requests: names
// come and go with the configuration.
func (e *Engine) EvictIdle(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, k := range e.routes {
		if now.Sub(k.usedAt) > idleRetention {
			delete(e.routes, name)
		}
	}
	for name, s := range e.budgets {
		if now.Sub(s.usedAt) > idleRetention {
			delete(e.budgets, name)
		}
	}
}
