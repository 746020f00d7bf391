package member

import "time"

// localHealth decides whether this process may accuse others. A process that
// was paused, or that receives heartbeats from too few of its peers, is more
// likely at fault itself.
type localHealth struct {
	recoveryPeriod time.Duration
	// since is when the process began to receive heartbeats from enough of its
	// peers; zero while it does not.
	since time.Time
}

// reset starts a new recovery period, as after a pause.
func (h *localHealth) reset() { h.since = time.Time{} }

// minLiveDivisor sets the fraction of its peers, one in minLiveDivisor, that a
// process must receive heartbeats from to be healthy. It tolerates the loss of
// a data centre.
const minLiveDivisor = 3

// peerCount counts peers, and those whose heartbeats arrive.
type peerCount struct{ live, total int }

func (c *peerCount) add(live bool) {
	c.total++
	if live {
		c.live++
	}
}

// observe records the count of live peers at now. A process without peers is
// never healthy.
func (h *localHealth) observe(now time.Time, c peerCount) {
	if c.total == 0 || c.live*minLiveDivisor < c.total {
		h.since = time.Time{}
		return
	}
	if h.since.IsZero() {
		h.since = now
	}
}

// healthy reports whether enough peers have been live for the whole recovery
// period.
func (h *localHealth) healthy(now time.Time) bool {
	return !h.since.IsZero() && now.Sub(h.since) >= h.recoveryPeriod
}
