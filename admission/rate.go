package admission

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
)

// caller is a caller's contract and use at this gateway.
type caller struct {
	folder.Caller
	tokens   float64
	tokensAt time.Time
	running  int
	lane     *lane
}

// share returns this gateway's part of the caller's tier-wide rate, in
// requests per second, and burst.
func (c *caller) share(gateways int) (rate, burst float64) {
	n := float64(gateways)
	return c.Rate / n, max(float64(c.Burst)/n, 1)
}

// refill adds the tokens of the time since the last refill.
func (c *caller) refill(now time.Time, gateways int) {
	rate, burst := c.share(gateways)
	if c.tokensAt.IsZero() {
		c.tokens = burst
		c.tokensAt = now
		return
	}
	if elapsed := now.Sub(c.tokensAt); elapsed > 0 {
		c.tokens += elapsed.Seconds() * rate
		c.tokensAt = now
	}
	c.tokens = min(c.tokens, burst)
}

// limited tells whether the caller is over its rate, and how long until it
// isn't. A contract without a rate sets no limit.
func (c *caller) limited(now time.Time, gateways int) (wait time.Duration, limited bool) {
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

// take spends a token.
func (c *caller) take() {
	if c.Rate > 0 {
		c.tokens--
	}
}

// hasRoom tells whether the caller's concurrency allows one more request. A
// contract without concurrency sets no limit.
func (c *caller) hasRoom() bool { return c.Concurrency <= 0 || c.running < c.Concurrency }
