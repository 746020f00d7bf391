package target

import "time"

// latencyWarmup is the number of answers after which the learned median counts.
const latencyWarmup = 50

// latencyStep is the share by which one answer moves the learned median.
const latencyStep = 0.02

// latency learns the median service time by stochastic approximation: each
// answer moves the estimate by a fixed share towards itself.
type latency struct {
	median float64 // nanoseconds
	seen   int
	run    int // answers in a row above the limit
}

// jumped takes one service time and reports whether count of them in a row
// exceeded factor times the median. Such answers don't move the median.
func (l *latency) jumped(service time.Duration, factor, count int) bool {
	s := float64(service)
	if l.seen >= latencyWarmup && s > float64(factor)*l.median {
		l.run++
		return l.run >= count
	}
	l.run = 0
	l.learn(s)
	return false
}

func (l *latency) learn(s float64) {
	l.seen++
	switch {
	case l.seen == 1:
		l.median = s
	case s > l.median:
		l.median *= 1 + latencyStep
	case s < l.median:
		l.median *= 1 - latencyStep
	}
}
