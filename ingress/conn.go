package ingress

import (
	"io"
	"net"
	"sync"
	"time"
)

// callerConn is a connection of a caller. It knows whether bytes were read since
// it became idle, so that it is never closed under a request that has been read.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// read is true if bytes were read since the last answer, the first of them
	// at begun.
	read  bool
	begun time.Time
	// serving is true once a request's headers are complete.
	serving bool
	served  bool // a request before
	closed  bool
	// idle is when the last answer was written, or the connection opened.
	idle time.Time
}

// Read reads from the caller. Once the connection was closed as idle it
// delivers nothing more.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, io.EOF
	}
	if n > 0 && !c.read {
		c.read, c.begun = true, time.Now()
	}
	return n, err
}

// serve records that the headers of a request are complete. It returns true for
// the first request of the connection.
func (c *callerConn) serve() (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.served
	c.serving, c.served = true, true
	return first
}

// closeSlow closes the connection if a request's headers began before a time and
// are not complete.
func (c *callerConn) closeSlow(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.read || c.serving || c.closed || c.begun.After(since) {
		return false
	}
	c.closed = true
	_ = c.Conn.Close() // the caller sees the end
	return true
}

// rest records that the connection is idle.
func (c *callerConn) rest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read, c.serving, c.idle = false, false, now
}

// closeIdle closes the connection if it has been idle since a time and nothing
// of a request was read.
func (c *callerConn) closeIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.read || c.closed || c.idle.After(since) {
		return false
	}
	c.closed = true
	_ = c.Conn.Close() // the caller sees the end
	return true
}

// listener wraps what it accepts.
type listener struct {
	net.Listener
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // http.Server tells temporary errors apart by type
	}
	return &callerConn{Conn: c, idle: time.Now()}, nil
}
