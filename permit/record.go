package permit

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// state is the state of a permit at this relay.
type state uint8

const (
	stateIdle     state = iota // neither holds nor claims it
	stateWaiting               // claims it
	stateHeld                  // may use it
	stateDraining              // sends no more requests under it
)

func (s state) String() string {
	return [...]string{"idle", "waiting", "held", "draining"}[s]
}

// record is the state of one permit at this relay.
type record struct {
	owner string // according to the current VM list
	state state
	claim *claim // set in stateWaiting only
	// reassignedAt is when the VM list first assigned the held permit to another
	// relay.
	reassignedAt time.Time
	// fromSuspect is true if the permit was taken from an unreachable relay.
	fromSuspect bool
	// exclusive is true if this relay was certain to be the only holder. Between
	// its release at heldUntil and exclusiveUntil, only the relays in releases
	// can hold the permit.
	exclusive      bool
	heldUntil      time.Time
	exclusiveUntil time.Time
	// requester and requestSeq identify the release request that waits for
	// the drain to complete.
	requester  string
	requestSeq uint64
	// releases lists the relays to which this one has released the permit; any
	// of them may hold it.
	releases []release
	// warm lists the warm targets that are handed over to the relay successor.
	warm      []wire.WarmTarget
	successor string
}

// candidate is a relay that may hold a permit. If the VM list does not name it,
// it is assumed to hold the permit until the fencing delay after since or longer.
type candidate struct {
	relay string
	since time.Time
	// releasedTo is true if this relay has released the permit to the candidate. A
	// former holder cannot rule the candidate out: only its own response counts.
	releasedTo bool
}

// release is the release of a permit to another relay.
type release struct {
	to string
	at time.Time
}

// record returns the record of the permit. It creates the record if there is none.
func (t *Table) record(k Key) *record {
	r := t.records[k]
	if r == nil {
		r = &record{}
		t.records[k] = r
	}
	return r
}

// reconcileAll reconciles each active permit with its owner.
func (t *Table) reconcileAll(now time.Time) []Action {
	var out []Action
	for _, k := range t.active {
		out = append(out, t.reconcile(now, k, t.records[k])...)
	}
	return out
}

// reconcile moves one permit to the next state that its owner requires.
func (t *Table) reconcile(now time.Time, k Key, r *record) []Action {
	owned := r.owner == t.opts.Self && t.listed[t.opts.Self]
	switch r.state {
	case stateIdle:
		if !owned || t.Mode(now) != ModeFull {
			return nil
		}
		r.state = stateWaiting
		r.fromSuspect = false
		r.claim = t.newClaim(now, k, r)
		return t.advance(now, k, r)
	case stateWaiting:
		if owned {
			return t.advance(now, k, r)
		}
		r.state = stateIdle
		r.claim = nil
	case stateHeld:
		return t.reconcileHeld(now, k, r, owned)
	}
	return nil
}

// reconcileHeld drains a held permit that this relay does not own: at once if
// the VM list does not name this relay, the permit was taken from an unreachable
// relay or the permit no longer exists, and otherwise after HandoverWait.
func (t *Table) reconcileHeld(now time.Time, k Key, r *record, owned bool) []Action {
	if owned {
		r.reassignedAt = time.Time{}
		return nil
	}
	if r.reassignedAt.IsZero() {
		r.reassignedAt = now
	}
	gone := k.Index >= t.permitCounts[k.Group]
	overdue := now.Sub(r.reassignedAt) >= t.opts.HandoverWait
	if gone || overdue || r.fromSuspect || !t.listed[t.opts.Self] {
		return []Action{t.drain(k, r)}
	}
	return nil
}

func (t *Table) drain(k Key, r *record) Action {
	r.state = stateDraining
	// Other relays disregard this one as a former holder once the fencing delay
	// has passed since their own VM list named another owner, which may have been
	// VMListLag and VMListMaxAge earlier than here.
	exclusiveFor := t.opts.FencingDelay - t.opts.VMListLag - t.opts.VMListMaxAge
	r.exclusiveUntil = r.reassignedAt.Add(exclusiveFor)
	r.reassignedAt = time.Time{}
	r.fromSuspect = false
	return Draining{Key: k}
}

// Drained records that a draining permit is no longer used. warm lists the
// targets of the group that are warm at this relay, for the next owner.
func (t *Table) Drained(now time.Time, k Key, warm []wire.WarmTarget) []Action {
	r := t.records[k]
	if r == nil || r.state != stateDraining {
		return nil
	}
	var out []Action
	r.state = stateIdle
	r.warm, r.successor = warm, r.owner
	r.heldUntil = now
	r.exclusive = r.exclusive && t.Mode(now) == ModeFull
	if r.requester != "" {
		r.successor = r.requester
		resp := wire.ReleaseResponse{Group: k.Group, Index: uint16(k.Index), Seq: r.requestSeq}
		t.completeRelease(now, k, r, r.requester, &resp)
		out = append(out, SendReleaseResponse{To: r.requester, Response: resp})
		r.requester = ""
	}
	return append(out, t.reconcile(now, k, r)...)
}

