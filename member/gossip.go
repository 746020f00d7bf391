package member

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Heard takes a heartbeat of a process: the incarnation that it started with
// and its updates. A process that the VM list doesn't name is ignored.
func (s *State) Heard(now time.Time, from string, incarnation uint64, updates []wire.MemberUpdate) {
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

// renew takes a higher incarnation, which voids all accusations.
func (s *State) renew(now time.Time, r *record, incarnation uint64) {
	r.incarnation = incarnation
	r.leaving = false
	r.evidence = now
	s.withdraw(r)
	s.queue.put(r.entry.Name)
}

// withdraw drops the accusation against a member.
func (s *State) withdraw(r *record) {
	if r.accused(s.hash) {
		r.refuted++
	}
	r.clear()
}

// contact records that someone heard from the member at the given time.
func (s *State) contact(r *record, at time.Time) {
	if !at.After(r.contact) {
		return
	}
	r.contact = at
	if at.After(s.regions[r.entry.Region]) {
		s.regions[r.entry.Region] = at
		s.silent[r.entry.Region] = false
	}
	if r.accusation == nil || !r.accusation.refutedBy(at, s.opts.SuspectAfter) {
		return
	}
	s.withdraw(r)
	r.tell = true
	s.queue.put(r.entry.Name)
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
		s.accused(now, r, u.Accusers)
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

// accused takes an accusation from gossip. If anyone is known to have heard
// from the member lately, that is spread instead.
func (s *State) accused(now time.Time, r *record, accusers []uint32) {
	name := r.entry.Name
	if now.Sub(r.contact) < s.opts.SuspectAfter/2 {
		if !r.tell {
			s.queue.put(name)
		}
		r.tell = true
		return
	}
	if r.accusation == nil {
		r.accusation = &suspicion{started: now}
	}
	if r.accusation.confirm(accusers, s.opts.Confirmations) {
		s.queue.put(name)
	}
}

func (s *State) leaves(r *record) {
	if r.leaving {
		return
	}
	r.leaving = true
	s.queue.put(r.entry.Name)
}

// heartbeats returns the heartbeats that are due.
func (s *State) heartbeats(now time.Time) []Heartbeat {
	var beats []Heartbeat
	var witnesses []string
	for _, name := range s.peers {
		if now.Before(s.beats[name]) {
			continue
		}
		if beats == nil {
			witnesses = s.witnesses()
		}
		s.beats[name] = now.Add(s.opts.Interval)
		beats = append(beats, Heartbeat{To: name, Updates: s.updatesFor(now, name, witnesses)})
	}
	return beats
}

// witnesses names, for each other region, the member that anyone heard from last.
func (s *State) witnesses() []string {
	freshest := map[string]*record{}
	var regions []string
	for _, name := range s.names {
		r := s.members[name]
		region := r.entry.Region
		if region == s.opts.Region || r.contact.IsZero() {
			continue
		}
		best := freshest[region]
		if best == nil {
			regions = append(regions, region)
		}
		if best == nil || r.contact.After(best.contact) {
			freshest[region] = r
		}
	}
	slices.Sort(regions)
	names := make([]string, 0, len(regions))
	for _, region := range regions {
		names = append(names, freshest[region].entry.Name)
	}
	return names
}

// updatesFor returns the updates of a heartbeat: first the sender itself, then
// what the receiver must know of itself, the witnesses, news, and members in turn.
func (s *State) updatesFor(now time.Time, to string, witnesses []string) []wire.MemberUpdate {
	updates := []wire.MemberUpdate{s.members[s.name].update(now)}
	peer := s.members[to]
	if peer.tell || peer.accusation != nil {
		u := peer.update(now)
		u.Status = wire.MemberSuspect
		updates = append(updates, u)
		peer.tell = false
	}
	names := []string{s.name, to}
	names = append(names, witnesses...)
	room := s.opts.Updates - len(updates) - len(witnesses)
	limit := spreadLimit(s.opts.Spread, len(s.names))
	names = append(names, s.queue.take(room, limit, names)...)
	for i := 0; i < repairUpdates && len(updates)+len(names)-2 < s.opts.Updates; i++ {
		s.cursor = (s.cursor + 1) % len(s.names)
		if next := s.names[s.cursor]; !slices.Contains(names, next) {
			names = append(names, next)
		}
	}
	for _, name := range names[2:] {
		updates = append(updates, s.members[name].update(now))
	}
	return updates
}
