// Package hedge decides how long to wait for an attempt before a hedge is sent
// to another target.
//
// The delay follows a high quantile of the latencies of the last seconds, so
// that about the same small fraction of attempts is hedged regardless of the
// speed of the targets. Package budget bounds the fraction. The package is pure:
// time is passed in.
package hedge

import (
	"cmp"
	"time"
)

// Mode selects how the hedge delay is determined.
type Mode string

// Modes. ModeFixed and ModeOff are baselines for comparison.
const (
	ModeAdaptive Mode = "adaptive"
	ModeFixed    Mode = "fixed"
	ModeOff      Mode = "off"
)

// Defaults of Options.
const (
	DefaultQuantile         = 0.985
	DefaultMinDelay         = 1 * time.Millisecond
	DefaultMaxDelay         = 500 * time.Millisecond
	DefaultInitialDelay     = 20 * time.Millisecond
	DefaultMedianRatio      = 5.0
	DefaultMinSamples       = 100
	DefaultRotationInterval = 2500 * time.Millisecond
)

// Options configures an Estimator. A zero field means its default.
type Options struct {
	// Mode is how the delay is determined; ModeAdaptive if empty.
	Mode Mode
	// FixedDelay is the delay of ModeFixed; DefaultInitialDelay if zero.
	FixedDelay time.Duration
	// Quantile is the quantile of the latencies, from 0 to 1, that the delay
	// follows.
	Quantile float64
	// MinDelay and MaxDelay bound the delay.
	MinDelay time.Duration
	MaxDelay time.Duration
	// InitialDelay is used until the window holds MinSamples latencies.
	InitialDelay time.Duration
	// MedianRatio bounds the delay to this multiple of the median, so that
	// the delay stays useful when more attempts than expected are slow.
	MedianRatio float64
	// MinSamples is the number of latencies in the window that an estimate needs.
	MinSamples int
	// RotationInterval is the time that one of the four generations of the sliding
	// window covers.
	RotationInterval time.Duration
}

func (o Options) withDefaults() Options {
	o.Mode = cmp.Or(o.Mode, ModeAdaptive)
	o.FixedDelay = cmp.Or(o.FixedDelay, DefaultInitialDelay)
	o.Quantile = cmp.Or(o.Quantile, DefaultQuantile)
	o.MinDelay = cmp.Or(o.MinDelay, DefaultMinDelay)
	o.MaxDelay = cmp.Or(o.MaxDelay, DefaultMaxDelay)
	o.InitialDelay = cmp.Or(o.InitialDelay, DefaultInitialDelay)
	o.MedianRatio = cmp.Or(o.MedianRatio, DefaultMedianRatio)
	o.MinSamples = cmp.Or(o.MinSamples, DefaultMinSamples)
	o.RotationInterval = cmp.Or(o.RotationInterval, DefaultRotationInterval)
	return o
}

// Estimator derives the hedge delay of one search or route from the latencies of
// its attempts. It is not safe for concurrent use.
type Estimator struct {
	opts            Options
	latencies       histogram
	generationStart time.Time // start of the current generation
}

// New returns an estimator without samples.
func New(opts Options) *Estimator { return &Estimator{opts: opts.withDefaults()} }

// Observe records the latency of a first attempt. An attempt that was canceled
// because its hedge responded first is recorded with the time until the
// cancellation: it ranks above the delay either way, so the quantile stays
// unbiased. Latencies of hedges and retries must not be recorded.
func (e *Estimator) Observe(now time.Time, latency time.Duration) {
	e.rotate(now)
	e.latencies.add(latency)
}

// Delay returns how long to wait before a hedge is sent; ok is false if no hedge
// must be sent.
func (e *Estimator) Delay(now time.Time) (delay time.Duration, ok bool) {
	switch e.opts.Mode {
	case ModeOff:
		return 0, false
	case ModeFixed:
		return e.opts.FixedDelay, true
	}
	e.rotate(now)
	if e.latencies.total < uint64(e.opts.MinSamples) {
		return e.opts.InitialDelay, true
	}
	delay = e.latencies.quantile(e.opts.Quantile)
	ceiling := time.Duration(e.opts.MedianRatio * float64(e.latencies.quantile(0.5)))
	delay = min(delay, ceiling, e.opts.MaxDelay)
	return max(delay, e.opts.MinDelay), true
}

// Quantile returns quantile q of the latencies in the window, or 0 without samples.
func (e *Estimator) Quantile(now time.Time, q float64) time.Duration {
	e.rotate(now)
	return e.latencies.quantile(q)
}

// rotate starts the generations that are due.
func (e *Estimator) rotate(now time.Time) {
	if e.generationStart.IsZero() {
		e.generationStart = now
		return
	}
	for i := 0; i < generations && now.Sub(e.generationStart) >= e.opts.RotationInterval; i++ {
		e.latencies.rotate()
		e.generationStart = e.generationStart.Add(e.opts.RotationInterval)
	}
	if now.Sub(e.generationStart) >= e.opts.RotationInterval {
		e.generationStart = now
	}
}
