//go:build review

package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	leaf, born, id, path string
	machine, seq         int
	at, endedAt          time.Time
	status               int
	cold, ran            bool
	leaving              bool // the answer says that the server leaves
}

// leaf is a stand-in of a server. It has one listener for each machine, which is the machine's
// path to it.
type leaf struct {
	w       *world
	service string
	zone    string
	slots   int
	queue   int
	key     string // of the entry in the store, without the prefix

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	paths    []*path
	server   *http.Server
	up       bool
	draining bool
	leaving  bool
	coldFor  time.Time
	limit    float64
	pause    time.Duration // refuses with Retry-After
	work     map[string]time.Duration
	sem      chan struct{}
	waiting  atomic.Int64
	behave   func(w http.ResponseWriter, r *http.Request, a *arrival) bool
	stopBeat chan struct{}
	written  string // the entry as it stands, without its sequence
}

// path is the way of one machine to one server.
type path struct {
	l        *leaf
	machine  int
	addr     string
	mu       sync.Mutex
	listener net.Listener
	conns    map[*pathConn]struct{}
	mode     pathMode
	blocker  func()
}

type pathMode int

const (
	pathOpen   pathMode = iota
	pathHang            // open connections fall silent, new ones hang
	pathClosed          // the server is down
)

// pathConn is a connection whose bytes stop while the path hangs.
type pathConn struct {
	net.Conn
	p     *path
	mu    sync.Mutex
	stall chan struct{} // not nil while stalled
	dead  bool
}

func (c *pathConn) gate() error {
	for {
		c.mu.Lock()
		stall, dead := c.stall, c.dead
		c.mu.Unlock()
		if dead {
			return syscall.ECONNRESET
		}
		if stall == nil {
			return nil
		}
		<-stall
	}
}

func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if gateErr := c.gate(); gateErr != nil {
		return 0, gateErr
	}
	return n, err
}

func (c *pathConn) Write(b []byte) (int, error) {
	if err := c.gate(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *pathConn) Close() error {
	c.p.mu.Lock()
	delete(c.p.conns, c)
	c.p.mu.Unlock()
	return c.Conn.Close()
}

func (c *pathConn) reset() {
	c.mu.Lock()
	c.dead = true
	if c.stall != nil {
		close(c.stall)
		c.stall = nil
	}
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

type pathListener struct {
	net.Listener
	p *path
}

func (l pathListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &pathConn{Conn: nc, p: l.p}
	l.p.mu.Lock()
	l.p.conns[c] = struct{}{}
	l.p.mu.Unlock()
	return c, nil
}

type machineKey struct{}

func newLeaf(w *world, service, zone, id string, slots int) (*leaf, error) {
	l := &leaf{w: w, service: service, zone: zone, id: id, key: id, slots: slots, queue: 12, work: map[string]time.Duration{}}
	for m := range w.machines {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", network, m+1, 1+len(w.leafs)%250))
		if err != nil {
			return nil, err
		}
		p := &path{l: l, machine: m, addr: ln.Addr().String(), conns: map[*pathConn]struct{}{}, mode: pathClosed}
		_ = ln.Close()
		l.paths = append(l.paths, p)
	}
	w.leafs = append(w.leafs, l)
	return l, nil
}

// start starts the server: it listens, and then registers.
func (l *leaf) start(cold time.Duration) error {
	l.mu.Lock()
	l.born, l.sequence, l.up, l.draining, l.leaving = time.Now().UnixMilli(), 0, true, false, false
	l.coldFor = time.Now().Add(cold)
	l.sem = make(chan struct{}, l.slots)
	l.server = &http.Server{Handler: l, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, machineKey{}, c.(*pathConn).p.machine)
	}}
	l.stopBeat = make(chan struct{})
	stop := l.stopBeat
	l.mu.Unlock()
	for _, p := range l.paths {
		if err := p.open(); err != nil {
			return err
		}
	}
	// Registering takes a call of the store, of 4 ms, after the server listens.
	time.Sleep(4*time.Millisecond + time.Duration(rand.Int63n(int64(12*time.Millisecond))))
	l.beat()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				l.beat()
			}
		}
	}()
	return nil
}

// beat writes the entry of the server.
//
// It reports whether the store has acknowledged that.
func (l *leaf) beat() bool {
	l.mu.Lock()
	if !l.up {
		l.mu.Unlock()
		return false
	}
	state := "ready"
	if l.draining {
		state = "draining"
	}
	l.sequence++
	var paths []string
	for _, p := range l.paths {
		paths = append(paths, p.addr)
	}
	v := map[string]any{
		"service": l.service, "address": "", "paths": paths, "zone": l.zone, "version": "v1", "max_concurrency": l.slots, "state": state,
		"warmup_remaining_ms": max(time.Until(l.coldFor).Milliseconds(), 0), "sequence": l.sequence, "born": l.born,
	}
	key := l.id
	written := fmt.Sprint(key, l.born, state, v["warmup_remaining_ms"])
	if l.written == written {
		l.mu.Unlock()
		return true // the entry changes when more than the sequence changes
	}
	l.mu.Unlock()
	if !l.w.store.put("servers/"+key, v) {
		return false
	}
	l.mu.Lock()
	l.written = written
	l.mu.Unlock()
	return true
}

// crash ends the server: its connections are reset, new ones are refused.
func (l *leaf) crash() {
	l.mu.Lock()
	if !l.up {
		l.mu.Unlock()
		return
	}
	l.up = false
	close(l.stopBeat)
	l.mu.Unlock()
	for _, p := range l.paths {
		p.shut(pathClosed)
	}
	_ = l.server.Close()
}

