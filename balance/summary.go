package balance

import "time"

// Summary describes the Stats of a target for operators.
type Summary struct {
	// Slowness is the mean ratio of the time of an attempt to the usual one.
	Slowness float64
	// FailureFraction is the fraction of attempts that failed.
	FailureFraction float64
	// Overdue is true if an attempt in progress takes longer than usual.
	Overdue bool
	// AvoidedFor is how much longer the target is avoided after a failure to connect.
	AvoidedFor time.Duration
}

// Summary returns a description of the statistics. It does not change them.
func (s *Stats) Summary(now time.Time) Summary {
	c := *s
	c.decay(now)
	return Summary{
		Slowness: 1 + c.slowness, FailureFraction: c.failureFraction, Overdue: c.hasOverdue(now),
		AvoidedFor: max(c.avoidUntil.Sub(now), 0),
	}
}
