package link

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"gopkg.in/tomb.v2"
)

// Path is the URL path at which a process accepts links.
const Path = "/link"

// Intervals of the pool.
const (
	// DefaultCheckInterval is the time between two liveness checks of all links.
	DefaultCheckInterval = 50 * time.Millisecond
	// handshakeTimeout bounds dialling and the exchange of Hello frames.
	handshakeTimeout = 2 * time.Second
	// sweepInterval is the time between two searches for unwanted links.
	sweepInterval = time.Second
	// onDemandIdle is how long a link without a standing wish is kept unused.
	onDemandIdle = 60 * time.Second
	// maxDials bounds the number of dials in progress.
	maxDials = 16
)

// Options configures a Pool.
type Options struct {
	// Self is this process.
	Self wire.Process
	// Handler receives frames and changes of links.
	Handler Handler
	// Logger logs changes of links.
	Logger *slog.Logger
	// Credit is the number of sub-requests accepted at once from one peer;
	// 0 means DefaultCredit.
	Credit uint32
	// Liveness bounds how long a link may be quiet.
	Liveness LivenessOptions
	// CheckInterval is the time between two liveness checks of all links; 0
	// means DefaultCheckInterval.
	CheckInterval time.Duration
}

// Peer is a process that may be dialled.
type Peer struct {
	// Address is the host and port of the peer's link listener.
	Address string
	// Persistent asks for a standing link; otherwise one is opened when Send needs it.
	Persistent bool
}

// Pool holds the links of one process. Its methods may be called concurrently.
// Lock order: Pool.mu before Link.mu.
type Pool struct {
	opts  Options
	tomb  tomb.Tomb
	dials chan struct{}

	mu    sync.Mutex
	rng   *rand.Rand
	peers map[string]*peerState
	links map[*Link]struct{}
}

// peerState is what the pool knows of one peer. It is guarded by Pool.mu.
type peerState struct {
	addr    Peer
	known   bool
	dialing bool
	redial  backoff
	link    *Link         // the newest live link, dialled or accepted
	waiting []*wire.Frame // frames for an on-demand dial in progress
}

// NewPool returns a running pool without peers.
func NewPool(opts Options) *Pool {
	opts.Credit = cmp.Or(opts.Credit, DefaultCredit)
	opts.CheckInterval = cmp.Or(opts.CheckInterval, DefaultCheckInterval)
	p := &Pool{
		opts:  opts,
		dials: make(chan struct{}, maxDials),
		rng:   rand.New(rand.NewPCG(opts.Self.Incarnation, 1)),
		peers: make(map[string]*peerState),
		links: make(map[*Link]struct{}),
	}
	p.tomb.Go(p.loop)
	return p
}

// SetPeers replaces the known addresses, by process name. Links to peers that
// are no longer known stay until they fail.
func (p *Pool) SetPeers(peers map[string]Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.peers {
		s.known = false
	}
	for name, addr := range peers {
		s := p.peer(name)
		if s.addr.Address != addr.Address {
			s.redial.succeeded()
		}
		s.addr = addr
		s.known = true
	}
	p.forget()
}

// forget drops the state of peers that are neither known nor linked. Pool.mu is held.
func (p *Pool) forget() {
	for name, s := range p.peers {
		if !s.known && !s.dialing && s.link == nil {
			delete(p.peers, name)
		}
	}
}

// peer returns the state for name, made if absent. Pool.mu is held.
func (p *Pool) peer(name string) *peerState {
	s := p.peers[name]
	if s == nil {
		s = &peerState{}
		p.peers[name] = s
	}
	return s
}

// Get returns the live link to the named process, or nil.
func (p *Pool) Get(name string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.peers[name]; s != nil {
		return s.link
	}
	return nil
}

// Links returns all live links.
func (p *Pool) Links() []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Link, 0, len(p.links))
	for l := range p.links {
		out = append(out, l)
	}
	return out
}

// Send sends a control frame to the named process, over the live link or one
// that is dialled for it. Frames that wait for a dial are lost if it fails.
func (p *Pool) Send(name string, f *wire.Frame) error {
	p.mu.Lock()
	s := p.peers[name]
	if s != nil && s.link != nil {
		l := s.link
		p.mu.Unlock()
		return l.Send(f)
	}
	defer p.mu.Unlock()
	if s == nil || !s.known {
		return ErrUnknownPeer
	}
	s.waiting = append(s.waiting, f)
	if len(s.waiting) > maxWaiting {
		s.waiting = s.waiting[1:]
	}
	p.dial(name, s, time.Now())
	return nil
}

// maxWaiting is the number of frames that wait for an on-demand dial.
const maxWaiting = 64

