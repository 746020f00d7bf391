package permit

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// claim collects the releases that a relay needs before it uses a permit.
type claim struct {
	since time.Time
	asks  []*pendingAsk
	// sole is true once the former holder has answered that it was alone.
	sole bool
	// young is true once a relay has answered that may have lost its memory of
	// the permit, informed once one has answered that hasn't.
	young, informed bool
	// all is true once every listed relay is asked.
	all  bool
	warm []wire.WarmTarget
}

// pendingAsk is the ask to one relay.
type pendingAsk struct {
	candidate
	// first and last bound the sequence numbers of the asks sent; 0 if none.
	// An answer to an earlier one doesn't count.
	first, last uint64
	next        time.Time
	interval    time.Duration
	released    bool
	// witness marks a relay that was asked for its knowledge alone.
	witness bool
}

func (t *Table) newClaim(now time.Time, k Key, r *record) *claim {
	c := &claim{since: now}
	for _, found := range t.mayHold(now, k, r, "") {
		c.add(now, found)
	}
	if t.informed(now) {
		return c
	}
	without := map[string]bool{t.opts.Self: true}
	if name := t.rank.owner(k, without); name != "" {
		c.add(now, candidate{relay: name, since: now}).witness = true
	}
	return c
}

// add adds a relay to ask, unless it is asked already.
func (c *claim) add(now time.Time, found candidate) *pendingAsk {
	for _, p := range c.asks {
		if p.relay == found.relay {
			return p
		}
	}
	p := &pendingAsk{candidate: found, next: now, interval: minAskInterval}
	c.asks = append(c.asks, p)
	return p
}

// restart asks the relay anew: earlier answers don't count any more.
func (c *claim) restart(now time.Time, relay string) {
	found := candidate{relay: relay, since: now, promised: true}
	p := c.add(now, found)
	*p = pendingAsk{candidate: found, next: now.Add(minAskInterval), interval: minAskInterval}
}

// askAll extends the claim to every listed relay.
func (t *Table) askAll(now time.Time, c *claim) {
	c.all = true
	for _, relay := range t.view.Relays {
		asked := func(p *pendingAsk) bool { return p.relay == relay.Name }
		if relay.Name == t.opts.Self || slices.ContainsFunc(c.asks, asked) {
			continue
		}
		c.add(now, candidate{relay: relay.Name, since: now}).witness = true
	}
}

// waitFor lists the relays that haven't released the permit yet.
func (c *claim) waitFor(except string) []string {
	var names []string
	for _, p := range c.asks {
		if !p.released && p.relay != except {
			names = append(names, p.relay)
		}
	}
	return names
}

// answer takes an answer; self is left out of the relays to wait for.
func (c *claim) answer(now time.Time, from string, a wire.ReleaseResponse, self string) {
	i := slices.IndexFunc(c.asks, func(p *pendingAsk) bool { return p.relay == from })
	if i < 0 {
		return
	}
	p := c.asks[i]
	if p.first == 0 || a.Seq < p.first || a.Seq > p.last {
		return
	}
	for _, name := range a.WaitFor {
		if name != self {
			c.add(now, candidate{relay: name, since: now})
		}
	}
	if !a.Released {
		p.witness = false
		return
	}
	p.released = true
	c.young = c.young || a.IncompleteHistory
	c.informed = c.informed || !a.IncompleteHistory
	if len(a.Warm) > 0 {
		c.warm = a.Warm
	}
	if !a.Exclusive {
		return
	}
	c.sole = true
	for _, p := range c.asks {
		p.released = p.released || !p.promised
	}
}

// advance sends due asks, and acquires the permit when nothing stands against it.
func (t *Table) advance(now time.Time, k Key, r *record) []Action {
	c := r.claim
	var out []Action
	for _, p := range c.asks {
		if p.released || t.absent(now, k, r, p) {
			p.released = true
			continue
		}
		out = t.sendAsk(now, k, p, out)
	}
	if len(c.waitFor("")) > 0 || t.Mode(now) != ModeFull || now.Before(t.quiet) {
		return out
	}
	if t.sure(now, c) {
		return append(out, t.acquire(k, r))
	}
	if !c.all && len(t.view.Relays) <= maxAskAll {
		t.askAll(now, c)
		return append(out, t.advance(now, k, r)...)
	}
	return out
}

