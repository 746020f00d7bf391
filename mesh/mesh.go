// Package mesh carries what entry processes ask of each other over links: what
// was read from the store, and groups of shards of one request.
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
	// Feed answers a peer's ask for what was read from the store.
	Feed func(ctx context.Context, ask wire.FeedAsk) (wire.FeedAnswer, error)
	// Group serves a peer's ask for some shards: answer is called for what comes
	// in, the last time with Final set. The context ends when the peer takes the
	// ask back or the link is lost.
	Group func(ctx context.Context, ask wire.GroupAsk, answer func(wire.GroupAnswer))
	// CheckInterval is the time between two liveness checks of links.
	CheckInterval time.Duration
	Liveness      link.LivenessOptions
}

// ErrLinkLost tells that the link to the peer was lost before it answered.
var ErrLinkLost = errors.ConstError("the link to the peer was lost")

// Mesh asks peers and answers them. Its methods may be called concurrently.
//
// Lock order: mu is taken with no other lock held, and none is taken under it.
type Mesh struct {
	opts Options
	pool *link.Pool

	mu      sync.Mutex
	next    uint64
	feeds   map[uint64]feedWait
	groups  map[uint64]groupWait
	serving map[served]context.CancelFunc
}

type feedWait struct {
	peer   string
	answer chan wire.FeedAnswer
}

type groupWait struct {
	peer   string
	answer func(wire.GroupAnswer, error)
}

// served identifies an ask that this process works on.
type served struct {
	link *link.Link
	id   uint64
}

// New returns a Mesh without peers.
func New(opts Options) *Mesh {
	m := &Mesh{
		opts: opts, feeds: map[uint64]feedWait{}, groups: map[uint64]groupWait{},
		serving: map[served]context.CancelFunc{},
	}
	m.pool = link.NewPool(link.Options{
		Self: opts.Self, Handler: m, Logger: opts.Logger, Liveness: opts.Liveness, CheckInterval: opts.CheckInterval,
	})
	return m
}

// ServeHTTP accepts links.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.pool.ServeHTTP(w, r) }

// Name returns the name under which a process is known to links.
func Name(vm string) string { return wire.Process{VM: vm, Role: wire.RoleEntry}.Name() }

// SetPeers takes the addresses of the other processes, by VM.
func (m *Mesh) SetPeers(addresses map[string]string) {
	peers := make(map[string]link.Peer, len(addresses))
	for vm, address := range addresses {
		peers[Name(vm)] = link.Peer{Address: address}
	}
	m.pool.SetPeers(peers)
}

// Links returns the number of live links.
func (m *Mesh) Links() int { return len(m.pool.Links()) }

// Close closes all links.
func (m *Mesh) Close() { m.pool.Close() }

// AskFeed asks a peer for what it read from the store.
func (m *Mesh) AskFeed(ctx context.Context, vm string, ask wire.FeedAsk) (wire.FeedAnswer, error) {
	wait := feedWait{peer: Name(vm), answer: make(chan wire.FeedAnswer, 1)}
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
	if err := m.pool.Send(wait.peer, &wire.Frame{FeedAsks: []wire.FeedAsk{ask}}); err != nil {
		return wire.FeedAnswer{}, errors.Trace(err)
	}
	select {
	case a, ok := <-wait.answer:
		if !ok {
			return a, ErrLinkLost
		}
		return a, nil
	case <-ctx.Done():
		return wire.FeedAnswer{}, errors.Annotate(ctx.Err(), "no answer")
	}
}

// AskGroup asks a peer for some shards of a request. Answer is called for each
// answer, by one goroutine at a time, and with an error at last if the link is lost.
// It returns the ask's id, or an error if nothing was sent.
func (m *Mesh) AskGroup(vm string, ask wire.GroupAsk, answer func(wire.GroupAnswer, error)) (uint64, error) {
	name := Name(vm)
	l := m.pool.Get(name)
	m.mu.Lock()
	m.next++
	ask.ID = m.next
	m.groups[ask.ID] = groupWait{peer: name, answer: answer}
	m.mu.Unlock()
	frame := &wire.Frame{GroupAsks: []wire.GroupAsk{ask}}
	var err error
	if l != nil {
		err = l.Send(frame)
	} else {
		err = m.pool.Send(name, frame)
	}
	if err != nil {
		m.forgetGroup(ask.ID)
		return 0, errors.Trace(err)
	}
	return ask.ID, nil
}

