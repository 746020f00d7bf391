package permit

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// claim collects the releases that a relay needs before it may use a permit.
type claim struct {
	since    time.Time
	requests []*pendingRequest
	// soleHolder is true once the former holder has responded that no other relay
	// held the permit.
	soleHolder bool
	// incompleteHistory is true once the permit was released by a relay that may
	// not know all earlier holders, for example because it has restarted;
	// completeHistory once it was released by a relay that knows them.
	incompleteHistory, completeHistory bool
	// requestedAll is true once every listed relay has been added to the claim.
	requestedAll bool
	warm         []wire.WarmTarget
}

// pendingRequest is the release request to one relay.
type pendingRequest struct {
	candidate
	// firstSeq and lastSeq bound the sequence numbers of the requests sent; 0
	// if none was sent. A response to an earlier request does not count.
	firstSeq, lastSeq uint64
	nextSend          time.Time
	interval          time.Duration
	released          bool
	// infoOnly marks a relay that may not hold the permit and is sent
	// a request only for what it knows about other holders.
	infoOnly bool
}

func (t *Table) newClaim(now time.Time, k Key, r *record) *claim {
	c := &claim{since: now}
	for _, found := range t.possibleHolders(now, k, r, "") {
		c.add(now, found)
	}
	if t.historyComplete(now) {
		return c
	}
	// The relay that would own the permit without this one may know other holders.
	without := map[string]bool{t.opts.Self: true}
	if name := t.rank.owner(k, without); name != "" {
		c.add(now, candidate{relay: name, since: now}).infoOnly = true
	}
	return c
}

// add adds a relay whose release is requested, unless the claim has it already.
func (c *claim) add(now time.Time, found candidate) *pendingRequest {
	for _, p := range c.requests {
		if p.relay == found.relay {
			return p
		}
	}
	p := &pendingRequest{candidate: found, nextSend: now, interval: minRequestInterval}
	c.requests = append(c.requests, p)
	return p
}

// restart requests the relay's release again and discards its earlier responses.
func (c *claim) restart(now time.Time, relay string) {
	found := candidate{relay: relay, since: now, releasedTo: true}
	p := c.add(now, found)
	*p = pendingRequest{candidate: found, nextSend: now.Add(minRequestInterval), interval: minRequestInterval}
}

// requestAll extends the claim to every listed relay.
func (t *Table) requestAll(now time.Time, c *claim) {
	c.requestedAll = true
	for _, relay := range t.list.Relays {
		known := func(p *pendingRequest) bool { return p.relay == relay.Name }
		if relay.Name == t.opts.Self || slices.ContainsFunc(c.requests, known) {
			continue
		}
		c.add(now, candidate{relay: relay.Name, since: now}).infoOnly = true
	}
}

// unreleased lists the relays other than except that have not released the
// permit yet.
func (c *claim) unreleased(except string) []string {
	var names []string
	for _, p := range c.requests {
		if !p.released && p.relay != except {
			names = append(names, p.relay)
		}
	}
	return names
}

// handleResponse records a response. self is left out of the relays to wait for.
func (c *claim) handleResponse(now time.Time, from string, resp wire.ReleaseResponse, self string) {
	i := slices.IndexFunc(c.requests, func(p *pendingRequest) bool { return p.relay == from })
	if i < 0 {
		return
	}
	p := c.requests[i]
	if p.firstSeq == 0 || resp.Seq < p.firstSeq || resp.Seq > p.lastSeq {
		return
	}
	for _, name := range resp.WaitFor {
		if name != self {
			c.add(now, candidate{relay: name, since: now})
		}
	}
	if !resp.Released {
		p.infoOnly = false
		return
	}
	p.released = true
	c.incompleteHistory = c.incompleteHistory || resp.IncompleteHistory
	c.completeHistory = c.completeHistory || !resp.IncompleteHistory
	if len(resp.Warm) > 0 {
		c.warm = resp.Warm
	}
	if !resp.Exclusive {
		return
	}
	c.soleHolder = true
	for _, p := range c.requests {
		p.released = p.released || !p.releasedTo
	}
}

// advance sends the requests that are due, and acquires the permit once no
// other relay can hold it.
func (t *Table) advance(now time.Time, k Key, r *record) []Action {
	c := r.claim
	var out []Action
	for _, p := range c.requests {
		if p.released || t.releaseNotNeeded(now, k, r, p) {
			p.released = true
			continue
		}
		out = t.sendDue(now, k, p, out)
	}
	if len(c.unreleased("")) > 0 || t.Mode(now) != ModeFull || now.Before(t.quietUntil) {
		return out
	}
	if t.holdersKnown(now, c) {
		return append(out, t.acquire(k, r))
	}
	if !c.requestedAll && len(t.list.Relays) <= maxRequestAll {
		t.requestAll(now, c)
		return append(out, t.advance(now, k, r)...)
	}
	return out
}

