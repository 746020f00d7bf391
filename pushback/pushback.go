// Package pushback tracks what a target asks of its callers in its responses: to stay
// within a number of requests per second, to send nothing for a time, or to send nothing
// more because it is leaving.
//
// The package is pure: time is passed in. It is not safe for concurrent use.
package pushback

import "time"

// Notice is what one response of a target asks for.
type Notice struct {
	// Limited is true if the response names a limit, which is then Limit: the number of
	// requests per second that the target takes from all processes together.
	Limited bool
	Limit   float64
	// Leaving is true if the target is leaving.
	Leaving bool
	// Pause is how long the target wants no requests from this process; zero if it does
	// not say.
	Pause time.Duration
	// Malformed is the first value that could not be read; empty if there was none.
	Malformed string
}

// Change is how a response changed what is known of a target.
type Change int

// Changes.
const (
	Unchanged   Change = iota
	LimitNamed         // a limit was named for the first time, or another one than before
	LimitEnded         // responses no longer name a limit
	LeavingTold        // the target is leaving
	PauseAsked         // the target wants no requests for a time
	Unreadable         // the target asked for something that cannot be read, other than before
)

// Counts are numbers of attempts at a target.
type Counts struct {
	// First is the number of attempts that were the first of their shard, Extra that of
	// hedges and retries.
	First int `json:"first"`
	Extra int `json:"extra"`
}

// State is what is known of one target. The zero value has seen no response.
type State struct {
	limited bool
	// limit is the number of requests per second from all processes together.
	limit float64
	// limitSince is when the limit in force was first named, limitNamedAt when it was
	// last named.
	limitSince, limitNamedAt time.Time
	leavingSince             time.Time // zero if the target is not known to be leaving
	pausedUntil              time.Time
	malformed                string // Notice.Malformed of the last response
	sinceLimit               Counts // attempts since limitSince
	share                    Share
	credit                   credit
}

// Parameters of limits.
const (
	// usedFraction is the fraction of a limit that is shared out. The rest is left for
	// processes that the target has not told yet.
	usedFraction = 0.9
	// minLimit is the limit, in requests per second, that applies to targets that name a
	// lower one: without any requests nothing would tell that the limit has ended.
	minLimit = 0.15
	// maxLimit is a limit that no process reaches.
	maxLimit = 1e9
)

// Share is the part of a limit that a process may use.
type Share struct {
	// Fraction is the part, from 0 to 1. Those of all processes add up to 1 at most.
	Fraction float64
	// Phase is what has been earned of the first request when the limit is named, from 0 to
	// less than 1. The phases of all processes spread evenly: if each may send a request
	// every ten seconds, they must not all send in the same second.
	Phase float64
}

// SetShare sets the part of the limit that this process may use.
func (s *State) SetShare(now time.Time, share Share) {
	s.credit.refill(now, s.rate())
	s.share = share
}

// Limited reports whether a limit is in force.
func (s *State) Limited() bool { return s.limited }

// rate returns the number of requests per second that this process may send while a limit
// is in force.
func (s *State) rate() float64 {
	return usedFraction * s.share.Fraction * min(max(s.limit, minLimit), maxLimit)
}

// Available returns when the target may get the next attempt: now or earlier if at once.
// Extra is true for a hedge or a retry.
func (s *State) Available(now time.Time, extra bool) time.Time {
	at := now
	if s.limited {
		rate, reserve := s.rate(), 0.0
		s.credit.refill(now, rate)
		if !extra {
			reserve = extraReserve(rate)
		}
		at = s.credit.availableAt(now, rate, reserve)
	}
	if s.pausedUntil.After(at) {
		return s.pausedUntil
	}
	return at
}

// Paused reports whether the target wants no requests now.
func (s *State) Paused(now time.Time) bool { return now.Before(s.pausedUntil) }

// LeavingSince returns when the target was first known to be leaving; zero if it is not.
func (s *State) LeavingSince() time.Time { return s.leavingSince }

// Idle reports whether the target asks for nothing.
func (s *State) Idle(now time.Time) bool {
	return !s.limited && s.leavingSince.IsZero() && !s.Paused(now)
}

// Observe records the notice of a response that arrived now, to a request that was sent
// at the given time. It returns what changed; if several things changed, the gravest.
func (s *State) Observe(now, sent time.Time, n Notice) Change {
	change := s.observeLimit(now, sent, n)
	if n.Pause > 0 {
		if until := now.Add(n.Pause); until.After(s.pausedUntil) {
			s.pausedUntil = until
		}
		change = PauseAsked
	}
	if n.Leaving && s.leavingSince.IsZero() {
		s.leavingSince = now
		change = LeavingTold
	}
	if change == Unchanged && n.Malformed != s.malformed {
		s.malformed = n.Malformed
		if n.Malformed != "" {
			change = Unreadable
		}
	}
	return change
}

// observeLimit records whether a response names a limit. Responses may arrive in another
// order than they were sent in: only one to a request that was sent after the limit had
// last been named shows that it has ended.
func (s *State) observeLimit(now, sent time.Time, n Notice) Change {
	switch {
	case n.Limited:
		first, before := !s.limited, s.limit
		s.credit.refill(now, s.rate())
		s.limited, s.limit, s.limitNamedAt = true, n.Limit, now
		if first {
			s.limitSince, s.sinceLimit, s.credit = now, Counts{}, credit{amount: s.share.Phase, at: now}
		}
		if first || n.Limit != before {
			return LimitNamed
		}
	case s.limited && n.Malformed == "" && sent.After(s.limitNamedAt):
		s.limited = false
		return LimitEnded
	}
	return Unchanged
}

// Sent records an attempt that is sent to the target, and takes its credit.
func (s *State) Sent(now time.Time, extra bool) {
	if !s.limited {
		return
	}
	s.credit.refill(now, s.rate())
	s.credit.take()
	if extra {
		s.sinceLimit.Extra++
	} else {
		s.sinceLimit.First++
	}
}

// Report describes a State for operators.
type Report struct {
	Limit *float64 `json:"limit,omitempty"`
	// LimitForMs is how long the limit has been named, and Sent what this process has
	// sent since.
	LimitForMs int64   `json:"limit_for_ms,omitempty"`
	Sent       *Counts `json:"sent,omitempty"`
	// LeavingForMs is how long the target has been known to be leaving.
	LeavingForMs int64 `json:"leaving_for_ms,omitempty"`
	// PausedForMs is how much longer the target wants no requests.
	PausedForMs int64 `json:"paused_for_ms,omitempty"`
}

// Report returns what is known of the target, and whether there is anything.
func (s *State) Report(now time.Time) (Report, bool) {
	var r Report
	if s.limited {
		limit, sent := s.limit, s.sinceLimit
		r.Limit, r.Sent, r.LimitForMs = &limit, &sent, now.Sub(s.limitSince).Milliseconds()
	}
	if !s.leavingSince.IsZero() {
		r.LeavingForMs = max(now.Sub(s.leavingSince).Milliseconds(), 1)
	}
	r.PausedForMs = max(s.pausedUntil.Sub(now).Milliseconds(), 0)
	return r, s.limited || r.LeavingForMs > 0 || r.PausedForMs > 0
}

// SinceLimit returns the attempts since the limit was first named, and for how long it has
// been named.
func (s *State) SinceLimit(now time.Time) (Counts, time.Duration) {
	return s.sinceLimit, now.Sub(s.limitSince)
}
