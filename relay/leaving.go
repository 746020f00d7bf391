package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// leaving decides which relays own nothing although the VM list names them, and
// which targets get no new work: those that have said that they leave, those
// that the operators or the VM list take out, and all in a data centre that is
// out. Its lock is a leaf lock.
type leaving struct {
	mu          sync.Mutex
	announced   map[string]bool   // relays
	dataCentres map[string]string // of each relay in the VM list
	out         map[string]bool   // data centres
	vms         map[string]bool   // those that the VM list says are leaving
}

func newLeaving() *leaving {
	return &leaving{
		announced:   make(map[string]bool),
		dataCentres: make(map[string]string),
		out:         make(map[string]bool),
		vms:         make(map[string]bool),
	}
}

func (l *leaving) announce(relay string, leaves bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.announced, relay)
	if leaves {
		l.announced[relay] = true
	}
}

func (l *leaving) setContracts(c *folder.Contracts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.out)
	for name, d := range c.DataCentres {
		if d.State == folder.StateOut {
			l.out[name] = true
		}
	}
}

// setView takes a copy of the VM list, and reports whether other VMs are leaving
// now than before.
func (l *leaving) setView(list platformapi.VMList) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.dataCentres)
	vms := make(map[string]bool)
	for _, vm := range list.VMs {
		if vm.Leaving {
			vms[vm.Name] = true
		}
		if _, ok := vm.Links[wire.RoleRelay]; ok {
			l.dataCentres[wire.Process{VM: vm.Name, Role: wire.RoleRelay}.Name()] = vm.DataCentre
		}
	}
	changed = !maps.Equal(vms, l.vms)
	l.vms = vms
	return changed
}

// admin returns whether new work may go to a target, and if not, why. The VM
// list knows a target's VM by the target's name or that of its group.
func (l *leaving) admin(t folder.Target) (in bool, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case t.State == folder.StateLeaving:
		return false, "target is leaving by the folder"
	case l.out[t.DataCentre]:
		return false, "data centre " + t.DataCentre + " is out by the folder"
	case l.vms[t.Name] || l.vms[t.Group]:
		return false, "target's VM is leaving by the VM list"
	default:
		return true, ""
	}
}

// relays returns, for each listed or announced relay, whether it leaves.
func (l *leaving) relays() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]bool, len(l.dataCentres))
	for name, dataCentre := range l.dataCentres {
		out[name] = l.out[dataCentre]
	}
	for name := range l.announced {
		out[name] = true
	}
	return out
}

// applyLeaving tells the table of permits which relays leave.
func (r *Relay) applyLeaving() {
	relays := r.leaving.relays()
	r.permits.update(func(now time.Time, t *permit.Table) []permit.Action {
		var actions []permit.Action
		for name, leaves := range relays {
			actions = append(actions, t.SetLeaving(now, name, leaves)...)
		}
		return actions
	})
}

// SetPeerLeaving tells that another relay leaves, or that a new run of it has
// started.
func (r *Relay) SetPeerLeaving(relay string, leaves bool) {
	r.leaving.announce(relay, leaves)
	r.applyLeaving()
}

// Leave starts the graceful stop: permits are handed to their next owners.
func (r *Relay) Leave() { r.SetPeerLeaving(r.opts.Self.Name(), true) }
