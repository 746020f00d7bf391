package permit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Mode determines what a relay may use its permits for.
type Mode uint8

// Modes, from the most to the least restricted.
const (
	// ModeSuspended allows no new requests: the copy of the VM list is too old or
	// does not name this relay.
	ModeSuspended Mode = iota
	// ModeWarmOnly allows requests to warm targets only: the copy of the VM list is
	// too old, and no reachable peer has a fresh one either. Permit 0 does not
	// allow use of a cold target.
	ModeWarmOnly
	// ModeFull allows all requests.
	ModeFull
)

// String returns the mode's name for logs and the state page.
func (m Mode) String() string {
	return [...]string{"suspended", "warm-only", "full"}[m]
}

// Table is one relay's state machine of permits. The methods that handle an
// event return the actions that it causes. It is not safe for concurrent use.
type Table struct {
	opts         Options
	permitCounts map[string]int
	records      map[Key]*record
	active       []Key     // permits owned, held, claimed or draining, in order
	quietUntil   time.Time // until then requests of the previous incarnation may run at targets
	seq          uint64
	overlaps     uint64

	list            VMList
	haveList        bool
	listed          map[string]bool
	pausedSinceRead bool // the process was paused after the VM list was read
	listDown        bool
	leaving         map[string]bool // relays that announced that they are leaving

	rank         *ranking
	pastRankings []pastRanking
	historyStart time.Time            // start of the complete history of VM lists
	removedAt    map[string]time.Time // when a relay was first missing from the list

	unreachable map[string]time.Time
	suspects    map[string]bool // unreachable for at least the fencing delay
}

// pastRanking is a ranking that was in use until a point in time.
type pastRanking struct {
	rank  *ranking
	until time.Time
}

// New returns the table of a process that starts now. It returns
// ErrInvalidOptions if the options violate the fencing conditions.
func New(now time.Time, opts Options) (*Table, error) {
	opts = opts.withDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	return &Table{
		opts:         opts,
		permitCounts: map[string]int{},
		records:      map[Key]*record{},
		quietUntil:   now.Add(opts.QuietPeriod),
		listed:       map[string]bool{},
		leaving:      map[string]bool{},
		rank:         &ranking{},
		removedAt:    map[string]time.Time{},
		unreachable:  map[string]time.Time{},
		suspects:     map[string]bool{},
	}, nil
}

// SetGroups sets the current target groups, each with its number of permits.
func (t *Table) SetGroups(now time.Time, permits map[string]int) []Action {
	t.permitCounts = make(map[string]int, len(permits))
	for group, n := range permits {
		t.permitCounts[group] = n
		for i := range n {
			t.record(Key{Group: group, Index: i})
		}
	}
	return t.recomputeOwners(now)
}

// SetVMList handles a read of the VM list. A read with an unchanged sequence
// refreshes the age of the copy; one with a lower sequence is ignored.
func (t *Table) SetVMList(now time.Time, list VMList) []Action {
	if list.AsOf.IsZero() {
		list.AsOf = now
	}
	if t.haveList && (list.Sequence < t.list.Sequence || list.AsOf.Before(t.list.AsOf)) {
		return nil
	}
	var out []Action
	changed := !t.haveList || list.Sequence != t.list.Sequence
	missed := changed && t.haveList && list.AsOf.Sub(t.list.AsOf) > t.opts.VMListMaxAge
	if missed {
		out = t.resetHistory(now, t.listDown)
	}
	if !t.haveList {
		t.historyStart = now
	}
	t.haveList = true
	t.pausedSinceRead = false
	t.listDown = t.listDown && now.Sub(list.AsOf) > t.opts.VMListMaxAge
	t.list.AsOf = list.AsOf
	if !changed {
		return append(out, t.Tick(now)...)
	}
	t.updateListed(now, list)
	t.list = list
	return append(out, t.updateRanking(now)...)
}

