// Package mesh carries what entry processes ask of each other over links: what
// was read from the store.
package mesh

import (
	"context"
	"log/slog"
	"net/http"
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
	// ServeFeed answers a peer's ask for what was read from the store.
	ServeFeed func(ctx context.Context, ask wire.FeedRequest) (wire.FeedResponse, error)
	// CheckInterval is the time between two liveness checks of links.
	CheckInterval time.Duration
}

// ErrLinkLost tells that the link to the peer was lost before it answered.
var ErrLinkLost = errors.ConstError("the link to the peer was lost")

// Mesh asks peers and answers them. Its methods may be called concurrently.
//
// Lock order: mu is taken with no other lock held, and none is taken under it.
type Mesh struct {
	opts Options
	pool *link.Pool

	mu    sync.Mutex
	next  uint64
	feeds map[uint64]feedWait
}

type feedWait struct {
	peer   string
	answer chan wire.FeedResponse
}

// New returns a Mesh without peers.
func New(opts Options) *Mesh {
	m := &Mesh{opts: opts, feeds: map[uint64]feedWait{}}
	m.pool = link.NewPool(link.Options{
		Self: opts.Self, Handler: m, Logger: opts.Logger, CheckInterval: opts.CheckInterval,
	})
	return m
}

// ServeHTTP accepts links.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.pool.ServeHTTP(w, r) }

// ProcessName returns the name under which a process is known to links.
func ProcessName(vm string) string { return wire.Process{VM: vm, Role: wire.RoleEntry}.Name() }

// SetPeers takes the addresses of the other processes, by VM.
func (m *Mesh) SetPeers(addresses map[string]string) {
	peers := make(map[string]link.Peer, len(addresses))
	for vm, address := range addresses {
		peers[ProcessName(vm)] = link.Peer{Address: address}
	}
	m.pool.SetPeers(peers)
}

// LinkCount returns the number of live links.
func (m *Mesh) LinkCount() int { return len(m.pool.Links()) }

// Close closes all links.
func (m *Mesh) Close() { m.pool.Close() }

// RequestFeed asks a peer for what it read from the store.
func (m *Mesh) RequestFeed(ctx context.Context, vm string, ask wire.FeedRequest) (wire.FeedResponse, error) {
	wait := feedWait{peer: ProcessName(vm), answer: make(chan wire.FeedResponse, 1)}
	m.mu.Lock()
	m.next++
	ask.ID = m.next
	m.feeds[ask.ID] = wait
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.feeds, ask.ID)
		m.mu.Unlock()
	}()
	if err := m.pool.Send(wait.peer, &wire.Frame{FeedRequests: []wire.FeedRequest{ask}}); err != nil {
		return wire.FeedResponse{}, errors.Trace(err)
	}
	select {
	case a, ok := <-wait.answer:
		if !ok {
			return a, ErrLinkLost
		}
		return a, nil
	case <-ctx.Done():
		return wire.FeedResponse{}, errors.Annotate(ctx.Err(), "no answer")
	}
}

// Up does nothing: links are used when they are needed.
func (m *Mesh) Up(*link.Link) {}

// Dropped does nothing: entry processes send no batches.
func (m *Mesh) Dropped(*link.Link, wire.Batch) {}

// Frame takes what a peer sent.
func (m *Mesh) Frame(l *link.Link, f *wire.Frame) {
	for _, ask := range f.FeedRequests {
		go m.serveFeed(l, ask)
	}
	for _, a := range f.FeedResponses {
		m.mu.Lock()
		w, ok := m.feeds[a.ID]
		delete(m.feeds, a.ID)
		m.mu.Unlock()
		if ok {
			w.answer <- a
		}
	}
}

// feedTimeout bounds the work on a peer's ask, which waits for less.
const feedTimeout = 10 * time.Second

func (m *Mesh) serveFeed(l *link.Link, ask wire.FeedRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), feedTimeout)
	defer cancel()
	a, err := m.opts.ServeFeed(ctx, ask)
	if err != nil {
		m.opts.Logger.Warn("a peer's ask for published state failed", "peer", l.Peer().VM, "error", err)
		return
	}
	a.ID = ask.ID
	if err := l.Send(&wire.Frame{FeedResponses: []wire.FeedResponse{a}}); err != nil {
		m.opts.Logger.Debug("answer to a peer not sent", "peer", l.Peer().VM, "error", err)
	}
}

// Down ends the asks that wait for a peer whose link is lost.
func (m *Mesh) Down(l *link.Link, _ error) {
	name := l.Peer().Name()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, w := range m.feeds {
		if w.peer == name {
			close(w.answer)
			delete(m.feeds, id)
		}
	}
}
