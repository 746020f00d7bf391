package upstream

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/juju/errors"
)

// dial opens a connection for an attempt.
func (p *Pool) dial(t *Target, address string, a *Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), p.opts.DialTimeout)
	nc, err := p.opts.Dial(ctx, "tcp", address)
	cancel()
	if err != nil {
		p.dialFailed(t, a, err)
		return
	}
	c := &conn{pool: p, target: t, net: nc, read: bufio.NewReaderSize(nc, readBuffer), idleLimit: defaultIdleLimit}
	p.mu.Lock()
	switch {
	case t.gone || (a.abandoned && t.avoided):
		t.open--
		a.state = stateDone
		t.record.Canceled(a.StartedAt)
		p.mu.Unlock()
		_ = nc.Close() // nothing was sent
		if !a.abandoned {
			a.results <- &Result{Attempt: a, Outcome: NotSent, Err: errGone, EndedAt: time.Now()}
		}
		return
	case a.abandoned:
		a.state = stateDone
		t.record.Canceled(a.StartedAt)
		next := p.next(c)
		p.mu.Unlock()
		if next != nil {
			c.send(next)
		}
	default:
		p.assign(c, a)
		p.mu.Unlock()
		c.send(a)
	}
	c.run()
}

func (p *Pool) dialFailed(t *Target, a *Attempt, err error) {
	now := time.Now()
	p.mu.Lock()
	t.open--
	a.state = stateDone
	t.record.Unreachable(now, a.StartedAt, isTimeout(err))
	done := []*Result{}
	if !a.abandoned {
		done = append(done, &Result{Attempt: a, Outcome: NotSent, Err: errors.Annotate(err, "connect"), EndedAt: now})
	}
	if t.open == 0 {
		done = append(done, p.flush(t, err)...)
	}
	p.mu.Unlock()
	p.event(Event{Message: "target unreachable", TargetID: t.ID, Service: t.Service, RequestID: a.Call.ID, Err: err})
	for _, r := range done {
		r.Attempt.results <- r
	}
}

// isTimeout reports whether nothing came back, rather than a refusal.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (p *Pool) event(e Event) {
	if p.opts.OnEvent != nil {
		p.opts.OnEvent(e)
	}
}

// next gives a free connection to the next attempt that waits, or makes it idle.
func (p *Pool) next(c *conn) *Attempt {
	t := c.target
	now := time.Now()
	c.current = nil
	delete(p.busy, c)
	if t.gone {
		p.close(c)
		return nil
	}
	if len(t.waiting) > 0 && t.usable(now, p.opts.DrainGrace) {
		a := t.waiting[0]
		t.waiting = t.waiting[1:]
		p.assign(c, a)
		return a
	}
	c.idleSince = now
	t.idle = append(t.idle, c)
	return nil
}

func (p *Pool) currentOf(c *conn) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.current
}

// written records that a request was written, wholly or in part.
func (p *Pool) written(c *conn, a *Attempt, n int, err error) {
	p.mu.Lock()
	c.writing = false
	var next *Attempt
	if c.early && err == nil && !c.closed {
		c.early = false
		next = p.next(c)
	}
	p.mu.Unlock()
	switch {
	case next != nil:
		c.send(next)
	case err == nil:
	case n == 0:
		p.unsent(c, a, err)
	default:
		p.ended(c, a, errors.Annotate(err, "write the request"))
	}
}

// unsent ends an attempt of which nothing left. The connection is closed.
func (p *Pool) unsent(c *conn, a *Attempt, err error) {
	p.mu.Lock()
	p.close(c)
	mine := c.current == a && a.state != stateDone
	if mine {
		c.current = nil
		a.state = stateDone
		c.target.record.Canceled(a.StartedAt)
	}
	tell := mine && !a.abandoned
	p.mu.Unlock()
	if tell {
		a.results <- &Result{Attempt: a, Outcome: NotSent, Err: err, EndedAt: time.Now()}
	}
	p.reopen(c.target)
}

// ended closes a connection; its attempt, if any, may have run. The attempt is nil
// if the caller saw none.
func (p *Pool) ended(c *conn, a *Attempt, err error) {
	now := time.Now()
	p.mu.Lock()
	p.close(c)
	c.target.drop(c)
	if a == nil {
		a = c.current // sent after the reader looked
	}
	mine := a != nil && c.current == a && a.state != stateDone
	if mine {
		c.current = nil
		a.state = stateDone
		switch {
		case errors.Is(err, errNoAnswer) && now.After(a.Deadline):
			c.target.record.Unreachable(now, a.StartedAt, true)
		case a.abandoned:
			c.target.record.Canceled(a.StartedAt)
		default:
			c.target.record.Failed(now, a.StartedAt)
		}
	}
	tell := mine && !a.abandoned
	p.mu.Unlock()
	if tell {
		p.event(Event{Message: "attempt broken", TargetID: c.target.ID, Service: c.target.Service, RequestID: a.Call.ID, Err: err})
		a.results <- &Result{Attempt: a, Outcome: Broken, Err: err, EndedAt: now}
	}
	p.reopen(c.target)
}

// reopen opens a connection for the attempts that wait if there is room now.
func (p *Pool) reopen(t *Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(t.waiting) == 0 || t.gone || t.open >= t.connections {
		return
	}
	a := t.waiting[0]
	t.waiting = t.waiting[1:]
	t.open++
	a.state = stateDialing
	go p.dial(t, t.entry.Address, a)
}

// answered ends an attempt with an answer and reports whether the connection
// goes on.
func (p *Pool) answered(c *conn, r *Result, keep bool, idleLimit time.Duration) bool {
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
			t.record.Failed(r.EndedAt, a.StartedAt)
		} else {
			t.record.Responded(r.EndedAt, a.StartedAt, a.expected)
		}
	default:
		t.record.Failed(r.EndedAt, a.StartedAt)
	}
	if idleLimit > 0 {
		c.idleLimit = idleLimit
	}
	var next *Attempt
	if r.Outcome == Misdirected {
		p.retire(t)
	}
	switch {
	case keep && c.writing:
		c.current = nil
		c.early = true
	case keep:
		next = p.next(c)
	default:
		c.current = nil
		p.close(c)
	}
	open := !c.closed
	tell := !a.abandoned
	p.mu.Unlock()
	if tell {
		a.results <- r
	}
	if next != nil {
		c.send(next)
	}
	if !open {
		p.reopen(t)
	}
	return open
}

// Abandon tells that an attempt's answer is not needed any more. An answer that
// comes within linger keeps the connection; then it is closed.
func (p *Pool) Abandon(a *Attempt, linger time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.state == stateDone {
		return
	}
	a.abandoned = true
	if a.state == stateQueued && a.Target.unqueue(a) {
		a.state = stateDone
		a.Target.record.Canceled(a.StartedAt)
		return
	}
	a.closeAt = time.Now().Add(linger)
}
