// Package plan decides the course of one request over one or more shards: when
// another attempt is made, when the response is sent with the shards that have
// responded, and when the request has failed.
//
// The package is pure: time is passed in, and the calling code makes the attempts.
package plan

import (
	"math"
	"time"
)

// Limits of attempts and retries.
const (
	// AttemptHeadroom is the number of attempts at a shard that are allowed
	// beyond MaxTargets: refused attempts and further attempts at the same target
	// do not count against MaxTargets.
	AttemptHeadroom = 3
	// minRetryDelay and maxRetryDelay bound the backoff of a shard after
	// refused attempts, or when no target is available.
	minRetryDelay = 4 * time.Millisecond
	maxRetryDelay = 64 * time.Millisecond
	// minLaterHedgeDelay is the shortest hedge delay after the second and later
	// attempts at a shard. It is longer than the pauses of targets: an attempt that
	// takes longer is on a connection that has stopped responding.
	minLaterHedgeDelay = 300 * time.Millisecond
)

// Only stragglers are hedged: shards that take longer than most shards of the
// same request. While most shards are outstanding, the cause is this process or
// the network, and hedges would add to the load on it.
const (
	// quorumFraction is the fraction of shards that must have responded before
	// the others count as stragglers. The last maxStragglers shards count as
	// stragglers regardless of the fraction.
	quorumFraction = 0.7
	maxStragglers  = 2
	// stragglerFactor is the time after which stragglers may be hedged, in
	// multiples of the time in which the quorum responded.
	stragglerFactor = 1.25
	// noQuorumFactor is the time after which shards may be hedged without a quorum,
	// in multiples of the hedge delay.
	noQuorumFactor = 2
)

// Options describes a request.
type Options struct {
	// Shards is the number of shards; 1 for a request to one service.
	Shards int
	// MaxTargets is the largest number of targets of a shard that may run the
	// request.
	MaxTargets int
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// MinFraction is the smallest fraction of shards that suffices for a response.
	MinFraction float64
	// PartialAt is when a response is sent that has enough shards but not all.
	PartialAt time.Time
	// OnTimeUntil is the latest time at which a response is on time. If enough
	// shards have responded only after PartialAt, but by this time, the response is
	// sent at once.
	OnTimeUntil time.Time
	// LatePartialAt replaces PartialAt if enough shards have responded only
	// after OnTimeUntil.
	LatePartialAt time.Time
	// SendBy is when the decision is NotRun if no attempt has been sent, and when the
	// request fails if too many shards have no target.
	SendBy time.Time
	// Deadline is when the request fails.
	Deadline time.Time
	// HedgeAfter is how long an attempt may take before a hedge is sent to
	// another target; zero for never.
	HedgeAfter time.Duration
}

// Decision is what to do with a request.
type Decision int

// Decisions.
const (
	Wait     Decision = iota
	Complete          // all shards have responded
	Partial           // enough shards have responded; the others are left out
	NotRun            // no target has run the request or will run it
	Failed            // the request failed, and a target may have run it
	Expired           // the deadline passed, and a target may have run the request
)

type shard struct {
	responded bool
	failed    bool
	// unavailable is true if no attempt is in progress and no target could be chosen
	// for the next one.
	unavailable bool
	attempts    int
	reached     int // attempts that ended and that may have reached a target
	inFlight    int
	backoffs    int       // times that the shard became due again
	nextAt      time.Time // when another attempt is due; zero for never
	targets     []targetUse
}

// targetUse is what is known of one shard's attempts at one target.
type targetUse struct {
	id         string
	inFlight   int
	mayHaveRun bool // whether the target may have run an attempt that failed
}

// counts reports whether the target counts against MaxTargets.
func (u *targetUse) counts() bool { return u.inFlight > 0 || u.mayHaveRun }

