package pushback

import (
	"math"
	"time"
)

// creditLifetime is how long a process may keep the right to send a request to a limited
// target. What many processes have kept may be used at the same moment.
const creditLifetime = 2 * time.Second

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

// availableAt returns when a request may be sent, and reserve is left. refill must have been
// called for now.
func (c *credit) availableAt(now time.Time, rate, reserve float64) time.Time {
	missing := 1 + reserve - c.amount
	if missing <= 0 {
		return now
	}
	if rate <= 0 {
		return now.Add(noShareRetry)
	}
	seconds := min(missing/rate, maxCreditWait.Seconds())
	return now.Add(time.Duration(seconds * float64(time.Second)))
}

const (
	// noShareRetry is when a process without a part of the limit asks again.
	noShareRetry = time.Second
	// maxCreditWait bounds the time after which a process asks again: its part may have grown.
	maxCreditWait = time.Minute
)

// extraReserveFraction is the part of the credit that may be kept that is reserved for extra
// attempts, if more than one request may be kept.
const extraReserveFraction = 0.5

// extraReserve returns the credit that is reserved for extra attempts: while the other
// targets of a service take its first attempts, one that pauses is made up for by this one.
func extraReserve(rate float64) float64 {
	kept := rate * creditLifetime.Seconds()
	return min(max(extraReserveFraction*kept, 1), max(kept-1, 0))
}

// take uses the credit of one request. It may become negative, by attempts that were
// already on their way.
func (c *credit) take() { c.amount-- }
