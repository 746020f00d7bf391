// Package mesh connects entry processes through links, over which a process requests
// from its peers what they have read from the store.
package mesh

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// Options configures a Mesh.
type Options struct {
	Self   wire.Process
	Logger *slog.Logger
	// ServeFeed returns the response to a peer's request for what this process has
	// read from the store.
	ServeFeed func(ctx context.Context, request wire.FeedRequest) (wire.FeedResponse, error)
	// ServeQuery returns the response to a caller's request that a peer hands to this
	// process; nil if it takes none. ctx is canceled if the peer no longer needs it.
	ServeQuery func(ctx context.Context, peer string, q *wire.Query) wire.QueryResponse
	// CheckInterval is the time between two liveness checks of links.
	CheckInterval time.Duration
	// MaxQueuedBytes bounds what waits to be sent on all links, in bytes; see link.Options.
	MaxQueuedBytes int64
}

// ErrLinkLost is returned if the link to a peer is lost before the peer responds, or the
// response cannot be decoded.
var ErrLinkLost = errors.ConstError("link to the peer lost before its response")

// Mesh sends requests to peers and responds to theirs. Its methods are safe for
// concurrent use.
//
// Lock order: no other lock may be held when mu is acquired, or acquired while mu is
// held.
type Mesh struct {
	opts Options
	pool *link.Pool

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]*pendingRequest // by request ID
	queries map[uint64]pendingQuery    // sent to peers, by ID
	serving map[servedQuery]func()     // cancels queries of peers that are being served
}

// pendingRequest is a request whose response has not been received.
type pendingRequest struct {
	peer     string
	response chan wire.FeedResponse // closed if the link is lost
	link     *link.Link             // that the first part came on; nil before it
	items    []byte                 // of the parts that have been received
}

// New returns a Mesh without peers.
func New(opts Options) *Mesh {
	m := &Mesh{opts: opts, pending: map[uint64]*pendingRequest{}, queries: map[uint64]pendingQuery{}, serving: map[servedQuery]func(){}}
	m.pool = link.NewPool(link.Options{
		Self: opts.Self, Handler: m, Logger: opts.Logger, CheckInterval: opts.CheckInterval, ResetOnClose: true,
		MaxQueuedBytes: opts.MaxQueuedBytes,
	})
	return m
}

// ServeHTTP accepts links from peers.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.pool.ServeHTTP(w, r) }

// ProcessName returns the name that links use for the entry process of a VM.
func ProcessName(vm string) string { return wire.Process{VM: vm, Role: wire.RoleEntry}.Name() }

// SetPeers sets the addresses of the other processes, by VM. Links to the VMs in
// persistent are kept open.
func (m *Mesh) SetPeers(addresses map[string]string, persistent []string) {
	peers := make(map[string]link.Peer, len(addresses))
	for vm, address := range addresses {
		peers[ProcessName(vm)] = link.Peer{Address: address, Persistent: slices.Contains(persistent, vm)}
	}
	m.pool.SetPeers(peers)
}

// LinkCount returns the number of live links.
func (m *Mesh) LinkCount() int { return len(m.pool.Links()) }

// BytesSent returns the bytes sent to peers in this data centre and in others.
func (m *Mesh) BytesSent() (local, remote int64) { return m.pool.BytesSent() }

// Close closes all links.
func (m *Mesh) Close() { m.pool.Close() }

// RequestFeed requests from the peer on a VM what it has read from the store. It
// returns ErrLinkLost if the link to the peer is lost before the response arrives.
func (m *Mesh) RequestFeed(ctx context.Context, vm string, request wire.FeedRequest) (wire.FeedResponse, error) {
	p := &pendingRequest{peer: ProcessName(vm), response: make(chan wire.FeedResponse, 1)}
	m.mu.Lock()
	m.lastID++
	request.ID, request.Parts = m.lastID, true
	m.pending[request.ID] = p
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.pending, request.ID)
		m.mu.Unlock()
	}()
	if err := m.pool.Send(p.peer, &wire.Frame{FeedRequests: []wire.FeedRequest{request}}); err != nil {
		return wire.FeedResponse{}, errors.Trace(err)
	}
	select {
	case response, ok := <-p.response:
		if !ok {
			return response, ErrLinkLost
		}
		return response, nil
	case <-ctx.Done():
		return wire.FeedResponse{}, errors.Annotate(ctx.Err(), "no response from peer")
	}
}

// Up implements link.Handler. It does nothing, because links are looked up when they
// are needed.
func (m *Mesh) Up(*link.Link) {}

// Dropped implements link.Handler. It does nothing, because entry processes send no
// batches.
func (m *Mesh) Dropped(*link.Link, wire.Batch) {}

// Frame implements link.Handler. It handles the requests and responses of a peer.
func (m *Mesh) Frame(l *link.Link, f *wire.Frame) {
	for _, request := range f.FeedRequests {
		go m.serveFeed(l, request)
	}
	m.queryFrame(l, f)
	for _, response := range f.FeedResponses {
		m.feedResponse(l, response)
	}
}

// feedResponse handles a response or one part of it.
func (m *Mesh) feedResponse(l *link.Link, response wire.FeedResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.pending[response.ID]
	if !ok {
		return
	}
	if p.link == nil {
		p.link = l
	}
	if p.link != l || response.Undecodable || len(p.items)+len(response.Items) > wire.MaxFeedBytes {
		close(p.response)
		delete(m.pending, response.ID)
		return
	}
	if response.More {
		p.items = append(p.items, response.Items...)
		return
	}
	if len(p.items) > 0 {
		response.Items = append(p.items, response.Items...)
	}
	delete(m.pending, response.ID)
	p.response <- response
}

// serveTimeout bounds the handling of a peer's request. It is longer than any
// request waits for changes.
const serveTimeout = 10 * time.Second

func (m *Mesh) serveFeed(l *link.Link, request wire.FeedRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	response, err := m.opts.ServeFeed(ctx, request)
	if err != nil {
		m.opts.Logger.Warn("request of a peer for published state failed, sending no response", "peer", l.Peer().VM, "error", err)
		return
	}
	response.ID = request.ID
	parts := []wire.FeedResponse{response}
	if request.Parts {
		parts = wire.SplitFeed(response)
	}
	for _, part := range parts {
		if err := l.Send(&wire.Frame{FeedResponses: []wire.FeedResponse{part}}); err != nil {
			m.opts.Logger.Debug("response to a peer not sent", "peer", l.Peer().VM, "error", err)
			return
		}
	}
}

// Down implements link.Handler. It ends the pending requests to a peer whose link
// is lost.
func (m *Mesh) Down(l *link.Link, _ error) {
	m.queriesDown(l)
	name := l.Peer().Name()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, p := range m.pending {
		if p.peer == name {
			close(p.response)
			delete(m.pending, id)
		}
	}
}
