package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Evidence that is required, and how long it counts.
const (
	// minEnds is the number of targets that must have ended under a request.
	minEnds = 3
	// minDepth is the number of them that must have ended one after the other: each
	// began to run the request after the one before had ended. A failure that ends many
	// targets at once does not look like that.
	minDepth = 2
	// minCallers is the number of callers under whose requests targets must have ended
	// before requests with the same content of other callers are refused too.
	minCallers = 2
	// suspectEnds is the number of targets after which a request is sent to one target
	// at a time.
	suspectEnds = 2
	// suspectEndsSharded is the same for a sharded request that no target has completed: many
	// targets run it, and the others would end right after the first.
	suspectEndsSharded = 1
	// turnSpread is the time over which the processes take turns with a request under whose
	// repeats targets have just ended elsewhere: a verdict reaches them well within it.
	turnSpread = 800 * time.Millisecond
	// soundFor is how long after a completion of a request the ends of targets do not
	// count against it.
	soundFor = 10 * time.Second
	// evidenceRetention is how long an end counts.
	evidenceRetention = 10 * time.Minute
	// confirmTimeout is how long an end counts that is not confirmed.
	confirmTimeout = 2 * time.Second
	// maxEnds bounds the ends that are kept of one request.
	maxEnds = 8
)

// Run is one run of a target, from its start to its end, and the time in which it ran
// a request.
type Run struct {
	// Target is the target's ID, and Incarnation distinguishes its runs; zero if it is
	// not known.
	Target      string
	Incarnation int64
	// StartedAt is when the request was sent, EndedAt when the connection ended.
	StartedAt, EndedAt time.Time
}

// end is the end of a target while it ran a request.
type end struct {
	Run
	caller callerID
	// repeat is the ID of the repeat of the request; empty if another process sent it.
	repeat string
	// confirmed is true once it is known that the target's process has ended. Until
	// then its connection may have failed.
	confirmed bool
}

func (e *end) sameRun(target string, incarnation int64) bool {
	return e.Target == target && e.Incarnation == incarnation
}

// restartGap is the time after the end of a run from which a request that is sent to the
// target runs in another one. It exceeds the time in which processes notice the end.
const restartGap = 250 * time.Millisecond

// same reports whether a later end is of the same run. If an incarnation is not known, ends
// of a target that are close in time are.
func (e *end) same(later *end) bool {
	switch {
	case e.Target != later.Target:
		return false
	case e.Incarnation == 0 || later.Incarnation == 0:
		return e.EndedAt.Sub(later.EndedAt).Abs() < confirmTimeout && !later.StartedAt.After(e.EndedAt.Add(restartGap))
	}
	return e.Incarnation == later.Incarnation && !later.StartedAt.After(e.EndedAt.Add(restartGap))
}

// subject is what is known of the repeats of one request.
type subject struct {
	key Key
	// caller and path describe the request to operators; empty if not known.
	caller, path string
	ends         []end // in the order of EndedAt
	// soundAt is when a target last completed the request, as far as known.
	soundAt time.Time
	// quarantined is true if the request is not sent to targets.
	quarantined bool
	// convictedAt is when it was quarantined.
	convictedAt time.Time
	// until is when one target may be tried again.
	until time.Time
	// failedTrials is the number of trials in which the target ended.
	failedTrials int
	// trial is the ID of the request on trial, until trialEnds. The request is sent to
	// one target.
	trial     string
	trialEnds time.Time
	// told is true if other processes may know what speaks against the request.
	told bool
	// refused is the number of requests that were refused.
	refused int
	// changedAt is when something was last learned, or the request last came.
	changedAt time.Time
	// toldDepth is the depth of the evidence of which news were last sent at once. Further
	// ends of the same depth would tell the others nothing.
	toldDepth int
	// pushes is how often the news of this request are still to be sent at once.
	pushes int
}

// add adds an end. It reports whether it is new and counts.
func (s *subject) add(e end) bool {
	if s.outweighed(&e) {
		return false
	}
	for i := range s.ends {
		if known := &s.ends[i]; known.same(&e) {
			changed := e.confirmed && !known.confirmed
			known.confirmed = known.confirmed || e.confirmed
			known.Incarnation = cmp.Or(known.Incarnation, e.Incarnation)
			return changed
		}
	}
	if len(s.ends) == maxEnds && !e.EndedAt.After(s.ends[0].EndedAt) {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.ends, e, func(a, b end) int { return a.EndedAt.Compare(b.EndedAt) })
	s.ends = slices.Insert(s.ends, at, e)
	if len(s.ends) > maxEnds {
		s.ends = slices.Delete(s.ends, 0, 1)
	}
	return true
}

