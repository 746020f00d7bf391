package relay

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// permitDriver passes events to the table of permits and applies the table's
// decisions to the entries of the targets. One goroutine handles all events in order,
// so that an entry never receives an older state of the permits after a newer one.
type permitDriver struct {
	relay *Relay
	queue *eventQueue

	// Only the goroutine that runs the events of queue uses these fields.
	groups   map[string][]*targetEntry
	draining map[permit.Key]struct{}
	applied  map[string]target.Permits // by group, as last passed to its entries
	mode     permit.Mode

	// mu guards table. It is a leaf lock.
	mu    sync.Mutex
	table *permit.Table
}

func newPermitDriver(r *Relay, table *permit.Table) *permitDriver {
	return &permitDriver{
		relay:    r,
		queue:    newEventQueue(),
		table:    table,
		groups:   make(map[string][]*targetEntry),
		draining: make(map[permit.Key]struct{}),
		applied:  make(map[string]target.Permits),
	}
}

// enqueue queues an event for the table.
func (p *permitDriver) enqueue(apply func(now time.Time, t *permit.Table) []permit.Action) {
	p.queue.put(func() { p.handle(apply) })
}

// handle applies an event and performs the actions that result from it.
func (p *permitDriver) handle(apply func(now time.Time, t *permit.Table) []permit.Action) {
	p.mu.Lock()
	actions := apply(time.Now(), p.table)
	p.mu.Unlock()
	for _, a := range actions {
		p.relay.opts.Logger.Debug("permit action", "kind", fmt.Sprintf("%T", a), "action", a)
		p.perform(a)
	}
	if len(actions) > 0 {
		p.applyChanged()
	}
}

func (p *permitDriver) perform(a permit.Action) {
	switch a := a.(type) {
	case permit.SendReleaseRequest:
		_ = p.relay.opts.Links.Send(a.To, &wire.Frame{ReleaseRequests: []wire.ReleaseRequest{a.Request}})
	case permit.SendReleaseResponse:
		p.sendReleaseResponse(a.To, a.Response)
	case permit.Acquired:
		p.handleAcquired(a)
	case permit.Draining:
		p.draining[a.Key] = struct{}{}
		p.apply(a.Key.Group)
	}
}

func (p *permitDriver) sendReleaseResponse(to string, response wire.ReleaseResponse) {
	_ = p.relay.opts.Links.Send(to, &wire.Frame{ReleaseResponses: []wire.ReleaseResponse{response}})
}

// handleReleaseRequest queues the handling of another relay's release request, and
// the response to it.
func (p *permitDriver) handleReleaseRequest(peer string, request wire.ReleaseRequest) {
	p.queue.put(func() {
		var response wire.ReleaseResponse
		p.handle(func(now time.Time, t *permit.Table) []permit.Action {
			var actions []permit.Action
			response, actions = t.HandleReleaseRequest(now, peer, request)
			return actions
		})
		p.sendReleaseResponse(peer, response)
	})
}

// handleAcquired applies an acquired permit to the entries of its group. It then
// notifies the machine of each target that the former holder handed over as warm.
func (p *permitDriver) handleAcquired(a permit.Acquired) {
	p.apply(a.Key.Group)
	for _, w := range a.Warm {
		if e := p.relay.lookup(w.Target); e != nil {
			e.applyEvent(func(now time.Time, m *target.Machine) []target.Action {
				return m.AdoptWarm(now, w.BootID)
			})
		}
	}
}

// applyChanged applies the permits of each group whose usable permits have changed.
func (p *permitDriver) applyChanged() {
	now := time.Now()
	var changed []string
	p.mu.Lock()
	for g, last := range p.applied {
		if !samePermits(last, p.usablePermits(now, g)) {
			changed = append(changed, g)
		}
	}
	p.mu.Unlock()
	for _, g := range changed {
		p.apply(g)
	}
}

func samePermits(a, b target.Permits) bool {
	return a.Held == b.Held && a.HoldsZero == b.HoldsZero && a.WarmOnly == b.WarmOnly && slices.Equal(a.Peers, b.Peers)
}

// setGroups replaces the target groups, their entries and their numbers of slots.
func (p *permitDriver) setGroups(groups map[string][]*targetEntry, slots map[string]int) {
	p.queue.put(func() {
		p.groups = groups
		for g := range p.applied {
			if groups[g] == nil {
				delete(p.applied, g)
			}
		}
		p.handle(func(now time.Time, t *permit.Table) []permit.Action { return t.SetGroups(now, slots) })
		for g := range groups {
			p.apply(g)
		}
	})
}