func (p *path) listen() error {
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.mode = ln, pathOpen
	p.mu.Unlock()
	go p.l.server.Serve(pathListener{ln, p})
	return nil
}

func (p *path) open() error {
	p.mu.Lock()
	mode, blocker := p.mode, p.blocker
	p.blocker = nil
	p.mu.Unlock()
	if mode == pathOpen {
		return nil
	}
	if blocker != nil {
		blocker()
	}
	if mode == pathHang {
		p.resetAll()
	}
	return p.listen()
}

func (p *path) resetAll() {
	p.mu.Lock()
	conns := make([]*pathConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// shut takes the path out of use.
func (p *path) shut(mode pathMode) {
	p.mu.Lock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.mode = mode
	var stalled []*pathConn
	if mode == pathHang {
		for c := range p.conns {
			stalled = append(stalled, c)
		}
	}
	p.mu.Unlock()
	switch mode {
	case pathClosed:
		p.resetAll()
	case pathHang:
		for _, c := range stalled {
			c.mu.Lock()
			if c.stall == nil && !c.dead {
				c.stall = make(chan struct{})
			}
			c.mu.Unlock()
		}
		p.mu.Lock()
		p.blocker = blockAddress(p.addr)
		p.mu.Unlock()
	}
}

// blockAddress lets connections to an address hang: a listener whose queue is full drops them.
func blockAddress(addr string) (release func()) {
	host, portText, _ := net.SplitHostPort(addr)
	port, _ := strconv.Atoi(portText)
	sa := &syscall.SockaddrInet4{Port: port}
	copy(sa.Addr[:], net.ParseIP(host).To4())
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return func() {}
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if syscall.Bind(fd, sa) != nil || syscall.Listen(fd, 0) != nil {
		_ = syscall.Close(fd)
		return func() {}
	}
	fds := []int{fd}
	for range 2 {
		filler, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			break
		}
		_ = syscall.Connect(filler, sa)
		fds = append(fds, filler)
	}
	return func() {
		for _, fd := range fds {
			_ = syscall.Close(fd)
		}
	}
}

// records returns the records of a service for a request.
func records(service, id string, n int) []byte {
	var out []byte
	for i := range n {
		sum := sha256.Sum256([]byte(service + "/" + id + "/" + strconv.Itoa(i)))
		out = append(out, sum[:16]...)
	}
	return out
}

const recordsOfPart = 25

// healthPath is the path of the health check of all services.
const healthPath = "/healthz"

// health answers a health check: it tells how long the server stays cold.
func (l *leaf) health(w http.ResponseWriter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Header().Set("X-Goldcrestmux-Warmup-Ms", strconv.FormatInt(max(time.Until(l.coldFor).Milliseconds(), 0), 10))
	if l.draining || l.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	machine, _ := r.Context().Value(machineKey{}).(int)
	id := r.Header.Get("X-Goldcrestmux-Request-Id")
	deadline, _ := strconv.Atoi(r.Header.Get("X-Goldcrestmux-Deadline-Ms"))
	h := w.Header()
	h.Set("X-Goldcrestmux-Request-Id", id)
	l.mu.Lock()
	h.Set("X-Goldcrestmux-Instance-Id", l.id)
	a := &arrival{
		leaf: l.id, born: strconv.FormatInt(l.born, 10), id: id, path: r.URL.Path, machine: machine, at: time.Now(),
		cold: time.Now().Before(l.coldFor), leaving: l.leaving,
	}
	if l.leaving {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if l.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(l.limit, 'f', -1, 64))
	}
	want, pause, behave, sem := r.Header.Get("X-Goldcrestmux-Target-Instance"), l.pause, l.behave, l.sem
	own := l.id
	work := l.work[""]
	for prefix, d := range l.work {
		if prefix != "" && strings.HasPrefix(r.URL.Path, prefix) {
			work = d
		}
	}
	l.mu.Unlock()
	if r.URL.Path == healthPath {
		l.health(w)
		return
	}
	finish := func(status int) {
		l.w.mu.Lock()
		defer l.w.mu.Unlock()
		a.status, a.endedAt = status, time.Now()
	}
	if want != "" && want != own {
		h.Set("X-Goldcrestmux-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.w.arrived(a)
	if pause > 0 {
		h.Set("X-Goldcrestmux-Not-Executed", "1")
		h.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		finish(503)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if l.waiting.Add(1) > int64(l.slots+l.queue) {
		l.waiting.Add(-1)
		h.Set("X-Goldcrestmux-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		finish(503)
		return
	}
	defer l.waiting.Add(-1)
	end := time.After(time.Duration(deadline) * time.Millisecond)
	select {
	case sem <- struct{}{}:
	case <-end:
		h.Set("X-Goldcrestmux-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		finish(503)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-sem }()
	l.w.ran(a)
	if behave != nil && behave(w, r, a) {
		finish(0)
		return
	}
	select {
	case <-time.After(work):
	case <-end:
		h.Set("X-Goldcrestmux-Response-Seal", fmt.Sprintf("%s.%s.%d", own, id, a.seq))
		w.WriteHeader(http.StatusGatewayTimeout)
		finish(504)
		return
	case <-r.Context().Done():
		finish(-1)
		return
	}
	h.Set("X-Goldcrestmux-Response-Seal", fmt.Sprintf("%s.%s.%d", own, id, a.seq))
	finish(200)
	if l.w.sharded[l.service] {
		_, _ = w.Write(records(l.service, id, recordsOfPart))
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %x", id, r.Method, r.URL.RequestURI(), sha256.Sum256(body))
}