// holdersKnown reports whether the claim includes every relay that may hold the
// permit.
func (t *Table) holdersKnown(now time.Time, c *claim) bool {
	complete := t.historyComplete(now)
	switch {
	case c.soleHolder:
		return true
	case complete && !c.incompleteHistory:
		return true
	case c.requestedAll && (complete || c.completeHistory):
		return true
	default:
		return t.startDelayElapsed(now, c)
	}
}

// startDelayElapsed reports whether this relay has been the owner for so long
// that every other relay has stopped using the permit by itself.
func (t *Table) startDelayElapsed(now time.Time, c *claim) bool {
	return now.Sub(c.since) >= t.opts.StartDelay
}

func (t *Table) sendDue(now time.Time, k Key, p *pendingRequest, out []Action) []Action {
	if now.Before(p.nextSend) {
		return out
	}
	t.seq++
	if p.firstSeq == 0 {
		p.firstSeq = t.seq
	}
	p.lastSeq = t.seq
	p.nextSend = now.Add(p.interval)
	p.interval = min(2*p.interval, maxRequestInterval)
	req := wire.ReleaseRequest{Group: k.Group, Index: uint16(k.Index), Seq: t.seq}
	return append(out, SendReleaseRequest{To: p.relay, Request: req})
}

// releaseNotNeeded reports whether the claim can go on without the relay's
// release: the relay has been off the VM list for the fencing delay, or was
// sent a request only for information and the start delay has elapsed, or, for
// a permit above 0, has been unreachable for the fencing delay.
func (t *Table) releaseNotNeeded(now time.Time, k Key, r *record, p *pendingRequest) bool {
	if p.infoOnly && t.startDelayElapsed(now, r.claim) {
		return true
	}
	if !t.listed[p.relay] {
		removed, seen := t.removedAt[p.relay]
		if !seen {
			removed = t.historyStart
		}
		fenced := now.Sub(removed) >= t.opts.FencingDelay
		return fenced && now.Sub(p.since) >= t.opts.FencingDelay
	}
	if k.Index == 0 || !t.suspects[p.relay] {
		return false
	}
	r.fromSuspect = true
	return true
}

func (t *Table) acquire(k Key, r *record) Action {
	warm := r.claim.warm
	r.fromSuspect = r.fromSuspect || t.rank.owner(k, nil) != t.opts.Self
	if r.fromSuspect {
		t.overlaps++
	}
	r.state = stateHeld
	r.claim = nil
	r.reassignedAt = time.Time{}
	r.exclusive = !r.fromSuspect
	r.releases = nil
	r.warm, r.successor = nil, ""
	return Acquired{Key: k, Warm: warm}
}

// NextTick returns the latest time at which Tick has to be called, or the zero
// time if no timer is pending.
func (t *Table) NextTick(now time.Time) time.Time {
	var next time.Time
	consider := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if !t.haveList {
		return next
	}
	consider(t.quietUntil)
	consider(t.historyStart.Add(t.opts.StartDelay))
	consider(t.list.AsOf.Add(t.opts.VMListMaxAge + 1))
	for _, at := range t.unreachable {
		consider(at.Add(t.opts.FencingDelay))
	}
	for _, at := range t.removedAt {
		consider(at.Add(t.opts.FencingDelay))
	}
	for _, k := range t.active {
		r := t.records[k]
		if r.state == stateHeld && !r.reassignedAt.IsZero() {
			consider(r.reassignedAt.Add(t.opts.HandoverWait))
		}
		if r.state == stateWaiting {
			consider(r.claim.since.Add(t.opts.StartDelay))
			r.claim.eachTimer(t.opts.FencingDelay, consider)
		}
	}
	return next
}

// eachTimer calls visit with the times at which the state of an unreleased request
// may change.
func (c *claim) eachTimer(fencingDelay time.Duration, visit func(time.Time)) {
	for _, p := range c.requests {
		if !p.released {
			visit(p.nextSend)
			visit(p.since.Add(fencingDelay))
		}
	}
}

// Info describes one permit on the state page.
type Info struct {
	Key   Key
	Owner string
	State string
	// WaitFor lists the relays that have not released the permit yet.
	WaitFor []string
}

// Infos describes the permits that this relay claims, holds or drains.
func (t *Table) Infos() []Info {
	var infos []Info
	for _, k := range t.active {
		r := t.records[k]
		if r.state == stateIdle {
			continue
		}
		info := Info{Key: k, Owner: r.owner, State: r.state.String()}
		if r.claim != nil {
			info.WaitFor = r.claim.unreleased("")
		}
		infos = append(infos, info)
	}
	return infos
}
