package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind tells what an Item holds.
type Kind int

// Kinds of items.
const (
	KindOther      Kind = iota // nothing that the product uses
	KindConfig                 // a Config
	KindTarget                 // a Target
	KindEvacuation             // a data centre that is to get nothing
)

// Item is one published item as the source reads it.
type Item struct {
	Kind Kind
	// Name is the target's id or the data centre.
	Name string
	// Revision orders the changes of all items.
	Revision uint64
	Deleted  bool
	Config   *Config
	Target   *Target
	// Err tells why the item can't be used. It then holds neither Config nor Target.
	Err error
}

// Change is a change of what is believed, to be logged.
type Change struct {
	Resource string // such as "configuration" or "target"
	Name     string
	Outcome  string // such as "in force" or "ignored: older version"
	Revision uint64
	Version  uint64 // of the configuration; else zero
	Err      error
}

// ResourceTarget is what a Change of a target is called.
const ResourceTarget = "target"

// StateOptions configures a State.
type StateOptions struct {
	// DeregisteredGrace is how long a target whose entry disappeared stays a last
	// resort. With the time that the news takes it must be below the time after
	// which the target may get nothing.
	DeregisteredGrace time.Duration
	// OutageGrace is the same for entries that may have lapsed only because the
	// store was away.
	OutageGrace time.Duration
	// ColdAfterEvacuation is how long the targets of a data centre count as cold after
	// its evacuation: what they say of themselves lags.
	ColdAfterEvacuation time.Duration
}

// State merges published items. It isn't safe for concurrent use.
type State struct {
	opts      StateOptions
	config    *Config
	routes    routes
	services  map[string]*Service
	targets   map[string]*Entry
	evacuated map[string]uint64 // revision by data centre
	// deletedAt holds the revision of the last deletion of each key that is
	// not there, so that a page read earlier can't bring it back.
	deletedAt map[string]uint64
	unsteady  time.Time // until when missing entries may come back
}

// NewState returns a State that knows nothing.
func NewState(opts StateOptions) *State {
	return &State{
		opts: opts, targets: map[string]*Entry{}, evacuated: map[string]uint64{},
		deletedAt: map[string]uint64{},
	}
}

// ExtendGraceUntil tells that entries may have lapsed because the store was away.
func (s *State) ExtendGraceUntil(until time.Time) { s.unsteady = until }

// Apply takes changes in the order of their revisions.
func (s *State) Apply(now time.Time, items []Item) []Change {
	var changes []Change
	for i := range items {
		changes = append(changes, s.apply(now, &items[i])...)
	}
	return changes
}

