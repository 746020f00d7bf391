package permit

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// state is what this relay does with a permit.
type state uint8

const (
	stateIdle     state = iota // neither holds nor claims it
	stateWaiting               // claims it
	stateHeld                  // may use it
	stateDraining              // starts no more work on it
)

func (s state) String() string {
	return [...]string{"idle", "waiting", "held", "draining"}[s]
}

// record is the state of one permit at this relay.
type record struct {
	owner string // by the current view
	state state
	claim *claim // while waiting
	// lost is when the view first gave the held permit to another relay.
	lost time.Time
	// suspicion is true if the permit was taken from an unreachable relay.
	suspicion bool
	// exclusive is true if this relay was sure to be the only holder. After the
	// release, at heldUntil, only those promised can hold the permit, up to
	// exclusiveUntil.
	exclusive      bool
	heldUntil      time.Time
	exclusiveUntil time.Time
	// asker and askSeq name the ask that waits for the drain.
	asker  string
	askSeq uint64
	// promised lists the relays that were told that this one doesn't use the
	// permit; any of them may hold it.
	promised []promise
	// warm is handed over to the relay heir.
	warm []wire.WarmTarget
	heir string
}

// candidate is a relay that may hold a permit. If it isn't in the list, it may
// hold the permit up to the fencing delay after since at least.
type candidate struct {
	relay string
	since time.Time
	// promised is true if this relay told it that it doesn't use the permit:
	// only its own answer counts.
	promised bool
}

type promise struct {
	to string
	at time.Time
}

func (t *Table) record(k Key) *record {
	r := t.records[k]
	if r == nil {
		r = &record{}
		t.records[k] = r
	}
	return r
}

// settleAll brings each permit in line with its owner.
func (t *Table) settleAll(now time.Time) []Action {
	var out []Action
	for _, k := range t.active {
		out = append(out, t.settle(now, k, t.records[k])...)
	}
	return out
}

// settle moves one permit on.
func (t *Table) settle(now time.Time, k Key, r *record) []Action {
	mine := r.owner == t.opts.Self && t.listed[t.opts.Self]
	switch r.state {
	case stateIdle:
		if !mine || t.Mode(now) != ModeFull {
			return nil
		}
		r.state = stateWaiting
		r.suspicion = false
		r.claim = t.newClaim(now, k, r)
		return t.advance(now, k, r)
	case stateWaiting:
		if mine {
			return t.advance(now, k, r)
		}
		r.state = stateIdle
		r.claim = nil
	case stateHeld:
		return t.settleHeld(now, k, r, mine)
	}
	return nil
}

// settleHeld drains a held permit that has another owner: at once if the list
// doesn't name this relay or the permit was taken on suspicion or is gone,
// else after HandoverWait.
func (t *Table) settleHeld(now time.Time, k Key, r *record, mine bool) []Action {
	if mine {
		r.lost = time.Time{}
		return nil
	}
	if r.lost.IsZero() {
		r.lost = now
	}
	gone := k.Index >= t.slots[k.Group]
	overdue := now.Sub(r.lost) >= t.opts.HandoverWait
	if gone || overdue || r.suspicion || !t.listed[t.opts.Self] {
		return []Action{t.drain(k, r)}
	}
	return nil
}

func (t *Table) drain(k Key, r *record) Action {
	r.state = stateDraining
	// Others forget this relay the fencing delay after their own view named
	// another owner, which may have been a lag and a view's age before.
	alone := t.opts.FencingDelay - t.opts.VMListLag - t.opts.VMListMaxAge
	r.exclusiveUntil = r.lost.Add(alone)
	r.lost = time.Time{}
	r.suspicion = false
	return Draining{Key: k}
}