// resetHistory starts the history of VM lists again after changes may have been
// missed, and gives up every permit, since another relay may have acquired it.
// After an outage of the VM list for all relays, permits above 0 are kept.
func (t *Table) resetHistory(now time.Time, outage bool) []Action {
	t.pastRankings = nil
	t.rank = &ranking{}
	t.historyStart = now
	t.clearExclusive()
	var out []Action
	for _, k := range t.active {
		r := t.records[k]
		switch r.state {
		case stateHeld:
			if k.Index == 0 || !outage {
				out = append(out, t.drain(k, r))
			}
		case stateWaiting:
			r.state = stateIdle
			r.claim = nil
		}
	}
	return out
}

// updateListed records which relays the list names and when others were removed.
func (t *Table) updateListed(now time.Time, list VMList) {
	listed := make(map[string]bool, len(list.Relays))
	for _, relay := range list.Relays {
		listed[relay.Name] = true
		delete(t.removedAt, relay.Name)
	}
	for name := range t.listed {
		if !listed[name] {
			t.removedAt[name] = now
			delete(t.leaving, name)
		}
	}
	t.listed = listed
	if !listed[t.opts.Self] {
		t.clearExclusive()
	}
}

// clearExclusive records that other relays may acquire, or have acquired, any
// permit.
func (t *Table) clearExclusive() {
	for _, r := range t.records {
		r.exclusive = false
	}
}

// updateRanking replaces the ranking with that of the current VM list.
func (t *Table) updateRanking(now time.Time) []Action {
	if len(t.rank.dataCentres) > 0 {
		t.pastRankings = append(t.pastRankings, pastRanking{rank: t.rank, until: now})
	}
	t.rank = newRanking(t.list.Relays, t.leaving)
	return t.recomputeOwners(now)
}

// recomputeOwners recomputes the owner of every permit and the active permits,
// and deletes unused records of permits that no longer exist.
func (t *Table) recomputeOwners(now time.Time) []Action {
	t.active = t.active[:0]
	for k, r := range t.records {
		r.owner = t.owner(k)
		gone := k.Index >= t.permitCounts[k.Group]
		switch {
		case r.state != stateIdle || r.owner == t.opts.Self:
			t.active = append(t.active, k)
		case gone && len(r.releases) == 0:
			delete(t.records, k)
		}
	}
	slices.SortFunc(t.active, compareKeys)
	return t.reconcileAll(now)
}

// owner returns the relay that owns the permit according to the current VM list.
// A permit above 0 whose owner is a suspect belongs to the relay that owns it
// when all suspects are left out.
func (t *Table) owner(k Key) string {
	if k.Index >= t.permitCounts[k.Group] {
		return ""
	}
	owner := t.rank.owner(k, nil)
	if k.Index > 0 && t.suspects[owner] {
		return t.rank.owner(k, t.suspects)
	}
	return owner
}

// SetLeaving records that a relay has announced that it is leaving, or, with
// leaving false, that a new incarnation of it has started.
func (t *Table) SetLeaving(now time.Time, relay string, leaving bool) []Action {
	if t.leaving[relay] == leaving {
		return nil
	}
	delete(t.leaving, relay)
	if leaving {
		t.leaving[relay] = true
	}
	return t.updateRanking(now)
}

// Leave starts the graceful stop: each permit is released to its next owner when
// that relay requests it, or given up after HandoverWait. The stop is complete
// when Idle returns true.
func (t *Table) Leave(now time.Time) []Action {
	return t.SetLeaving(now, t.opts.Self, true)
}

// Idle reports whether this relay neither holds nor drains any permit.
func (t *Table) Idle() bool {
	for _, k := range t.active {
		r := t.records[k]
		if r.state == stateHeld || r.state == stateDraining {
			return false
		}
	}
	return true
}

// Paused records that the process was paused: the copy of the VM list counts as
// too old until the next read.
func (t *Table) Paused(time.Time) { t.pausedSinceRead = true }

