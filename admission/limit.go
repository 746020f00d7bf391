package admission

import (
	"math"
	"time"
)

// Parameters of the limiter.
const (
	// A window ends after Options.MinWindow if it has minWindowSamples samples, and
	// after maxWindow in any case.
	minWindowSamples = 20
	maxWindow        = 5 * time.Second
	// A decrease multiplies the limit by the ratio of the tolerated to the
	// measured slowdown, clamped to this range.
	minDecreaseFactor = 0.5
	maxDecreaseFactor = 0.9
	// increaseFraction is the increase of the limit as a fraction of the limit.
	increaseFraction = 0.02
	// initialIncreaseFraction replaces increaseFraction until the limit has been
	// lowered once.
	initialIncreaseFraction = 0.25
	// baselineGrowth is the factor by which a baseline may grow per window, so
	// that it follows a permanent change of the targets within minutes.
	baselineGrowth = 1.001
	// sampleWeight is the weight of one sample in the moving averages.
	sampleWeight = 0.05
	// expectedDeviations is the number of mean deviations by which the latency of a
	// request is expected to exceed the mean at most.
	expectedDeviations = 2.0
)

// limiter adapts the limit on the number of requests in progress. The limit
// grows while it is reached and the latency stays near its value without load,
// by large steps until the first decrease and by small ones later. It is
// multiplied by a factor below 1 when the latency or the fraction of failures
// rises.
type limiter struct {
	opts        Options
	limit       float64
	windowStart time.Time
	samples     int
	failures    int
	saturated   bool
	// lowered is true once the limit has been lowered.
	lowered  bool
	searches map[string]*latencyStats
	// meanLatency is the moving average over all searches, in nanoseconds.
	meanLatency float64
	// guard replaces limit in ModeGuard; nil in the other modes.
	guard *guard
}

// latencyStats holds the latency statistics of one search, in nanoseconds.
type latencyStats struct {
	mean      float64
	deviation float64
	// baseline estimates the sub-request latency without load: it is the lowest
	// mean of a window, raised by baselineGrowth per window.
	baseline      float64
	windowSum     float64
	windowSamples int
	// window and faster hold Result.SubRequestLatency and Result.FasterLatency of the requests
	// of the window in ModeGuard. objective is the latency objective.
	window    []float64
	faster    []float64
	objective float64
}

func newLimiter(opts Options) *limiter {
	l := &limiter{opts: opts, limit: float64(opts.InitialLimit), searches: map[string]*latencyStats{}}
	if opts.Mode == ModeGuard {
		l.guard = &guard{}
	}
	return l
}

// unlimited reports whether ModeGuard sets no limit at present.
func (l *limiter) unlimited() bool { return l.guard != nil && !l.guard.engaged }

// value returns the limit, in requests.
func (l *limiter) value() int {
	if l.unlimited() {
		return math.MaxInt32
	}
	return int(l.limit)
}

// observe updates the statistics with a finished request, and the limit at the
// end of a window. saturated is true if the limit was reached when the request
// finished.
func (l *limiter) observe(now time.Time, request *runningRequest, r Result, saturated bool) {
	s, known := l.searches[request.search]
	if !known {
		s = &latencyStats{}
		l.searches[request.search] = s
	}
	s.add(float64(r.Latency))
	if l.guard != nil {
		l.observeGuarded(now, request, s, r, saturated)
		return
	}
	s.addToWindow(float64(r.subRequestLatency()))
	l.addToMean(float64(r.Latency))
	l.samples++
	if !r.OK {
		l.failures++
	}
	l.saturated = l.saturated || saturated
	l.closeWindow(now)
}

func (l *limiter) addToMean(latency float64) {
	if l.meanLatency == 0 {
		l.meanLatency = latency
	}
	l.meanLatency += sampleWeight * (latency - l.meanLatency)
}

func (s *latencyStats) add(latency float64) {
	if s.mean == 0 {
		s.mean = latency
	}
	s.deviation += sampleWeight * (math.Abs(latency-s.mean) - s.deviation)
	s.mean += sampleWeight * (latency - s.mean)
}

func (s *latencyStats) addToWindow(latency float64) {
	s.windowSum += latency
	s.windowSamples++
}

// closeWindow ends the window if it has lasted long enough and has enough samples,
// or has lasted maxWindow. In ModeAdaptive it then adapts the limit.
func (l *limiter) closeWindow(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	length := now.Sub(l.windowStart)
	if length < l.opts.MinWindow || l.samples < minWindowSamples && length < maxWindow {
		return
	}
	slowdown := l.slowdown()
	failing := float64(l.failures) > l.opts.MaxFailureFraction*float64(l.samples)
	if l.opts.Mode == ModeAdaptive {
		l.adapt(slowdown, failing)
	}
	l.windowStart = now
	l.samples, l.failures, l.saturated = 0, 0, false
}

func (l *limiter) adapt(slowdown float64, failing bool) {
	fraction := increaseFraction
	if !l.lowered {
		fraction = initialIncreaseFraction
	}
	switch {
	case failing || slowdown > l.opts.Tolerance:
		l.limit *= min(max(l.opts.Tolerance/slowdown, minDecreaseFactor), maxDecreaseFactor)
		l.lowered = true
	case l.saturated:
		l.limit += max(1, l.limit*fraction)
	}
	l.limit = min(max(l.limit, float64(l.opts.MinLimit)), float64(l.opts.MaxLimit))
}

// slowdown returns the mean ratio of the window's latencies to the baselines,
// weighted by the number of samples of each search. It updates the baselines and
// resets the windows of the searches.
func (l *limiter) slowdown() float64 {
	weighted, samples := 0.0, 0
	for _, s := range l.searches {
		if s.windowSamples == 0 {
			continue
		}
		mean := s.windowSum / float64(s.windowSamples)
		if s.baseline == 0 {
			s.baseline = mean
		}
		s.baseline = min(mean, s.baseline*baselineGrowth)
		weighted += mean / s.baseline * float64(s.windowSamples)
		samples += s.windowSamples
		s.windowSum, s.windowSamples = 0, 0
	}
	if samples == 0 {
		return 1
	}
	return weighted / float64(samples)
}

// expected returns a latency that few requests of the search exceed, or 0 if
// there are no samples.
func (l *limiter) expected(search string) time.Duration {
	s, ok := l.searches[search]
	if !ok {
		return 0
	}
	return time.Duration(s.mean + expectedDeviations*s.deviation)
}

// wait estimates how long it takes until the given number of requests have
// finished if limit of them run at a time. It returns 0 if there are no samples.
func (l *limiter) wait(requests, limit int) time.Duration {
	return time.Duration(l.meanLatency * float64(requests) / float64(max(limit, 1)))
}
