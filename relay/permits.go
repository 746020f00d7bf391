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

// permits drives the table of permits and passes what it decides on to the
// entries. One goroutine takes all events in order, so that entries never get
// an older state of the permits after a newer one.
type permits struct {
	relay *Relay
	inbox *inbox

	// The goroutine of the inbox alone uses these.
	groups   map[string][]*entry
	draining map[permit.Key]struct{}
	applied  map[string]target.Permits // what the entries of each group were told
	mode     permit.Mode

	// mu guards table. It is a leaf lock.
	mu    sync.Mutex
	table *permit.Table
}

func newPermits(r *Relay, table *permit.Table) *permits {
	return &permits{
		relay:    r,
		inbox:    newInbox(),
		table:    table,
		groups:   make(map[string][]*entry),
		draining: make(map[permit.Key]struct{}),
		applied:  make(map[string]target.Permits),
	}
}

// event queues an event for the table.
func (p *permits) event(apply func(now time.Time, t *permit.Table) []permit.Action) {
	p.inbox.put(func() { p.handle(apply) })
}

// handle applies an event and carries out what follows from it.
func (p *permits) handle(apply func(now time.Time, t *permit.Table) []permit.Action) {
	p.mu.Lock()
	actions := apply(time.Now(), p.table)
	p.mu.Unlock()
	for _, a := range actions {
		p.relay.opts.Logger.Debug("permit action", "kind", fmt.Sprintf("%T", a), "action", a)
		p.perform(a)
	}
	if len(actions) > 0 {
		p.refresh()
	}
}

func (p *permits) perform(a permit.Action) {
	switch a := a.(type) {
	case permit.SendReleaseRequest:
		_ = p.relay.opts.Links.Send(a.To, &wire.Frame{ReleaseRequests: []wire.ReleaseRequest{a.Request}})
	case permit.SendReleaseResponse:
		p.sendAnswer(a.To, a.Response)
	case permit.Acquired:
		p.adopt(a)
	case permit.Draining:
		p.draining[a.Key] = struct{}{}
		p.apply(a.Key.Group)
	}
}

func (p *permits) sendAnswer(to string, answer wire.ReleaseResponse) {
	_ = p.relay.opts.Links.Send(to, &wire.Frame{ReleaseResponses: []wire.ReleaseResponse{answer}})
}

// answer answers another relay's ask.
func (p *permits) answer(peer string, ask wire.ReleaseRequest) {
	p.inbox.put(func() {
		var answer wire.ReleaseResponse
		p.handle(func(now time.Time, t *permit.Table) []permit.Action {
			var actions []permit.Action
			answer, actions = t.HandleReleaseRequest(now, peer, ask)
			return actions
		})
		p.sendAnswer(peer, answer)
	})
}

// adopt gives the entries of an acquired permit first their permits and then
// what the former owner knew.
func (p *permits) adopt(a permit.Acquired) {
	p.apply(a.Key.Group)
	for _, w := range a.Warm {
		if e := p.relay.entry(w.Target); e != nil {
			e.change(func(now time.Time, m *target.Machine) []target.Action {
				return m.Adopt(now, w.BootID)
			})
		}
	}
}

// refresh passes the permits of every group that has changed on to its entries.
func (p *permits) refresh() {
	now := time.Now()
	var changed []string
	p.mu.Lock()
	for g, old := range p.applied {
		if !sameUse(old, p.usable(now, g)) {
			changed = append(changed, g)
		}
	}
	p.mu.Unlock()
	for _, g := range changed {
		p.apply(g)
	}
}

func sameUse(a, b target.Permits) bool {
	return a.Held == b.Held && a.Zero == b.Zero && a.WarmOnly == b.WarmOnly && slices.Equal(a.Peers, b.Peers)
}

