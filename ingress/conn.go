package ingress

import (
	"io"
	"net"
	"sync"
	"time"
)

// callerConn is a connection of a caller. It records whether bytes were read
// since it became idle, so that it is never closed as idle after the start of a
// request has been read.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// receiving is true if bytes were read since the last response. The first of
	// them were read at receivingSince.
	receiving      bool
	receivingSince time.Time
	// serving is true from the time a request's headers are complete until its
	// response is written.
	serving   bool
	hasServed bool // at least one request
	closed    bool
	// idleSince is when the last response was written, or the connection accepted.
	idleSince time.Time
	// request is the request in progress; valid while serving is true.
	request RequestInProgress
	// readingBody is true while the body of the request is being read.
	readingBody bool
	// bodiesEnd is true once bodies are no longer waited for.
	bodiesEnd bool
}

// RequestInProgress is a request whose headers were read and whose response has not been
// written.
type RequestInProgress struct {
	// ID is the request ID that the caller set; empty if it set none.
	ID string
	// ReceivedAt is when the headers of the request were complete.
	ReceivedAt time.Time
}

// Read reads from the caller. It returns io.EOF once the connection was closed
// as idle or slow, and drops what it read.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, io.EOF
	}
	if n > 0 && !c.receiving {
		c.receiving, c.receivingSince = true, time.Now()
	}
	return n, err
}

// startRequest records that the headers of a request are complete. It reports
// whether the request is the first of the connection.
func (c *callerConn) startRequest(r RequestInProgress) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.hasServed
	c.serving, c.hasServed, c.request = true, true, r
	return first
}

// inProgress returns the request in progress; ok is false if there is none.
func (c *callerConn) inProgress() (r RequestInProgress, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request, c.serving
}

// startBody records that the body of the request is being read, until the given deadline.
func (c *callerConn) startBody(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = true
	if now := time.Now(); c.bodiesEnd && now.Before(deadline) {
		deadline = now
	}
	return c.Conn.SetReadDeadline(deadline)
}

// endBody records that the body has been read.
func (c *callerConn) endBody() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = false
	return c.Conn.SetReadDeadline(time.Time{}) // a later timeout would count as the caller's leaving
}

// abandonBody records that the body is not read any more. The deadline stays, as net/http may
// read the rest of the body.
func (c *callerConn) abandonBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = false
}

// interruptBody ends the reading of a body, as if its deadline had passed.
func (c *callerConn) interruptBody(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodiesEnd = true
	if c.readingBody {
		_ = c.Conn.SetReadDeadline(now) // fails if the connection is closed
	}
}

// closedHere reports whether this process closed the connection, as idle or slow.
func (c *callerConn) closedHere() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// closeSlow closes the connection if the headers of a request began to arrive at
// or before cutoff and are not complete. It reports whether it closed the
// connection.
func (c *callerConn) closeSlow(cutoff time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receiving || c.serving || c.closed || c.receivingSince.After(cutoff) {
		return false
	}
	c.closed = true
	_ = c.Conn.Close() // the connection is not used again
	return true
}

// markIdle records that the connection became idle at now.
func (c *callerConn) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving, c.serving, c.idleSince = false, false, now
}

// closeIdle closes the connection if it has been idle since the given time or
// longer, nothing of a request was read and none is in progress: the bytes of a
// request may have been read together with those of the request before it. It
// reports whether it closed the connection.
func (c *callerConn) closeIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving || c.serving || c.closed || c.idleSince.After(since) {
		return false
	}
	c.closed = true
	_ = c.Conn.Close() // the connection is not used again
	return true
}

// callerListener wraps the accepted connections in callerConn.
type callerListener struct {
	net.Listener
}

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // not annotated: http.Server recognizes temporary errors by type
	}
	return &callerConn{Conn: c, idleSince: time.Now()}, nil
}