// Plan is the state of one request. It is not safe for concurrent use.
type Plan struct {
	hasEnded  bool // no attempt is due any more
	opts      Options
	shards    []shard
	responded int // number of shards that have responded
	failed    int // number of shards that have failed
	// unavailable is the number of shards without a target, among those that have
	// not failed.
	unavailable int
	sent        bool // whether an attempt has been sent
	// anyMayHaveRun is true if a target may have run an attempt that failed.
	anyMayHaveRun bool
	// enoughAt is when enough shards had responded; zero before.
	enoughAt time.Time
	start    time.Time
	// hedgesFrom is when the first hedge may be sent.
	hedgesFrom time.Time
}

// usualTargets is the number of targets for which a shard has space without another
// allocation.
const usualTargets = 2

// New returns the plan of a request whose shards are all due.
func New(now time.Time, opts Options) *Plan {
	p := &Plan{opts: opts, shards: make([]shard, opts.Shards), start: now, hedgesFrom: now}
	if p.quorum() > 0 {
		p.hedgesFrom = now.Add(noQuorumFactor * opts.HedgeAfter)
	}
	uses := make([]targetUse, opts.Shards*usualTargets)
	for i := range p.shards {
		p.shards[i].nextAt = now
		p.shards[i].targets, uses = uses[:0:usualTargets], uses[usualTargets:]
	}
	return p
}

// Due returns a shard that is due for another attempt; ok is false if there is
// none. Extra is true if an earlier attempt at the shard may have reached a
// target, so that this one draws on the retry budget.
func (p *Plan) Due(now time.Time) (i int, extra, ok bool) {
	if p.hasEnded {
		return 0, false, false
	}
	for i := range p.shards {
		s := &p.shards[i]
		if at := p.dueAt(s); !at.IsZero() && !at.After(now) {
			return i, s.inFlight > 0 || s.reached > 0, true
		}
	}
	return 0, false, false
}

// dueAt returns when a shard is due for another attempt; zero for never.
func (p *Plan) dueAt(s *shard) time.Time {
	if s.responded || s.failed || s.nextAt.IsZero() {
		return time.Time{}
	}
	if s.inFlight > 0 && s.nextAt.Before(p.hedgesFrom) {
		return p.hedgesFrom
	}
	return s.nextAt
}

// Sent records an attempt at a shard, which goes to the given target.
func (p *Plan) Sent(now time.Time, i int, target string) {
	s := &p.shards[i]
	p.setUnavailable(s, false)
	s.attempts++
	s.inFlight++
	s.use(target).inFlight++
	p.sent = true
	s.nextAt = time.Time{}
	if p.opts.HedgeAfter == 0 || !p.opts.Idempotent || s.attempts >= p.maxAttempts() {
		return
	}
	delay := p.opts.HedgeAfter
	if s.attempts > 1 {
		delay = max(delay, minLaterHedgeDelay)
	}
	s.nextAt = now.Add(delay)
}

// use returns the record of a target, which it adds if it is new.
func (s *shard) use(target string) *targetUse {
	for i := range s.targets {
		if s.targets[i].id == target {
			return &s.targets[i]
		}
	}
	s.targets = append(s.targets, targetUse{id: target})
	return &s.targets[len(s.targets)-1]
}

// ended records the end of an attempt at a target.
func (s *shard) ended(target string, mayHaveRun bool) {
	s.inFlight--
	u := s.use(target)
	u.inFlight--
	u.mayHaveRun = u.mayHaveRun || mayHaveRun
}

func (p *Plan) maxAttempts() int { return p.opts.MaxTargets + AttemptHeadroom }

// Denied records that the retry budget did not allow another attempt. A shard
// without an attempt in progress fails: the budget recovers only within seconds.
func (p *Plan) Denied(now time.Time, i int) {
	s := &p.shards[i]
	if s.inFlight == 0 {
		p.fail(s)
		return
	}
	p.Unavailable(now, i)
}

// Unavailable records that no target of the shard was available. The shard is
// due again after a backoff.
func (p *Plan) Unavailable(now time.Time, i int) {
	s := &p.shards[i]
	p.setUnavailable(s, s.inFlight == 0)
	s.nextAt = now.Add(p.backoff(s))
	s.backoffs++
}

