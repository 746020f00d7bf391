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

// exchange is one request on one connection.
type exchange struct {
	deadline time.Time

	mu        sync.Mutex
	conn      *clientConn
	pooled    bool // it was idle before
	sent      bool
	sentAt    time.Time
	withdrawn bool
}

// permit is asked right before each write of the request. The first one that
// it allows marks the request as sent.
func (e *exchange) permit(now time.Time, tooOld bool) (first bool, err error) {
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

// unsend takes back the mark that permit has set, when nothing was written.
func (e *exchange) unsend() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = false
}

// withdraw keeps the request from being sent. It reports false if a byte may
// have left already.
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

// clientConn is a connection to a target that knows which request it carries.
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

// carry makes the exchange the one that later writes belong to.
func (c *clientConn) carry(e *exchange, pooled bool) {
	c.mu.Lock()
	c.current = e
	c.mu.Unlock()
	e.mu.Lock()
	e.conn, e.pooled = c, pooled
	e.mu.Unlock()
}

// Write sends a part of the current request, if it may still be sent.
func (c *clientConn) Write(p []byte) (int, error) {
	now := time.Now()
	e, tooOld, first := c.use(now)
	if e == nil {
		if tooOld && !first {
			return 0, errRetired // net/http opens another connection
		}
		return c.Conn.Write(p)
	}
	sends, err := e.permit(now, tooOld)
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if sends && n == 0 && err != nil {
		e.unsend()
	}
	return n, err
}

// use notes that the connection is used, and returns the current request,
// whether the connection was too old for a new one, and whether this is its
// first use.
func (c *clientConn) use(now time.Time) (e *exchange, tooOld, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.dialer.options
	tooOld = c.discarded || c.opened.Before(c.dialer.oldest()) ||
		now.Sub(c.opened) > o.MaxAge || now.Sub(c.lastUsed) > o.MaxIdle
	first = !c.used
	c.lastUsed, c.used = now, true
	return c.current, tooOld, first
}

// discard closes the connection, which takes no further request even if the
// pool doesn't know yet that it is closed.
func (c *clientConn) discard() {
	c.mu.Lock()
	c.discarded = true
	c.mu.Unlock()
	_ = c.Close()
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.closed.Do(func() { c.dialer.open.Add(-1) })
	return c.Conn.Close()
}

// dialer opens connections to one target at a limited pace.
type dialer struct {
	options *TargetClientOptions
	open    atomic.Int64 // connections

	mu          sync.Mutex
	pacer       *Pacer
	done        chan struct{} // closed at the end of each dial
	retiredTill time.Time     // connections opened before take no further request
}

func newDialer(o *TargetClientOptions) *dialer {
	return &dialer{options: o, pacer: NewPacer(o.Pacer), done: make(chan struct{})}
}

// dial opens a connection as soon as the pacer allows.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := d.start(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	defer d.end()
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

func (d *dialer) oldest() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retiredTill
}

func (d *dialer) retireBefore(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retiredTill = t
}

func (d *dialer) start(ctx context.Context) error {
	for {
		d.mu.Lock()
		ok, wait := d.pacer.TryStart(time.Now())
		done := d.done
		d.mu.Unlock()
		if ok {
			return nil
		}
		var spaced <-chan time.Time
		if wait > 0 {
			spaced = time.After(wait)
		}
		select {
		case <-spaced:
		case <-done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *dialer) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pacer.Done()
	close(d.done)
	d.done = make(chan struct{})
}
