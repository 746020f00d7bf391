package standin

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// gate blocks work while it is shut. It is safe for concurrent use.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
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

// targetListener accepts a target's connections within its limit.
type targetListener struct {
	net.Listener
	t *Target
}

// Accept returns the next connection. One beyond the limit is reset.
func (l *targetListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.t.admitConn(raw); ok {
			return c, nil
		}
		reset(raw)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// targetConn is a connection to a target. It can be made silent: it then
// stays open, but nothing passes any more.
type targetConn struct {
	net.Conn
	t        *Target
	once     sync.Once
	closed   sync.Once
	silent   atomic.Bool
	accepted time.Time
}

// Read returns what the client sent. The first read waits for the time that a
// new connection takes.
func (c *targetConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.t.layout.ConnectTime.Std()) })
	for {
		n, err := c.Conn.Read(p)
		if os.IsTimeout(err) {
			return n, err // the server interrupts its own reads
		}
		c.t.gate.wait()
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends an answer, or drops it if the connection is silent.
func (c *targetConn) Write(p []byte) (int, error) {
	c.t.gate.wait()
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. The client of a silent one isn't told.
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
	c.closed.Do(func() { c.t.dropConn(c) })
	return c.Conn.Close()
}
