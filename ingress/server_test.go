package ingress

import (
	"io"
	"net"
	"testing"
	"time"
)

// pipeConn is a connection whose read can be held up, as on a busy processor.
type pipeConn struct {
	net.Conn
	closed bool
}

func (c *pipeConn) Close() error { c.closed = true; return nil }
func (c *pipeConn) Read(p []byte) (int, error) {
	return copy(p, "GET / HTTP/1.1\r\n"), nil
}

// A connection of which a request has been read must not be closed as idle,
// though the server has not begun to handle the request.
func TestIdleCloseSparesAReadRequest(t *testing.T) {
	now := time.Now()
	raw := &pipeConn{}
	c := &callerConn{Conn: raw, idle: now}
	if _, err := c.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	if c.closeIdle(now.Add(time.Hour)) || raw.closed {
		t.Fatal("closed under a request that has been read")
	}
	c.rest(now)
	if !c.closeIdle(now.Add(time.Hour)) || !raw.closed {
		t.Fatal("an idle connection was not closed")
	}
	if n, err := c.Read(make([]byte, 64)); n != 0 || err != io.EOF {
		t.Fatalf("read %d bytes, error %v after the close, want EOF", n, err)
	}
}

func TestIdleCloseKeepsRecentConnections(t *testing.T) {
	now := time.Now()
	c := &callerConn{Conn: &pipeConn{}, idle: now}
	if c.closeIdle(now.Add(-time.Second)) {
		t.Fatal("closed a connection that was idle for less than the limit")
	}
}

// Headers that trickle in end the connection; a request that is served is left alone.
func TestSlowHeadersAreClosed(t *testing.T) {
	raw := &pipeConn{}
	c := &callerConn{Conn: raw, idle: time.Now()}
	if c.closeSlow(time.Now().Add(time.Hour)) {
		t.Fatal("closed a connection that has sent nothing")
	}
	if _, err := c.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	if c.closeSlow(time.Now().Add(-time.Second)) {
		t.Fatal("closed a connection whose headers began just now")
	}
	if !c.serve() {
		t.Fatal("the first request is not told as the one that the connection was opened for")
	}
	if c.closeSlow(time.Now().Add(time.Hour)) {
		t.Fatal("closed a connection whose request is served")
	}
	c.rest(time.Now())
	if _, err := c.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	if c.serve() {
		t.Fatal("the second request is told as the first")
	}
	c.rest(time.Now())
	if _, err := c.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	if !c.closeSlow(time.Now().Add(time.Hour)) || !raw.closed {
		t.Fatal("slow headers did not end the connection")
	}
}
