package upstream

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
)

// dial opens a connection for an attempt and then reads from it until it is
// closed.
func (p *Pool) dial(t *Target, address string, a *Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), p.opts.DialTimeout)
	nc, err := p.opts.Dial(ctx, "tcp", address)
	cancel()
	if err != nil {
		p.dialFailed(t, a, err)
		return
	}
	c := newConn(p, t, nc)
	p.mu.Lock()
	p.pathWorks(time.Now())
	next, unsent := p.dialed(c, a)
	open := !c.closed
	p.mu.Unlock()
	if unsent != nil {
		a.results <- unsent
	}
	if next != nil {
		c.send(next)
	}
	if open {
		c.readLoop()
	}
}

// dialed assigns a new connection to the attempt that it was opened for, or to another one
// if that has been abandoned or may no longer be sent. It returns the attempt to send, and
// the result of the one that was not sent; either may be nil. mu must be held.
func (p *Pool) dialed(c *conn, a *Attempt) (next *Attempt, unsent *Result) {
	t := c.target
	now := time.Now()
	cause := t.unsendable(now)
	if cause == nil && !a.abandoned {
		p.assign(c, a)
		return a, nil
	}
	a.state = stateDone
	t.stats.Canceled(a.StartedAt)
	if cause != nil && !a.abandoned {
		unsent = &Result{Attempt: a, Outcome: NotSent, Err: cause, EndedAt: now}
	}
	if a.abandoned && t.evacuated {
		p.closeConn(c)
		return nil, unsent
	}
	return p.assignNext(c), unsent
}

// dialFailed ends the attempt that the connection was for. If the target has no
// other connection, the attempts that wait for a connection end as well.
func (p *Pool) dialFailed(t *Target, a *Attempt, err error) {
	now := time.Now()
	p.mu.Lock()
	t.openConns--
	a.state = stateDone
	incarnation := t.entry.Incarnation
	t.stats.Unreachable(now, a.StartedAt, isTimeout(err))
	p.reach.Unreachable(now, t.ID)
	done := []*Result{}
	if !a.abandoned {
		done = append(done, &Result{Attempt: a, Outcome: NotSent, Err: errors.Annotate(err, "connect"), EndedAt: now})
	}
	if t.openConns == 0 {
		done = append(done, p.failWaiting(t, err)...)
	}
	p.mu.Unlock()
	if refusesConnections(err) {
		p.confirmEnd(t.ID, incarnation, true)
	}
	p.emit(Event{Message: "target unreachable", TargetID: t.ID, Service: t.Service, RequestID: a.Call.ID, Err: err})
	deliver(done)
}

// isTimeout reports whether the target did not respond, as opposed to refusing the
// connection.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (p *Pool) emit(e Event) {
	if p.opts.OnEvent != nil {
		p.opts.OnEvent(e)
	}
}

// assignNext assigns a free connection to the next waiting attempt and returns
// the attempt, which must then be sent. It returns nil if it made the connection
// idle or closed it. mu must be held.
func (p *Pool) assignNext(c *conn) *Attempt {
	t := c.target
	now := time.Now()
	c.current = nil
	delete(p.busy, c)
	if t.removed {
		p.closeConn(c)
		return nil
	}
	if len(t.waiting) > 0 && t.usable(now, p.opts.DrainGrace) {
		a := t.takeWaitingExcept(c.lastID)
		if a == nil {
			p.closeConn(c) // the caller opens another one for the waiting attempts
			return nil
		}
		p.assign(c, a)
		return a
	}
	c.idleSince = now
	t.idle = append(t.idle, c)
	return nil
}

// currentAttempt returns the attempt in progress on a connection, or nil. Heard is true if
// something was received on the connection.
func (p *Pool) currentAttempt(c *conn, heard bool) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	if heard {
		p.reach.Heard()
		c.target.heardAt = time.Now()
	}
	return c.current
}

// writeDone records that the write of a request returned after n bytes. A failed
// write of 0 bytes means that the target cannot have run the request.
func (p *Pool) writeDone(c *conn, a *Attempt, n int, err error) {
	p.mu.Lock()
	c.writing = false
	var next *Attempt
	if c.respondedEarly && err == nil && !c.closed {
		c.respondedEarly = false
		next = p.assignNext(c)
	}
	p.mu.Unlock()
	switch {
	case next != nil:
		c.send(next)
	case err == nil:
	case n == 0:
		p.failUnsent(c, a, err)
	default:
		p.failConn(c, a, errors.Annotate(err, "write request"))
	}
}

// failUnsent ends an attempt of which nothing was sent, and closes the connection.
func (p *Pool) failUnsent(c *conn, a *Attempt, err error) {
	p.mu.Lock()
	p.closeConn(c)
	active := c.current == a && a.state != stateDone
	if active {
		c.current = nil
		a.state = stateDone
		c.target.stats.Canceled(a.StartedAt)
	}
	report := active && !a.abandoned
	p.mu.Unlock()
	if report {
		a.results <- &Result{Attempt: a, Outcome: NotSent, Err: err, EndedAt: time.Now()}
	}
	p.dialForWaiting(c.target)
}

