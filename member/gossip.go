package member

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Receive takes a heartbeat of a process: the incarnation that it started with
// and its updates. A process that the VM list doesn't name is ignored.
func (s *State) Receive(now time.Time, from string, incarnation uint64, updates []wire.MemberUpdate) {
	r := s.members[from]
	if r == nil || from == s.name {
		return
	}
	if incarnation > r.incarnation {
		s.renew(now, r, incarnation)
	}
	r.heard = now
	r.refuted = 0
	s.contact(r, now)
	for i := range updates {
		s.apply(now, from, &updates[i])
	}
}

// renew takes a higher incarnation, which voids all accusations. The first
// incarnation of a member that nobody accused is no news to others.
func (s *State) renew(now time.Time, r *record, incarnation uint64) {
	if r.incarnation > 0 || r.accusation != nil {
		s.queue.putLife(r.entry.Name)
	}
	r.incarnation = incarnation
	r.leaving = false
	s.stale = true
	r.evidence = now
	s.withdraw(r)
}

// withdraw drops the accusation against a member.
func (s *State) withdraw(r *record) {
	if r.accused(s.hash) {
		r.refuted++
	}
	r.clear()
	delete(s.accused, r)
	s.stale = true
}

// contact records that someone heard from the member at the given time.
func (s *State) contact(r *record, at time.Time) {
	if !at.After(r.contact) {
		return
	}
	r.contact = at
	if at.After(r.region.contact) {
		r.region.contact = at
		r.region.witness = r
		s.stale = s.stale || r.region.silent
		r.region.silent = false
	}
	if r.accusation == nil || !r.accusation.refutedBy(at, s.opts.AccuseAfter) {
		return
	}
	s.withdraw(r)
	r.tell = true
	s.queue.putLife(r.entry.Name)
}

func (s *State) apply(now time.Time, from string, u *wire.MemberUpdate) {
	if u.Name == s.name {
		s.defend(u)
		return
	}
	r := s.members[u.Name]
	if r == nil {
		return
	}
	if u.Incarnation < r.incarnation {
		r.tell = r.tell || u.Name == from
		return
	}
	if u.Incarnation > r.incarnation {
		s.renew(now, r, u.Incarnation)
		r.revision = u.Revision
	}
	r.revision = max(r.revision, u.Revision)
	if u.SeenMillis > 0 {
		s.contact(r, now.Add(-time.Duration(u.SeenMillis-1)*time.Millisecond))
	}
	switch u.Status {
	case wire.MemberSuspect:
		s.hearAccusation(now, r, u.Accusers)
	case wire.MemberLeaving:
		s.leaves(r)
	}
}

// defend answers a false report about this process with a higher incarnation.
func (s *State) defend(u *wire.MemberUpdate) {
	self := s.members[s.name]
	if self == nil || u.Incarnation < self.incarnation {
		return
	}
	same := u.Status == wire.MemberAlive || (u.Status == wire.MemberLeaving && self.leaving)
	if same && u.Incarnation == self.incarnation {
		return
	}
	if u.Incarnation > self.incarnation {
		s.conflict++
	}
	self.incarnation = u.Incarnation + 1
}

// hearAccusation takes an accusation from gossip. If anyone is known to have heard
// from the member lately, that is spread instead.
func (s *State) hearAccusation(now time.Time, r *record, accusers []uint32) {
	name := r.entry.Name
	if now.Sub(r.contact) < s.opts.AccuseAfter/2 {
		if !r.tell {
			s.queue.putLife(name)
		}
		r.tell = true
		return
	}
	s.charge(now, r, accusers)
}

// charge adds accusers of a member.
func (s *State) charge(now time.Time, r *record, accusers []uint32) {
	if r.accusation == nil {
		r.accusation = &suspicion{started: now}
		s.accused[r] = true
	}
	if r.accusation.confirm(accusers, s.opts.Confirmations) {
		s.queue.putAccusation(r.entry.Name)
	}
}

func (s *State) leaves(r *record) {
	if r.leaving {
		return
	}
	r.leaving = true
	s.stale = true
	s.queue.putLife(r.entry.Name)
}

// heartbeats returns the heartbeats that are due.
func (s *State) heartbeats(now time.Time) []Heartbeat {
	var beats []Heartbeat
	for _, name := range s.peers {
		if now.Before(s.beats[name]) {
			continue
		}
		s.beats[name] = now.Add(s.opts.HeartbeatInterval)
		beats = append(beats, Heartbeat{To: name, Updates: s.updatesFor(now, name)})
	}
	return beats
}

// witness names the member of another region that anyone heard from last. The
// regions take turns.
func (s *State) witness() (name string, ok bool) {
	var names []string
	for region, r := range s.regions {
		if region != s.opts.Region && r.witness != nil {
			names = append(names, r.witness.entry.Name)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	slices.Sort(names)
	s.turn++
	return names[s.turn%uint64(len(names))], true
}

// updatesFor returns the updates of a heartbeat: first the sender itself, then
// what the receiver must know of itself, a witness, news, and members in turn.
func (s *State) updatesFor(now time.Time, to string) []wire.MemberUpdate {
	updates := []wire.MemberUpdate{s.members[s.name].update(now)}
	peer := s.members[to]
	if peer.tell || peer.accusation != nil {
		u := peer.update(now)
		u.Status = wire.MemberSuspect
		updates = append(updates, u)
		peer.tell = false
	}
	names := []string{s.name, to}
	if name, ok := s.witness(); ok && name != to {
		names = append(names, name)
	}
	most := max(minUpdates, s.opts.UpdatesPerInterval/len(s.peers))
	room := func() int { return most - len(updates) - len(names) + 2 }
	limit := spreadLimit(s.opts.RetransmitFactor, len(s.order))
	names = append(names, s.queue.take(room(), limit, names)...)
	for range min(repairUpdates, room()) {
		if next := s.repair(); !slices.Contains(names, next) {
			names = append(names, next)
		}
	}
	for _, name := range names[2:] {
		updates = append(updates, s.members[name].update(now))
	}
	return updates
}

// repair returns the names of members in a scattered order. An order that
// repeats could always name the same members to the same peer.
func (s *State) repair() string {
	s.repaired++
	return s.order[mix(s.repaired, uint64(s.hash))%uint64(len(s.order))].entry.Name
}

// MarkLeaving takes a process's own word that it leaves.
func (s *State) MarkLeaving(from string) {
	if r := s.members[from]; r != nil && from != s.name {
		s.leaves(r)
	}
}
