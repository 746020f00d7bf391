// Package relay implements the processes that send requests to the targets. A relay
// holds the permits of targets and the connections to them, queues the sub-requests
// of gateways, sends them within each target's limit, and returns the responses.
//
// The state machines of packages permit and target make the decisions. This package
// passes events to them and performs the actions that they return.
package relay

import (
	"cmp"
	"log/slog"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"gopkg.in/tomb.v2"
)

// Defaults of Options, and intervals.
const (
	DefaultWorkers        = 256
	DefaultQueuePerTarget = 64
	// tickInterval is the time between two ticks of the state machines.
	tickInterval = 20 * time.Millisecond
	// probeTimeout is the timeout of a probe.
	probeTimeout = time.Second
)

// Options configures a Relay.
type Options struct {
	// Self identifies this process.
	Self   wire.Process
	Logger *slog.Logger
	// Links holds the links to the gateways and the other relays.
	Links *link.Pool
	// Workers is the maximum number of requests to targets in progress. Zero means
	// DefaultWorkers.
	Workers int
	// QueuePerTarget is the maximum number of sub-requests queued for one target.
	// Zero means DefaultQueuePerTarget.
	QueuePerTarget int
	// Permit configures the table of permits. Its Self is set from Self.
	Permit permit.Options
	// Guard is told how the targets fare that run requests, and decides which requests
	// are no longer sent to them.
	Guard *quarantine.Guard
	// PerVM lets this relay use all slots of each target without permits, as a
	// baseline for comparisons. It overloads targets if several relays run.
	PerVM bool
}

// Relay is the relay of a process. Methods are safe for concurrent use, except that
// SetContracts must not be called concurrently with itself.
//
// Lock order: Relay.mu, permitDriver.mu and targetEntry.mu are each taken with none
// of the others held. While targetEntry.mu is held, only the locks of links and path.mu
// may be taken. The actions of state machines are performed with no lock held.
type Relay struct {
	opts    Options
	started time.Time
	tomb    tomb.Tomb
	work    *workQueue
	permits *permitDriver
	leaving *leavingSet
	path    *path

	mu        sync.RWMutex
	entries   map[string]*targetEntry
	entryList []*targetEntry // the values of entries, or nil after entries has changed
}

// New returns a running relay. It sends nothing to a target until it has contracts, a
// VM list and permits. New returns an error if opts.Permit is invalid.
func New(opts Options) (*Relay, error) {
	opts.Workers = cmp.Or(opts.Workers, DefaultWorkers)
	opts.QueuePerTarget = cmp.Or(opts.QueuePerTarget, DefaultQueuePerTarget)
	opts.Permit.Self = opts.Self.Name()
	opts.Guard = opts.Guard.OrNew(opts.Logger)
	table, err := permit.New(time.Now(), opts.Permit)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		opts:    opts,
		started: time.Now(),
		work:    newWorkQueue(),
		leaving: newLeavingSet(),
		entries: make(map[string]*targetEntry),
	}
	r.path = &path{relay: r}
	r.permits = newPermitDriver(r, table)
	for range opts.Workers {
		r.tomb.Go(r.worker)
	}
	r.tomb.Go(r.loop)
	r.tomb.Go(r.permits.queue.run)
	return r, nil
}

// Close stops the relay immediately and aborts requests in progress. For a graceful
// stop, call Leave first and wait until Idle returns true.
func (r *Relay) Close() {
	r.tomb.Kill(nil)
	r.work.close()
	r.permits.queue.close()
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
	r.path.tick(now)
	for _, e := range r.allEntries() {
		if e.isDue(now) {
			e.applyEvent(func(now time.Time, m *target.Machine) []target.Action { return m.Tick(now) })
		}
	}
}

// lookup returns the entry of a target, or nil.
func (r *Relay) lookup(name string) *targetEntry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.entries[name]
}

// allEntries returns every entry. The slice must not be modified.
func (r *Relay) allEntries() []*targetEntry {
	r.mu.RLock()
	list := r.entryList
	r.mu.RUnlock()
	if list != nil {
		return list
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entryList = make([]*targetEntry, 0, len(r.entries))
	for _, e := range r.entries {
		r.entryList = append(r.entryList, e)
	}
	return r.entryList
}

// SetVMList records a copy of the VM list. asOf is when the list was requested from
// the platform.
func (r *Relay) SetVMList(list platformapi.VMList, asOf time.Time) {
	vmsChanged := r.leaving.setVMList(list)
	r.permits.setVMList(list, asOf)
	r.applyLeaving()
	if vmsChanged {
		r.applyAdminState()
	}
}

// SetVMListDown records whether no reachable process has a fresh copy of the VM list.
func (r *Relay) SetVMListDown(down bool) {
	r.permits.enqueueUpdate(func(now time.Time, t *permit.Table) []permit.Action {
		t.SetVMListDown(now, down)
		return nil
	})
}

// Paused records that the process was paused.
func (r *Relay) Paused() {
	r.permits.enqueueUpdate(func(now time.Time, t *permit.Table) []permit.Action {
		t.Paused(now)
		return nil
	})
}

// SetReachable records whether another relay responds to heartbeats.
func (r *Relay) SetReachable(relay string, reachable bool) {
	r.permits.enqueue(func(now time.Time, t *permit.Table) []permit.Action {
		if reachable {
			return t.MarkReachable(now, relay)
		}
		t.MarkUnreachable(now, relay)
		return nil
	})
}

// Idle reports whether no permit is held or draining, and no sub-request is queued or
// running.
func (r *Relay) Idle() bool {
	return r.permits.idle() && r.Jobs() == 0
}

// Jobs returns the number of sub-requests that are queued or running.
func (r *Relay) Jobs() int {
	n := 0
	for _, e := range r.allEntries() {
		e.mu.Lock()
		n += len(e.queue) + len(e.running)
		e.mu.Unlock()
	}
	return n
}
