package target

import "time"

// minLatencySamples is the number of responses after which the estimated
// median is used.
const minLatencySamples = 50

// medianStep is the fraction by which one response moves the estimated median.
const medianStep = 0.02

// latencyDetector detects jumps of the service time. It estimates the median
// by stochastic approximation: each response moves the estimate by a fixed
// fraction towards its own service time.
type latencyDetector struct {
	median          float64 // nanoseconds
	samples         int
	consecutiveSlow int // responses in a row above the limit
}

// observe records one service time and reports whether at least the last count of
// them exceeded factor times the median. Responses above that limit do not move the
// median.
func (l *latencyDetector) observe(service time.Duration, factor, count int) bool {
	s := float64(service)
	if l.samples >= minLatencySamples && s > float64(factor)*l.median {
		l.consecutiveSlow++
		return l.consecutiveSlow >= count
	}
	l.consecutiveSlow = 0
	l.updateMedian(s)
	return false
}

func (l *latencyDetector) updateMedian(s float64) {
	l.samples++
	switch {
	case l.samples == 1:
		l.median = s
	case s > l.median:
		l.median *= 1 + medianStep
	case s < l.median:
		l.median *= 1 - medianStep
	}
}
