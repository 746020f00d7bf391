// Package member keeps the membership of the system's own processes: who is
// alive, suspect, leaving or gone.
//
// The platform's VM list says who may be a member at all. Heartbeats to a
// fixed number of peers, with gossip on them, say more, and sooner. The state
// machine does no I/O and reads no clock. It isn't safe for concurrent use:
// the caller serialises all calls, and passes times that never go back.
package member

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Heartbeat is an action: send the updates to the peer.
type Heartbeat struct {
	To      string
	Updates []wire.MemberUpdate
}

// StatusChange is an event: a member's status changed. From is 0 for a new member.
type StatusChange struct {
	Name string
	From wire.MemberStatus
	To   wire.MemberStatus
}

// Result is the outcome of a Tick.
type Result struct {
	Heartbeats []Heartbeat
	Changes    []StatusChange
}

// maxHoldOff bounds how often the silence that leads to an accusation doubles.
const maxHoldOff = 6

// repairUpdates is the number of members that each heartbeat names in turn, so
// that views agree in the end even if gossip was lost.
const repairUpdates = 2

// State is the membership as one process sees it.
type State struct {
	opts    Options
	name    string
	hash    uint32
	members map[string]*record
	order   []*record // sorted by name
	peers   []string  // sorted
	beats   map[string]time.Time
	regions map[string]*region
	accused map[*record]bool
	queue   queue
	// stale is true if a reported status may no longer hold.
	stale    bool
	aware    awareness
	turn     uint64
	repaired uint64
	lastTick time.Time
	conflict uint64
	// revision and leaving are what this process tells of itself.
	revision uint64
	leaving  bool
}

// New returns a State that knows no members.
func New(opts Options) *State {
	opts = opts.withDefaults()
	return &State{
		opts:    opts,
		name:    opts.Self.Name(),
		hash:    accuserHash(opts.Self.Name()),
		members: map[string]*record{},
		beats:   map[string]time.Time{},
		regions: map[string]*region{},
		accused: map[*record]bool{},
		queue:   newQueue(),
		aware:   awareness{quiet: opts.RecoveryPeriod},
	}
}

func accuserHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// SetVMList takes the processes of the platform's VM list. One that the list
// doesn't name is no member, whatever peers say.
func (s *State) SetVMList(now time.Time, entries []Entry) []StatusChange {
	listed := s.merge(now, entries)
	changes := s.dropUnlisted(listed)
	s.order = slices.SortedFunc(maps.Values(s.members), func(a, b *record) int {
		return strings.Compare(a.entry.Name, b.entry.Name)
	})
	all := make([]Entry, 0, len(s.order))
	for _, r := range s.order {
		all = append(all, r.entry)
	}
	s.setPeers(now, s.neighbours(all))
	s.stale = true
	return append(changes, s.changes()...)
}

// neighbours returns the peers of this process; none if it isn't listed.
func (s *State) neighbours(all []Entry) []string {
	self := s.members[s.name]
	if self == nil {
		return nil
	}
	return neighbours(all, &self.entry, s.opts.Peers, s.opts.RemotePeers)
}

func (s *State) merge(now time.Time, entries []Entry) map[string]bool {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = true
		r := s.members[e.Name]
		if r == nil {
			r = &record{heard: now}
			s.members[e.Name] = r
		}
		r.entry = e
		r.region = s.regionOf(now, e.Region)
	}
	s.describeSelf()
	return listed
}

func (s *State) regionOf(now time.Time, name string) *region {
	r := s.regions[name]
	if r == nil {
		r = &region{contact: now}
		s.regions[name] = r
	}
	return r
}

func (s *State) dropUnlisted(listed map[string]bool) []StatusChange {
	var changes []StatusChange
	for _, r := range s.order {
		name := r.entry.Name
		if listed[name] {
			continue
		}
		delete(s.members, name)
		delete(s.accused, r)
		if r.region.witness == r {
			r.region.witness = nil
		}
		s.queue.drop(name)
		if r.status != wire.MemberGone {
			changes = append(changes, StatusChange{name, r.status, wire.MemberGone})
		}
	}
	return changes
}

func (s *State) setPeers(now time.Time, peers []string) {
	beats := make(map[string]time.Time, len(peers))
	for i, name := range peers {
		next, ok := s.beats[name]
		if !ok {
			next = now.Add(s.opts.HeartbeatInterval * time.Duration(i) / time.Duration(len(peers)))
			s.members[name].heard = now
		}
		beats[name] = next
	}
	s.peers, s.beats = peers, beats
}