// outweighed reports whether a completion of the request outweighs an end.
func (s *subject) outweighed(e *end) bool {
	return !s.soundAt.IsZero() && !e.EndedAt.After(s.soundAt.Add(soundFor))
}

// setSound records a completion, which removes the ends that it outweighs. It reports
// whether it is newer than those known.
func (s *subject) setSound(at time.Time) bool {
	if !at.After(s.soundAt) {
		return false
	}
	s.soundAt = at
	s.ends = slices.DeleteFunc(s.ends, func(e end) bool { return s.outweighed(&e) })
	return true
}

// counts reports whether an end still counts against the request.
func (s *subject) counts(now time.Time, e *end) bool {
	limit := evidenceRetention
	if !e.confirmed {
		limit = confirmTimeout
	}
	return now.Sub(e.EndedAt) <= limit
}

// evidence is the number of ends, how many of them were one after the other, and the
// number of callers under whose requests they were.
type evidence struct{ ends, depth, callers int }

// evidence returns the evidence against the request, with or without the ends that are
// not confirmed.
func (s *subject) evidence(now time.Time, unconfirmed bool) evidence {
	var found evidence
	var last time.Time
	var callers []callerID
	for i := range s.ends {
		e := &s.ends[i]
		if (!e.confirmed && !unconfirmed) || !s.counts(now, e) {
			continue
		}
		found.ends++
		if found.depth == 0 || e.StartedAt.After(last) {
			found.depth++
			last = e.EndedAt
		}
		if !slices.Contains(callers, e.caller) {
			callers = append(callers, e.caller)
		}
	}
	found.callers = len(callers)
	return found
}

// suffices reports whether the evidence is enough to quarantine the request.
func (s *subject) suffices(e evidence) bool {
	return e.ends >= minEnds && e.depth >= minDepth && (s.key.caller() != anyCaller || e.callers >= minCallers)
}

// endsUnder returns the number of ends under one repeat of the request.
func (s *subject) endsUnder(now time.Time, repeat string) (n int) {
	for i := range s.ends {
		if e := &s.ends[i]; e.repeat == repeat && s.counts(now, e) {
			n++
		}
	}
	return n
}

// suspected reports whether the request may be sent to one target at a time only.
func (s *subject) suspected(now time.Time) bool {
	return s.evidence(now, true).ends >= suspectEnds
}

// confirm records whether the run of a target has ended. It reports whether an end
// changed.
func (s *subject) confirm(target string, incarnation int64, ended bool) (changed bool) {
	s.ends = slices.DeleteFunc(s.ends, func(e end) bool {
		remove := !ended && !e.confirmed && e.sameRun(target, incarnation)
		changed = changed || remove
		return remove
	})
	for i := range s.ends {
		if e := &s.ends[i]; ended && !e.confirmed && e.sameRun(target, incarnation) {
			e.confirmed, changed = true, true
		}
	}
	return changed
}

// Terms of a quarantine.
const (
	// firstTerm is how long a request is quarantined before one target is tried again.
	// Each trial in which the target ends makes the next term termFactor times as long,
	// up to maxTerm.
	firstTerm  = 30 * time.Second
	termFactor = 4
	maxTerm    = time.Hour
	// trialTime is how long a trial may take. No process begins another one meanwhile.
	trialTime = 5 * time.Second
	// trialSpread is the time over which the processes begin trials, so that few begin
	// one at once.
	trialSpread = 3 * time.Second
	// objectionTime is how long after a request was quarantined its repeats wait: a
	// process that has seen it completed objects within that time.
	objectionTime = 400 * time.Millisecond
)

// term returns the length of the present term.
func (s *subject) term() time.Duration {
	d := firstTerm
	for range s.failedTrials {
		if d *= termFactor; d >= maxTerm {
			return maxTerm
		}
	}
	return d
}

// soundRetention is how long it is remembered that nothing speaks against a request that
// was suspected: others may have told yet others of it.
const soundRetention = time.Minute

// expired reports whether nothing needs to be remembered any more.
func (s *subject) expired(now time.Time) bool {
	keep := evidenceRetention
	switch {
	case s.quarantined:
		keep = max(keep, 2*s.term())
	case len(s.ends) == 0:
		keep = soundRetention
	}
	return now.Sub(s.changedAt) > keep
}

// weight orders subjects by how much is lost if they are forgotten.
func (s *subject) weight() int {
	if s.quarantined {
		return maxEnds + 1
	}
	return len(s.ends)
}

// lighter orders subjects for eviction.
func lighter(a, b *subject) int {
	return cmp.Or(cmp.Compare(a.weight(), b.weight()), a.changedAt.Compare(b.changedAt))
}