// recordRelease records that this relay has released the permit to relay to.
func (r *record) recordRelease(now time.Time, to string) {
	for i := range r.releases {
		if r.releases[i].to == to {
			r.releases[i].at = now
			return
		}
	}
	r.releases = append(r.releases, release{to: to, at: now})
}

// HandleReleaseRequest handles another relay's request to release a permit. It
// returns the response to send at once. If the permit has to drain first, that
// response has Released false, and Drained returns the final one.
func (t *Table) HandleReleaseRequest(now time.Time, from string, req wire.ReleaseRequest) (wire.ReleaseResponse, []Action) {
	k := Key{Group: req.Group, Index: int(req.Index)}
	resp := wire.ReleaseResponse{Group: req.Group, Index: req.Index, Seq: req.Seq, IncompleteHistory: !t.historyComplete(now)}
	if now.Before(t.quietUntil) || from == t.opts.Self {
		return resp, nil
	}
	r := t.record(k)
	switch r.state {
	case stateIdle:
		t.completeRelease(now, k, r, from, &resp)
	case stateWaiting:
		resp.Released = hasPrecedence(from, t.opts.Self, k)
		resp.WaitFor = r.claim.unreleased(from)
		if resp.Released {
			r.claim.restart(now, from)
			r.recordRelease(now, from)
		}
	case stateHeld, stateDraining:
		return resp, t.releaseHeld(now, k, r, from, req.Seq)
	}
	return resp, nil
}

// completeRelease completes the response to a relay that requests a permit which
// this relay does not use, and records the release.
func (t *Table) completeRelease(now time.Time, k Key, r *record, to string, resp *wire.ReleaseResponse) {
	resp.Released = true
	resp.IncompleteHistory = !t.historyComplete(now)
	for _, c := range t.possibleHolders(now, k, r, to) {
		resp.WaitFor = append(resp.WaitFor, c.relay)
	}
	resp.Exclusive = r.stillExclusive(now) && len(resp.WaitFor) == 0
	if r.successor == to && now.Sub(r.heldUntil) <= t.opts.FencingDelay {
		resp.Warm = r.warm
	}
	r.recordRelease(now, to)
}

// stillExclusive reports whether no relay can hold the permit but those to
// which it was released since this relay held it.
func (r *record) stillExclusive(now time.Time) bool {
	return r.exclusive && now.Before(r.exclusiveUntil)
}

// releaseHeld drains a held permit for the relay that owns it according to the
// VM list, or for any relay if this one is suspended.
func (t *Table) releaseHeld(now time.Time, k Key, r *record, from string, seq uint64) []Action {
	suspended := t.Mode(now) == ModeSuspended
	if r.owner != from && !suspended {
		return nil
	}
	r.exclusive = r.exclusive && !suspended
	if r.requester == "" || r.requester == from {
		r.requester, r.requestSeq = from, seq
	}
	if r.state == stateDraining {
		return nil
	}
	return []Action{t.drain(k, r)}
}

// possibleHolders lists the relays other than this one and except that may hold
// the permit, according to the history of VM lists and to the releases recorded.
// If this relay was the only holder until a short time ago, only the relays to
// which it released the permit can hold it.
func (t *Table) possibleHolders(now time.Time, k Key, r *record, except string) []candidate {
	var found []candidate
	add := func(c candidate) {
		if c.relay == "" || c.relay == t.opts.Self || c.relay == except {
			return
		}
		known := func(other candidate) bool { return other.relay == c.relay }
		if !slices.ContainsFunc(found, known) {
			found = append(found, c)
		}
	}
	r.releases = slices.DeleteFunc(r.releases, func(rel release) bool {
		return now.Sub(rel.at) > t.opts.FencingDelay
	})
	for _, rel := range r.releases {
		add(candidate{relay: rel.to, since: rel.at, releasedTo: true})
	}
	rankings := t.pastRankings
	if r.stillExclusive(now) {
		rankings = nil
	} else {
		add(candidate{relay: t.rank.owner(k, nil)})
	}
	for _, p := range rankings {
		if now.Sub(p.until) <= t.opts.FencingDelay {
			add(candidate{relay: p.rank.owner(k, nil)})
		}
	}
	return found
}