// Peers returns the names of the members that this process exchanges
// heartbeats with, sorted.
func (s *State) Peers() []string { return slices.Clone(s.peers) }

// Members returns all members, sorted by name.
func (s *State) Members() []Member {
	members := make([]Member, 0, len(s.order))
	for _, r := range s.order {
		_, peer := s.beats[r.entry.Name]
		members = append(members, Member{
			Entry: r.entry, Status: r.status, Incarnation: r.incarnation, Revision: r.revision,
			LastDirectContact: r.heard, LastContact: r.contact, Peer: peer,
		})
	}
	return members
}

// LocallyHealthy tells whether this process hears enough of its peers, and has for long
// enough to judge others.
func (s *State) LocallyHealthy(now time.Time) bool { return s.aware.aware(now) }

// Conflicts returns how often another process claimed this one's name.
func (s *State) Conflicts() uint64 { return s.conflict }

// SetRevision sets the folder revision that this process tells others.
func (s *State) SetRevision(revision uint64) {
	s.revision = revision
	s.describeSelf()
}

// Leave makes this process tell its peers, with the next Tick, that it leaves.
func (s *State) Leave(now time.Time) {
	s.leaving = true
	s.stale = true
	s.describeSelf()
	for name := range s.beats {
		s.beats[name] = now
	}
}

// describeSelf copies what this process tells of itself into its record, which
// exists only while the VM list names it.
func (s *State) describeSelf() {
	self := s.members[s.name]
	if self == nil {
		return
	}
	self.incarnation = max(self.incarnation, s.opts.Self.Incarnation)
	self.revision = s.revision
	self.leaving = s.leaving
}

// Paused tells that this process did not run for a while. What it knows is old,
// so it listens before it judges.
func (s *State) Paused(now time.Time) {
	s.aware.gap()
	for _, r := range s.members {
		r.heard = now
	}
	for _, region := range s.regions {
		region.contact = now
	}
	s.lastTick = now
}

// Tick lets time pass. The caller calls it several times an Interval.
func (s *State) Tick(now time.Time) Result {
	s.observe(now)
	if s.aware.aware(now) {
		s.accuse(now)
		s.judge(now)
	} else {
		s.hold(now)
	}
	s.lastTick = now
	return Result{Heartbeats: s.heartbeats(now), Changes: s.changes()}
}

// observe counts the peers of the own region that are heard, or all peers if
// none stands there.
func (s *State) observe(now time.Time) {
	var near, all tally
	for _, name := range s.peers {
		r := s.members[name]
		heard := now.Sub(r.heard) < s.opts.AccuseAfter
		all.add(heard)
		if r.entry.Region == s.opts.Region {
			near.add(heard)
		}
	}
	if near.peers == 0 {
		near = all
	}
	s.aware.observe(now, near)
}

// accuse accuses silent peers of the own region. Peers elsewhere are left to
// the members of their own region, so that a cut between regions accuses nobody.
func (s *State) accuse(now time.Time) {
	for _, name := range s.peers {
		r := s.members[name]
		if r.entry.Region != s.opts.Region || r.accused(s.hash) || !s.isSilent(now, r) {
			continue
		}
		s.charge(now, r, []uint32{s.hash})
	}
}

func (s *State) isSilent(now time.Time, r *record) bool {
	limit := s.opts.AccuseAfter << min(r.refuted, maxHoldOff)
	return now.Sub(r.heard) >= limit && now.Sub(r.contact) >= s.opts.AccuseAfter &&
		now.Sub(r.evidence) >= limit
}

func (s *State) judge(now time.Time) {
	for name, r := range s.regions {
		silent := name != s.opts.Region && now.Sub(r.contact) >= s.opts.RegionTimeout
		s.stale = s.stale || silent != r.silent
		r.silent = silent
	}
	for r := range s.accused {
		r.judge(now, &s.opts)
		s.stale = s.stale || r.current() != r.status
	}
}

// hold stops the clock of all accusations.
func (s *State) hold(now time.Time) {
	for r := range s.accused {
		r.hold(now.Sub(s.lastTick))
	}
}

func (s *State) changes() []StatusChange {
	if !s.stale {
		return nil
	}
	s.stale = false
	var changes []StatusChange
	for _, r := range s.order {
		status := r.current()
		if status != r.status {
			changes = append(changes, StatusChange{r.entry.Name, r.status, status})
			r.status = status
		}
	}
	return changes
}
