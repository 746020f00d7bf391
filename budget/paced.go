package budget

import "time"

// SharedLimits are one process's shares of the part of a limit that does not depend on
// the number of first attempts. All are numbers of extra attempts.
type SharedLimits struct {
	// Slack is granted in any window in addition to the fraction of first attempts.
	Slack float64
	// Refill is added to the tokens over the length of a window.
	Refill float64
	// Depth is the largest number of tokens, in addition to carryFraction of the
	// first attempts in the window. It counts as one if it is lower.
	Depth float64
}

// carryFraction is the fraction of the first attempts in the window for which tokens may
// be kept beyond Depth.
const carryFraction = 0.02

// Paced bounds extra attempts where several processes keep one limit together, and
// forget what they sent when they restart. An extra attempt needs a Window to allow it
// and a token. First attempts and time add tokens, and a Paced starts with none.
//
// In any span of WindowLength, all incarnations of a process together are granted at
// most fraction of the first attempts in that span, Refill, and the tokens that were
// left before it, which are at most Depth and carryFraction of the first attempts in the
// span before. A Window alone grants an incarnation fraction of the first attempts
// in the window before its end, and the next one fraction of those that follow.
//
// It is not safe for concurrent use.
type Paced struct {
	window   *Window
	limits   SharedLimits
	tokens   float64
	refillAt time.Time // up to when Refill has been added
}

// NewPaced returns a Paced that grants the given fraction of first attempts, with
// limits of zero until SetLimits. Tokens accrue from the given time, which must not be
// earlier than the last extra attempt that this process sent under the same limit.
func NewPaced(from time.Time, fraction float64) *Paced {
	return &Paced{window: NewWindowWithSlack(fraction), refillAt: from}
}

// SetLimits changes the limits from now on.
func (p *Paced) SetLimits(now time.Time, l SharedLimits) {
	p.refill(now)
	p.limits = l
	p.window.SetSlack(l.Slack)
	p.tokens = min(p.tokens, p.depth())
}

// AddFirst counts a first attempt.
func (p *Paced) AddFirst(now time.Time) {
	p.refill(now)
	p.window.AddFirst(now)
	p.tokens = min(p.tokens+p.window.fraction, p.depth())
}

// Take counts an extra attempt and returns what Return needs if the attempt is not
// made. The result is false if the budget is used up.
func (p *Paced) Take(now time.Time) (Taken, bool) {
	p.refill(now)
	if p.tokens < 1 {
		return Taken{}, false
	}
	taken, ok := p.window.Take(now)
	if ok {
		p.tokens--
	}
	return taken, ok
}

// Return takes back the count of an extra attempt that was not made. It must be
// called once at most for each Taken.
func (p *Paced) Return(t Taken) {
	p.window.Return(t)
	p.tokens = min(p.tokens+1, p.depth())
}

// Counts returns the attempts in the window, rounded up to whole buckets.
func (p *Paced) Counts(now time.Time) (firsts, extras int) { return p.window.Counts(now) }

// refill adds the tokens for the time since the last call.
func (p *Paced) refill(now time.Time) {
	p.window.advance(now)
	elapsed := now.Sub(p.refillAt)
	if elapsed <= 0 {
		return
	}
	p.refillAt = now
	p.tokens = min(p.tokens+p.limits.Refill*float64(elapsed)/float64(WindowLength), p.depth())
}

// depth returns the largest number of tokens.
func (p *Paced) depth() float64 {
	return max(p.limits.Depth+carryFraction*float64(p.window.firsts), 1)
}
