package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// permits drives the table of permits and passes what it decides on to the
// entries. Lock order: see Relay.
type permits struct {
	relay *Relay

	mu       sync.Mutex
	table    *permit.Table
	groups   map[string][]*entry
	draining map[permit.Key]struct{}
	mode     permit.Mode
	applied  map[string]target.Permits // what the entries of each group were told
}

func newPermits(r *Relay, table *permit.Table) *permits {
	return &permits{
		relay:    r,
		table:    table,
		groups:   make(map[string][]*entry),
		draining: make(map[permit.Key]struct{}),
		applied:  make(map[string]target.Permits),
	}
}

// event applies an event to the table and carries out what follows from it.
func (p *permits) event(apply func(now time.Time, t *permit.Table) []permit.Action) {
	now := time.Now()
	p.mu.Lock()
	actions := apply(now, p.table)
	p.mu.Unlock()
	if len(actions) > 0 {
		p.perform(now, actions)
		p.refresh()
	}
}

// perform carries out actions. No lock is held.
func (p *permits) perform(now time.Time, actions []permit.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case permit.AskRelease:
			_ = p.relay.opts.Links.Send(a.To, &wire.Frame{ReleaseAsks: []wire.ReleaseAsk{a.Ask}})
		case permit.SendAnswer:
			p.sendAnswer(a.To, a.Answer)
		case permit.Acquired:
			p.adopt(a)
		case permit.Draining:
			p.mu.Lock()
			p.draining[a.Key] = struct{}{}
			p.mu.Unlock()
		}
	}
}

func (p *permits) sendAnswer(to string, answer wire.ReleaseAnswer) {
	_ = p.relay.opts.Links.Send(to, &wire.Frame{ReleaseAnswers: []wire.ReleaseAnswer{answer}})
}

// adopt gives the entries of an acquired permit first their permits and then
// what the former owner knew.
func (p *permits) adopt(a permit.Acquired) {
	p.apply(a.Key.Group)
	for _, w := range a.Warm {
		if e := p.relay.entry(w.Target); e != nil {
			e.change(func(now time.Time, m *target.Machine) []target.Action {
				return m.Adopt(now, w.Boot)
			})
		}
	}
}

// refresh passes the permits of every group that has changed on to its entries.
func (p *permits) refresh() {
	now := time.Now()
	p.mu.Lock()
	var changed []string
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
	return a.Held == b.Held && a.Zero == b.Zero && slices.Equal(a.Peers, b.Peers)
}

// setGroups replaces the groups and their entries.
func (p *permits) setGroups(groups map[string][]*entry, slots map[string]int) {
	p.mu.Lock()
	p.groups = groups
	for g := range p.applied {
		if groups[g] == nil {
			delete(p.applied, g)
		}
	}
	p.mu.Unlock()
	p.event(func(now time.Time, t *permit.Table) []permit.Action { return t.SetGroups(now, slots) })
	for g := range groups {
		p.apply(g)
	}
}

// apply passes the permits of one group on to its entries, and gives back
// those that are drained.
func (p *permits) apply(group string) {
	now := time.Now()
	p.mu.Lock()
	usable := p.usable(now, group)
	entries := p.groups[group]
	p.applied[group] = usable
	p.mu.Unlock()
	for _, e := range entries {
		e.change(func(now time.Time, m *target.Machine) []target.Action {
			return m.SetPermits(now, usable)
		})
		if usable.Held == 0 {
			e.client.Close() // the next owner needs the connections
		}
	}
	p.drained(group)
}

// usable returns what this relay may use of a group. Permits.mu is held.
func (p *permits) usable(now time.Time, group string) target.Permits {
	if p.relay.opts.PerVM {
		return target.Permits{Held: perVMHeld, Zero: true}
	}
	out := target.Permits{
		Held: len(p.table.Held(now, group)),
		Zero: p.table.HoldsZero(now, group),
	}
	seen := map[string]bool{"": true, p.relay.opts.Self.Name(): true}
	for _, owner := range p.table.Owners(group) {
		if !seen[owner] {
			seen[owner] = true
			out.Peers = append(out.Peers, owner)
		}
	}
	return out
}

// perVMHeld lets a relay use each target's slots as if it were alone.
const perVMHeld = 1 << 10

// drained gives back the draining permits of a group once no target of it runs
// more than its limit.
func (p *permits) drained(group string) {
	p.mu.Lock()
	var keys []permit.Key
	for k := range p.draining {
		if k.Group == group {
			keys = append(keys, k)
		}
	}
	entries := p.groups[group]
	p.mu.Unlock()
	if len(keys) == 0 {
		return
	}
	warm, idle := drainState(entries)
	if !idle {
		return
	}
	for _, k := range keys {
		p.giveBack(k, warm)
	}
}

func (p *permits) giveBack(k permit.Key, warm []wire.WarmTarget) {
	p.mu.Lock()
	_, still := p.draining[k]
	delete(p.draining, k)
	p.mu.Unlock()
	if !still {
		return
	}
	p.event(func(now time.Time, t *permit.Table) []permit.Action { return t.Returned(now, k, warm) })
}

// drainState returns which targets are warm, and whether none runs more than
// its limit.
func drainState(entries []*entry) (warm []wire.WarmTarget, idle bool) {
	now := time.Now()
	idle = true
	for _, e := range entries {
		e.mu.Lock()
		if boot, ok := e.machine.Warm(now); ok {
			warm = append(warm, wire.WarmTarget{Target: e.name, Boot: boot})
		}
		if e.machine.Inflight() > e.machine.Limit() {
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
func (p *permits) tick(now time.Time) {
	p.mu.Lock()
	mode := p.table.Mode(now)
	changed := mode != p.mode
	p.mode = mode
	p.mu.Unlock()
	p.event(func(now time.Time, t *permit.Table) []permit.Action { return t.Tick(now) })
	if changed {
		p.relay.opts.Logger.Info("permit mode changed", "mode", mode)
		p.refresh()
	}
}

// setView passes a read of the VM list on.
func (p *permits) setView(list platform.VMList, asOf time.Time) {
	v := permit.View{Sequence: list.Sequence, AsOf: asOf}
	for _, vm := range list.VMs {
		if _, ok := vm.Links[wire.RoleRelay]; !ok {
			continue
		}
		name := wire.Process{VM: vm.Name, Role: wire.RoleRelay}.Name()
		v.Relays = append(v.Relays, permit.Relay{Name: name, DataCentre: vm.DataCentre, Leaving: vm.Leaving})
	}
	p.event(func(now time.Time, t *permit.Table) []permit.Action { return t.SetView(now, v) })
	p.refresh()
}