// SetVMListDown records, with down true, that this relay cannot read the VM list
// and that no reachable peer has a fresh copy either. Permits then stay usable
// at warm targets instead of being suspended. The next fresh read of the list
// ends this state; a response that was delayed beyond VMListMaxAge, as when a
// hung list service recovers, does not.
func (t *Table) SetVMListDown(_ time.Time, down bool) {
	t.listDown = down
	if down {
		t.pausedSinceRead = false
	}
}

// MarkUnreachable records that a listed relay does not respond.
func (t *Table) MarkUnreachable(now time.Time, relay string) {
	if _, known := t.unreachable[relay]; !known {
		t.unreachable[relay] = now
	}
}

// MarkReachable records that a relay responds again.
func (t *Table) MarkReachable(now time.Time, relay string) []Action {
	delete(t.unreachable, relay)
	if !t.suspects[relay] {
		return nil
	}
	delete(t.suspects, relay)
	return t.recomputeOwners(now)
}

// Tick applies the timers that have expired by now. It has to be called at
// NextTick at the latest.
func (t *Table) Tick(now time.Time) []Action {
	t.pastRankings = slices.DeleteFunc(t.pastRankings, func(p pastRanking) bool {
		return now.Sub(p.until) > t.opts.FencingDelay
	})
	changed := false
	for name, since := range t.unreachable {
		if !t.suspects[name] && now.Sub(since) >= t.opts.FencingDelay {
			t.suspects[name] = true
			changed = true
		}
	}
	if changed {
		return t.recomputeOwners(now)
	}
	return t.reconcileAll(now)
}

// Mode returns what the permits may be used for now. It has to be checked right
// before a request is sent; it detects that the copy of the VM list is too old
// even if Tick has not been called.
func (t *Table) Mode(now time.Time) Mode {
	switch {
	case !t.haveList || !t.listed[t.opts.Self] || t.pausedSinceRead:
		return ModeSuspended
	case now.Sub(t.list.AsOf) <= t.opts.VMListMaxAge:
		return ModeFull
	case t.listDown:
		return ModeWarmOnly
	default:
		return ModeSuspended
	}
}

// Held returns the permits of the group that are usable now, in ascending order.
func (t *Table) Held(now time.Time, group string) []int {
	if t.Mode(now) == ModeSuspended {
		return nil
	}
	var held []int
	for i := range t.permitCounts[group] {
		if t.records[Key{Group: group, Index: i}].state == stateHeld {
			held = append(held, i)
		}
	}
	return held
}

// HoldsZero reports whether permit 0 of the group is usable now. In ModeWarmOnly
// it does not allow use of cold targets.
func (t *Table) HoldsZero(now time.Time, group string) bool {
	r := t.records[Key{Group: group}]
	return t.Mode(now) != ModeSuspended && r != nil && r.state == stateHeld
}

// Owners returns the owner of each permit of the group according to the current
// VM list, or "" for a permit without an owner.
func (t *Table) Owners(group string) []string {
	owners := make([]string, t.permitCounts[group])
	for i := range owners {
		owners[i] = t.records[Key{Group: group, Index: i}].owner
	}
	return owners
}

// Overlaps returns how many permits were taken from an unreachable relay that
// the VM list still names.
func (t *Table) Overlaps() uint64 { return t.overlaps }

// historyComplete reports whether the copy of the VM list is fresh and the
// history of VM lists long enough to name every relay that may hold a permit.
func (t *Table) historyComplete(now time.Time) bool {
	fresh := t.haveList && !t.pausedSinceRead && now.Sub(t.list.AsOf) <= t.opts.VMListMaxAge
	return fresh && now.Sub(t.historyStart) >= t.opts.StartDelay
}

// HandleReleaseResponse handles the response to a release request.
func (t *Table) HandleReleaseResponse(now time.Time, from string, resp wire.ReleaseResponse) []Action {
	k := Key{Group: resp.Group, Index: int(resp.Index)}
	r := t.records[k]
	if r == nil || r.state != stateWaiting {
		return nil
	}
	r.claim.handleResponse(now, from, resp, t.opts.Self)
	return t.reconcile(now, k, r)
}

func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Group, b.Group), cmp.Compare(a.Index, b.Index))
}
