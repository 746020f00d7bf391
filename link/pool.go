package link

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"gopkg.in/tomb.v2"
)

// Path is the URL path at which a process accepts links.
const Path = "/link"

// Intervals and limits of the pool.
const (
	// DefaultCheckInterval is the time between two liveness checks of all links.
	DefaultCheckInterval = 50 * time.Millisecond
	// handshakeTimeout bounds the time of a dial with its handshake, or of the
	// handshake of an accepted connection.
	handshakeTimeout = 2 * time.Second
	// sweepInterval is the time between two calls of closeUnusedLinks.
	sweepInterval = time.Second
	// onDemandUnusedTimeout is the time after which an unused on-demand link is closed.
	onDemandUnusedTimeout = 60 * time.Second
	// maxDials bounds the number of dials in progress.
	maxDials = 16
)

// Options configures a Pool.
type Options struct {
	// Self is this process.
	Self wire.Process
	// Handler receives the events of links.
	Handler Handler
	// Logger receives the log of links.
	Logger *slog.Logger
	// Credit is the number of sub-requests accepted at once from one peer;
	// 0 means DefaultCredit.
	Credit uint32
	// Liveness bounds the time without a received frame on a link.
	Liveness LivenessOptions
	// ResetOnClose resets dialled connections when they are closed: what the peer has
	// not received by then never reaches it.
	ResetOnClose bool
	// CheckInterval is the time between two liveness checks of all links; 0
	// means DefaultCheckInterval.
	CheckInterval time.Duration
	// MaxQueuedBytes bounds the send queues of all links together, in bytes, but for
	// frames of a few kilobytes; 0 means no bound other than that of each link.
	MaxQueuedBytes int64
}

// Peer is a process that may be dialled.
type Peer struct {
	// Address is the host and port of the peer's link listener.
	Address string
	// Persistent keeps a link to the peer open. Without it, the link is on demand: it
	// is opened by Send, and closed when it is unused.
	Persistent bool
}

// Pool holds the links of one process. Its methods are safe for concurrent use.
// Lock order: Pool.mu before Link.mu.
type Pool struct {
	opts       Options
	tomb       tomb.Tomb
	dialSlots  chan struct{}
	dialClient *http.Client

	// sentLocal and sentRemote count the bytes of frames sent to peers in this data
	// centre and in others.
	sentLocal, sentRemote atomic.Int64
	// queuedBytes is the estimated size of the frames of all links that have not been
	// written.
	queuedBytes atomic.Int64

	mu    sync.Mutex
	rng   *rand.Rand
	peers map[string]*peerState
	links map[*Link]struct{}
}

// peerState is the state of one peer. It is guarded by Pool.mu.
type peerState struct {
	peer     Peer
	known    bool // in the last call of SetPeers
	dialling bool
	redial   backoff
	link     *Link         // the open link that is used, dialled or accepted
	pending  []*wire.Frame // frames that wait for a dial in progress
}

// NewPool starts and returns a pool without peers.
func NewPool(opts Options) *Pool {
	opts.Credit = cmp.Or(opts.Credit, DefaultCredit)
	opts.CheckInterval = cmp.Or(opts.CheckInterval, DefaultCheckInterval)
	opts.Liveness.CheckInterval = opts.CheckInterval
	p := &Pool{
		opts:       opts,
		dialSlots:  make(chan struct{}, maxDials),
		dialClient: http.DefaultClient,
		rng:        rand.New(rand.NewPCG(opts.Self.Incarnation, 1)),
		peers:      make(map[string]*peerState),
		links:      make(map[*Link]struct{}),
	}
	if opts.ResetOnClose {
		p.dialClient = &http.Client{Transport: &http.Transport{DialContext: dialReset}}
	}
	p.tomb.Go(p.loop)
	return p
}

// smallFrameBytes is the size up to which frames are queued whatever the other links hold:
// without pings a link would be taken for a silent one.
const smallFrameBytes = 4 << 10

