package member

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Receive handles a heartbeat of a process: its incarnation and the updates
// that it sent. Heartbeats of processes that are not on the VM list are ignored.
func (s *State) Receive(now time.Time, from string, incarnation uint64, updates []wire.MemberUpdate) {
	r := s.members[from]
	if r == nil || from == s.name {
		return
	}
	if incarnation > r.incarnation {
		s.raiseIncarnation(now, r, incarnation)
	}
	r.lastDirectContact = now
	r.refutations = 0
	s.recordContact(r, now)
	for i := range updates {
		s.applyUpdate(now, from, &updates[i])
	}
}

// raiseIncarnation sets a higher incarnation, which voids all accusations. The
// first incarnation of a member that nobody accused is not gossiped.
func (s *State) raiseIncarnation(now time.Time, r *record, incarnation uint64) {
	if r.incarnation > 0 || r.accusation != nil {
		s.queue.putAlive(r.entry.Name)
	}
	r.incarnation = incarnation
	r.leaving = false
	r.pathChanges = 0
	s.dirty = true
	r.incarnationSince = now
	s.clearAccusation(r)
}

// clearAccusation removes the accusation against a member.
func (s *State) clearAccusation(r *record) {
	if r.accusedBy(s.hash) {
		r.refutations++
	}
	r.clearAccusation()
	delete(s.accused, r)
	s.dirty = true
}

// recordContact records that this or another process received a heartbeat of the
// member at the given time.
func (s *State) recordContact(r *record, at time.Time) {
	if !at.After(r.lastContact) {
		return
	}
	r.lastContact = at
	if at.After(r.region.lastContact) {
		r.region.lastContact = at
		r.region.contacted = r
		s.dirty = s.dirty || r.region.silent
		r.region.silent = false
	}
	if r.accusation == nil || !r.accusation.refutedBy(at, s.opts.AccuseAfter) {
		return
	}
	s.clearAccusation(r)
	r.promptRefutation = true
	s.queue.putAlive(r.entry.Name)
}

func (s *State) applyUpdate(now time.Time, from string, u *wire.MemberUpdate) {
	if u.Name == s.name {
		s.refute(u)
		return
	}
	r := s.members[u.Name]
	if r == nil {
		return
	}
	if u.Incarnation < r.incarnation {
		r.promptRefutation = r.promptRefutation || u.Name == from
		return
	}
	if u.Incarnation > r.incarnation {
		s.raiseIncarnation(now, r, u.Incarnation)
		r.revision = u.Revision
	}
	r.revision = max(r.revision, u.Revision)
	if u.PathChanges > r.pathChanges {
		r.pathChanges = u.PathChanges
		s.dirty = true
		s.queue.putAlive(u.Name)
	}
	if u.SeenMillis > 0 {
		s.recordContact(r, now.Add(-time.Duration(u.SeenMillis-1)*time.Millisecond))
	}
	switch u.Status {
	case wire.MemberSuspect:
		s.receiveAccusation(now, r, u.Accusers)
	case wire.MemberLeaving:
		s.setLeaving(r)
	}
}

// refute raises the incarnation of this process if an update reports it falsely.
func (s *State) refute(u *wire.MemberUpdate) {
	self := s.members[s.name]
	if self == nil || u.Incarnation < self.incarnation {
		return
	}
	accurate := u.Status == wire.MemberAlive || (u.Status == wire.MemberLeaving && self.leaving)
	if accurate && u.Incarnation == self.incarnation {
		return
	}
	if u.Incarnation > self.incarnation {
		s.conflicts++
	}
	self.incarnation = u.Incarnation + 1
}

// receiveAccusation handles an accusation from gossip. If a contact with the
// member within the last AccuseAfter/2 is known, that contact is gossiped instead.
func (s *State) receiveAccusation(now time.Time, r *record, accusers []uint32) {
	name := r.entry.Name
	if now.Sub(r.lastContact) < s.opts.AccuseAfter/2 {
		if !r.promptRefutation {
			s.queue.putAlive(name)
		}
		r.promptRefutation = true
		return
	}
	s.addAccusers(now, r, accusers)
}

func (s *State) addAccusers(now time.Time, r *record, accusers []uint32) {
	if r.accusation == nil {
		r.accusation = &accusation{started: now}
		s.accused[r] = true
	}
	if r.accusation.add(accusers, s.opts.Confirmations) {
		s.queue.putAccused(r.entry.Name)
	}
}

func (s *State) setLeaving(r *record) {
	if r.leaving {
		return
	}
	r.leaving = true
	s.dirty = true
	s.queue.putAlive(r.entry.Name)
}

// dueHeartbeats returns the heartbeats that are due at now.
func (s *State) dueHeartbeats(now time.Time) []Heartbeat {
	var heartbeats []Heartbeat
	for _, name := range s.peers {
		if now.Before(s.nextHeartbeat[name]) {
			continue
		}
		s.nextHeartbeat[name] = now.Add(s.opts.HeartbeatInterval)
		heartbeats = append(heartbeats, Heartbeat{To: name, Updates: s.updatesFor(now, name)})
	}
	return heartbeats
}

// remoteContact returns the name of the most recently contacted member of one
// other region. Successive calls take the regions in turn.
func (s *State) remoteContact() (name string, ok bool) {
	var names []string
	for region, r := range s.regions {
		if region != s.opts.Region && r.contacted != nil {
			names = append(names, r.contacted.entry.Name)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	slices.Sort(names)
	s.regionTurn++
	return names[s.regionTurn%uint64(len(names))], true
}

// updatesFor returns the updates of a heartbeat: first the sender itself, then
// the receiver if it must refute a report, the most recently contacted member of
// another region, queued updates, and members in a pseudo-random order.
func (s *State) updatesFor(now time.Time, to string) []wire.MemberUpdate {
	updates := []wire.MemberUpdate{s.members[s.name].memberUpdate(now)}
	peer := s.members[to]
	if peer.promptRefutation || peer.accusation != nil {
		u := peer.memberUpdate(now)
		u.Status = wire.MemberSuspect
		updates = append(updates, u)
		peer.promptRefutation = false
	}
	names := []string{s.name, to}
	if name, ok := s.remoteContact(); ok && name != to {
		names = append(names, name)
	}
	capacity := max(minUpdatesPerHeartbeat, s.opts.UpdatesPerInterval/len(s.peers))
	// The first two names only exclude sender and receiver from the rest.
	room := func() int { return capacity - len(updates) - len(names) + 2 }
	limit := retransmitLimit(s.opts.RetransmitFactor, len(s.sorted))
	names = append(names, s.queue.take(room(), limit, names)...)
	for range min(antiEntropyUpdates, room()) {
		if next := s.nextAntiEntropy(); !slices.Contains(names, next) {
			names = append(names, next)
		}
	}
	for _, name := range names[2:] {
		updates = append(updates, s.members[name].memberUpdate(now))
	}
	return updates
}

// nextAntiEntropy returns the name of one member. Successive calls return the
// members in a pseudo-random order: a fixed cycle could always send the same
// members to the same peer.
func (s *State) nextAntiEntropy() string {
	s.antiEntropyTurn++
	return s.sorted[mix(s.antiEntropyTurn, uint64(s.hash))%uint64(len(s.sorted))].entry.Name
}

// MarkLeaving records that a process announced that it leaves.
func (s *State) MarkLeaving(from string) {
	if r := s.members[from]; r != nil && from != s.name {
		s.setLeaving(r)
	}
}
