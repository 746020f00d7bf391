package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/coverage"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/query"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// attemptBits is the number of low-order bits of a sub-request's ID that hold the
// ID of the attempt. The high-order bits hold the ID of the query.
const attemptBits = 20

// event is an event of a query in progress. Exactly one of response, dropped and
// lostRelay is set.
type event struct {
	response  *wire.SubResponse
	dropped   *wire.Batch // was never written to its link
	lostRelay string      // the relay whose link was lost
}

// mailbox queues the events of one query. Its methods are safe for concurrent
// use.
type mailbox struct {
	mu     sync.Mutex
	events []event
	wake   chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (m *mailbox) put(e event) {
	m.mu.Lock()
	m.events = append(m.events, e)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *mailbox) take() []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = nil
	return events
}

// inflight holds the mailboxes of all queries in progress by query ID. Its methods
// are safe for concurrent use. mu is a leaf lock.
type inflight struct {
	lastID atomic.Uint64
	mu     sync.RWMutex
	byID   map[uint64]*mailbox
}

func (f *inflight) open() (uint64, *mailbox) {
	id := f.lastID.Add(1)
	box := newMailbox()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byID[id] = box
	return id, box
}

func (f *inflight) close(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byID, id)
}

func (f *inflight) find(id uint64) *mailbox {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.byID[id]
}

func (f *inflight) all() []*mailbox {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]*mailbox, 0, len(f.byID))
	for _, box := range f.byID {
		out = append(out, box)
	}
	return out
}

// len returns the number of queries in progress.
func (f *inflight) len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.byID)
}

// task is an admitted search or action.
type task struct {
	search       folder.Search
	version      string
	shards       []query.Shard
	coverage     *coverage.Tracker
	payload      []byte
	softDeadline time.Time // see query.Options
	deadline     time.Time
	action       bool
	priority     int
	guard        *queryGuard
}

// outcome is the result of executing a task.
type outcome struct {
	status    query.Status
	coverage  *coverage.Tracker
	runStatus code.RunStatus
	attempts  int
}

// execute runs a task on one pinned version until it ends.
func (g *Gateway) execute(ctx context.Context, t *task) outcome {
	id, box := g.inflight.open()
	defer g.inflight.close(id)
	router := searchRoutes{routes: g.routes, search: t.search.Name}
	m := query.New(query.Options{
		Version:      t.version,
		Shards:       t.shards,
		Coverage:     t.coverage,
		SoftDeadline: t.softDeadline,
		Deadline:     t.deadline,
		MinCoverage:  t.search.MinCoverage,
		HedgeDelay:   router.hedgeDelay,
		Action:       t.action,
		LacksVersion: func(now time.Time, target string) bool {
			return g.routes.lacksVersion(now, t.search.Name, target, t.version)
		},
		MayRestart: func(now time.Time) bool {
			return !t.action && g.routes.chooseOther(now, t.search.Name, t.version) != nil
		},
		Router: router,
		Budget: router,
		Guard:  t.guard,
	})
	x := &execution{gateway: g, task: t, id: id, box: box, machine: m}
	x.run(ctx)
	return outcome{status: m.Status(), coverage: m.Coverage(), runStatus: m.RunStatus(), attempts: m.Attempts()}
}

// execution runs the state machine of one query. It is not safe for concurrent
// use.
type execution struct {
	gateway *Gateway
	task    *task
	id      uint64
	box     *mailbox
	machine *query.Machine
}

func (x *execution) run(ctx context.Context) {
	x.perform(x.machine.Start(time.Now()))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for x.machine.Status() == query.Running {
		now := time.Now()
		timer.Reset(x.machine.NextTick().Sub(now))
		select {
		case <-ctx.Done():
			x.perform(x.machine.Abort(time.Now()))
		case <-x.box.wake:
			x.handleEvents()
		case <-timer.C:
			x.perform(x.machine.Tick(time.Now()))
		}
	}
}

func (x *execution) handleEvents() {
	for _, e := range x.box.take() {
		now := time.Now()
		switch {
		case e.response != nil:
			x.gateway.routes.recordResponse(now, x.task.search.Name, x.task.version, e.response)
			x.perform(x.machine.Responded(now, attemptID(e.response.ID), e.response))
		case e.dropped != nil:
			for _, sub := range e.dropped.SubRequests {
				x.perform(x.machine.NotSent(now, attemptID(sub.ID), code.Unreachable))
			}
		default:
			x.perform(x.machine.LinkLost(now, e.lostRelay))
		}
	}
}

// perform sends the attempts and cancellations that the machine returns. The
// attempts of one call are sent as one batch per relay.
func (x *execution) perform(a query.Actions) {
	for _, c := range a.Cancel {
		if l := x.gateway.links.Get(c.Route.Relay); l != nil {
			_ = l.Send(&wire.Frame{Cancels: []wire.Cancel{{ID: x.subID(c), Target: c.Route.Target}}})
		}
	}
	if len(a.Send) == 0 {
		return
	}
	batches := make(map[string]*wire.Batch)
	for _, s := range a.Send {
		metrics.attempts.Add(1)
		if s.Extra {
			metrics.extraAttempts.Add(1)
		}
		b := batches[s.Route.Relay]
		if b == nil {
			b = x.newBatch()
			batches[s.Route.Relay] = b
		}
		b.SubRequests = append(b.SubRequests, wire.SubRequest{ID: x.subID(s), Shard: s.Shard, Target: s.Route.Target, Extra: s.Extra})
	}
	for relay, b := range batches {
		if err := x.send(relay, b); err != nil {
			x.notSent(b, err)
		}
	}
}

func (x *execution) send(relay string, b *wire.Batch) error {
	l := x.gateway.links.Get(relay)
	if l == nil {
		return link.ErrClosed
	}
	return l.Send(&wire.Frame{Batches: []wire.Batch{*b}})
}

// notSent reports to the machine that a batch was not queued on its link.
func (x *execution) notSent(b *wire.Batch, err error) {
	reason := code.Unreachable
	if errors.Is(err, link.ErrNoCredit) || errors.Is(err, link.ErrFull) {
		reason = code.Overloaded
	}
	for _, sub := range b.SubRequests {
		x.perform(x.machine.NotSent(time.Now(), attemptID(sub.ID), reason))
	}
}

func (x *execution) newBatch() *wire.Batch {
	return &wire.Batch{
		QueryID:  x.id,
		Search:   x.task.search.Name,
		Version:  x.task.version,
		Payload:  x.task.payload,
		Deadline: x.task.deadline,
		Action:   x.task.action,
		Priority: uint8(x.task.priority),
		Key:      x.task.guard.request.Keys.Exact,
	}
}

func (x *execution) subID(a query.Attempt) uint64 { return x.id<<attemptBits | uint64(a.ID) }

func attemptID(subID uint64) uint32 { return uint32(subID & (1<<attemptBits - 1)) }
