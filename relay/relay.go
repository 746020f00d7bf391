// Package relay faces the targets: it holds their permits and connections,
// queues sub-requests, sends them within each target's limit, and answers the
// gateways.
//
// Decisions are made by the state machines of the packages permit and target;
// this package feeds them with events and carries out their actions.
package relay

import (
	"cmp"
	"log/slog"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"gopkg.in/tomb.v2"
)

// Defaults and intervals of a relay.
const (
	DefaultWorkers        = 256
	DefaultQueuePerTarget = 64
	// tickInterval is the time between two ticks of the state machines.
	tickInterval = 20 * time.Millisecond
	// probeTimeout bounds a health request.
	probeTimeout = time.Second
)

// Options configures a Relay.
type Options struct {
	// Self is this process.
	Self   wire.Process
	Logger *slog.Logger
	// Links reaches the gateways and the other relays.
	Links *link.Pool
	// Workers is the number of requests to targets in progress at most.
	Workers int
	// QueuePerTarget is the number of sub-requests that wait for one target.
	QueuePerTarget int
	// Permit configures the ownership of permits; its Self is set from Self.
	Permit permit.Options
	// PerVM is the baseline that lets this relay use each target's slots as if
	// it were alone. It overloads targets when several relays run.
	PerVM bool
}

// Relay is the role that faces targets. Its methods may be called concurrently.
//
// Lock order: Relay.mu, permits.mu and entry.mu are each taken with no other
// of them held; under entry.mu only the locks of links may be taken. The
// actions of state machines are carried out with no lock held.
type Relay struct {
	opts    Options
	started time.Time
	tomb    tomb.Tomb
	work    *workQueue
	permits *permits
	leaving *leaving

	mu      sync.RWMutex
	entries map[string]*entry
	list    []*entry // the entries, or nil after they have changed
}

// New returns a relay that serves no target until it has contracts, a VM list
// and permits. It fails if the options of the permits are inconsistent.
func New(opts Options) (*Relay, error) {
	opts.Workers = cmp.Or(opts.Workers, DefaultWorkers)
	opts.QueuePerTarget = cmp.Or(opts.QueuePerTarget, DefaultQueuePerTarget)
	opts.Permit.Self = opts.Self.Name()
	table, err := permit.New(time.Now(), opts.Permit)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		opts:    opts,
		started: time.Now(),
		work:    newWorkQueue(),
		leaving: newLeaving(),
		entries: make(map[string]*entry),
	}
	r.permits = newPermits(r, table)
	for range opts.Workers {
		r.tomb.Go(r.worker)
	}
	r.tomb.Go(r.loop)
	r.tomb.Go(r.permits.inbox.run)
	return r, nil
}

// Close stops the relay at once. Requests in progress are cut off; see Drain
// for the graceful way.
func (r *Relay) Close() {
	r.tomb.Kill(nil)
	r.work.close()
	r.permits.inbox.close()
	_ = r.tomb.Wait()
}

func (r *Relay) loop() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-ticker.C:
			r.tick(time.Now())
		}
	}
}

func (r *Relay) tick(now time.Time) {
	r.permits.tick()
	for _, e := range r.all() {
		if e.isDue(now) {
			e.change(func(now time.Time, m *target.Machine) []target.Action { return m.Tick(now) })
		}
	}
}

func (r *Relay) entry(name string) *entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.entries[name]
}

// all returns every entry, in a slice that is not changed.
func (r *Relay) all() []*entry {
	r.mu.RLock()
	list := r.list
	r.mu.RUnlock()
	if list != nil {
		return list
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = make([]*entry, 0, len(r.entries))
	for _, e := range r.entries {
		r.list = append(r.list, e)
	}
	return r.list
}

// SetVMList takes a read of the VM list that was sent at asOf.
func (r *Relay) SetVMList(list platformapi.VMList, asOf time.Time) {
	targetsChanged := r.leaving.setView(list)
	r.permits.setView(list, asOf)
	r.applyLeaving()
	if targetsChanged {
		r.applyAdmin()
	}
}

// SetVMListDown tells whether nobody within reach has a fresh copy of the VM list.
func (r *Relay) SetVMListDown(down bool) {
	r.permits.update(func(now time.Time, t *permit.Table) []permit.Action {
		t.SetVMListDown(now, down)
		return nil
	})
}

// Paused reports that the process was paused.
func (r *Relay) Paused() {
	r.permits.update(func(now time.Time, t *permit.Table) []permit.Action {
		t.Paused(now)
		return nil
	})
}

// SetReachable tells whether another relay answers heartbeats.
func (r *Relay) SetReachable(relay string, reachable bool) {
	r.permits.event(func(now time.Time, t *permit.Table) []permit.Action {
		if reachable {
			return t.MarkReachable(now, relay)
		}
		t.MarkUnreachable(now, relay)
		return nil
	})
}

// Idle reports whether all permits are handed over and no job waits or runs.
func (r *Relay) Idle() bool {
	return r.permits.idle() && r.Jobs() == 0
}

// Jobs returns the number of sub-requests that wait or run.
func (r *Relay) Jobs() int {
	n := 0
	for _, e := range r.all() {
		e.mu.Lock()
		n += len(e.queue) + len(e.running)
		e.mu.Unlock()
	}
	return n
}
