// Package soak runs entry processes against stand-ins, injects random faults from
// outside the processes, and checks the responses that callers get and the requests
// that targets get.
package soak

import (
	"net"
	"sync"
	"time"
)

// Fault is a network fault that a proxy injects into its connections.
type Fault int

// Faults of a proxy.
const (
	NoFault      Fault = iota
	Delay              // bytes are delayed
	Reset              // open and new connections are reset
	DropToServer       // bytes to the server are discarded
	DropToClient       // bytes to the client are discarded
	StallOpen          // open connections never deliver data again; new ones work
)

// delayTime is how long each read is delayed under the fault Delay.
const delayTime = 120 * time.Millisecond

// Proxy forwards loopback connections to one server. Its methods are safe for
// concurrent use.
type Proxy struct {
	address string // host and port
	server  string // host and port

	mu          sync.Mutex
	closed      bool
	listener    net.Listener // nil after a crash
	fault       Fault
	connections map[*proxiedConn]struct{}
	// lastFault is when the fault was last set or cleared.
	lastFault time.Time
}

// proxiedConn is a connection from a client and the connection to the server that
// it is forwarded to.
type proxiedConn struct {
	client, server net.Conn
	stalled        bool // delivers no more data
}

// NewProxy starts a proxy for the server at the given host and port.
func NewProxy(server string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, address: l.Addr().String(), server: server, connections: map[*proxiedConn]struct{}{}}
	go p.accept(l)
	return p, nil
}

// Address returns the proxy's host and port.
func (p *Proxy) Address() string { return p.address }

// Crash resets all connections and refuses new ones for a while, as if the process of the
// server had ended. It reports whether the proxy was up.
func (p *Proxy) Crash(downtime time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return false
	}
	_ = p.listener.Close() // ends accept
	p.listener = nil
	for c := range p.connections {
		reset(c.client)
		reset(c.server)
	}
	time.AfterFunc(downtime, p.listen)
	return true
}

// listen accepts connections again after a crash. It tries again later if the address is in
// use, as it may be that of a connection of another process for a while.
func (p *Proxy) listen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		time.AfterFunc(listenRetryInterval, p.listen)
		return
	}
	p.listener = l
	go p.accept(l)
}

// listenRetryInterval is the time between two attempts to listen again.
const listenRetryInterval = 100 * time.Millisecond

// SetFault sets the fault. NoFault ends it, but connections that stalled stay so.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.lastFault = f, time.Now()
	for c := range p.connections {
		switch f {
		case Reset:
			reset(c.client)
			reset(c.server)
		case StallOpen:
			c.stalled = true
		}
	}
}

// FaultFreeFor reports whether there has been no fault for longer than d.
func (p *Proxy) FaultFreeFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault == NoFault && time.Since(p.lastFault) > d
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a reset
	}
	_ = c.Close() // it may be closed already
}

func (p *Proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.server, time.Second)
	if err != nil {
		reset(client)
		return
	}
	c := &proxiedConn{client: client, server: server}
	p.mu.Lock()
	p.connections[c] = struct{}{}
	resetting := p.fault == Reset
	p.mu.Unlock()
	if resetting {
		reset(client)
	}
	go p.pipe(c, server, client, DropToClient)
	p.pipe(c, client, server, DropToServer)
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// pipe copies bytes in one direction until either end closes. It discards them
// while drop is the fault of the proxy.
func (p *Proxy) pipe(c *proxiedConn, from, to net.Conn, drop Fault) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		fault, stalled := p.fault, c.stalled
		p.mu.Unlock()
		if stalled && err == nil {
			continue
		}
		if fault == Delay {
			time.Sleep(delayTime)
		}
		if n > 0 && fault != drop {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = from.Close() // either may be closed already
			_ = to.Close()
			return
		}
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close() // ends accept
	}
	p.mu.Unlock()
	p.SetFault(Reset)
}