// Close closes all links and waits for the pool's own goroutines.
func (p *Pool) Close() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
	for _, l := range p.Links() {
		l.Close(ErrClosed)
	}
}

func (p *Pool) loop() error {
	ticker := time.NewTicker(p.opts.CheckInterval)
	defer ticker.Stop()
	var swept time.Time
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-ticker.C:
			now := time.Now()
			for _, l := range p.Links() {
				l.check(now)
			}
			if now.Sub(swept) >= sweepInterval {
				swept = now
				p.closeUnwanted(now)
			}
			p.dialMissing(now)
		}
	}
}

// closeUnwanted closes on-demand links that have been unused for long.
func (p *Pool) closeUnwanted(now time.Time) {
	for _, l := range p.Links() {
		if p.unwanted(l, now) {
			l.Close(ErrClosed)
		}
	}
}

// unwanted reports whether a dialled on-demand link has been unused for long.
func (p *Pool) unwanted(l *Link, now time.Time) bool {
	if !l.dialled {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.peers[l.peer.Name()]
	if s != nil && s.known && s.addr.Persistent {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.used) > onDemandIdle
}

func (p *Pool) dialMissing(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.peers {
		if s.known && s.addr.Persistent && s.link == nil {
			p.dial(name, s, now)
		}
	}
}

// dial starts an attempt to reach a peer unless one is in progress or too
// early. Pool.mu is held.
func (p *Pool) dial(name string, s *peerState, now time.Time) {
	if s.dialing || !s.redial.due(now) || !p.tomb.Alive() {
		return
	}
	s.dialing = true
	addr := s.addr.Address
	p.tomb.Go(func() error {
		select {
		case p.dials <- struct{}{}:
			defer func() { <-p.dials }()
		case <-p.tomb.Dying():
			return nil
		}
		p.dialled(name, p.open(name, addr))
		return nil
	})
}

// dialled notes the outcome of an attempt; l is nil if it failed.
func (p *Pool) dialled(name string, l *Link) {
	metrics.dials.Add(1)
	p.mu.Lock()
	s := p.peer(name)
	s.dialing = false
	waiting := s.waiting
	s.waiting = nil
	if l == nil {
		metrics.dialFailures.Add(1)
		s.redial.failed(time.Now(), p.rng)
		p.mu.Unlock()
		return
	}
	s.redial.succeeded()
	p.mu.Unlock()
	p.add(l)
	for _, f := range waiting {
		_ = l.Send(f)
	}
}

// open dials and shakes hands; it returns nil on failure.
func (p *Pool) open(name, addr string) *Link {
	ctx, cancel := context.WithTimeout(p.tomb.Context(context.Background()), handshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+addr+Path, nil)
	if err != nil {
		p.opts.Logger.Debug("dial failed", "peer", name, "address", addr, "error", err)
		return nil
	}
	conn.SetReadLimit(wire.MaxFrameBytes)
	hello, err := p.greet(ctx, conn, name)
	if err != nil {
		p.opts.Logger.Warn("link handshake failed", "peer", name, "address", addr, "error", err)
		_ = conn.CloseNow()
		return nil
	}
	return newLink(p, conn, *hello, true)
}

// ServeHTTP accepts a link.
func (p *Pool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	conn.SetReadLimit(wire.MaxFrameBytes)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	hello, err := p.welcome(ctx, conn)
	if err != nil {
		metrics.refused.Add(1)
		p.opts.Logger.Warn("link refused", "remote", r.RemoteAddr, "error", err)
		_ = conn.Close(websocket.StatusPolicyViolation, "refused")
		return
	}
	p.add(newLink(p, conn, *hello, false))
}

// add makes a link the one used for its peer and closes those of earlier
// incarnations.
func (p *Pool) add(l *Link) {
	p.mu.Lock()
	var stale []*Link
	for other := range p.links {
		if other.peer.Name() == l.peer.Name() && other.peer.Incarnation < l.peer.Incarnation {
			stale = append(stale, other)
		}
	}
	p.links[l] = struct{}{}
	s := p.peer(l.peer.Name())
	if s.link == nil || l.dialled || s.link.peer.Incarnation < l.peer.Incarnation {
		s.link = l
	}
	alive := p.tomb.Alive()
	p.mu.Unlock()
	for _, other := range stale {
		other.Close(ErrReplaced)
	}
	l.start()
	if !alive {
		l.Close(ErrClosed)
	}
}

// remove forgets a closed link and picks another live one for its peer.
func (p *Pool) remove(l *Link, err error) {
	p.opts.Logger.Info("link down", "peer", l.peer.Name(), "error", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
	s := p.peer(l.peer.Name())
	if s.link != l {
		return
	}
	s.link = nil
	for other := range p.links {
		if other.peer.Name() == l.peer.Name() {
			s.link = other
		}
	}
}
