package admission

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
)

// caller holds a caller's contract and its usage at this gateway.
type caller struct {
	folder.Caller
	tokens     float64
	refilledAt time.Time
	running    int
	queue      *callerQueue
}

// share returns this gateway's share of the caller's rate, in requests per
// second, and of its burst. The contract states both for all gateways together.
func (c *caller) share(gateways int) (rate, burst float64) {
	n := float64(gateways)
	return c.Rate / n, max(float64(c.Burst)/n, 1)
}

// refill adds the tokens that have accrued since the last refill.
func (c *caller) refill(now time.Time, gateways int) {
	rate, burst := c.share(gateways)
	if c.refilledAt.IsZero() {
		c.tokens = burst
		c.refilledAt = now
		return
	}
	if elapsed := now.Sub(c.refilledAt); elapsed > 0 {
		c.tokens += elapsed.Seconds() * rate
		c.refilledAt = now
	}
	c.tokens = min(c.tokens, burst)
}

// rateLimited reports whether the caller has no token left, and how long it
// takes until it has one. A contract without a rate sets no limit.
func (c *caller) rateLimited(now time.Time, gateways int) (wait time.Duration, limited bool) {
	if c.Rate <= 0 {
		return 0, false
	}
	c.refill(now, gateways)
	if c.tokens >= 1 {
		return 0, false
	}
	rate, _ := c.share(gateways)
	return time.Duration((1 - c.tokens) / rate * float64(time.Second)), true
}

// takeToken takes a token. It has no effect if the contract has no rate.
func (c *caller) takeToken() {
	if c.Rate > 0 {
		c.tokens--
	}
}

// hasCapacity reports whether the caller's concurrency limit allows another
// request. A contract without a concurrency limit always does.
func (c *caller) hasCapacity() bool { return c.Concurrency <= 0 || c.running < c.Concurrency }