// queueFull reports whether the send queues have no room for a frame of the given size.
func (p *Pool) queueFull(size int) bool {
	return p.opts.MaxQueuedBytes > 0 && size > smallFrameBytes && p.queuedBytes.Load()+int64(size) > p.opts.MaxQueuedBytes
}

// SetPeers replaces the known peers, by process name. Links to peers that are no
// longer known stay open until they fail or, if dialled, are unused.
func (p *Pool) SetPeers(peers map[string]Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.peers {
		s.known = false
	}
	for name, peer := range peers {
		s := p.ensurePeer(name)
		if s.peer.Address != peer.Address {
			s.redial.succeeded()
		}
		s.peer = peer
		s.known = true
	}
	p.deleteUnknownPeers()
}

// deleteUnknownPeers deletes the state of peers that are not known, have no link
// and are not being dialled. mu must be held.
func (p *Pool) deleteUnknownPeers() {
	for name, s := range p.peers {
		if !s.known && !s.dialling && s.link == nil {
			delete(p.peers, name)
		}
	}
}

// ensurePeer returns the state of the named peer, which it creates if it does not
// exist. mu must be held.
func (p *Pool) ensurePeer(name string) *peerState {
	s := p.peers[name]
	if s == nil {
		s = &peerState{}
		p.peers[name] = s
	}
	return s
}

// Get returns the open link to the named process, or nil.
func (p *Pool) Get(name string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.peers[name]; s != nil {
		return s.link
	}
	return nil
}

// Connect begins to dial the named process if it is known and there is no link to it.
func (p *Pool) Connect(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.peers[name]; s != nil && s.known && s.link == nil {
		p.dial(name, s, time.Now())
	}
}

// Links returns all open links.
func (p *Pool) Links() []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Link, 0, len(p.links))
	for l := range p.links {
		out = append(out, l)
	}
	return out
}

// Send sends a control frame to the named process, over the open link or one that
// is dialled for it. Frames that wait for a dial are dropped if it fails, and the
// oldest are dropped if there are more than maxPending.
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
	s.pending = append(s.pending, f)
	if len(s.pending) > maxPending {
		s.pending = s.pending[1:]
	}
	p.dial(name, s, time.Now())
	return nil
}

// maxPending is the maximum number of frames that wait for a dial of one peer.
const maxPending = 64

// BytesSent returns the bytes of frames sent to peers in this data centre and in others.
func (p *Pool) BytesSent() (local, remote int64) { return p.sentLocal.Load(), p.sentRemote.Load() }

// Close closes all links and waits for the pool's own goroutines.
func (p *Pool) Close() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
	p.flush()
	for _, l := range p.Links() {
		l.Close(ErrClosed)
	}
}

// flushTimeout bounds how long Close waits for frames that have been queued: peers wait for the
// responses in them.
const (
	flushTimeout      = 100 * time.Millisecond
	flushPollInterval = time.Millisecond
)

// flush waits until the queues of all links have been written.
func (p *Pool) flush() {
	for until := time.Now().Add(flushTimeout); p.queuedBytes.Load() > 0 && time.Now().Before(until); {
		time.Sleep(flushPollInterval)
	}
}

func (p *Pool) loop() error {
	ticker := time.NewTicker(p.opts.CheckInterval)
	defer ticker.Stop()
	var lastSweep time.Time
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-ticker.C:
			now := time.Now()
			for _, l := range p.Links() {
				l.check(now)
			}
			if now.Sub(lastSweep) >= sweepInterval {
				lastSweep = now
				p.closeUnusedLinks(now)
			}
			p.dialPersistentPeers(now)
		}
	}
}

// closeUnusedLinks closes on-demand links that have been unused for
// onDemandUnusedTimeout.
func (p *Pool) closeUnusedLinks(now time.Time) {
	for _, l := range p.Links() {
		if p.unused(l, now) {
			l.Close(ErrClosed)
		}
	}
}

