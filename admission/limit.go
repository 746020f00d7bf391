package admission

import (
	"math"
	"time"
)

// Constants of the adaptation.
const (
	minWindowSamples = 20
	maxWindow        = 5 * time.Second
	// A decrease is by the ratio of the tolerated to the measured slowdown,
	// within these bounds.
	maxDecrease   = 0.5
	minDecrease   = 0.9
	increaseShare = 0.02
	// startShare is the increase until the limit has been lowered once.
	startShare = 0.25
	// baselineRise is how much an unloaded latency may grow per window, so that
	// a lasting change of the targets is learned in minutes.
	baselineRise = 1.001
	// serviceWeight is the weight of one sample in the moving estimates.
	serviceWeight = 0.05
	// deviations is the number of mean deviations above the mean that a request
	// is expected to take at most.
	deviations = 2.0
)

// limiter adapts the number of requests in progress: it grows while it is used
// up and latency stays near its unloaded value, by large steps at first and by
// small ones later, and shrinks by a factor when latency or failures rise.
type limiter struct {
	opts     Options
	limit    float64
	started  time.Time
	samples  int
	failures int
	full     bool
	// settled is set once the limit has been lowered.
	settled  bool
	searches map[string]*service
	// took is the moving mean over all searches, in nanoseconds.
	took float64
}

// service is what is known about the latency of one search, in nanoseconds.
type service struct {
	mean      float64
	deviation float64
	// baseline is the lowest mean of a window of typical shard latencies: the
	// latency without load.
	baseline float64
	sum      float64
	samples  int
}

func newLimiter(opts Options) *limiter {
	return &limiter{opts: opts, limit: float64(opts.InitialLimit), searches: map[string]*service{}}
}

// value returns the number of requests that may be in progress.
func (l *limiter) value() int { return int(l.limit) }

// observe learns from a finished request. Full tells whether the limit was
// used up while it ran.
func (l *limiter) observe(now time.Time, search string, r Result, full bool) {
	s, known := l.searches[search]
	if !known {
		s = &service{}
		l.searches[search] = s
	}
	s.add(float64(r.Latency))
	s.addTypical(float64(r.typical()))
	if l.took == 0 {
		l.took = float64(r.Latency)
	}
	l.took += serviceWeight * (float64(r.Latency) - l.took)
	l.samples++
	if !r.OK {
		l.failures++
	}
	l.full = l.full || full
	l.closeWindow(now)
}

func (s *service) add(took float64) {
	if s.mean == 0 {
		s.mean = took
	}
	s.deviation += serviceWeight * (math.Abs(took-s.mean) - s.deviation)
	s.mean += serviceWeight * (took - s.mean)
}

func (s *service) addTypical(latency float64) {
	s.sum += latency
	s.samples++
}

// closeWindow changes the limit once a window has enough samples.
func (l *limiter) closeWindow(now time.Time) {
	if l.started.IsZero() {
		l.started = now
	}
	age := now.Sub(l.started)
	if age < l.opts.MinWindow || l.samples < minWindowSamples && age < maxWindow {
		return
	}
	slowdown := l.slowdown()
	failing := float64(l.failures) > l.opts.MaxFailureFraction*float64(l.samples)
	if l.opts.Mode == ModeAdaptive {
		l.adapt(slowdown, failing)
	}
	l.started = now
	l.samples, l.failures, l.full = 0, 0, false
}

func (l *limiter) adapt(slowdown float64, failing bool) {
	share := increaseShare
	if !l.settled {
		share = startShare
	}
	switch {
	case failing || slowdown > l.opts.Tolerance:
		l.limit *= min(max(l.opts.Tolerance/slowdown, maxDecrease), minDecrease)
		l.settled = true
	case l.full:
		l.limit += max(1, l.limit*share)
	}
	l.limit = min(max(l.limit, float64(l.opts.MinLimit)), float64(l.opts.MaxLimit))
}

// slowdown returns the window's latency as a multiple of the unloaded one,
// weighted by the searches' samples, and updates the unloaded latencies.
func (l *limiter) slowdown() float64 {
	weighted, samples := 0.0, 0
	for _, s := range l.searches {
		if s.samples == 0 {
			continue
		}
		mean := s.sum / float64(s.samples)
		if s.baseline == 0 {
			s.baseline = mean
		}
		s.baseline = min(mean, s.baseline*baselineRise)
		weighted += mean / s.baseline * float64(s.samples)
		samples += s.samples
		s.sum, s.samples = 0, 0
	}
	if samples == 0 {
		return 1
	}
	return weighted / float64(samples)
}

// expected returns how long a request of the search takes at most in all but
// few cases; 0 if nothing is known.
func (l *limiter) expected(search string) time.Duration {
	s, ok := l.searches[search]
	if !ok {
		return 0
	}
	return time.Duration(s.mean + deviations*s.deviation)
}

// wait returns how long it takes until the given number of requests have
// finished while limit of them run; 0 if nothing is known.
func (l *limiter) wait(requests, limit int) time.Duration {
	return time.Duration(l.took * float64(requests) / float64(max(limit, 1)))
}
