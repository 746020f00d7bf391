package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Kind is the type of an Item.
type Kind int

// Kinds of items.
const (
	KindOther      Kind = iota // an item to be ignored
	KindConfig                 // a Config
	KindTarget                 // a Target
	KindEvacuation             // the evacuation of a data centre
)

// Item is one published item as read from the store.
type Item struct {
	Kind Kind
	// Name is the ID of the target or the name of the data centre.
	Name string
	// Revision is the store revision of the last change. It orders the changes
	// of all items.
	Revision uint64
	Deleted  bool
	Config   *Config
	Target   *Target
	// Err says why the item cannot be used. Config and Target are then nil.
	Err error
}

// Validate returns an error if the item claims to have a content that it lacks. Items
// of peers may be malformed.
func (it *Item) Validate() error {
	switch {
	case it.Deleted || it.Err != nil:
	case it.Kind == KindConfig && it.Config == nil:
		return errors.NotValidf("configuration without content")
	case it.Kind == KindConfig:
		return it.Config.validate()
	case it.Kind == KindTarget && it.Target == nil:
		return errors.NotValidf("target without content")
	case it.Kind == KindTarget:
		return it.Target.validate()
	}
	return nil
}

// Change describes a change of the State, or an item that was rejected, for the
// log.
type Change struct {
	Resource string // one of the constants below
	Name     string
	Outcome  string // such as "applied" or "ignored: older than the current version"
	Revision uint64
	Version  uint64 // of a configuration; zero for other resources
	Err      error
}

// Resources of changes.
const (
	ResourceConfig     = "configuration"
	ResourceTarget     = "target"
	ResourceDataCentre = "data centre"
	ResourceStore      = "store"
)

// StateOptions configures a State.
type StateOptions struct {
	// DeregisteredGrace is how long a target whose entry has disappeared is still
	// used as a last resort. This time plus the delay until the disappearance is
	// noticed must be less than the time after which the target must not receive
	// requests.
	DeregisteredGrace time.Duration
	// OutageGrace replaces DeregisteredGrace for entries that may have expired
	// only because the store was unavailable.
	OutageGrace time.Duration
	// MaxNoticeDelay bounds the time by which the news that a target drains or is gone may
	// move its grace period: later news count from this long after the state was last
	// confirmed, as the target may have been draining since. Zero for no bound.
	MaxNoticeDelay time.Duration
	// ColdAfterEvacuation is how long the targets of a data centre count as cold
	// after its evacuation ends, because the state that they publish lags.
	ColdAfterEvacuation time.Duration
	// EvacuationHold is how long an evacuation keeps the state that it had before the
	// store was restored from a copy that says otherwise. What operators wrote is
	// written again meanwhile.
	EvacuationHold time.Duration
	// DepartedHold is how long a target that had left before the store was restored is
	// not used although the copy still lists it. It must exceed the time after which
	// the store drops entries that are not renewed.
	DepartedHold time.Duration
	// DepartedMemory is how long departures, ended evacuations and deletions are
	// remembered. It must exceed the age of a copy that the store may be restored from.
	// Zero remembers deletions without end.
	DepartedMemory time.Duration
}

// State merges published items. It is not safe for concurrent use.
type State struct {
	opts      StateOptions
	config    *Config
	routes    routes
	orgs      *Organisations
	services  map[string]*Service
	targets   map[string]*Entry
	evacuated map[string]uint64 // revision by data centre
	// deletedAt holds at which revision a missing key was deleted or became unreadable, so
	// that a listing page read before cannot restore the key. It is forgotten after
	// DepartedMemory, which exceeds the time of a listing.
	deletedAt map[string]deletion
	// outageGraceUntil is the time before which OutageGrace applies to entries that
	// disappear.
	outageGraceUntil time.Time
	// confirmedAt is when the state was last known to be up to date with the store.
	confirmedAt time.Time
	// listed is whether a listing has been applied.
	listed bool
	// era is that of the last listing.
	era uint64
	restoration
}

// deletion is the revision at which a key was deleted.
type deletion struct {
	revision uint64
	at       time.Time
}

// NewState returns an empty State.
func NewState(opts StateOptions) *State {
	return &State{
		opts: opts, targets: map[string]*Entry{}, evacuated: map[string]uint64{},
		deletedAt: map[string]deletion{}, restoration: newRestoration(),
	}
}

// ExtendGraceUntil applies OutageGrace to entries that disappear before the
// given time. It is meant for when the store has been unavailable, so that
// entries may have expired because their targets could not renew them.
func (s *State) ExtendGraceUntil(until time.Time) {
	if until.After(s.outageGraceUntil) {
		s.outageGraceUntil = until
	}
}