// Linked reports whether there is a live link to a process, and has one opened
// if there is none.
func (m *Mesh) Linked(vm string) bool {
	if m.pool.Get(Name(vm)) != nil {
		return true
	}
	_ = m.pool.Send(Name(vm), &wire.Frame{}) // a peer that is not known has no link either
	return false
}

func (m *Mesh) forgetGroup(id uint64) (groupWait, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w, ok := m.groups[id]
	delete(m.groups, id)
	return w, ok
}

// CancelGroup takes an ask back: its answers are not needed any more.
func (m *Mesh) CancelGroup(id uint64) {
	w, ok := m.forgetGroup(id)
	if !ok {
		return
	}
	if l := m.pool.Get(w.peer); l != nil {
		_ = l.Send(&wire.Frame{GroupCancels: []uint64{id}}) // a lost link ends the work as well
	}
}

// Up does nothing: links are used when they are needed.
func (m *Mesh) Up(*link.Link) {}

// Dropped does nothing: entry processes send no batches.
func (m *Mesh) Dropped(*link.Link, wire.Batch) {}

// Frame takes what a peer sent.
func (m *Mesh) Frame(l *link.Link, f *wire.Frame) {
	for _, ask := range f.FeedAsks {
		go m.serveFeed(l, ask)
	}
	for _, ask := range f.GroupAsks {
		m.serveGroup(l, ask)
	}
	for _, id := range f.GroupCancels {
		m.stopServing(served{l, id})
	}
	for _, a := range f.FeedAnswers {
		m.mu.Lock()
		w, ok := m.feeds[a.ID]
		delete(m.feeds, a.ID)
		m.mu.Unlock()
		if ok {
			w.answer <- a
		}
	}
	for _, a := range f.GroupAnswers {
		m.mu.Lock()
		w, ok := m.groups[a.ID]
		if a.Final {
			delete(m.groups, a.ID)
		}
		m.mu.Unlock()
		if ok {
			w.answer(a, nil)
		}
	}
}

// feedTimeout bounds the work on a peer's ask, which waits for less.
const feedTimeout = 10 * time.Second

func (m *Mesh) serveFeed(l *link.Link, ask wire.FeedAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), feedTimeout)
	defer cancel()
	a, err := m.opts.Feed(ctx, ask)
	if err != nil {
		m.opts.Logger.Warn("a peer's ask for published state failed", "peer", l.Peer().VM, "error", err)
		return
	}
	a.ID = ask.ID
	if err := l.Send(&wire.Frame{FeedAnswers: []wire.FeedAnswer{a}}); err != nil {
		m.opts.Logger.Debug("answer to a peer not sent", "peer", l.Peer().VM, "error", err)
	}
}

func (m *Mesh) serveGroup(l *link.Link, ask wire.GroupAsk) {
	ctx, cancel := context.WithCancel(context.Background())
	key := served{l, ask.ID}
	m.mu.Lock()
	m.serving[key] = cancel
	m.mu.Unlock()
	go func() {
		defer m.stopServing(key)
		m.opts.Group(ctx, ask, func(a wire.GroupAnswer) {
			a.ID = ask.ID
			if err := l.Send(&wire.Frame{GroupAnswers: []wire.GroupAnswer{a}}); err != nil {
				m.opts.Logger.Debug("answer to a peer not sent", "peer", l.Peer().VM, "error", err)
			}
		})
	}()
}

func (m *Mesh) stopServing(key served) {
	m.mu.Lock()
	cancel := m.serving[key]
	delete(m.serving, key)
	m.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Down ends all that depended on a link.
func (m *Mesh) Down(l *link.Link, _ error) {
	name := l.Peer().Name()
	m.mu.Lock()
	var lost []groupWait
	for id, w := range m.groups {
		if w.peer == name {
			lost = append(lost, w)
			delete(m.groups, id)
		}
	}
	for id, w := range m.feeds {
		if w.peer == name {
			close(w.answer)
			delete(m.feeds, id)
		}
	}
	var stop []context.CancelFunc
	for key, cancel := range m.serving {
		if key.link == l {
			stop = append(stop, cancel)
			delete(m.serving, key)
		}
	}
	m.mu.Unlock()
	for _, cancel := range stop {
		cancel()
	}
	for _, w := range lost {
		w.answer(wire.GroupAnswer{Final: true}, ErrLinkLost)
	}
}
