// Package relay faces the targets: it holds their permits and connections,
// queues sub-requests, sends them within each target's limit, and answers the
// gateways.
//
// Decisions are made by the state machines of the packages permit and target;
// this package feeds them with events and carries out their actions.
package relay

import (
	"log/slog"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/platform"
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
	if opts.Workers == 0 {
		opts.Workers = DefaultWorkers
	}
	if opts.QueuePerTarget == 0 {
		opts.QueuePerTarget = DefaultQueuePerTarget
	}
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

// SetContracts puts contracts in force. It is called by one goroutine at a time.
func (r *Relay) SetContracts(c *folder.Contracts) {
	warmAfter := warmAfterByTarget(c)
	groups := make(map[string][]*entry)
	slots := make(map[string]int)
	for name, t := range c.Targets {
		contract := target.Contract{Slots: t.Slots, ColdSlots: t.ColdSlots, WarmAfter: warmAfter[name]}
		e := r.ensure(t, contract)
		groups[t.Group] = append(groups[t.Group], e)
		slots[t.Group] = max(slots[t.Group], t.Slots)
		in, why := admin(c, t)
		e.change(func(now time.Time, m *target.Machine) []target.Action {
			m.SetAdmin(now, in, why)
			return m.SetContract(now, contract)
		})
	}
	r.removeMissing(c)
	r.leaving.setContracts(c)
	r.applyLeaving()
	r.permits.setGroups(groups, slots)
}

// ensure returns the entry of a target, made anew if the target is new or has
// another address.
func (r *Relay) ensure(t folder.Target, contract target.Contract) *entry {
	r.mu.Lock()
	old := r.entries[t.Name]
	if old != nil && old.contract.Address == t.Address {
		r.mu.Unlock()
		old.mu.Lock()
		old.contract = t
		old.mu.Unlock()
		return old
	}
	e := r.newEntry(t, contract)
	r.entries[t.Name] = e
	r.list = nil
	r.mu.Unlock()
	if old != nil {
		old.retire()
	}
	return e
}

func (r *Relay) removeMissing(c *folder.Contracts) {
	r.mu.Lock()
	var gone []*entry
	for name, e := range r.entries {
		if _, ok := c.Targets[name]; !ok {
			gone = append(gone, e)
			delete(r.entries, name)
			r.list = nil
		}
	}
	r.mu.Unlock()
	for _, e := range gone {
		e.retire()
	}
}

// retire takes an entry out of use. Work in progress runs to its end.
func (e *entry) retire() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	e.change(func(now time.Time, m *target.Machine) []target.Action {
		m.SetAdmin(now, false, "no longer in the folder")
		return nil
	})
	e.client.Close()
}

// admin returns whether the operators allow new work at a target, and if not, why.
func admin(c *folder.Contracts, t folder.Target) (in bool, why string) {
	if t.State == folder.StateLeaving {
		return false, "target is leaving by the folder"
	}
	if c.DataCentres[t.DataCentre].State == folder.StateOut {
		return false, "data centre " + t.DataCentre + " is out by the folder"
	}
	return true, ""
}

// warmAfterByTarget returns, for each target, the largest WarmAfter of the
// searches that it holds a shard of.
func warmAfterByTarget(c *folder.Contracts) map[string]int {
	out := make(map[string]int)
	for _, s := range c.Searches {
		for _, v := range s.Versions {
			for _, targets := range v.Shards {
				for _, name := range targets {
					out[name] = max(out[name], s.WarmAfter)
				}
			}
		}
	}
	return out
}

// SetView takes a read of the VM list that was sent at asOf.
func (r *Relay) SetView(list platform.VMList, asOf time.Time) {
	r.leaving.setView(list)
	r.permits.setView(list, asOf)
	r.applyLeaving()
}

// SetListDown tells whether nobody within reach has a fresh copy of the VM list.
func (r *Relay) SetListDown(down bool) {
	r.permits.update(func(now time.Time, t *permit.Table) []permit.Action {
		t.ListDown(now, down)
		return nil
	})
}

// Gap tells that the process was paused.
func (r *Relay) Gap() {
	r.permits.update(func(now time.Time, t *permit.Table) []permit.Action {
		t.Gap(now)
		return nil
	})
}

// SetReachable tells whether another relay answers heartbeats.
func (r *Relay) SetReachable(relay string, reachable bool) {
	r.permits.event(func(now time.Time, t *permit.Table) []permit.Action {
		if reachable {
			return t.Reachable(now, relay)
		}
		t.Unreachable(now, relay)
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
