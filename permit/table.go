package permit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Mode tells how far a relay may use the permits that it holds.
type Mode uint8

// Modes, from the most to the least restricted.
const (
	// ModeSuspended forbids new work: the view is too old or doesn't name this relay.
	ModeSuspended Mode = iota
	// ModeWarmOnly allows work at warm targets: no reachable peer has a fresh
	// view either. Permit 0 gives no right to a cold target.
	ModeWarmOnly
	// ModeFull allows all work.
	ModeFull
)

// String returns the mode's name for logs and dumps.
func (m Mode) String() string {
	return [...]string{"suspended", "warm-only", "full"}[m]
}

// Table is one relay's state machine of permits. The caller serialises all
// calls. Each event returns the actions that it causes.
type Table struct {
	opts     Options
	slots    map[string]int
	records  map[Key]*record
	active   []Key     // permits owned, held, claimed or draining, in order
	quiet    time.Time // until then work of a former run may be at targets
	seq      uint64
	overlaps uint64

	view     VMList
	haveView bool
	listed   map[string]bool
	stale    bool // the process was paused since the view was read
	listDown bool
	leaving  map[string]bool // relays that said themselves that they leave

	rank    *ranking
	past    []pastRanking
	since   time.Time // start of the gapless history of views
	dropped map[string]time.Time

	unreachable map[string]time.Time
	suspects    map[string]bool // unreachable for the fencing delay
}

// pastRanking is a ranking that was in force up to a time.
type pastRanking struct {
	rank  *ranking
	until time.Time
}

// New returns the table of a process that starts now. It returns ErrOptions if
// the options break the fencing conditions.
func New(now time.Time, opts Options) (*Table, error) {
	opts = opts.withDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	return &Table{
		opts:        opts,
		slots:       map[string]int{},
		records:     map[Key]*record{},
		quiet:       now.Add(opts.QuietPeriod),
		listed:      map[string]bool{},
		leaving:     map[string]bool{},
		rank:        &ranking{},
		dropped:     map[string]time.Time{},
		unreachable: map[string]time.Time{},
		suspects:    map[string]bool{},
	}, nil
}

// SetGroups sets the target groups in force, each with its number of permits.
func (t *Table) SetGroups(now time.Time, slots map[string]int) []Action {
	t.slots = make(map[string]int, len(slots))
	for group, n := range slots {
		t.slots[group] = n
		for i := range n {
			t.record(Key{Group: group, Index: i})
		}
	}
	return t.rerank(now)
}

// SetVMList takes a read of the VM list. A read with an unchanged sequence
// refreshes the view's age; one with a lower sequence is ignored.
func (t *Table) SetVMList(now time.Time, v VMList) []Action {
	if v.AsOf.IsZero() {
		v.AsOf = now
	}
	if t.haveView && (v.Sequence < t.view.Sequence || v.AsOf.Before(t.view.AsOf)) {
		return nil
	}
	var out []Action
	changed := !t.haveView || v.Sequence != t.view.Sequence
	missed := changed && t.haveView && v.AsOf.Sub(t.view.AsOf) > t.opts.VMListMaxAge
	if missed {
		out = t.forget(now, t.listDown)
	}
	if !t.haveView {
		t.since = now
	}
	t.haveView = true
	t.stale = false
	t.listDown = t.listDown && now.Sub(v.AsOf) > t.opts.VMListMaxAge
	t.view.AsOf = v.AsOf
	if !changed {
		return append(out, t.Tick(now)...)
	}
	t.noteDropped(now, v)
	t.view = v
	return append(out, t.replaceRanking(now)...)
}

