package standin

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// gate blocks goroutines while it is closed. Methods are safe for concurrent use.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // a closed channel while the gate is open
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		if !open {
			g.open = make(chan struct{})
		}
	default:
		if open {
			close(g.open)
		}
	}
}

// targetListener limits the number of connections that a target has open.
type targetListener struct {
	net.Listener
	t *Target
}

// Accept returns the next connection. Connections beyond the limit are reset.
func (l *targetListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.t.addConn(raw); ok {
			return c, nil
		}
		reset(raw)
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// targetConn is a connection to a target. When it is silent it stays open, but
// transfers no data in either direction.
type targetConn struct {
	net.Conn
	t          *Target
	delayOnce  sync.Once
	removeOnce sync.Once
	silent     atomic.Bool
	accepted   time.Time
}

// Read reads what the client sent. The first read waits for the target's
// ConnectTime.
func (c *targetConn) Read(p []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.t.layout.ConnectTime.Std()) })
	for {
		n, err := c.Conn.Read(p)
		if os.IsTimeout(err) {
			return n, err // the HTTP server interrupts its own reads by a deadline
		}
		c.t.gate.wait()
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends p, or discards it if the connection is silent.
func (c *targetConn) Write(p []byte) (int, error) {
	c.t.gate.wait()
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. A silent connection stays open for its client: it is
// read until the client closes it.
func (c *targetConn) Close() error {
	if !c.silent.Load() {
		return c.release()
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.release()
	}()
	return nil
}

func (c *targetConn) release() error {
	c.removeOnce.Do(func() { c.t.removeConn(c) })
	return c.Conn.Close()
}
