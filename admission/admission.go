// Package admission decides which of a process's requests are admitted, queued
// or rejected. Gateways use it in ModeAdaptive, processes that forward requests of
// callers to targets in ModeGuard.
//
// A request must be within its caller's rate limit. It is then queued until both
// the caller's concurrency limit and the gateway's limit allow it to run. The
// gateway's limit adapts to the measured latency. Queued requests are served by
// priority, callers of one priority take turns, and the requests of one caller
// are served by deadline. A request that cannot meet its deadline is rejected at
// once. The package reads no clock and has no random source of its own: both are
// passed in.
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

// Mode selects the policy. The modes other than ModeAdaptive are baselines for
// comparison.
type Mode string

// Modes of a Controller.
const (
	// ModeAdaptive adapts the limit between MinLimit and MaxLimit.
	ModeAdaptive Mode = "adaptive"
	// ModeFixed keeps the limit at InitialLimit.
	ModeFixed Mode = "fixed"
	// ModeFIFO keeps the limit at InitialLimit, serves requests in the order of
	// arrival, and does not reject requests that are expected to miss their
	// deadlines.
	ModeFIFO Mode = "fifo"
	// ModeGuard sets no limit until the targets are overloaded: the latency of
	// sub-requests or the fraction of them that full targets refuse stays high.
	// Request.Objective and Request.StartBy must be set.
	ModeGuard Mode = "guard"
)

// Options configures a Controller. A zero field means its default.
type Options struct {
	// Mode is the policy; ModeAdaptive if empty.
	Mode Mode
	// InitialLimit is the initial limit on requests in progress.
	InitialLimit int
	// MinLimit and MaxLimit bound the limit in ModeAdaptive.
	MinLimit int
	MaxLimit int
	// MaxQueue is the maximum number of queued requests.
	MaxQueue int
	// Tolerance is the multiple of the latency without load above which the
	// limit is lowered.
	Tolerance float64
	// MaxFailureFraction is the fraction of failed requests, from 0 to 1, above
	// which the limit is lowered.
	MaxFailureFraction float64
	// MinWindow is the minimum time between two changes of the limit.
	MinWindow time.Duration
	// LowPriorityFraction is the fraction, from 0 to 1, of admissions that go to
	// lower priorities while requests of more than one priority can be admitted.
	LowPriorityFraction float64
	// MinRetryAfter and MaxRetryAfter bound Decision.RetryAfter before jitter
	// is added.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// AnyCaller admits requests of callers without a contract, by Request.Priority. Such
	// a caller is forgotten when none of its requests is queued or running.
	AnyCaller bool
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

// Request is a request for admission.
type Request struct {
	// ID is unique among the requests that are queued or running.
	ID     uint64
	Caller string
	Search string
	// Deadline is when the caller must have the response.
	Deadline time.Time
	// Priority ranks the request if Options.AnyCaller is set; 0 is the most urgent.
	Priority int
	// StartBy is when the request is rejected if it is still queued; zero if only
	// Deadline counts.
	StartBy time.Time
	// Objective is the latency objective of the request, from which ModeGuard derives the
	// tolerated latency of sub-requests. UsefulUntil is when the objective is missed: while
	// there is a limit, a request that would end later is rejected. Zero means Deadline.
	Objective   time.Duration
	UsefulUntil time.Time
}

// Outcome says what happens to a request.
type Outcome uint8

// Outcomes of a request. Rejected is final, and the request has not run.
const (
	Rejected Outcome = iota
	Queued
	Admitted
)

// Cause says why a request was rejected with code.Overloaded.
type Cause uint8

// Causes.
const (
	// TooLate means that the request would not start or end in time by the estimate.
	TooLate Cause = iota + 1
	// QueueFull means that the queue was full, and its other requests went first.
	QueueFull
	// Waited means that the request was queued and did not start in time.
	Waited
)

var causeNames = [...]string{TooLate: "too_late", QueueFull: "queue_full", Waited: "waited"}

// String returns the name of the cause for logs and metrics.
func (c Cause) String() string { return causeNames[c] }

// Decision is the controller's decision on one request.
type Decision struct {
	ID      uint64
	Outcome Outcome
	// Code is the reason for a rejection.
	Code code.Code
	// RetryAfter is the time after which a rejected caller may retry.
	RetryAfter time.Duration
	// Cause is set if Code is code.Overloaded.
	Cause Cause
}

// Result describes how an admitted request ended.
type Result struct {
	// OK is false if the request failed for lack of time or capacity. It is true
	// for other failures, such as a malformed request.
	OK bool
	// Latency is the time since the admission.
	Latency time.Duration
	// SubRequestLatency is the median latency of the request's sub-requests. The
	// limit follows it rather than Latency, so that waiting for unavailable
	// shards is not taken for overload. Zero means Latency.
	SubRequestLatency time.Duration
	// FasterLatency is like SubRequestLatency, but a third of the sub-requests are faster. A
	// limit is set only if it is high too: shards with a slow target raise it last. Zero means
	// SubRequestLatency.
	FasterLatency time.Duration
	// RefusedFraction is the fraction, from 0 to 1, of the sub-requests that a full target
	// refused at least once, and ServedFraction that of the sub-requests with a response.
	// These and FasterLatency are used in ModeGuard only.
	RefusedFraction float64
	ServedFraction  float64
}

// usefulUntil returns when a response to the request must be ready.
func (r *Request) usefulUntil() time.Time {
	if r.UsefulUntil.IsZero() {
		return r.Deadline
	}
	return r.UsefulUntil
}

func (r Result) subRequestLatency() time.Duration {
	if r.SubRequestLatency > 0 {
		return r.SubRequestLatency
	}
	return r.Latency
}

// New returns a Controller that has no callers and assumes that there is one
// gateway. The random source provides the jitter of Decision.RetryAfter.
func New(opts Options, rng *rand.Rand) *Controller {
	opts = opts.withDefaults()
	return &Controller{
		opts:     opts,
		rng:      rng,
		gateways: 1,
		callers:  map[string]*caller{},
		running:  map[uint64]*runningRequest{},
		queued:   map[uint64]*entry{},
		limit:    newLimiter(opts),
		fifo:     &callerQueue{},
	}
}