// unused reports whether l is a dialled on-demand link that has been unused for
// longer than onDemandUnusedTimeout.
func (p *Pool) unused(l *Link, now time.Time) bool {
	if !l.dialled {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.peers[l.peer.Name()]
	if s != nil && s.known && s.peer.Persistent {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastUsed) > onDemandUnusedTimeout
}

// dialPersistentPeers dials the persistent peers that have no link.
func (p *Pool) dialPersistentPeers(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.peers {
		if s.known && s.peer.Persistent && s.link == nil {
			p.dial(name, s, now)
		}
	}
}

// dial starts a dial of a peer, unless one is in progress or the backoff has not
// passed. mu must be held.
func (p *Pool) dial(name string, s *peerState, now time.Time) {
	if s.dialling || !s.redial.due(now) || !p.tomb.Alive() {
		return
	}
	s.dialling = true
	addr := s.peer.Address
	p.tomb.Go(func() error {
		select {
		case p.dialSlots <- struct{}{}:
			defer func() { <-p.dialSlots }()
		case <-p.tomb.Dying():
			return nil
		}
		p.dialDone(name, p.open(name, addr))
		return nil
	})
}

// dialDone records the outcome of a dial; l is nil if it failed.
func (p *Pool) dialDone(name string, l *Link) {
	metrics.dials.Add(1)
	p.mu.Lock()
	s := p.ensurePeer(name)
	s.dialling = false
	pending := s.pending
	s.pending = nil
	if l == nil {
		metrics.dialFailures.Add(1)
		s.redial.failed(time.Now(), p.rng)
		p.mu.Unlock()
		return
	}
	s.redial.succeeded()
	p.mu.Unlock()
	p.add(l)
	for _, f := range pending {
		_ = l.Send(f)
	}
}

// dialReset opens a connection that is reset when it is closed.
func dialReset(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		err = tcp.SetLinger(0)
	}
	return conn, err
}

// open dials a peer and does the handshake. It returns nil on failure.
func (p *Pool) open(name, addr string) *Link {
	ctx, cancel := context.WithTimeout(p.tomb.Context(context.Background()), handshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+addr+Path, &websocket.DialOptions{HTTPClient: p.dialClient})
	if err != nil {
		p.opts.Logger.Debug("dial failed", "peer", name, "address", addr, "error", err)
		return nil
	}
	conn.SetReadLimit(wire.MaxFrameBytes)
	hello, err := p.dialHandshake(ctx, conn, name)
	if err != nil {
		p.opts.Logger.Warn("link handshake failed", "peer", name, "address", addr, "error", err)
		_ = conn.CloseNow()
		return nil
	}
	return newLink(p, conn, *hello, true)
}

// ServeHTTP accepts a link from a peer.
func (p *Pool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	conn.SetReadLimit(wire.MaxFrameBytes)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	hello, err := p.acceptHandshake(ctx, conn)
	if err != nil {
		metrics.refused.Add(1)
		p.opts.Logger.Warn("link refused", "remote", r.RemoteAddr, "error", err)
		_ = conn.Close(websocket.StatusPolicyViolation, "refused")
		return
	}
	p.add(newLink(p, conn, *hello, false))
}

// add starts a link and closes those to earlier incarnations of its peer. The link
// becomes the one used for the peer if there is none, if it was dialled, or if the
// one used is to an earlier incarnation.
func (p *Pool) add(l *Link) {
	p.mu.Lock()
	var outdated []*Link
	for other := range p.links {
		if other.peer.Name() == l.peer.Name() && other.peer.Incarnation < l.peer.Incarnation {
			outdated = append(outdated, other)
		}
	}
	p.links[l] = struct{}{}
	s := p.ensurePeer(l.peer.Name())
	if s.link == nil || l.dialled || s.link.peer.Incarnation < l.peer.Incarnation {
		s.link = l
	}
	alive := p.tomb.Alive()
	p.mu.Unlock()
	for _, other := range outdated {
		other.Close(ErrReplaced)
	}
	l.start()
	if !alive {
		l.Close(ErrClosed)
	}
}

// remove removes a closed link and selects another open one for its peer.
func (p *Pool) remove(l *Link, err error) {
	p.opts.Logger.Info("link down", "peer", l.peer.Name(), "error", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
	s := p.ensurePeer(l.peer.Name())
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