// apply passes the usable permits of one group to its entries, and releases the
// group's draining permits if they are drained.
func (p *permitDriver) apply(group string) {
	p.mu.Lock()
	usable := p.usablePermits(time.Now(), group)
	p.mu.Unlock()
	p.applied[group] = usable
	for _, e := range p.groups[group] {
		e.applyEvent(func(now time.Time, m *target.Machine) []target.Action {
			return m.SetPermits(now, usable)
		})
		if usable.Held == 0 {
			e.client.Close() // the next owner needs the target's connections
		}
	}
	p.releaseDrained(group)
}

// usablePermits returns the permits of a group that this relay may use now. mu must
// be held.
func (p *permitDriver) usablePermits(now time.Time, group string) target.Permits {
	if p.relay.opts.PerVM {
		return target.Permits{Held: perVMPermits, HoldsZero: true}
	}
	out := target.Permits{
		Held:      len(p.table.Held(now, group)),
		HoldsZero: p.table.HoldsZero(now, group),
		WarmOnly:  p.table.Mode(now) == permit.ModeWarmOnly,
	}
	for _, owner := range p.table.Owners(group) {
		if owner != "" && owner != p.relay.opts.Self.Name() && !slices.Contains(out.Peers, owner) {
			out.Peers = append(out.Peers, owner)
		}
	}
	return out
}

// perVMPermits is the number of permits of each group with Options.PerVM, by which a
// relay uses the slots of each target as if there were no other relay.
const perVMPermits = 1 << 10

// drained queues the event that the requests in progress at a target of the group are
// within its limit again.
func (p *permitDriver) drained(group string) {
	p.queue.put(func() { p.releaseDrained(group) })
}

// releaseDrained releases the draining permits of a group unless one of its targets
// has more requests in progress than its limit.
func (p *permitDriver) releaseDrained(group string) {
	var keys []permit.Key
	for k := range p.draining {
		if k.Group == group {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	warm, drained := drainState(p.groups[group])
	if !drained {
		return
	}
	for _, k := range keys {
		delete(p.draining, k)
		p.handle(func(now time.Time, t *permit.Table) []permit.Action { return t.Drained(now, k, warm) })
	}
}

// drainState returns which targets are warm, and whether none of them has more
// requests in progress than its limit.
func drainState(entries []*targetEntry) (warm []wire.WarmTarget, drained bool) {
	now := time.Now()
	drained = true
	for _, e := range entries {
		e.mu.Lock()
		if bootID, ok := e.machine.WarmBoot(now); ok {
			warm = append(warm, wire.WarmTarget{Target: e.name, BootID: bootID})
		}
		if e.overLimit() {
			drained = false
		}
		e.mu.Unlock()
	}
	return warm, drained
}

// mayStart reports whether the permits of a target may still be used. It is called
// immediately before a request is sent: after a pause of the process, the copy of the
// VM list may have become too old in the meantime.
func (p *permitDriver) mayStart(e *targetEntry) bool {
	if p.relay.opts.PerVM {
		return true
	}
	now := time.Now()
	p.mu.Lock()
	mode := p.table.Mode(now)
	p.mu.Unlock()
	if mode == permit.ModeFull {
		return true
	}
	if mode == permit.ModeSuspended {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.State() == wire.TargetWarm
}

// tick queues a tick of the table and applies a change of its mode.
func (p *permitDriver) tick() {
	p.queue.put(func() {
		p.handle(func(now time.Time, t *permit.Table) []permit.Action { return t.Tick(now) })
		p.mu.Lock()
		mode := p.table.Mode(time.Now())
		p.mu.Unlock()
		if mode == p.mode {
			return
		}
		p.mode = mode
		p.relay.opts.Logger.Info("permit mode changed", "mode", mode.String())
		p.applyChanged()
	})
}

// setVMList queues a copy of the VM list for the table. asOf is when the list was
// requested from the platform.
func (p *permitDriver) setVMList(list platformapi.VMList, asOf time.Time) {
	relays := permit.VMList{Sequence: list.Sequence, AsOf: asOf}
	for _, vm := range list.VMs {
		if _, ok := vm.Links[wire.RoleRelay]; !ok {
			continue
		}
		name := wire.Process{VM: vm.Name, Role: wire.RoleRelay}.Name()
		relays.Relays = append(relays.Relays, permit.Relay{Name: name, DataCentre: vm.DataCentre, Leaving: vm.Leaving})
	}
	p.enqueueUpdate(func(now time.Time, t *permit.Table) []permit.Action { return t.SetVMList(now, relays) })
}

// enqueueUpdate queues an event for the table that may change the usable permits even
// if no action results from it.
func (p *permitDriver) enqueueUpdate(apply func(now time.Time, t *permit.Table) []permit.Action) {
	p.queue.put(func() {
		p.handle(apply)
		p.applyChanged()
	})
}

// idle reports whether no permit is held or draining and no event is queued.
func (p *permitDriver) idle() bool {
	p.queue.mu.Lock()
	queued := len(p.queue.events)
	p.queue.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return queued == 0 && p.table.Idle()
}
