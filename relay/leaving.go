package relay

import (
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// leaving decides which relays own nothing although the VM list names them:
// those that have said that they leave, and those in a data centre that the
// operators have taken out. Its lock is a leaf lock.
type leaving struct {
	mu          sync.Mutex
	announced   map[string]bool
	dataCentres map[string]string // of each relay in the VM list
	out         map[string]bool   // data centres
}

func newLeaving() *leaving {
	return &leaving{
		announced:   make(map[string]bool),
		dataCentres: make(map[string]string),
		out:         make(map[string]bool),
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

func (l *leaving) setView(list platform.VMList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.dataCentres)
	for _, vm := range list.VMs {
		if _, ok := vm.Links[wire.RoleRelay]; ok {
			l.dataCentres[wire.Process{VM: vm.Name, Role: wire.RoleRelay}.Name()] = vm.DataCentre
		}
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
			actions = append(actions, t.PeerLeaving(now, name, leaves)...)
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