// sure reports whether the relays that were asked include every one that may
// hold the permit.
func (t *Table) sure(now time.Time, c *claim) bool {
	informed := t.informed(now)
	switch {
	case c.sole:
		return true
	case informed && !c.young:
		return true
	case c.all && (informed || c.informed):
		return true
	default:
		return t.waitedOut(now, c)
	}
}

// waitedOut reports whether the view has given the permit to this relay for so
// long that every other relay has stopped by itself.
func (t *Table) waitedOut(now time.Time, c *claim) bool {
	return now.Sub(c.since) >= t.opts.StartDelay
}

func (t *Table) sendAsk(now time.Time, k Key, p *pendingAsk, out []Action) []Action {
	if now.Before(p.next) {
		return out
	}
	t.seq++
	if p.first == 0 {
		p.first = t.seq
	}
	p.last = t.seq
	p.next = now.Add(p.interval)
	p.interval = min(2*p.interval, maxAskInterval)
	ask := wire.ReleaseRequest{Group: k.Group, Index: uint16(k.Index), Seq: t.seq}
	return append(out, SendReleaseRequest{To: p.relay, Request: ask})
}

// absent reports whether the relay needn't be waited for any longer: it was
// dropped from the list for the fencing delay, or was asked as a witness that
// isn't needed any more, or, for a permit above 0, was unreachable for the
// fencing delay.
func (t *Table) absent(now time.Time, k Key, r *record, p *pendingAsk) bool {
	if p.witness && t.waitedOut(now, r.claim) {
		return true
	}
	if !t.listed[p.relay] {
		dropped, seen := t.dropped[p.relay]
		if !seen {
			dropped = t.since
		}
		fenced := now.Sub(dropped) >= t.opts.FencingDelay
		return fenced && now.Sub(p.since) >= t.opts.FencingDelay
	}
	if k.Index == 0 || !t.suspects[p.relay] {
		return false
	}
	r.suspicion = true
	return true
}

func (t *Table) acquire(k Key, r *record) Action {
	warm := r.claim.warm
	r.suspicion = r.suspicion || t.rank.owner(k, nil) != t.opts.Self
	if r.suspicion {
		t.overlaps++
	}
	r.state = stateHeld
	r.claim = nil
	r.lost = time.Time{}
	r.exclusive = !r.suspicion
	r.promised = nil
	r.warm, r.heir = nil, ""
	return Acquired{Key: k, Warm: warm}
}

// NextTick returns when Tick is due at the latest, or the zero time if nothing
// waits for time to pass.
func (t *Table) NextTick(now time.Time) time.Time {
	var next time.Time
	soonest := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if !t.haveView {
		return next
	}
	soonest(t.quiet)
	soonest(t.since.Add(t.opts.StartDelay))
	soonest(t.view.AsOf.Add(t.opts.VMListMaxAge + 1))
	for _, at := range t.unreachable {
		soonest(at.Add(t.opts.FencingDelay))
	}
	for _, at := range t.dropped {
		soonest(at.Add(t.opts.FencingDelay))
	}
	for _, k := range t.active {
		r := t.records[k]
		if r.state == stateHeld && !r.lost.IsZero() {
			soonest(r.lost.Add(t.opts.HandoverWait))
		}
		if r.state == stateWaiting {
			soonest(r.claim.since.Add(t.opts.StartDelay))
			r.claim.eachDue(t.opts.FencingDelay, soonest)
		}
	}
	return next
}

func (c *claim) eachDue(fence time.Duration, due func(time.Time)) {
	for _, p := range c.asks {
		if !p.released {
			due(p.next)
			due(p.since.Add(fence))
		}
	}
}

// Info describes one permit for the dump of a process's state.
type Info struct {
	Key   Key
	Owner string
	State string
	// WaitFor lists the relays whose release is awaited.
	WaitFor []string
}

// Infos describes the permits that this relay holds, drains or waits for.
func (t *Table) Infos() []Info {
	var infos []Info
	for _, k := range t.active {
		r := t.records[k]
		if r.state == stateIdle {
			continue
		}
		info := Info{Key: k, Owner: r.owner, State: r.state.String()}
		if r.claim != nil {
			info.WaitFor = r.claim.waitFor("")
		}
		infos = append(infos, info)
	}
	return infos
}
