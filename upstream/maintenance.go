package upstream

import "time"

// Timings of connections.
const (
	// defaultIdleTimeout is used until a target tells its own idle time-out.
	defaultIdleTimeout = 30 * time.Second
	// idleFraction is the part of a target's idle time-out for which a connection
	// is kept: a request must not cross the target's close.
	idleFraction = 0.88
	// responseGrace is how long after its deadline an answer may still arrive.
	responseGrace = 50 * time.Millisecond
	// minResponseTimeout is the least time without an answer after which a connection
	// is given up. Targets pause for 200 ms, with requests queued behind.
	minResponseTimeout = 350 * time.Millisecond
)

// CloseExpired closes connections that have been idle or without an answer for too long.
func (p *Pool) CloseExpired(now time.Time) {
	var silent []*conn
	p.mu.Lock()
	for _, t := range p.targets {
		kept := t.idle[:0]
		for _, c := range t.idle {
			if now.Sub(c.idleSince) > time.Duration(idleFraction*float64(c.idleTimeout)) {
				p.closeConn(c)
				continue
			}
			kept = append(kept, c)
		}
		clear(t.idle[len(kept):])
		t.idle = kept
	}
	for c := range p.busy {
		a := c.current
		if a == nil {
			continue
		}
		if now.After(a.expiresAt()) {
			silent = append(silent, c)
		}
	}
	p.mu.Unlock()
	for _, c := range silent {
		if a := p.currentAttempt(c); a != nil {
			p.failConn(c, a, errNoResponse)
		}
	}
}

// expiresAt returns when the connection of an attempt in progress is closed.
func (a *Attempt) expiresAt() time.Time {
	at := a.Deadline.Add(responseGrace)
	if silent := a.StartedAt.Add(minResponseTimeout); silent.After(at) {
		at = silent
	}
	if a.abandoned && a.closeAt.Before(at) {
		return a.closeAt
	}
	return at
}

// Stats is a summary of the pool.
type Stats struct {
	Targets     int `json:"targets"`
	Connections int `json:"connections"`
	Busy        int `json:"busy"`
	Waiting     int `json:"waiting"`
}

// Stats returns a summary.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Targets: len(p.targets), Busy: len(p.busy)}
	for _, t := range p.targets {
		s.Connections += t.openConns
		s.Waiting += len(t.waiting)
	}
	return s
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		p.retire(t)
	}
	for c := range p.busy {
		p.closeConn(c)
	}
}
