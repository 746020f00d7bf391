package relay

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/target"
)

// SetContracts replaces the contracts. It must not be called concurrently
// with itself.
func (r *Relay) SetContracts(c *folder.Contracts) {
	r.leaving.setContracts(c)
	warmAfter := warmAfterByTarget(c)
	groups := make(map[string][]*targetEntry)
	slots := make(map[string]int)
	for name, t := range c.Targets {
		contract := target.Contract{Slots: t.Slots, ColdSlots: t.ColdSlots, WarmAfter: warmAfter[name]}
		e := r.getOrCreate(t, contract)
		groups[t.Group] = append(groups[t.Group], e)
		slots[t.Group] = max(slots[t.Group], t.Slots)
		enabled, reason := r.leaving.adminState(t)
		e.applyEvent(func(now time.Time, m *target.Machine) []target.Action {
			m.SetAdminState(now, enabled, reason)
			return m.SetContract(now, contract)
		})
	}
	r.removeMissing(c)
	r.applyLeaving()
	r.permits.setGroups(groups, slots)
}

// applyAdminState passes to the machine of every target whether the target may take
// new sub-requests.
func (r *Relay) applyAdminState() {
	for _, e := range r.allEntries() {
		e.mu.Lock()
		t := e.contract
		e.mu.Unlock()
		enabled, reason := r.leaving.adminState(t)
		e.applyEvent(func(now time.Time, m *target.Machine) []target.Action {
			m.SetAdminState(now, enabled, reason)
			return nil
		})
	}
}

// getOrCreate returns the entry of a target. It creates the entry if the target is
// new or its address has changed, and otherwise updates the entry's contract.
func (r *Relay) getOrCreate(t folder.Target, contract target.Contract) *targetEntry {
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
	r.entryList = nil
	r.mu.Unlock()
	if old != nil {
		old.remove()
	}
	return e
}

// removeMissing removes the entries of targets that the contracts do not name.
func (r *Relay) removeMissing(c *folder.Contracts) {
	r.mu.Lock()
	var missing []*targetEntry
	for name, e := range r.entries {
		if _, ok := c.Targets[name]; !ok {
			missing = append(missing, e)
			delete(r.entries, name)
			r.entryList = nil
		}
	}
	r.mu.Unlock()
	for _, e := range missing {
		e.remove()
	}
}

// remove ends the use of an entry. Requests in progress run to completion.
func (e *targetEntry) remove() {
	e.mu.Lock()
	e.removed = true
	e.mu.Unlock()
	e.applyEvent(func(now time.Time, m *target.Machine) []target.Action {
		m.SetAdminState(now, false, "no longer in the folder")
		return nil
	})
	e.client.Close()
}

// warmAfterByTarget returns, for each target, the largest WarmAfter of the
// searches of which it serves a shard.
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
