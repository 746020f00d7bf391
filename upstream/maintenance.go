package upstream

import "time"

// Timeouts of connections.
const (
	// defaultIdleTimeout applies until a target sends its own idle timeout.
	defaultIdleTimeout = 30 * time.Second
	// idleFraction is the fraction of a target's idle timeout for which an idle
	// connection is kept, so that no request is sent while the target closes the
	// connection.
	idleFraction = 0.88
	// responseGrace is how long after the deadline of an attempt its response may
	// still arrive.
	responseGrace = 50 * time.Millisecond
	// minResponseTimeout is the shortest time without a response after which a
	// connection is closed, unless its attempt was abandoned. Targets pause for
	// 200 ms, and requests queue up during a pause.
	minResponseTimeout = 350 * time.Millisecond
)

// CloseExpired closes connections that have been idle or without a response for too
// long, and ends attempts that wait for a connection to a target that may no longer get
// requests. It must be called regularly.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	var done []*Result
	p.mu.Lock()
	for _, t := range p.targets {
		if len(t.waiting) > 0 && !t.usable(now, p.opts.DrainGrace) {
			done = append(done, p.failWaiting(t, errTargetRemoved)...)
		}
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
			expired = append(expired, c)
		}
	}
	events := p.capacityEvents(now)
	p.mu.Unlock()
	deliver(done)
	for _, e := range events {
		p.emit(e)
	}
	for _, c := range expired {
		if a := p.currentAttempt(c, false); a != nil {
			p.failConn(c, a, errNoResponse)
		}
	}
}

// expiresAt returns when the connection of an attempt in progress is closed if no
// response arrives.
func (a *Attempt) expiresAt() time.Time {
	at := a.Deadline.Add(responseGrace)
	if earliest := a.StartedAt.Add(minResponseTimeout); earliest.After(at) {
		at = earliest
	}
	if a.abandoned && a.closeAt.Before(at) {
		return a.closeAt
	}
	return at
}

// Stats holds the numbers of targets, open and busy connections, and waiting
// attempts of a Pool.
type Stats struct {
	Targets     int `json:"targets"`
	Connections int `json:"connections"`
	Busy        int `json:"busy"`
	Waiting     int `json:"waiting"`
}

// Stats returns the current numbers.
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
