package upstream

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/juju/errors"
)

// verifyDelay is the time between the end of a connection and the attempt to open another
// one that tells whether the target's process has ended: its connections and its listener
// do not close at the same instant.
const verifyDelay = 15 * time.Millisecond

// verifyAttempts is how often a connection is attempted that times out. All attempts end
// before package quarantine stops to wait for their result.
const verifyAttempts = 4

// brokenByTarget reports whether the target, or the network, ended a connection. Other
// failures are decisions of this process.
func brokenByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// refusesConnections reports whether no process listens at the address of a target.
func refusesConnections(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// verifyEnd returns a function that tells the guard that a connection ended while the target
// ran an attempt, and finds out whether the target has ended. mu must be held, and released
// before the function is called.
func (p *Pool) verifyEnd(t *Target, now time.Time, a *Attempt) func() {
	address := t.entry.Address
	run := quarantine.Run{Target: t.ID, Incarnation: t.entry.Incarnation, StartedAt: a.sentAt, EndedAt: now}
	pending := t.verifying
	t.verifying = true
	r := a.Call.Quarantine(t.Service)
	p.keepBroken(brokenRun{request: r, run: run})
	return func() {
		p.opts.Guard.Broke(now, r, run)
		if !pending {
			go p.verify(t, address, run.Incarnation)
		}
	}
}

// verify opens a connection to a target and tells the guard whether the target has ended.
// The connection is kept if there is room for it.
func (p *Pool) verify(t *Target, address string, incarnation int64) {
	time.Sleep(verifyDelay)
	p.mu.Lock()
	t.verifying = false // what breaks from now on is verified by another connection
	p.mu.Unlock()
	var nc net.Conn
	var err error
	for range verifyAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), p.opts.DialTimeout)
		nc, err = p.opts.Dial(ctx, "tcp", address)
		cancel()
		if err == nil || !isTimeout(err) {
			break // a timeout tells nothing: this process may be busy
		}
	}
	p.confirmEnd(t.ID, incarnation, refusesConnections(err))
	if err == nil {
		p.adopt(t, nc)
	}
}

// adopt adds a connection to those of a target and reads from it until it is closed.
func (p *Pool) adopt(t *Target, nc net.Conn) {
	p.mu.Lock()
	if t.removed || t.evacuated || t.openConns >= t.maxConns {
		p.mu.Unlock()
		_ = nc.Close() // nothing was sent
		return
	}
	t.openConns++
	p.pathWorks(time.Now())
	c := newConn(p, t, nc)
	next := p.assignNext(c)
	open := !c.closed
	p.mu.Unlock()
	if next != nil {
		c.send(next)
	}
	if open {
		c.readLoop()
	}
}
