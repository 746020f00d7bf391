package targetapi

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

var (
	errDeadline  = errors.New("the deadline passed before the request was written")
	errRetired   = errors.New("the connection is too old")
	errWithdrawn = errors.New("the request was withdrawn before it was written")
)

// exchange is the state of one request on one connection. Its methods are safe
// for concurrent use.
type exchange struct {
	deadline time.Time

	mu        sync.Mutex
	conn      *clientConn
	pooled    bool // conn was reused or idle
	sent      bool
	sentAt    time.Time
	withdrawn bool
}

// allowWrite is called right before each write of the request and returns an
// error if the write must not happen. The first write that it allows marks the
// request as sent.
func (e *exchange) allowWrite(now time.Time, tooOld bool) (first bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.sent:
		return false, nil
	case e.withdrawn:
		return false, errWithdrawn
	case !now.Before(e.deadline):
		return false, errDeadline
	case tooOld && e.pooled:
		return false, errRetired
	}
	e.sent, e.sentAt = true, now
	return true, nil
}

// clearSent removes the mark set by allowWrite if nothing was written.
func (e *exchange) clearSent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = false
}

// withdraw prevents the request from being sent. It reports whether it was in
// time: it returns false if a byte may have left already.
func (e *exchange) withdraw() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withdrawn = true
	return !e.sent
}

func (e *exchange) state() (conn *clientConn, pooled, sent bool, sentAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn, e.pooled, e.sent, e.sentAt
}

// clientConn is a connection to a target. It tracks the request that it carries.
type clientConn struct {
	net.Conn
	dialer *dialer
	opened time.Time
	closed sync.Once

	mu        sync.Mutex
	current   *exchange
	lastUsed  time.Time
	used      bool
	discarded bool
}

// assign attributes later writes to the exchange.
func (c *clientConn) assign(e *exchange, pooled bool) {
	c.mu.Lock()
	c.current = e
	c.mu.Unlock()
	e.mu.Lock()
	e.conn, e.pooled = c, pooled
	e.mu.Unlock()
}

// Write writes a part of the current request if the request may still be sent.
func (c *clientConn) Write(p []byte) (int, error) {
	now := time.Now()
	e, tooOld, firstUse := c.recordUse(now)
	if e == nil {
		if tooOld && !firstUse {
			return 0, errRetired // makes net/http open another connection
		}
		return c.Conn.Write(p)
	}
	firstWrite, err := e.allowWrite(now, tooOld)
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if firstWrite && n == 0 && err != nil {
		e.clearSent()
	}
	return n, err
}

// recordUse records that the connection is used. It returns the current
// request, whether the connection was too old for a new request, and whether
// this is its first use.
func (c *clientConn) recordUse(now time.Time) (e *exchange, tooOld, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.dialer.options
	tooOld = c.discarded || c.opened.Before(c.dialer.retirementCutoff()) ||
		now.Sub(c.opened) > o.MaxAge || now.Sub(c.lastUsed) > o.MaxIdle
	first = !c.used
	c.lastUsed, c.used = now, true
	return c.current, tooOld, first
}

// discard closes the connection. It takes no further request even if the pool
// does not know yet that it is closed.
func (c *clientConn) discard() {
	c.mu.Lock()
	c.discarded = true
	c.mu.Unlock()
	_ = c.Close()
}

// Close closes the connection. It may be called more than once.
func (c *clientConn) Close() error {
	c.closed.Do(func() { c.dialer.open.Add(-1) })
	return c.Conn.Close()
}

// dialer opens connections to one target at a limited rate.
type dialer struct {
	options *TargetClientOptions
	open    atomic.Int64 // number of open connections

	mu       sync.Mutex
	pacer    *Pacer
	dialDone chan struct{} // closed and replaced at the end of each dial
	cutoff   time.Time     // connections opened before it take no further request
}

func newDialer(o *TargetClientOptions) *dialer {
	return &dialer{options: o, pacer: NewPacer(o.Pacer), dialDone: make(chan struct{})}
}

// dial waits until the pacer allows a dial and opens a connection.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := d.acquire(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	defer d.release()
	metrics.Add("dials", 1)
	netDialer := net.Dialer{Timeout: d.options.DialTimeout}
	conn, err := netDialer.DialContext(ctx, network, address)
	if err != nil {
		metrics.Add("dial_failures", 1)
		return nil, err
	}
	now := time.Now()
	d.open.Add(1)
	return &clientConn{Conn: conn, dialer: d, opened: now, lastUsed: now}, nil
}

// retirementCutoff returns the current cutoff: connections opened before it are
// retired.
func (d *dialer) retirementCutoff() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutoff
}

func (d *dialer) retireBefore(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutoff = t
}

// acquire waits until the pacer allows a dial.
func (d *dialer) acquire(ctx context.Context) error {
	for {
		d.mu.Lock()
		ok, wait := d.pacer.TryStart(time.Now())
		dialDone := d.dialDone
		d.mu.Unlock()
		if ok {
			return nil
		}
		var nextStart <-chan time.Time
		if wait > 0 {
			nextStart = time.After(wait)
		}
		select {
		case <-nextStart:
		case <-dialDone:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// release ends a dial that acquire has allowed.
func (d *dialer) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pacer.Done()
	close(d.dialDone)
	d.dialDone = make(chan struct{})
}
