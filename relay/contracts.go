package relay

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/target"
)

// SetContracts puts contracts in force. It is called by one goroutine at a time.
func (r *Relay) SetContracts(c *folder.Contracts) {
	r.leaving.setContracts(c)
	warmAfter := warmAfterByTarget(c)
	groups := make(map[string][]*entry)
	slots := make(map[string]int)
	for name, t := range c.Targets {
		contract := target.Contract{Slots: t.Slots, ColdSlots: t.ColdSlots, WarmAfter: warmAfter[name]}
		e := r.ensure(t, contract)
		groups[t.Group] = append(groups[t.Group], e)
		slots[t.Group] = max(slots[t.Group], t.Slots)
		in, why := r.leaving.admin(t)
		e.change(func(now time.Time, m *target.Machine) []target.Action {
			m.SetAdminState(now, in, why)
			return m.SetContract(now, contract)
		})
	}
	r.removeMissing(c)
	r.applyLeaving()
	r.permits.setGroups(groups, slots)
}

// applyAdmin tells every target whether new work may go to it.
func (r *Relay) applyAdmin() {
	for _, e := range r.all() {
		e.mu.Lock()
		t := e.contract
		e.mu.Unlock()
		in, why := r.leaving.admin(t)
		e.change(func(now time.Time, m *target.Machine) []target.Action {
			m.SetAdminState(now, in, why)
			return nil
		})
	}
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
		m.SetAdminState(now, false, "no longer in the folder")
		return nil
	})
	e.client.Close()
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
