// Package plan decides the course of one request over one or more shards: when
// another attempt is made, when the answer is given with the shards that are
// in, and when the request has failed.
//
// The package is pure: time is passed in, and attempts are made by the caller.
package plan

import (
	"math"
	"time"
)

// Bounds of a plan.
const (
	// AttemptHeadroom is the number of attempts at a shard beyond the targets that
	// it may run on: refusals and repeats at the same target don't add to those.
	AttemptHeadroom = 3
	// minRetryDelay and maxRetryDelay bound the wait before a shard is tried
	// again after a refusal, or when no target could be had.
	minRetryDelay = 4 * time.Millisecond
	maxRetryDelay = 64 * time.Millisecond
	// repeatDelay is the least wait before an attempt beyond the second is
	// made only because the others are overdue. It is above the pauses of
	// targets: what takes longer is a connection that has gone silent.
	repeatDelay = 300 * time.Millisecond
)

// A shard counts as a straggler beside the others of its request: as long as
// most of them are out as well, the cause lies here or on the way, and hedges
// would add to it.
const (
	// mostShards is the share of shards that must be in, and fewShards the
	// number that may always be out.
	mostShards = 0.7
	fewShards  = 2
	// stragglerFactor is how much longer a straggler takes than most shards did.
	stragglerFactor = 1.25
	// anywayFactor is when shards are hedged though most are out, in multiples
	// of the hedge delay.
	anywayFactor = 2
)

// Options describes a request.
type Options struct {
	// Shards is the number of shards; 1 for a request to one service.
	Shards int
	// MaxTargets bounds the targets of a shard that may run the request.
	MaxTargets int
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// MinFraction is the least share of shards that makes an answer.
	MinFraction float64
	// PartialAt is when an answer with enough shards is given though some are missing.
	PartialAt time.Time
	// OnTimeUntil is until when an answer that got enough shards only after AnswerAt
	// still arrives in time, and is given at once.
	OnTimeUntil time.Time
	// LatePartialAt is when, enough shards having come only after AnswerAt, the
	// answer isn't held for more.
	LatePartialAt time.Time
	// SendBy is when a request that could not be sent at all is refused.
	SendBy time.Time
	// Deadline is when the request has failed.
	Deadline time.Time
	// HedgeAfter is how long an attempt may take before another target is
	// asked as well; zero for never.
	HedgeAfter time.Duration
}

// Decision tells what to do with the request.
type Decision int

// Verdicts.
const (
	Wait     Decision = iota
	Complete          // all shards are in
	Partial           // enough shards are in; the others are left out
	NotRun            // no target ran it or will; it may be refused as not run
	Failed            // it failed, and a target may have run it
	Expired           // its deadline passed, and a target may have run it
)

type shard struct {
	in       bool
	lost     bool
	sends    int
	reached  int // attempts that ended and that a target may have seen
	ran      int // attempts that a target may have run
	inFlight int
	refusals int
	next     time.Time // when another attempt is due; zero for none
}

// Plan is the state of one request. It isn't safe for concurrent use.
type Plan struct {
	opts   Options
	shards []shard
	in     int
	lost   int
	sent   bool
	ran    bool
	// enoughAt is when enough shards were in; zero before.
	enoughAt time.Time
	begun    time.Time
	// hedgeFrom is when hedges may begin.
	hedgeFrom time.Time
}

// New returns the plan of a request whose shards are all due.
func New(now time.Time, opts Options) *Plan {
	p := &Plan{opts: opts, shards: make([]shard, opts.Shards), begun: now, hedgeFrom: now}
	if p.most() > 0 {
		p.hedgeFrom = now.Add(anywayFactor * opts.HedgeAfter)
	}
	for i := range p.shards {
		p.shards[i].next = now
	}
	return p
}

// Due returns a shard that is due for another attempt, if any. Extra is true
// if an attempt at it may have reached a target, so that this one draws on the
// budget.
func (p *Plan) Due(now time.Time) (i int, extra, ok bool) {
	for i := range p.shards {
		s := &p.shards[i]
		if at := p.due(s); !at.IsZero() && !at.After(now) {
			return i, s.inFlight > 0 || s.reached > 0, true
		}
	}
	return 0, false, false
}

// due returns when a shard is due for another attempt; zero for never.
func (p *Plan) due(s *shard) time.Time {
	if s.in || s.lost || s.next.IsZero() {
		return time.Time{}
	}
	if s.inFlight > 0 && s.next.Before(p.hedgeFrom) {
		return p.hedgeFrom
	}
	return s.next
}

// Sent records an attempt at a shard.
func (p *Plan) Sent(now time.Time, i int) {
	s := &p.shards[i]
	s.sends++
	s.inFlight++
	p.sent = true
	s.next = time.Time{}
	if p.opts.HedgeAfter == 0 || !p.opts.Idempotent || s.sends >= p.maxSends() {
		return
	}
	delay := p.opts.HedgeAfter
	if s.sends > 1 {
		delay = max(delay, repeatDelay)
	}
	s.next = now.Add(delay)
}

func (p *Plan) maxSends() int { return p.opts.MaxTargets + AttemptHeadroom }

