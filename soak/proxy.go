// Package soak runs the real programs against stand-ins, harms them from
// outside at random, and checks what callers and targets see.
package soak

import (
	"net"
	"sync"
	"time"
)

// Fault is what a proxy does to its connections.
type Fault int

// Harms of a proxy.
const (
	NoFault      Fault = iota
	Delay              // bytes come late
	Reset              // connections are reset, and new ones too
	DropToServer       // bytes to the server are swallowed
	DropToClient       // bytes to the client are swallowed
	StallOpen          // open connections are silent for good, new ones work
)

// delay is how late bytes are on a delayed connection.
const delay = 120 * time.Millisecond

// Proxy forwards loopback connections to one server. Its methods may be called
// concurrently.
type Proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	harm  Fault
	pairs map[*pair]struct{}
	// harmed is when a harm last ended or changed.
	harmed time.Time
}

type pair struct {
	client, server net.Conn
	silent         bool
}

// NewProxy starts a proxy in front of a server.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, to: to, pairs: map[*pair]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the proxy's host and port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault changes the harm.
func (p *Proxy) SetFault(h Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm, p.harmed = h, time.Now()
	for c := range p.pairs {
		switch h {
		case Reset:
			reset(c.client)
			reset(c.server)
		case StallOpen:
			c.silent = true
		}
	}
}

// FaultFreeFor reports whether there has been no harm for a while.
func (p *Proxy) FaultFreeFor(since time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm == NoFault && time.Since(p.harmed) > since
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // then the close sends a reset
	}
	_ = c.Close() // it may be closed already
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		reset(client)
		return
	}
	c := &pair{client: client, server: server}
	p.mu.Lock()
	p.pairs[c] = struct{}{}
	refused := p.harm == Reset
	p.mu.Unlock()
	if refused {
		reset(client)
	}
	go p.pipe(c, server, client, DropToClient)
	p.pipe(c, client, server, DropToServer)
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// pipe copies bytes in one direction until either end closes.
func (p *Proxy) pipe(c *pair, from, to net.Conn, direction Fault) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		harm, silent := p.harm, c.silent
		p.mu.Unlock()
		if silent && err == nil {
			continue
		}
		if harm == Delay {
			time.Sleep(delay)
		}
		if n > 0 && harm != direction {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = from.Close() // both ends are done
			_ = to.Close()
			return
		}
	}
}

// Close stops the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close() // ends accept
	p.SetFault(Reset)
}