// forget starts the history of views anew after changes may have been missed,
// and gives up every permit: another relay may have taken it. After an outage
// of the list for all, permits above 0 stay.
func (t *Table) forget(now time.Time, outage bool) []Action {
	t.past = nil
	t.rank = &ranking{}
	t.since = now
	t.doubt()
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

func (t *Table) noteDropped(now time.Time, v VMList) {
	listed := make(map[string]bool, len(v.Relays))
	for _, relay := range v.Relays {
		listed[relay.Name] = true
		delete(t.dropped, relay.Name)
	}
	for name := range t.listed {
		if !listed[name] {
			t.dropped[name] = now
			delete(t.leaving, name)
		}
	}
	t.listed = listed
	if !listed[t.opts.Self] {
		t.doubt()
	}
}

// doubt notes that other relays may take, or have taken, any permit.
func (t *Table) doubt() {
	for _, r := range t.records {
		r.exclusive = false
	}
}

// replaceRanking puts the ranking of the current view in force.
func (t *Table) replaceRanking(now time.Time) []Action {
	if len(t.rank.centres) > 0 {
		t.past = append(t.past, pastRanking{rank: t.rank, until: now})
	}
	t.rank = newRanking(t.view.Relays, t.leaving)
	return t.rerank(now)
}

// rerank computes all owners anew.
func (t *Table) rerank(now time.Time) []Action {
	t.active = t.active[:0]
	for k, r := range t.records {
		r.owner = t.owner(k)
		unknown := k.Index >= t.slots[k.Group]
		switch {
		case r.state != stateIdle || r.owner == t.opts.Self:
			t.active = append(t.active, k)
		case unknown && len(r.promised) == 0:
			delete(t.records, k)
		}
	}
	slices.SortFunc(t.active, compareKeys)
	return t.settleAll(now)
}

// owner returns the relay that owns the permit by the current view. A permit
// above 0 of a suspect goes to the relay that would own it without suspects.
func (t *Table) owner(k Key) string {
	if k.Index >= t.slots[k.Group] {
		return ""
	}
	owner := t.rank.owner(k, nil)
	if k.Index > 0 && t.suspects[owner] {
		return t.rank.owner(k, t.suspects)
	}
	return owner
}

// SetLeaving tells that a relay has said itself that it leaves, or, with
// leaving false, that a new run of it has started.
func (t *Table) SetLeaving(now time.Time, relay string, leaving bool) []Action {
	if t.leaving[relay] == leaving {
		return nil
	}
	delete(t.leaving, relay)
	if leaving {
		t.leaving[relay] = true
	}
	return t.replaceRanking(now)
}

// Leave starts the graceful stop: every permit is handed to its next owner when
// that one asks, or given up after HandoverWait. The stop is complete when
// Idle returns true.
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

// Paused tells that the process was paused: the view counts as too old until the
// next read.
func (t *Table) Paused(time.Time) { t.stale = true }

// SetVMListDown tells, with down true, that the VM list can't be read here and that
// no reachable peer has a fresh view either. Permits then stay usable at warm
// targets instead of being suspended. The next fresh read of the list ends it, but
// not an answer that was long on its way, as when a hung list wakes up.
func (t *Table) SetVMListDown(_ time.Time, down bool) {
	t.listDown = down
	if down {
		t.stale = false
	}
}

// MarkUnreachable tells that a listed relay doesn't answer.
func (t *Table) MarkUnreachable(now time.Time, relay string) {
	if _, known := t.unreachable[relay]; !known {
		t.unreachable[relay] = now
	}
}

// MarkReachable tells that a relay answers again.
func (t *Table) MarkReachable(now time.Time, relay string) []Action {
	delete(t.unreachable, relay)
	if !t.suspects[relay] {
		return nil
	}
	delete(t.suspects, relay)
	return t.rerank(now)
}

// Tick lets time take effect. Call it at NextTick at the latest.
func (t *Table) Tick(now time.Time) []Action {
	t.past = slices.DeleteFunc(t.past, func(p pastRanking) bool {
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
		return t.rerank(now)
	}
	return t.settleAll(now)
}

// Mode returns how far the permits may be used now. Check it right before work
// is sent: it needs no Tick to see that the view is too old.
func (t *Table) Mode(now time.Time) Mode {
	switch {
	case !t.haveView || !t.listed[t.opts.Self] || t.stale:
		return ModeSuspended
	case now.Sub(t.view.AsOf) <= t.opts.VMListMaxAge:
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
	for i := range t.slots[group] {
		if t.records[Key{Group: group, Index: i}].state == stateHeld {
			held = append(held, i)
		}
	}
	return held
}

// HoldsZero reports whether permit 0 of the group is usable now. In ModeWarmOnly
// it gives no right to cold targets.
func (t *Table) HoldsZero(now time.Time, group string) bool {
	r := t.records[Key{Group: group}]
	return t.Mode(now) != ModeSuspended && r != nil && r.state == stateHeld
}

// Owners returns the owner of each permit of the group by the current view;
// "" where there is none.
func (t *Table) Owners(group string) []string {
	owners := make([]string, t.slots[group])
	for i := range owners {
		owners[i] = t.records[Key{Group: group, Index: i}].owner
	}
	return owners
}

// Overlaps returns how many permits were taken from an unreachable relay that
// the list still names.
func (t *Table) Overlaps() uint64 { return t.overlaps }

// informed reports whether the view is fresh and the history of views long
// enough to name every relay that may hold a permit.
func (t *Table) informed(now time.Time) bool {
	fresh := t.haveView && !t.stale && now.Sub(t.view.AsOf) <= t.opts.VMListMaxAge
	return fresh && now.Sub(t.since) >= t.opts.StartDelay
}

// HandleReleaseResponse takes the answer to an ask.
func (t *Table) HandleReleaseResponse(now time.Time, from string, a wire.ReleaseResponse) []Action {
	k := Key{Group: a.Group, Index: int(a.Index)}
	r := t.records[k]
	if r == nil || r.state != stateWaiting {
		return nil
	}
	r.claim.answer(now, from, a, t.opts.Self)
	return t.settle(now, k, r)
}

func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Group, b.Group), cmp.Compare(a.Index, b.Index))
}