// setGroups replaces the groups and their entries.
func (p *permits) setGroups(groups map[string][]*entry, slots map[string]int) {
	p.inbox.put(func() {
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

// apply passes the permits of one group on to its entries, and gives back
// those that are drained.
func (p *permits) apply(group string) {
	p.mu.Lock()
	usable := p.usable(time.Now(), group)
	p.mu.Unlock()
	p.applied[group] = usable
	for _, e := range p.groups[group] {
		e.change(func(now time.Time, m *target.Machine) []target.Action {
			return m.SetPermits(now, usable)
		})
		if usable.Held == 0 {
			e.client.Close() // the next owner needs the connections
		}
	}
	p.giveBackDrained(group)
}

// usable returns what this relay may use of a group. Permits.mu is held.
func (p *permits) usable(now time.Time, group string) target.Permits {
	if p.relay.opts.PerVM {
		return target.Permits{Held: perVMHeld, Zero: true}
	}
	out := target.Permits{
		Held:     len(p.table.Held(now, group)),
		Zero:     p.table.HoldsZero(now, group),
		WarmOnly: p.table.Mode(now) == permit.ModeWarmOnly,
	}
	for _, owner := range p.table.Owners(group) {
		if owner != "" && owner != p.relay.opts.Self.Name() && !slices.Contains(out.Peers, owner) {
			out.Peers = append(out.Peers, owner)
		}
	}
	return out
}

// perVMHeld lets a relay use each target's slots as if it were alone.
const perVMHeld = 1 << 10

// drained tells that a target of the group runs no more than its limit.
func (p *permits) drained(group string) {
	p.inbox.put(func() { p.giveBackDrained(group) })
}

// giveBackDrained gives back the draining permits of a group once no target of
// it runs more than its limit.
func (p *permits) giveBackDrained(group string) {
	var keys []permit.Key
	for k := range p.draining {
		if k.Group == group {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	warm, idle := drainState(p.groups[group])
	if !idle {
		return
	}
	for _, k := range keys {
		delete(p.draining, k)
		p.handle(func(now time.Time, t *permit.Table) []permit.Action { return t.Drained(now, k, warm) })
	}
}

// drainState returns which targets are warm, and whether none runs more than
// its limit.
func drainState(entries []*entry) (warm []wire.WarmTarget, idle bool) {
	now := time.Now()
	idle = true
	for _, e := range entries {
		e.mu.Lock()
		if boot, ok := e.machine.Warm(now); ok {
			warm = append(warm, wire.WarmTarget{Target: e.name, BootID: boot})
		}
		if e.over() {
			idle = false
		}
		e.mu.Unlock()
	}
	return warm, idle
}

// mayStart reports, right before work is sent, whether the permits are still
// in force: a process that was paused finds its view too old here.
func (p *permits) mayStart(e *entry) bool {
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

// tick lets time take effect on the table.
func (p *permits) tick() {
	p.inbox.put(func() {
		p.handle(func(now time.Time, t *permit.Table) []permit.Action { return t.Tick(now) })
		p.mu.Lock()
		mode := p.table.Mode(time.Now())
		p.mu.Unlock()
		if mode == p.mode {
			return
		}
		p.mode = mode
		p.relay.opts.Logger.Info("permit mode changed", "mode", mode.String())
		p.refresh()
	})
}

// setView passes a copy of the VM list on.
func (p *permits) setView(list platformapi.VMList, asOf time.Time) {
	v := permit.VMList{Sequence: list.Sequence, AsOf: asOf}
	for _, vm := range list.VMs {
		if _, ok := vm.Links[wire.RoleRelay]; !ok {
			continue
		}
		name := wire.Process{VM: vm.Name, Role: wire.RoleRelay}.Name()
		v.Relays = append(v.Relays, permit.Relay{Name: name, DataCentre: vm.DataCentre, Leaving: vm.Leaving})
	}
	p.update(func(now time.Time, t *permit.Table) []permit.Action { return t.SetVMList(now, v) })
}

// update queues an event that may change what is usable without an action.
func (p *permits) update(apply func(now time.Time, t *permit.Table) []permit.Action) {
	p.inbox.put(func() {
		p.handle(apply)
		p.refresh()
	})
}

// idle reports whether no permit is held or drained and no event waits.
func (p *permits) idle() bool {
	p.inbox.mu.Lock()
	waiting := len(p.inbox.events)
	p.inbox.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return waiting == 0 && p.table.Idle()
}