// UnavailableUntil records that no target of the shard may be chosen before the given time.
// A shard that can't be part of the response any more, and has no attempt in progress,
// fails: the response does not wait for it.
func (p *Plan) UnavailableUntil(now time.Time, i int, at time.Time) {
	s := &p.shards[i]
	if s.inFlight == 0 && at.After(p.usefulUntil(now)) {
		p.fail(s)
		return
	}
	p.Unavailable(now, i)
	if at.After(s.nextAt) {
		s.nextAt = at
	}
}

// usefulUntil returns until when an attempt at a shard without one may be sent for its
// response to be of use: until it would be left out, or until the request is refused.
func (p *Plan) usefulUntil(now time.Time) time.Time {
	switch {
	case len(p.shards) == 1:
		return p.opts.SendBy
	case now.Before(p.opts.PartialAt):
		return p.opts.PartialAt
	}
	return p.opts.LatePartialAt
}

// Hold postpones the next attempt at a shard.
func (p *Plan) Hold(i int, until time.Time) { p.shards[i].nextAt = until }

// GiveUp ends the attempts at a shard. Those in progress may still respond.
func (p *Plan) GiveUp(i int) {
	s := &p.shards[i]
	s.nextAt = time.Time{}
	if s.inFlight == 0 {
		p.fail(s)
	}
}

func (p *Plan) setUnavailable(s *shard, unavailable bool) {
	if s.unavailable == unavailable {
		return
	}
	s.unavailable = unavailable
	if unavailable {
		p.unavailable++
	} else {
		p.unavailable--
	}
}

func (p *Plan) backoff(s *shard) time.Duration {
	return min(minRetryDelay<<min(s.backoffs, 8), maxRetryDelay)
}

// Responded records the response of a shard's target. It returns false if the shard
// had already responded.
func (p *Plan) Responded(now time.Time, i int, target string) bool {
	s := &p.shards[i]
	s.ended(target, true)
	if s.responded {
		return false
	}
	if s.failed {
		s.failed = false
		p.failed--
	}
	s.responded = true
	p.responded++
	if p.enoughAt.IsZero() && p.enough(p.responded) {
		p.enoughAt = now
	}
	if p.responded == p.quorum() {
		from := p.start.Add(time.Duration(stragglerFactor * float64(now.Sub(p.start))))
		p.hedgesFrom = earlier(p.hedgesFrom, from)
	}
	return true
}

// quorum returns the number of shards that must have responded before the
// others are stragglers.
func (p *Plan) quorum() int {
	n := len(p.shards)
	return max(min(int(math.Ceil(quorumFraction*float64(n))), n-maxStragglers), 0)
}

// Refused records that a target did not run an attempt.
func (p *Plan) Refused(now time.Time, i int, target string) {
	p.shards[i].reached++
	p.NotSent(now, i, target)
}

// NotSent records that nothing of an attempt was sent.
func (p *Plan) NotSent(now time.Time, i int, target string) {
	s := &p.shards[i]
	s.ended(target, false)
	if s.responded {
		return
	}
	p.retry(now, s)
}

// Failed records that an attempt failed and that a target may have run it.
func (p *Plan) Failed(now time.Time, i int, target string) {
	s := &p.shards[i]
	s.ended(target, true)
	s.reached++
	p.anyMayHaveRun = true
	if s.responded {
		return
	}
	if !p.opts.Idempotent {
		p.fail(s)
		return
	}
	p.retry(now, s)
}

// retry makes a shard due for another attempt, the first time without backoff.
// The shard fails if it has no attempts left and none is in progress.
func (p *Plan) retry(now time.Time, s *shard) {
	if s.attempts >= p.maxAttempts() {
		if s.inFlight == 0 {
			p.fail(s)
		}
		return
	}
	at := now
	if s.backoffs > 0 {
		at = now.Add(p.backoff(s))
	}
	s.backoffs++
	s.nextAt = at
}