// failConn closes a connection and ends its attempt, if any, which the target may
// have run. a is nil if the calling code found no attempt in progress.
func (p *Pool) failConn(c *conn, a *Attempt, err error) {
	now := time.Now()
	p.mu.Lock()
	p.closeConn(c)
	c.target.removeIdle(c)
	if a == nil {
		a = c.current // assigned since readLoop found none
	}
	active := a != nil && c.current == a && a.state != stateDone
	if active {
		c.current = nil
		a.state = stateDone
		if brokenByTarget(err) {
			p.reach.Broke(now, c.target.ID)
		}
		switch {
		case errors.Is(err, errNoResponse) && now.After(a.Deadline):
			c.target.stats.Unreachable(now, a.StartedAt, true)
		case a.abandoned:
			c.target.stats.Abandoned(now, a.StartedAt)
		default:
			c.target.stats.Failed(now, a.StartedAt)
		}
	}
	report := active && !a.abandoned
	var tellGuard func()
	if active && brokenByTarget(err) && a.Call.Keys.Known() {
		tellGuard = p.verifyEnd(c.target, now, a)
	}
	p.mu.Unlock()
	if tellGuard != nil {
		tellGuard()
	}
	if report {
		p.emit(Event{
			Message: "attempt broken", TargetID: c.target.ID, Service: c.target.Service, RequestID: a.Call.ID, Err: err,
			Details: []any{"request", a.Call.Keys.Exact, "caller", a.Call.Caller, "path", a.Call.Path(), "ran", now.Sub(a.StartedAt), "extra", a.Extra},
		})
		a.results <- &Result{Attempt: a, Outcome: Broken, Err: err, EndedAt: now}
	}
	p.dialForWaiting(c.target)
}

// dialForWaiting opens a connection for the first waiting attempt if the limit of
// the target allows it.
func (p *Pool) dialForWaiting(t *Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(t.waiting) == 0 || t.removed || t.openConns >= t.maxConns {
		return
	}
	a := t.waiting[0]
	t.waiting = t.waiting[1:]
	t.openConns++
	a.state = stateDialing
	go p.dial(t, t.entry.Address, a)
}

// completeAttempt ends an attempt that received a response and reports whether the
// connection stays open. It is kept open only if keep is true. A positive
// idleTimeout replaces that of the connection.
func (p *Pool) completeAttempt(c *conn, r *Result, keep bool, idleTimeout time.Duration) bool {
	a := r.Attempt
	p.mu.Lock()
	if c.closed || c.current != a {
		p.mu.Unlock()
		return false
	}
	a.state = stateDone
	t := c.target
	switch r.Outcome {
	case Responded:
		if r.Status >= 500 {
			t.stats.Failed(r.EndedAt, a.StartedAt)
		} else {
			t.stats.Responded(r.EndedAt, a.StartedAt, a.expected)
		}
	default:
		t.stats.Failed(r.EndedAt, a.StartedAt)
	}
	if idleTimeout > 0 {
		c.idleTimeout = idleTimeout
	}
	var next *Attempt
	if r.Outcome == Misdirected {
		p.retire(t)
	}
	switch {
	case keep && c.writing:
		c.current = nil
		c.respondedEarly = true
	case keep:
		next = p.assignNext(c)
	default:
		c.current = nil
		p.closeConn(c)
	}
	open := !c.closed
	report := !a.abandoned
	p.mu.Unlock()
	if r.completes() && a.Call.Keys.Known() {
		if first := !a.Call.completed.Swap(true); first || p.opts.Guard.Watching() {
			p.opts.Guard.Completed(r.EndedAt, a.Call.Quarantine(t.Service), first)
		}
	}
	if report {
		a.results <- r
	}
	if next != nil {
		c.send(next)
	}
	if !open {
		p.dialForWaiting(t)
	}
	return open
}

// Abandon marks an attempt whose response is no longer needed. No result is sent
// for it. Its connection is kept if the response arrives within linger, and closed
// otherwise.
func (p *Pool) Abandon(a *Attempt, linger time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.state == stateDone {
		return
	}
	a.abandoned = true
	if a.state == stateQueued && a.Target.removeWaiting(a) {
		a.state = stateDone
		a.Target.stats.Canceled(a.StartedAt)
		return
	}
	a.closeAt = time.Now().Add(linger)
}

// Withdraw abandons an attempt, and reports whether a target may have got it. Its connection
// is closed.
func (p *Pool) Withdraw(a *Attempt) (sent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch a.state {
	case stateDone:
		return !a.sentAt.IsZero()
	case stateSent:
		a.abandoned, a.closeAt = true, time.Now()
		return true
	}
	a.abandoned = true
	if a.state == stateQueued && a.Target.removeWaiting(a) {
		a.state = stateDone
		a.Target.stats.Canceled(a.StartedAt)
	}
	return false
}

// Recall abandons an attempt of which nothing has been written, and reports whether it has: the
// target has not got it, and no result follows.
func (p *Pool) Recall(a *Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.abandoned || a.state == stateSent || a.state == stateDone {
		return false
	}
	a.abandoned = true
	if a.state == stateQueued && a.Target.removeWaiting(a) {
		a.state = stateDone
		a.Target.stats.Canceled(a.StartedAt)
	}
	return true
}
