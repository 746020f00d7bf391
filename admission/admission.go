// Package admission decides at a gateway which requests run now, which wait
// and which are refused.
//
// A request passes its caller's rate, then waits for its caller's concurrency
// and the gateway's own limit, which follows the measured latency. Waiting
// requests are served by priority, in turn among the callers of one priority,
// and by deadline within a caller. What can't be answered in time is refused
// at once. The package is pure: time and randomness are passed in.
package admission

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
)

// Defaults of Options.
const (
	DefaultInitialLimit        = 32
	DefaultMinLimit            = 4
	DefaultMaxLimit            = 1024
	DefaultMaxQueue            = 1024
	DefaultTolerance           = 1.5
	DefaultMaxFailureFraction  = 0.1
	DefaultMinWindow           = 250 * time.Millisecond
	DefaultLowPriorityFraction = 0.05
	DefaultMinRetryAfter       = 200 * time.Millisecond
	DefaultMaxRetryAfter       = 10 * time.Second
)

// Mode selects the policy. The modes other than ModeAdaptive serve as baselines.
type Mode string

// Modes of a Controller.
const (
	// ModeAdaptive adapts the limit between MinLimit and MaxLimit.
	ModeAdaptive Mode = "adaptive"
	// ModeFixed keeps the limit at StartLimit.
	ModeFixed Mode = "fixed"
	// ModeFIFO keeps the limit at StartLimit, serves requests in order of
	// arrival and drops none that can't be met.
	ModeFIFO Mode = "fifo"
)

// Options sets up a Controller. A zero field means its default.
type Options struct {
	// Mode is the policy; ModeAdaptive if empty.
	Mode Mode
	// InitialLimit is the number of requests in progress at first.
	InitialLimit int
	// MinLimit and MaxLimit bound the adapted limit.
	MinLimit int
	MaxLimit int
	// MaxQueue is the number of requests that may wait.
	MaxQueue int
	// Tolerance is the multiple of the unloaded latency above which the limit
	// is lowered.
	Tolerance float64
	// MaxFailureFraction is the share of failed requests, from 0 to 1, above which
	// the limit is lowered.
	MaxFailureFraction float64
	// MinWindow is the shortest time between two changes of the limit.
	MinWindow time.Duration
	// LowPriorityFraction is the share of admissions, from 0 to 1, that goes to the less
	// urgent of the priorities that wait.
	LowPriorityFraction float64
	// MinRetryAfter and MaxRetryAfter bound the advice when to come back,
	// before its random spread.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

func (o Options) withDefaults() Options {
	o.Mode = cmp.Or(o.Mode, ModeAdaptive)
	o.InitialLimit = cmp.Or(o.InitialLimit, DefaultInitialLimit)
	o.MinLimit = cmp.Or(o.MinLimit, DefaultMinLimit)
	o.MaxLimit = cmp.Or(o.MaxLimit, DefaultMaxLimit)
	o.MaxQueue = cmp.Or(o.MaxQueue, DefaultMaxQueue)
	o.Tolerance = cmp.Or(o.Tolerance, DefaultTolerance)
	o.MaxFailureFraction = cmp.Or(o.MaxFailureFraction, DefaultMaxFailureFraction)
	o.MinWindow = cmp.Or(o.MinWindow, DefaultMinWindow)
	o.LowPriorityFraction = cmp.Or(o.LowPriorityFraction, DefaultLowPriorityFraction)
	o.MinRetryAfter = cmp.Or(o.MinRetryAfter, DefaultMinRetryAfter)
	o.MaxRetryAfter = cmp.Or(o.MaxRetryAfter, DefaultMaxRetryAfter)
	return o
}

// Request asks for admission.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID     uint64
	Caller string
	Search string
	// Deadline is when the answer must be with the caller.
	Deadline time.Time
}

// Outcome is the outcome of an offer or a later action.
type Outcome uint8

// Verdicts. Rejected is final, and the request hasn't run.
const (
	Rejected Outcome = iota
	Queued
	Admitted
)

// Decision settles one request.
type Decision struct {
	ID      uint64
	Outcome Outcome
	// Code is the reason of a refusal.
	Code code.Code
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
}

// Result is what a controller learns from a finished request.
type Result struct {
	// OK is false if the request failed for lack of time or capacity; other
	// failures, such as a bad request, count as ok.
	OK bool
	// Latency is the time since the admission.
	Latency time.Duration
	// SubRequestLatency is the median latency of the request's sub-requests. The limit
	// follows it rather than Took, so that waiting for shards that are lost
	// isn't taken for overload. Zero stands for Took.
	SubRequestLatency time.Duration
}

func (r Result) typical() time.Duration {
	if r.SubRequestLatency > 0 {
		return r.SubRequestLatency
	}
	return r.Latency
}

// New returns a controller for one gateway without callers. The random source
// spreads the advice when to come back.
func New(opts Options, rng *rand.Rand) *Controller {
	opts = opts.withDefaults()
	return &Controller{
		opts:     opts,
		rng:      rng,
		gateways: 1,
		callers:  map[string]*caller{},
		running:  map[uint64]*run{},
		queued:   map[uint64]*entry{},
		limit:    newLimiter(opts),
		fifo:     &lane{},
	}
}