func (p *Plan) fail(s *shard) {
	p.setUnavailable(s, false)
	if !s.failed {
		s.failed = true
		p.failed++
	}
	s.nextAt = time.Time{}
}

// Responses returns the number of shards that have responded.
func (p *Plan) Responses() int { return p.responded }

// Missing reports whether a shard has not responded.
func (p *Plan) Missing(i int) bool { return !p.shards[i].responded }

// CanServe reports whether the request can succeed if only the given number of
// shards have a target.
func (p *Plan) CanServe(served int) bool { return p.enough(served) }

// enough reports whether n shards suffice for a response.
func (p *Plan) enough(n int) bool {
	return n > 0 && float64(n) >= p.opts.MinFraction*float64(len(p.shards))-1e-9
}

// mayHaveRun reports whether a target has run, is running or may yet run the
// request.
func (p *Plan) mayHaveRun() bool {
	if p.anyMayHaveRun || p.responded > 0 {
		return true
	}
	for i := range p.shards {
		if p.shards[i].inFlight > 0 {
			return true
		}
	}
	return false
}

// Decide returns what to do now.
func (p *Plan) Decide(now time.Time) Decision {
	n := len(p.shards)
	switch {
	case p.responded == n:
		return Complete
	case p.enough(p.responded) && p.waitIsOver(now):
		return Partial
	case !p.enough(n - p.failed):
		return p.failure(Failed)
	case !now.Before(p.opts.Deadline):
		return p.failure(Expired)
	case !p.sent && !now.Before(p.opts.SendBy):
		return NotRun
	case !p.enough(n-p.failed-p.unavailable) && !now.Before(p.opts.SendBy):
		return p.failure(Failed)
	}
	return Wait
}

// waitIsOver reports whether the request, for which enough shards have responded, no
// longer waits for the others.
func (p *Plan) waitIsOver(now time.Time) bool {
	return p.responded+p.failed == len(p.shards) || !now.Before(p.partialAt())
}

// partialAt returns when a response with enough shards is sent without the
// others. If enough shards responded too late for a response on time, the
// others may take until LatePartialAt.
func (p *Plan) partialAt() time.Time {
	if p.enoughAt.After(p.opts.OnTimeUntil) {
		return p.opts.LatePartialAt
	}
	return p.opts.PartialAt
}

// OnlyTargets returns the targets that the next attempt at a shard is restricted to:
// if MaxTargets targets run the request or may have run it, no other one may. A target
// that refused the request is not among them. It returns nil if any target is allowed.
func (p *Plan) OnlyTargets(i int) []string {
	var used []string
	for _, u := range p.shards[i].targets {
		if u.counts() {
			used = append(used, u.id)
		}
	}
	if len(used) < p.opts.MaxTargets {
		return nil
	}
	return used
}

// failure returns d, or NotRun if no target may have run the request.
func (p *Plan) failure(d Decision) Decision {
	if p.mayHaveRun() {
		return d
	}
	return NotRun
}

// WakeAt returns when Due and Decide must be called next.
func (p *Plan) WakeAt(now time.Time) time.Time {
	wake := p.opts.Deadline
	if len(p.shards) > 1 {
		wake = earlierPending(wake, now, p.opts.PartialAt)
		wake = earlierPending(wake, now, p.opts.LatePartialAt)
	}
	if !p.sent && p.opts.SendBy.Before(wake) {
		wake = p.opts.SendBy
	}
	if p.unavailable > 0 {
		wake = earlierPending(wake, now, p.opts.SendBy)
	}
	for i := range p.shards {
		if at := p.dueAt(&p.shards[i]); !at.IsZero() && at.Before(wake) {
			wake = at
		}
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// earlierPending returns at if it lies between now and wake, otherwise wake.
func earlierPending(wake, now, at time.Time) time.Time {
	if at.After(now) && at.Before(wake) {
		return at
	}
	return wake
}
