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

// leavingSet determines which relays own no permits although the VM list names
// them, and which targets get no new sub-requests: relays that have announced that
// they leave, targets that the folder or the VM list marks as leaving, and all relays
// and targets in a data centre that the folder marks as out. mu is a leaf lock.
type leavingSet struct {
	mu               sync.Mutex
	announced        map[string]bool   // relays that have announced that they leave
	pathLost         map[string]bool   // relays that have announced that they reach no target
	relayDataCentres map[string]string // of each relay in the VM list
	outDataCentres   map[string]bool   // data centres that the folder marks as out
	leavingVMs       map[string]bool   // VMs that the VM list marks as leaving
}

func newLeavingSet() *leavingSet {
	return &leavingSet{
		announced:        make(map[string]bool),
		pathLost:         make(map[string]bool),
		relayDataCentres: make(map[string]string),
		outDataCentres:   make(map[string]bool),
		leavingVMs:       make(map[string]bool),
	}
}

// setAnnounced records whether a relay has announced that it leaves.
func (l *leavingSet) setAnnounced(relay string, leaves bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.announced, relay)
	if leaves {
		l.announced[relay] = true
	}
}

// setPathLost records whether a relay has announced that it reaches no target.
func (l *leavingSet) setPathLost(relay string, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pathLost, relay)
	if lost {
		l.pathLost[relay] = true
	}
}

// setContracts records which data centres the folder marks as out.
func (l *leavingSet) setContracts(c *folder.Contracts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.outDataCentres)
	for name, d := range c.DataCentres {
		if d.State == folder.StateOut {
			l.outDataCentres[name] = true
		}
	}
}

// setVMList records a copy of the VM list. It reports whether the set of leaving VMs
// has changed.
func (l *leavingSet) setVMList(list platformapi.VMList) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.relayDataCentres)
	vms := make(map[string]bool)
	for _, vm := range list.VMs {
		if vm.Leaving {
			vms[vm.Name] = true
		}
		if _, ok := vm.Links[wire.RoleRelay]; ok {
			l.relayDataCentres[wire.Process{VM: vm.Name, Role: wire.RoleRelay}.Name()] = vm.DataCentre
		}
	}
	changed = !maps.Equal(vms, l.leavingVMs)
	l.leavingVMs = vms
	return changed
}

// adminState returns whether a target may take new sub-requests, and the reason if
// it may not. In the VM list, the VM of a target has the name of the target or of its
// group.
func (l *leavingSet) adminState(t folder.Target) (enabled bool, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case t.State == folder.StateLeaving:
		return false, "target is leaving by the folder"
	case l.outDataCentres[t.DataCentre]:
		return false, "data centre " + t.DataCentre + " is out by the folder"
	case l.leavingVMs[t.Name] || l.leavingVMs[t.Group]:
		return false, "target's VM is leaving by the VM list"
	default:
		return true, ""
	}
}

// leavingByRelay returns, for each relay that the VM list names or that has announced
// that it leaves, whether it is leaving.
func (l *leavingSet) leavingByRelay() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]bool, len(l.relayDataCentres))
	for name, dataCentre := range l.relayDataCentres {
		out[name] = l.outDataCentres[dataCentre]
	}
	for name := range l.announced {
		out[name] = true
	}
	l.addPathLost(out)
	return out
}

// addPathLost marks the relays that reach no target as leaving, unless no other relay would
// remain: targets that are down for all have no better owners. mu must be held.
func (l *leavingSet) addPathLost(leaving map[string]bool) {
	remains := false
	for name, leaves := range leaving {
		remains = remains || (!leaves && !l.pathLost[name])
	}
	if !remains {
		return
	}
	for name := range l.pathLost {
		if _, listed := leaving[name]; listed {
			leaving[name] = true
		}
	}
}

// applyLeaving passes to the table of permits which relays are leaving.
func (r *Relay) applyLeaving() {
	relays := r.leaving.leavingByRelay()
	r.permits.enqueueUpdate(func(now time.Time, t *permit.Table) []permit.Action {
		var actions []permit.Action
		for name, leaves := range relays {
			actions = append(actions, t.SetLeaving(now, name, leaves)...)
		}
		return actions
	})
}

// SetPeerLeaving records whether another relay has announced that it leaves. It is no
// longer leaving once a new incarnation of it has started.
func (r *Relay) SetPeerLeaving(relay string, leaves bool) {
	r.leaving.setAnnounced(relay, leaves)
	r.applyLeaving()
}

// SetPeerPathLost records whether a relay, which may be this one, has announced that it
// reaches no target. Its permits are then handed over to other relays.
func (r *Relay) SetPeerPathLost(relay string, lost bool) {
	r.leaving.setPathLost(relay, lost)
	r.applyLeaving()
}

// Leave starts the graceful stop of this relay: its permits are handed over to their
// next owners.
func (r *Relay) Leave() { r.SetPeerLeaving(r.opts.Self.Name(), true) }