// Drained tells that a draining permit isn't used any more. Warm lists the
// targets of the group that are warm here, for the next owner.
func (t *Table) Drained(now time.Time, k Key, warm []wire.WarmTarget) []Action {
	r := t.records[k]
	if r == nil || r.state != stateDraining {
		return nil
	}
	var out []Action
	r.state = stateIdle
	r.warm, r.heir = warm, r.owner
	r.heldUntil = now
	r.exclusive = r.exclusive && t.Mode(now) == ModeFull
	if r.asker != "" {
		r.heir = r.asker
		a := wire.ReleaseResponse{Group: k.Group, Index: uint16(k.Index), Seq: r.askSeq}
		t.release(now, k, r, r.asker, &a)
		out = append(out, SendReleaseResponse{To: r.asker, Response: a})
		r.asker = ""
	}
	return append(out, t.settle(now, k, r)...)
}

// promise notes that relay to was told that this one doesn't use the permit.
func (r *record) promise(now time.Time, to string) {
	for i := range r.promised {
		if r.promised[i].to == to {
			r.promised[i].at = now
			return
		}
	}
	r.promised = append(r.promised, promise{to: to, at: now})
}

// HandleReleaseRequest takes another relay's ask to release a permit. It returns the answer to
// send at once. If the permit has to drain first, the answer says that it isn't
// released, and Returned sends the final one.
func (t *Table) HandleReleaseRequest(now time.Time, from string, ask wire.ReleaseRequest) (wire.ReleaseResponse, []Action) {
	k := Key{Group: ask.Group, Index: int(ask.Index)}
	a := wire.ReleaseResponse{Group: ask.Group, Index: ask.Index, Seq: ask.Seq, IncompleteHistory: !t.informed(now)}
	if now.Before(t.quiet) || from == t.opts.Self {
		return a, nil
	}
	r := t.record(k)
	switch r.state {
	case stateIdle:
		t.release(now, k, r, from, &a)
	case stateWaiting:
		a.Released = prefers(from, t.opts.Self, k)
		a.WaitFor = r.claim.waitFor(from)
		if a.Released {
			r.claim.restart(now, from)
			r.promise(now, from)
		}
	case stateHeld, stateDraining:
		return a, t.askHeld(now, k, r, from, ask.Seq)
	}
	return a, nil
}

// release completes the answer to a relay that asks for a permit that isn't
// used here, and notes the promise.
func (t *Table) release(now time.Time, k Key, r *record, to string, a *wire.ReleaseResponse) {
	a.Released = true
	a.IncompleteHistory = !t.informed(now)
	for _, c := range t.mayHold(now, k, r, to) {
		a.WaitFor = append(a.WaitFor, c.relay)
	}
	a.Exclusive = r.alone(now) && len(a.WaitFor) == 0
	if r.heir == to && now.Sub(r.heldUntil) <= t.opts.FencingDelay {
		a.Warm = r.warm
	}
	r.promise(now, to)
}

// alone reports whether only relays that were promised the permit since it was
// released here can hold it.
func (r *record) alone(now time.Time) bool {
	return r.exclusive && now.Before(r.exclusiveUntil)
}

// askHeld drains a held permit for the relay that owns it by the view, or for
// any relay if this one may not use it anyway.
func (t *Table) askHeld(now time.Time, k Key, r *record, from string, seq uint64) []Action {
	suspended := t.Mode(now) == ModeSuspended
	if r.owner != from && !suspended {
		return nil
	}
	r.exclusive = r.exclusive && !suspended
	if r.asker == "" || r.asker == from {
		r.asker, r.askSeq = from, seq
	}
	if r.state == stateDraining {
		return nil
	}
	return []Action{t.drain(k, r)}
}

// mayHold lists the relays other than this one and except that may hold the
// permit, by the history of views and by the promises made. If this relay was
// the only holder lately, only those promised can hold it.
func (t *Table) mayHold(now time.Time, k Key, r *record, except string) []candidate {
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
	r.promised = slices.DeleteFunc(r.promised, func(p promise) bool {
		return now.Sub(p.at) > t.opts.FencingDelay
	})
	for _, p := range r.promised {
		add(candidate{relay: p.to, since: p.at, promised: true})
	}
	rankings := t.past
	if r.alone(now) {
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