// Denied records that the budget did not allow another attempt. A shard with no
// attempt in progress is given up: the budget comes back only within seconds.
func (p *Plan) Denied(now time.Time, i int) {
	s := &p.shards[i]
	if s.inFlight == 0 {
		p.lose(s)
		return
	}
	p.Unavailable(now, i)
}

// Unavailable records that no target of the shard could be had; it is due again
// a little later.
func (p *Plan) Unavailable(now time.Time, i int) {
	s := &p.shards[i]
	s.next = now.Add(p.delay(s))
	s.refusals++
}

func (p *Plan) delay(s *shard) time.Duration {
	return min(minRetryDelay<<min(s.refusals, 8), maxRetryDelay)
}

// Responded records that a shard is in. It returns false if it was already.
func (p *Plan) Responded(now time.Time, i int) bool {
	s := &p.shards[i]
	s.inFlight--
	if s.in {
		return false
	}
	if s.lost {
		s.lost = false
		p.lost--
	}
	s.in = true
	p.in++
	if p.enoughAt.IsZero() && p.enough(p.in) {
		p.enoughAt = now
	}
	if p.in == p.most() {
		from := p.begun.Add(time.Duration(stragglerFactor * float64(now.Sub(p.begun))))
		p.hedgeFrom = earlier(p.hedgeFrom, from)
	}
	return true
}

// most returns the number of shards that are most of them.
func (p *Plan) most() int {
	n := len(p.shards)
	return max(min(int(math.Ceil(mostShards*float64(n))), n-fewShards), 0)
}

// Refused records that a target did not run an attempt.
func (p *Plan) Refused(now time.Time, i int) {
	p.shards[i].reached++
	p.NotSent(now, i)
}

// NotSent records that nothing of an attempt was sent.
func (p *Plan) NotSent(now time.Time, i int) {
	s := &p.shards[i]
	s.inFlight--
	if s.in {
		return
	}
	p.again(now, s)
}

// Failed records that an attempt failed and may have run.
func (p *Plan) Failed(now time.Time, i int) {
	s := &p.shards[i]
	s.inFlight--
	s.reached++
	s.ran++
	p.ran = true
	if s.in {
		return
	}
	if !p.opts.Idempotent {
		p.lose(s)
		return
	}
	p.again(now, s)
}

// again makes a shard due for a retry, or gives it up.
func (p *Plan) again(now time.Time, s *shard) {
	if s.sends >= p.maxSends() {
		if s.inFlight == 0 {
			p.lose(s)
		}
		return
	}
	retry := now
	if s.refusals > 0 {
		retry = now.Add(p.delay(s))
	}
	s.refusals++
	s.next = retry
}

func (p *Plan) lose(s *shard) {
	if !s.lost {
		s.lost = true
		p.lost++
	}
	s.next = time.Time{}
}

// Responses returns the number of shards that are in.
func (p *Plan) Responses() int { return p.in }

// Missing reports whether a shard is not in.
func (p *Plan) Missing(i int) bool { return !p.shards[i].in }

// enough reports whether n shards make an answer.
func (p *Plan) enough(n int) bool {
	return n > 0 && float64(n) >= p.opts.MinFraction*float64(len(p.shards))-1e-9
}

// mayRun reports whether a target runs, ran or may yet run the request.
func (p *Plan) mayRun() bool {
	if p.ran || p.in > 0 {
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
	case p.in == n:
		return Complete
	case p.enough(p.in) && p.settled(now):
		return Partial
	case !p.enough(n - p.lost):
		return p.failure(Failed)
	case !now.Before(p.opts.Deadline):
		return p.failure(Expired)
	case !p.sent && !now.Before(p.opts.SendBy):
		return NotRun
	}
	return Wait
}

// settled reports whether the shards that are in, being enough, make the answer.
func (p *Plan) settled(now time.Time) bool {
	return p.in+p.lost == len(p.shards) || !now.Before(p.answerBy())
}

// answerBy returns when the shards that are in are answered without the others.
// If enough came too late to be in time, the others get until LateAt.
func (p *Plan) answerBy() time.Time {
	if p.enoughAt.After(p.opts.OnTimeUntil) {
		return p.opts.LatePartialAt
	}
	return p.opts.PartialAt
}

// AllowsNewTarget reports whether another target of the shard may be asked; else only
// those that were asked before.
func (p *Plan) AllowsNewTarget(i int) bool {
	return p.shards[i].ran+p.shards[i].inFlight < p.opts.MaxTargets
}

func (p *Plan) failure(v Decision) Decision {
	if p.mayRun() {
		return v
	}
	return NotRun
}

// WakeAt returns when something is due next.
func (p *Plan) WakeAt(now time.Time) time.Time {
	wake := p.opts.Deadline
	if len(p.shards) > 1 {
		wake = earliest(wake, now, p.opts.PartialAt)
		wake = earliest(wake, now, p.opts.LatePartialAt)
	}
	if !p.sent && p.opts.SendBy.Before(wake) {
		wake = p.opts.SendBy
	}
	for i := range p.shards {
		if at := p.due(&p.shards[i]); !at.IsZero() && at.Before(wake) {
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

// earliest returns at if it lies between now and wake, else wake.
func earliest(wake, now, at time.Time) time.Time {
	if at.After(now) && at.Before(wake) {
		return at
	}
	return wake
}
