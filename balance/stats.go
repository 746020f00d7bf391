// Package balance chooses the target that a request is sent to, from the
// results of earlier attempts at each target: how long they take compared with
// other targets, whether an attempt is overdue, and how many attempts fail.
//
// The package is pure: time is passed in. It is not safe for concurrent use.
package balance

import (
	"math"
	"slices"
	"time"
)

// Parameters of the moving averages.
const (
	// slownessGain is the weight of the newest attempt in the mean slowness.
	slownessGain = 0.25
	// decayTime is the time in which an average that is not updated decays to
	// 1/e, so that a target that was slow is tried again.
	decayTime = 4 * time.Second
	// failureGain is the weight of the newest attempt in the fraction of
	// failures.
	failureGain = 0.2
	// maxSlowness bounds what one attempt adds to the mean.
	maxSlowness = 20
)

// Stats holds the statistics of the attempts at one target. The zero value has
// recorded no attempts.
type Stats struct {
	// slowness is the mean ratio of the time of an attempt to the expected time
	// of its profile, minus 1.
	slowness        float64
	failureFraction float64   // fraction of attempts that failed
	decayedAt       time.Time // when decay last updated the averages
	// inProgress is in the order in which the attempts were sent.
	inProgress []attempt
	// avoidUntil is the end of the time in which the target is avoided after a
	// failure to connect.
	avoidUntil time.Time
	// unreachable is the number of consecutive failures to connect.
	unreachable int
	// learned is in use once the target has joined a group.
	learned learned
}

// attempt is one attempt in progress.
type attempt struct {
	sent time.Time
	// overdue is when the attempt has taken longer than attempts of its profile
	// usually do.
	overdue  time.Time
	expected time.Duration
	// sentLevel is the number of attempts in progress once this one was sent, and level the highest
	// number while it was in progress.
	sentLevel, level int
}

// Sent records the start of an attempt that is overdue after the given time.
func (s *Stats) Sent(now time.Time, overdueAfter time.Duration) {
	s.Started(now, Profile{OverdueAfter: overdueAfter})
}

// Started records the start of an attempt.
func (s *Stats) Started(now time.Time, profile Profile) {
	a := attempt{sent: now, overdue: now.Add(profile.OverdueAfter), expected: profile.Expected, sentLevel: len(s.inProgress) + 1, level: len(s.inProgress) + 1}
	if s.learned.group != nil {
		s.learned.sent(now, profile)
		for i := range s.inProgress {
			s.inProgress[i].level = max(s.inProgress[i].level, a.level)
		}
	}
	s.inProgress = append(s.inProgress, a)
}

// Outstanding returns the number of attempts in progress.
func (s *Stats) Outstanding() int { return len(s.inProgress) }

// Responded records the response to an attempt that was sent at the given time,
// with the expected time of its profile.
func (s *Stats) Responded(now, sent time.Time, expected time.Duration) {
	a, found := s.remove(sent)
	s.decay(now)
	ratio := 1.0
	if expected > 0 {
		ratio = min(float64(now.Sub(sent))/float64(expected), maxSlowness)
	}
	wasSlower := s.learned.slower
	if !found || s.learned.group == nil || !s.learned.responded(now, a, expected) {
		s.slowness += slownessGain * (ratio - 1 - s.slowness)
	}
	if wasSlower && !s.learned.slower {
		s.slowness = min(s.slowness, s.learned.time-1) // decays too slowly for one that has recovered
	}
	s.failureFraction -= failureGain * s.failureFraction
	s.unreachable = 0
}

// Failed records that an attempt ended without a usable response.
func (s *Stats) Failed(now, sent time.Time) {
	s.remove(sent)
	s.decay(now)
	s.failureFraction += failureGain * (1 - s.failureFraction)
}

// Bounds of the time for which an unreachable target is avoided. A target that
// refuses a connection may have too many only for the moment; a target that does
// not respond costs each attempt its full timeout.
const (
	minAvoidRefused = 100 * time.Millisecond
	minAvoidTimeout = 1 * time.Second
	maxAvoid        = 4 * time.Second
)

// Unreachable records that no connection could be established, or that nothing
// was received on it. TimedOut is true if the attempt ended by a timeout.
func (s *Stats) Unreachable(now, sent time.Time, timedOut bool) {
	s.Failed(now, sent)
	s.Avoid(now, timedOut)
}

// Avoided reports whether the target is avoided after a failure to connect.
func (s *Stats) Avoided(now time.Time) bool { return now.Before(s.avoidUntil) }

// Avoid records that a connection could not be established that was for no attempt.
func (s *Stats) Avoid(now time.Time, timedOut bool) {
	avoid := minAvoidRefused
	if timedOut {
		avoid = minAvoidTimeout
	}
	s.avoidUntil = now.Add(min(avoid<<min(s.unreachable, 8), maxAvoid))
	s.unreachable++
}

// Canceled records that an attempt ended for a reason unrelated to the target.
func (s *Stats) Canceled(sent time.Time) { s.remove(sent) }

// Abandoned records that an attempt that reached the target ended without a response, as
// nobody waited for it.
func (s *Stats) Abandoned(now, sent time.Time) {
	if a, found := s.remove(sent); found && s.learned.group != nil {
		s.learned.abandoned(now, a)
	}
}

func (s *Stats) remove(sent time.Time) (a attempt, found bool) {
	i := slices.IndexFunc(s.inProgress, func(a attempt) bool { return a.sent.Equal(sent) })
	if i < 0 {
		return attempt{}, false
	}
	a = s.inProgress[i]
	s.inProgress = slices.Delete(s.inProgress, i, i+1)
	return a, true
}

// decay reduces the averages by the time since they were last updated.
func (s *Stats) decay(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
		return
	}
	if age := now.Sub(s.decayedAt); age > 0 {
		keep := math.Exp(-float64(age) / float64(decayTime))
		s.slowness *= keep
		s.failureFraction *= keep
		s.decayedAt = now
		if l := &s.learned; l.slower && now.Sub(l.lastEnd) > staleTime {
			l.forgetTime()
		}
	}
}

// hasOverdue reports whether an attempt in progress is overdue.
func (s *Stats) hasOverdue(now time.Time) bool {
	for _, a := range s.inProgress {
		if now.After(a.overdue) {
			return true
		}
	}
	return false
}
