//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// cut is what a partition does with the connections of a machine to a leaf.
type cut int32

const (
	open    cut = iota
	hang        // connections hang, and new ones hang too
	resets      // connections are reset, and new ones are refused
	narrow      // connections live on, and new ones are refused
	resetsH     // connections are reset, and new ones hang
	hangsR      // connections hang, and new ones are refused
)

var cutNames = map[cut]string{open: "open", hang: "hang", resets: "reset", narrow: "live on", resetsH: "reset, new ones hang", hangsR: "hang, new ones are refused"}

// proxy is the link between one machine and one leaf.
type proxy struct {
	ip      string
	port    int
	server  string
	address string

	mu       sync.Mutex
	state    cut
	fd       int // of the listener; -1 if new connections are refused
	listener net.Listener
	fillers  []net.Conn
	conns    map[*link]struct{}
	changed  chan struct{} // closed when the state changes
}

// link is one connection through a proxy.
type link struct {
	client, server net.Conn
	stalled        atomic.Bool
}

func newProxy(ip, server string) (*proxy, error) {
	p := &proxy{ip: ip, server: server, conns: map[*link]struct{}{}, fd: -1, changed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p, p.listen()
}

// listen opens the listener, on the port that it had. mu must be held.
func (p *proxy) listen() error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	var addr [4]byte
	copy(addr[:], net.ParseIP(p.ip).To4())
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: p.port, Addr: addr}); err != nil {
		return fmt.Errorf("bind %s:%d: %w", p.ip, p.port, err)
	}
	if err := syscall.Listen(fd, 128); err != nil {
		return err
	}
	_ = syscall.SetNonblock(fd, true)
	f := os.NewFile(uintptr(fd), "proxy")
	l, err := net.FileListener(f)
	if err != nil {
		return err
	}
	_ = f.Close()
	p.port = l.Addr().(*net.TCPAddr).Port
	p.address = net.JoinHostPort(p.ip, strconv.Itoa(p.port))
	p.listener = l
	go p.accept(l)
	return nil
}

// backlog changes the backlog of the listener.
func (p *proxy) backlog(n int) {
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// set changes the state of the link.
func (p *proxy) set(state cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.state
	p.state = state
	close(p.changed)
	p.changed = make(chan struct{})
	if p.listener != nil {
		_ = p.listener.(*net.TCPListener).SetDeadline(time.Time{})
	}
	switch state {
	case open:
		for _, c := range p.fillers {
			reset(c)
		}
		p.fillers = nil
		if p.listener == nil {
			for try := 0; ; try++ {
				if err := p.listen(); err == nil || try == 50 {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
		} else if before == hang || before == resetsH {
			p.backlog(128)
			go p.accept(p.listener)
		}
	case hang, resetsH:
		_ = p.listener.(*net.TCPListener).SetDeadline(time.Now()) // ends accept
		p.backlog(0)
		for range 3 { // the queue of new connections is full, so that further ones hang
			if c, err := net.DialTimeout("tcp", p.address, 20*time.Millisecond); err == nil {
				p.fillers = append(p.fillers, c)
			}
		}
	case resets, narrow, hangsR:
		_ = p.listener.Close()
		p.listener = nil
	}
	for l := range p.conns {
		switch state {
		case hang, hangsR:
			l.stalled.Store(true)
		case open:
			l.stalled.Store(false)
		case resets, resetsH:
			reset(l.client)
			reset(l.server)
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		filler := false
		for _, f := range p.fillers {
			filler = filler || f.LocalAddr().String() == c.RemoteAddr().String()
		}
		refuse := p.state != open
		p.mu.Unlock()
		if filler || refuse {
			reset(c)
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.server, time.Second)
	if err != nil {
		reset(client)
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.conns[l] = struct{}{}
	if p.state == resets || p.state == resetsH {
		reset(client)
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pipe(l, client, server) })
	both.Go(func() { p.pipe(l, server, client) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, l)
	p.mu.Unlock()
}

// pipe copies one direction. What was held up by a partition arrives after it, unless its sender
// has reset the connection.
func (p *proxy) pipe(l *link, from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if l.stalled.Load() {
			for l.stalled.Load() {
				time.Sleep(5 * time.Millisecond)
			}
			if err == nil {
				_ = from.SetReadDeadline(time.Now().Add(60 * time.Millisecond))
				more, rerr := from.Read(buf[n:])
				n += more
				_ = from.SetReadDeadline(time.Time{})
				if rerr != nil && !errors.Is(rerr, os.ErrDeadlineExceeded) {
					err = rerr
				}
			}
			if errors.Is(err, syscall.ECONNRESET) {
				n = 0
			}
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				reset(to)
			}
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}
