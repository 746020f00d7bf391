package pushback

import (
	"math"
	"time"
)

// creditLifetime is how long a process may keep the right to send a request to a limited
// target. What many processes have kept may be used at the same moment.
const creditLifetime = time.Second

// credit is the number of requests that a process may send to a limited target.
//
// In any span d, a credit that is filled at a rate r is taken at most r * (d + creditLifetime)
// times, plus one if it takes longer than creditLifetime to earn a request.
type credit struct {
	// amount is what has been earned. If a request takes longer than creditLifetime to
	// earn, it goes on growing while a whole one is kept, and starts again at zero when that
	// one lapses.
	amount float64
	at     time.Time // up to when amount has been filled
}

// refill adds what was earned since the last call, at a rate in requests per second.
func (c *credit) refill(now time.Time, rate float64) {
	elapsed := now.Sub(c.at)
	if elapsed <= 0 {
		return
	}
	c.at = now
	kept := rate * creditLifetime.Seconds()
	c.amount += rate * elapsed.Seconds()
	if kept >= 1 {
		c.amount = min(c.amount, kept)
		return
	}
	c.amount = math.Mod(c.amount, 1+kept)
}

// availableAt returns when a request may be sent. refill must have been called for now.
func (c *credit) availableAt(now time.Time, rate float64) time.Time {
	if c.amount >= 1 {
		return now
	}
	if rate <= 0 {
		return now.Add(noShareRetry)
	}
	return now.Add(time.Duration((1 - c.amount) / rate * float64(time.Second)))
}

// take uses the credit of one request. It may become negative, by attempts that were
// already on their way.
func (c *credit) take() { c.amount-- }
