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
	DefaultStartLimit    = 32
	DefaultMinLimit      = 4
	DefaultMaxLimit      = 1024
	DefaultMaxQueue      = 1024
	DefaultTolerance     = 1.5
	DefaultMaxFailures   = 0.1
	DefaultWindow        = 250 * time.Millisecond
	DefaultLowShare      = 0.05
	DefaultMinRetryAfter = 200 * time.Millisecond
	DefaultMaxRetryAfter = 10 * time.Second
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
	// StartLimit is the number of requests in progress at first.
	StartLimit int
	// MinLimit and MaxLimit bound the adapted limit.
	MinLimit int
	MaxLimit int
	// MaxQueue is the number of requests that may wait.
	MaxQueue int
	// Tolerance is the multiple of the unloaded latency above which the limit
	// is lowered.
	Tolerance float64
	// MaxFailures is the share of failed requests, from 0 to 1, above which
	// the limit is lowered.
	MaxFailures float64
	// Window is the shortest time between two changes of the limit.
	Window time.Duration
	// LowShare is the share of admissions, from 0 to 1, that goes to the less
	// urgent of the priorities that wait.
	LowShare float64
	// MinRetryAfter and MaxRetryAfter bound the advice when to come back,
	// before its random spread.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

func (o Options) withDefaults() Options {
	o.Mode = cmp.Or(o.Mode, ModeAdaptive)
	o.StartLimit = cmp.Or(o.StartLimit, DefaultStartLimit)
	o.MinLimit = cmp.Or(o.MinLimit, DefaultMinLimit)
	o.MaxLimit = cmp.Or(o.MaxLimit, DefaultMaxLimit)
	o.MaxQueue = cmp.Or(o.MaxQueue, DefaultMaxQueue)
	o.Tolerance = cmp.Or(o.Tolerance, DefaultTolerance)
	o.MaxFailures = cmp.Or(o.MaxFailures, DefaultMaxFailures)
	o.Window = cmp.Or(o.Window, DefaultWindow)
	o.LowShare = cmp.Or(o.LowShare, DefaultLowShare)
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

// Verdict is the outcome of an offer or a later action.
type Verdict uint8

// Verdicts. Refuse is final, and the request hasn't run.
const (
	Refuse Verdict = iota
	Queue
	Admit
)

// Action settles one request.
type Action struct {
	ID      uint64
	Verdict Verdict
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
	// Took is the time since the admission.
	Took time.Duration
	// Typical is the median latency of the request's sub-requests. The limit
	// follows it rather than Took, so that waiting for shards that are lost
	// isn't taken for overload. Zero stands for Took.
	Typical time.Duration
}

func (r Result) typical() time.Duration {
	if r.Typical > 0 {
		return r.Typical
	}
	return r.Took
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