// Confirm records that the state was up to date with the store at the given time.
func (s *State) Confirm(at time.Time) { s.confirmedAt = at }

// noticed returns the time from which news that arrive now count.
func (s *State) noticed(now time.Time) time.Time {
	if s.opts.MaxNoticeDelay == 0 || s.confirmedAt.IsZero() {
		return now
	}
	if latest := s.confirmedAt.Add(s.opts.MaxNoticeDelay); latest.Before(now) {
		return latest
	}
	return now
}

// Apply applies changes of the current era, which must be in the order of their
// revisions, and returns what changed.
func (s *State) Apply(now time.Time, items []Item) []Change {
	var changes []Change
	for i := range items {
		s.release(&items[i])
		changes = append(changes, s.apply(now, &items[i])...)
	}
	return changes
}

// Replace applies a full listing that was begun when the store was at the given
// position. Known targets and evacuations that are neither listed nor newer than
// this position count as deleted.
//
// In a new era, the store may lack what was written last, and list what was deleted
// last, until that is written again. Evacuations keep their state for EvacuationHold,
// targets that are missing for OutageGrace, and targets that had left stay out for
// DepartedHold.
func (s *State) Replace(now time.Time, items []Item, at Position) []Change {
	var changes []Change
	if s.listed && at.Era != s.era {
		changes = s.enterEra(now, at, items)
	}
	s.listed, s.era = true, at.Era
	revision := at.Revision
	for i := range items {
		if !s.withheld(&items[i]) {
			s.release(&items[i])
			changes = append(changes, s.apply(now, &items[i])...)
		}
	}
	listed := map[string]bool{}
	evacuated := map[string]bool{}
	for _, it := range items {
		switch it.Kind {
		case KindTarget:
			listed[it.Name] = true
		case KindEvacuation:
			evacuated[it.Name] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		if e := s.targets[id]; !listed[id] && e.Revision <= revision && !e.Deregistered() {
			changes = append(changes, s.deregister(now, e, revision))
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(s.evacuated)) {
		if _, kept := s.unconfirmed[dc]; !kept && !evacuated[dc] && s.evacuated[dc] <= revision {
			changes = append(changes, s.endEvacuation(now, dc, revision))
		}
	}
	return changes
}

func (s *State) apply(now time.Time, it *Item) []Change {
	if err := it.Validate(); err != nil {
		invalid := *it
		invalid.Config, invalid.Target, invalid.Err = nil, nil, err
		it = &invalid
	}
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
	c := Change{Resource: ResourceConfig, Revision: it.Revision}
	switch {
	case it.Deleted:
		c.Outcome = "ignored: deleted, the last valid version stays"
		return []Change{c}
	case it.Err != nil:
		c.Outcome, c.Err = "ignored: unreadable or invalid, the last valid version stays", it.Err
		return []Change{c}
	}
	c.Version = it.Config.Version
	if s.config != nil && !it.Config.supersedes(s.config) {
		if it.Config.Version == s.config.Version {
			return nil
		}
		c.Outcome = "ignored: older than the current version"
		return []Change{c}
	}
	s.config = it.Config
	s.routes = newRoutes(it.Config)
	s.orgs = newOrganisations(it.Config)
	s.services = make(map[string]*Service, len(it.Config.Services))
	for _, svc := range it.Config.Services {
		s.services[svc.Name] = svc
	}
	c.Outcome = "applied"
	return []Change{c}
}

func (s *State) applyTarget(now time.Time, it *Item) []Change {
	known := s.targets[it.Name]
	if it.Revision < s.deletedAt[it.Name].revision || (known != nil && it.Revision < known.Revision) {
		return nil
	}
	c := Change{Resource: ResourceTarget, Name: it.Name, Revision: it.Revision}
	switch {
	case it.Deleted:
		s.deletedAt[it.Name] = deletion{it.Revision, now}
		if known == nil || known.Deregistered() {
			return nil
		}
		known.Revision = it.Revision
		return []Change{s.deregister(now, known, it.Revision)}
	case it.Err != nil:
		c.Outcome, c.Err = "not used: entry unreadable", it.Err
		if known != nil {
			s.rememberDeparture(now, known, it.Revision)
			s.targets[it.Name] = s.withGrace(known, now)
		}
		s.deletedAt[it.Name] = deletion{it.Revision, now}
		return []Change{c}
	}
	if known != nil && supersededBy(it.Target, &known.Target) {
		return nil
	}
	delete(s.deletedAt, it.Name)
	delete(s.departed, it.Name)
	e := &Entry{Target: *it.Target, Revision: it.Revision, ColdUntil: now.Add(it.Target.WarmupRemaining)}
	if e.Draining {
		e.DrainingSince = s.noticed(now)
		if known != nil && known.Draining && known.Incarnation == e.Incarnation {
			e.DrainingSince = known.DrainingSince
		}
	}
	s.targets[it.Name] = e
	c.Outcome = targetOutcome(known, it.Target)
	if c.Outcome == "" {
		return nil
	}
	return []Change{c}
}

// supersededBy reports whether the same target published a before b.
func supersededBy(a, b *Target) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence < b.Sequence && a.Address == b.Address
}

// targetOutcome describes what changed about a target. It returns "" if nothing
// changed that is worth a log line.
func targetOutcome(known *Entry, t *Target) string {
	switch {
	case known == nil:
		if t.Draining {
			return "known, draining"
		}
		return "known"
	case known.Deregistered():
		return "registered again"
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

// withGrace returns a copy of the entry with a grace period for news that arrive now, or the
// entry itself if its grace period has begun before.
func (s *State) withGrace(e *Entry, now time.Time) *Entry {
	if e.Deregistered() {
		return e
	}
	deregistered := *e
	deregistered.GraceEnd = s.noticed(now).Add(s.opts.DeregisteredGrace)
	if now.Before(s.outageGraceUntil) {
		deregistered.GraceEnd = now.Add(s.opts.OutageGrace)
	}
	return &deregistered
}

func (s *State) deregister(now time.Time, e *Entry, revision uint64) Change {
	s.rememberDeparture(now, e, revision)
	s.targets[e.ID] = s.withGrace(e, now)
	return Change{Resource: ResourceTarget, Name: e.ID, Outcome: "deregistered", Revision: revision}
}

func (s *State) applyEvacuation(now time.Time, it *Item) []Change {
	key := "evacuation of " + it.Name
	if it.Revision < s.deletedAt[key].revision || it.Revision < s.evacuated[it.Name] {
		return nil
	}
	if it.Deleted {
		s.deletedAt[key] = deletion{it.Revision, now}
		if _, ok := s.evacuated[it.Name]; !ok {
			return nil
		}
		return []Change{s.endEvacuation(now, it.Name, it.Revision)}
	}
	_, known := s.evacuated[it.Name]
	s.evacuated[it.Name] = it.Revision
	delete(s.ended, it.Name)
	if known {
		return nil
	}
	return []Change{{Resource: ResourceDataCentre, Name: it.Name, Outcome: "evacuated", Revision: it.Revision}}
}

// endEvacuation ends an evacuation. The data centre's targets count as cold until
// they have had time to publish whether they are.
func (s *State) endEvacuation(now time.Time, dc string, revision uint64) Change {
	s.ended[dc] = ending{last: Position{Era: s.era, Revision: s.evacuated[dc]}, forgetAt: now.Add(s.opts.DepartedMemory)}
	delete(s.evacuated, dc)
	until := now.Add(s.opts.ColdAfterEvacuation)
	for id, e := range s.targets {
		if e.DataCentre == dc && e.ColdUntil.Before(until) {
			cold := *e
			cold.ColdUntil = until
			s.targets[id] = &cold
		}
	}
	return Change{Resource: ResourceDataCentre, Name: dc, Outcome: "evacuation ended", Revision: revision}
}

// Tick removes the deregistered targets whose grace period has ended, ends the
// precautions after a restoration of the store that are due, and returns what changed.
func (s *State) Tick(now time.Time) []Change {
	changes := s.tickRestoration(now)
	if memory := s.opts.DepartedMemory; memory > 0 {
		maps.DeleteFunc(s.deletedAt, func(_ string, d deletion) bool { return now.Sub(d.at) >= memory })
	}
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

// View returns the current view.
func (s *State) View() *View {
	v := &View{
		Era: s.era, routes: s.routes, organisations: s.orgs, services: s.services,
		targets: make(map[string][]*Entry, len(s.services)), evacuated: make(map[string]bool, len(s.evacuated)),
	}
	if s.config != nil {
		v.Version, v.Limits = s.config.Version, s.config.Limits
	}
	for dc := range s.evacuated {
		v.evacuated[dc] = true
	}
	for _, e := range s.targets {
		v.targets[e.Service] = append(v.targets[e.Service], e)
	}
	for _, entries := range v.targets {
		slices.SortFunc(entries, func(a, b *Entry) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}