// Replace takes a full listing that was begun when the store stood at the
// given revision: what isn't listed and isn't newer is gone.
func (s *State) Replace(now time.Time, items []Item, revision uint64) []Change {
	changes := s.Apply(now, items)
	listed := map[string]bool{}
	zones := map[string]bool{}
	for _, it := range items {
		switch it.Kind {
		case KindTarget:
			listed[it.Name] = true
		case KindEvacuation:
			zones[it.Name] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		if e := s.targets[id]; !listed[id] && e.Revision <= revision && !e.Deregistered() {
			changes = append(changes, s.lapse(now, e, revision))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(s.evacuated)) {
		if !zones[zone] && s.evacuated[zone] <= revision {
			changes = append(changes, s.restore(now, zone, revision))
		}
	}
	return changes
}

func (s *State) apply(now time.Time, it *Item) []Change {
	switch it.Kind {
	case KindConfig:
		return s.applyConfig(it)
	case KindTarget:
		return s.applyTarget(now, it)
	case KindEvacuation:
		return s.applyEvacuation(now, it)
	}
	return nil
}

func (s *State) applyConfig(it *Item) []Change {
	c := Change{Resource: "configuration", Revision: it.Revision}
	switch {
	case it.Deleted:
		c.Outcome = "ignored: deleted, the last good one stays"
		return []Change{c}
	case it.Err != nil:
		c.Outcome, c.Err = "ignored: can't be read, the last good one stays", it.Err
		return []Change{c}
	}
	c.Version = it.Config.Version
	if err := it.Config.check(); err != nil {
		c.Outcome, c.Err = "ignored: not valid, the last good one stays", err
		return []Change{c}
	}
	if s.config != nil && it.Config.Version <= s.config.Version {
		if it.Config.Version == s.config.Version {
			return nil
		}
		c.Outcome = "ignored: older than the one in force"
		return []Change{c}
	}
	s.config = it.Config
	s.routes = newRoutes(it.Config)
	s.services = make(map[string]*Service, len(it.Config.Services))
	for _, svc := range it.Config.Services {
		s.services[svc.Name] = svc
	}
	c.Outcome = "in force"
	return []Change{c}
}

func (s *State) applyTarget(now time.Time, it *Item) []Change {
	known := s.targets[it.Name]
	if it.Revision < s.deletedAt[it.Name] || (known != nil && it.Revision < known.Revision) {
		return nil
	}
	c := Change{Resource: ResourceTarget, Name: it.Name, Revision: it.Revision}
	switch {
	case it.Deleted:
		s.deletedAt[it.Name] = it.Revision
		if known == nil || known.Deregistered() {
			return nil
		}
		known.Revision = it.Revision
		return []Change{s.lapse(now, known, it.Revision)}
	case it.Err != nil:
		c.Outcome, c.Err = "not used: the entry can't be read", it.Err
		if known != nil {
			s.targets[it.Name] = s.lapsed(known, now)
		}
		return []Change{c}
	}
	if known != nil && older(it.Target, &known.Target) {
		return nil
	}
	delete(s.deletedAt, it.Name)
	e := &Entry{Target: *it.Target, Revision: it.Revision, ColdUntil: now.Add(it.Target.WarmupRemaining)}
	if e.Draining {
		e.DrainingSince = now
		if known != nil && known.Draining && known.Incarnation == e.Incarnation {
			e.DrainingSince = known.DrainingSince
		}
	}
	s.targets[it.Name] = e
	c.Outcome = outcomeOf(known, it.Target)
	if c.Outcome == "" {
		return nil
	}
	return []Change{c}
}

// older reports whether a is an earlier word of the same target than b.
func older(a, b *Target) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence < b.Sequence && a.Address == b.Address
}

// outcomeOf describes what changed of a target; empty if nothing that matters did.
func outcomeOf(known *Entry, t *Target) string {
	switch {
	case known == nil:
		if t.Draining {
			return "known, draining"
		}
		return "known"
	case known.Deregistered():
		return "back"
	case known.Incarnation != t.Incarnation || known.Address != t.Address:
		return "restarted"
	case t.Draining && !known.Draining:
		return "draining"
	case t.Service != known.Service:
		return "moved to service " + t.Service
	case t.WarmupRemaining > 0 && known.WarmupRemaining == 0:
		return "cold"
	case t.WarmupRemaining == 0 && known.WarmupRemaining > 0:
		return "warm"
	}
	return ""
}

func (s *State) lapsed(e *Entry, now time.Time) *Entry {
	if e.Deregistered() {
		return e
	}
	gone := *e
	gone.GraceEnd = now.Add(s.opts.DeregisteredGrace)
	if now.Before(s.unsteady) {
		gone.GraceEnd = now.Add(s.opts.OutageGrace)
	}
	return &gone
}

func (s *State) lapse(now time.Time, e *Entry, revision uint64) Change {
	s.targets[e.ID] = s.lapsed(e, now)
	return Change{Resource: ResourceTarget, Name: e.ID, Outcome: "entry gone", Revision: revision}
}

func (s *State) applyEvacuation(now time.Time, it *Item) []Change {
	key := "evacuation of " + it.Name
	if it.Revision < s.deletedAt[key] || it.Revision < s.evacuated[it.Name] {
		return nil
	}
	if it.Deleted {
		s.deletedAt[key] = it.Revision
		if _, ok := s.evacuated[it.Name]; !ok {
			return nil
		}
		return []Change{s.restore(now, it.Name, it.Revision)}
	}
	_, known := s.evacuated[it.Name]
	s.evacuated[it.Name] = it.Revision
	if known {
		return nil
	}
	return []Change{{Resource: "data centre", Name: it.Name, Outcome: "evacuated", Revision: it.Revision}}
}

// restore ends an evacuation. The data centre's targets count as cold until they
// have had time to say whether they are.
func (s *State) restore(now time.Time, zone string, revision uint64) Change {
	delete(s.evacuated, zone)
	until := now.Add(s.opts.ColdAfterEvacuation)
	for id, e := range s.targets {
		if e.DataCentre == zone && e.ColdUntil.Before(until) {
			cold := *e
			cold.ColdUntil = until
			s.targets[id] = &cold
		}
	}
	return Change{Resource: "data centre", Name: zone, Outcome: "back in service", Revision: revision}
}

// Tick drops the targets whose hold is over, and reports whether any was.
func (s *State) Tick(now time.Time) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		e := s.targets[id]
		if !e.Deregistered() || now.Before(e.GraceEnd) {
			continue
		}
		delete(s.targets, id)
		changes = append(changes, Change{Resource: ResourceTarget, Name: id, Outcome: "dropped", Revision: e.Revision})
	}
	return changes
}

// View returns the present picture.
func (s *State) View() *View {
	v := &View{
		routes: s.routes, services: s.services,
		targets: make(map[string][]*Entry, len(s.services)), evacuated: make(map[string]bool, len(s.evacuated)),
	}
	if s.config != nil {
		v.Version, v.Limits = s.config.Version, s.config.Limits
	}
	for zone := range s.evacuated {
		v.evacuated[zone] = true
	}
	for _, e := range s.targets {
		v.targets[e.Service] = append(v.targets[e.Service], e)
	}
	for _, entries := range v.targets {
		slices.SortFunc(entries, func(a, b *Entry) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}
