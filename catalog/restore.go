package catalog

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Position is a place in the history of the store. Era is the number of times that the
// store was restored from an older copy; after that, revisions are given out again, so
// that only revisions of the same era can be compared.
type Position struct {
	Era      uint64
	Revision uint64
}

// departure is what is known of a target when it deregistered.
type departure struct {
	incarnation int64
	// at is where its entry was missing from the store.
	at Position
	// lapsed is true if the entry may have expired only because the store was
	// unavailable: the target may be alive.
	lapsed   bool
	forgetAt time.Time
}

// ending is what is known of an evacuation when it ended.
type ending struct {
	// last is the position of the last write of the evacuation; its revision is zero if
	// the store was restored since.
	last     Position
	forgetAt time.Time
}

// heldItem is an item that a restored store lists although it was gone before.
type heldItem struct {
	item Item
	// until is when the item is applied, if it is still in the store then.
	until time.Time
}

// restoration is what a State keeps because the store may be, or was, restored from an
// older copy. Maps are by the name of the target or data centre.
type restoration struct {
	departed map[string]departure
	ended    map[string]ending
	// heldTargets and heldEvacuations are listed by the restored store, but were gone.
	heldTargets     map[string]heldItem
	heldEvacuations map[string]heldItem
	// unconfirmed holds the evacuations in force that the restored store lacks, with the
	// time at which they end unless the store has them by then.
	unconfirmed map[string]time.Time
}

func newRestoration() restoration {
	return restoration{
		departed: map[string]departure{}, ended: map[string]ending{},
		heldTargets: map[string]heldItem{}, heldEvacuations: map[string]heldItem{}, unconfirmed: map[string]time.Time{},
	}
}

// enterEra begins a new era of the store. Revisions of the former one no longer say
// which of two changes is newer.
func (s *State) enterEra(now time.Time, at Position, items []Item) []Change {
	former := s.era
	s.era = at.Era
	clear(s.deletedAt)
	clear(s.heldTargets)
	clear(s.heldEvacuations)
	clear(s.unconfirmed)
	s.forgetRevisions()
	s.ExtendGraceUntil(now.Add(s.opts.OutageGrace))
	changes := []Change{{
		Resource: ResourceStore, Name: "era " + strconv.FormatUint(at.Era, 10), Revision: at.Revision,
		Outcome: "restored from a copy; era before: " + strconv.FormatUint(former, 10),
	}}
	changes = append(changes, s.holdGone(now, former, items)...)
	return append(changes, s.keepEvacuations(now, at, items)...)
}

// forgetRevisions makes any revision of the new era later than what is known.
func (s *State) forgetRevisions() {
	for id, e := range s.targets {
		unordered := *e
		unordered.Revision = 0
		s.targets[id] = &unordered
	}
	for dc := range s.evacuated {
		s.evacuated[dc] = 0
	}
}

// keepEvacuations keeps the evacuations in force that are not listed for a while.
func (s *State) keepEvacuations(now time.Time, at Position, items []Item) []Change {
	var changes []Change
	listed := map[string]bool{}
	for i := range items {
		if items[i].Kind == KindEvacuation {
			listed[items[i].Name] = true
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(s.evacuated)) {
		if !listed[dc] {
			s.unconfirmed[dc] = now.Add(s.opts.EvacuationHold)
			changes = append(changes, Change{Resource: ResourceDataCentre, Name: dc, Outcome: "evacuation kept: missing from the restored store", Revision: at.Revision})
		}
	}
	return changes
}

// holdGone withholds the listed items that were gone before the store was restored.
func (s *State) holdGone(now time.Time, former uint64, items []Item) []Change {
	var changes []Change
	for i := range items {
		it := &items[i]
		switch {
		case it.Kind == KindTarget && s.leftBefore(former, it):
			s.heldTargets[it.Name] = heldItem{item: *it, until: now.Add(s.opts.DepartedHold)}
			changes = append(changes, Change{Resource: ResourceTarget, Name: it.Name, Outcome: "withheld: had left before the store was restored", Revision: it.Revision})
		case it.Kind == KindEvacuation && s.endedBefore(former, it):
			s.heldEvacuations[it.Name] = heldItem{item: *it, until: now.Add(s.opts.EvacuationHold)}
			changes = append(changes, Change{Resource: ResourceDataCentre, Name: it.Name, Outcome: "evacuation withheld: had ended before the store was restored", Revision: it.Revision})
		}
	}
	return changes
}

// leftBefore reports whether the item may be the entry of a target from before it
// deregistered. It is none if it is of a later incarnation, or if the former era shows that
// it was written later. Its sequence shows nothing: it also grows without a change.
func (s *State) leftBefore(former uint64, it *Item) bool {
	d, ok := s.departed[it.Name]
	if !ok || d.lapsed || it.Deleted || it.Target == nil || it.Target.Incarnation > d.incarnation {
		return false
	}
	return d.at.Era != former || it.Revision <= d.at.Revision
}

// endedBefore reports whether the item may be the write of an evacuation that has ended. It
// is none only if the former era shows that it was written later.
func (s *State) endedBefore(former uint64, it *Item) bool {
	e, ok := s.ended[it.Name]
	if !ok || it.Deleted {
		return false
	}
	if e.last.Era != former || e.last.Revision == 0 {
		return true
	}
	return it.Revision <= e.last.Revision
}

// withheld reports whether a listed item is one that is withheld. An item that was
// written again has another revision and is not.
func (s *State) withheld(it *Item) bool {
	held, ok := s.heldTargets[it.Name]
	if it.Kind == KindEvacuation {
		held, ok = s.heldEvacuations[it.Name]
	}
	return ok && it.Kind != KindConfig && held.item.Revision == it.Revision
}

// release ends the withholding of an item that was written or deleted in this era.
func (s *State) release(it *Item) {
	switch it.Kind {
	case KindTarget:
		delete(s.heldTargets, it.Name)
	case KindEvacuation:
		delete(s.heldEvacuations, it.Name)
		delete(s.unconfirmed, it.Name)
	}
}

// rememberDeparture records that the entry of a target is missing at the given revision.
func (s *State) rememberDeparture(now time.Time, e *Entry, revision uint64) {
	if e.Deregistered() {
		return
	}
	s.departed[e.ID] = departure{
		incarnation: e.Incarnation, at: Position{Era: s.era, Revision: revision},
		lapsed: now.Before(s.outageGraceUntil), forgetAt: now.Add(s.opts.DepartedMemory),
	}
}

// tickRestoration applies the items whose withholding is over, ends the evacuations that
// the restored store still lacks, and forgets old departures.
func (s *State) tickRestoration(now time.Time) []Change {
	var changes []Change
	for _, held := range []map[string]heldItem{s.heldTargets, s.heldEvacuations} {
		for _, name := range slices.Sorted(maps.Keys(held)) {
			if h := held[name]; !now.Before(h.until) {
				delete(held, name)
				changes = append(changes, s.apply(now, &h.item)...)
			}
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(s.unconfirmed)) {
		if now.Before(s.unconfirmed[dc]) {
			continue
		}
		delete(s.unconfirmed, dc)
		changes = append(changes, s.endEvacuation(now, dc, 0))
	}
	maps.DeleteFunc(s.departed, func(_ string, d departure) bool { return !now.Before(d.forgetAt) })
	maps.DeleteFunc(s.ended, func(_ string, e ending) bool { return !now.Before(e.forgetAt) })
	return changes
}
