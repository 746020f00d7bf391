// Package member keeps the membership of the system's own processes: who is
// alive, suspect, leaving or gone.
//
// The platform's VM list says who may be a member at all. Heartbeats to a
// fixed number of peers, with gossip on them, say more, and sooner. The state
// machine does no I/O and reads no clock. It isn't safe for concurrent use:
// the caller serialises all calls, and passes times that never go back.
package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Heartbeat is an action: send the updates to the peer.
type Heartbeat struct {
	To      string
	Updates []wire.MemberUpdate
}

// Changed is an event: a member's status changed. From is 0 for a new member.
type Changed struct {
	Name string
	From wire.MemberStatus
	To   wire.MemberStatus
}

// Result is the outcome of a Tick.
type Result struct {
	Heartbeats []Heartbeat
	Changes    []Changed
}

// maxHoldOff bounds how often the silence that leads to an accusation doubles.
const maxHoldOff = 6

// repairUpdates is the number of members that each heartbeat names in turn, so
// that views agree in the end even if gossip was lost.
const repairUpdates = 2

// State is the membership as one process sees it.
type State struct {
	opts     Options
	name     string
	hash     uint32
	members  map[string]*record
	names    []string // sorted
	peers    []string // sorted
	beats    map[string]time.Time
	regions  map[string]time.Time // last contact of anyone with another region
	silent   map[string]bool
	queue    queue
	aware    awareness
	cursor   int
	lastTick time.Time
	conflict uint64
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
		regions: map[string]time.Time{},
		silent:  map[string]bool{},
		queue:   newQueue(),
		aware:   awareness{quiet: opts.Quiet},
	}
}

func accuserHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// SetList takes the processes of the platform's VM list. One that the list
// doesn't name is no member, whatever peers say.
func (s *State) SetList(now time.Time, entries []Entry) []Changed {
	listed := s.merge(now, entries)
	changes := s.dropUnlisted(listed)
	s.names = s.names[:0]
	all := make([]Entry, 0, len(s.members))
	for name := range s.members {
		s.names = append(s.names, name)
	}
	slices.Sort(s.names)
	for _, name := range s.names {
		all = append(all, s.members[name].entry)
	}
	s.setPeers(now, neighbours(all, s.name, s.opts.Peers, s.opts.FarPeers))
	return append(changes, s.changes()...)
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
		if _, ok := s.regions[e.Region]; !ok {
			s.regions[e.Region] = now
		}
	}
	if self := s.members[s.name]; self != nil {
		self.incarnation = max(self.incarnation, s.opts.Self.Incarnation)
	}
	return listed
}

func (s *State) dropUnlisted(listed map[string]bool) []Changed {
	var changes []Changed
	for _, name := range s.names {
		r := s.members[name]
		if listed[name] {
			continue
		}
		delete(s.members, name)
		s.queue.drop(name)
		if r.status != wire.MemberGone {
			changes = append(changes, Changed{name, r.status, wire.MemberGone})
		}
	}
	return changes
}

func (s *State) setPeers(now time.Time, peers []string) {
	beats := make(map[string]time.Time, len(peers))
	for i, name := range peers {
		next, ok := s.beats[name]
		if !ok {
			next = now.Add(s.opts.Interval * time.Duration(i) / time.Duration(len(peers)))
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
	members := make([]Member, 0, len(s.names))
	for _, name := range s.names {
		r := s.members[name]
		_, peer := s.beats[name]
		members = append(members, Member{
			Entry: r.entry, Status: r.status, Incarnation: r.incarnation, Revision: r.revision,
			Heard: r.heard, Contact: r.contact, Peer: peer,
		})
	}
	return members
}

// Aware tells whether this process hears most of its peers, and has for long
// enough to judge others.
func (s *State) Aware(now time.Time) bool { return s.aware.aware(now) }

// Conflicts returns how often another process claimed this one's name.
func (s *State) Conflicts() uint64 { return s.conflict }

// SetRevision sets the folder revision that this process tells others.
func (s *State) SetRevision(revision uint64) {
	if self := s.members[s.name]; self != nil {
		self.revision = revision
	}
}

// Leaving makes this process tell its peers, with the next Tick, that it leaves.
func (s *State) Leaving(now time.Time) {
	if self := s.members[s.name]; self != nil {
		self.leaving = true
	}
	for name := range s.beats {
		s.beats[name] = now
	}
}

// Gap tells that this process did not run for a while. What it knows is old,
// so it listens before it judges.
func (s *State) Gap(now time.Time) {
	s.aware.gap()
	for _, r := range s.members {
		r.heard = now
	}
	for region := range s.regions {
		s.regions[region] = now
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

func (s *State) observe(now time.Time) {
	heard := 0
	for _, name := range s.peers {
		if now.Sub(s.members[name].heard) < s.opts.SuspectAfter {
			heard++
		}
	}
	s.aware.observe(now, heard, len(s.peers))
}

// accuse accuses silent peers of the own region. Peers elsewhere are left to
// the members of their own region, so that a cut between regions accuses nobody.
func (s *State) accuse(now time.Time) {
	for _, name := range s.peers {
		r := s.members[name]
		if r.entry.Region != s.opts.Region || r.accused(s.hash) || !s.isSilent(now, r) {
			continue
		}
		if r.accusation == nil {
			r.accusation = &suspicion{started: now}
		}
		r.accusation.confirm([]uint32{s.hash}, s.opts.Confirmations)
		s.queue.put(name)
	}
}

func (s *State) isSilent(now time.Time, r *record) bool {
	limit := s.opts.SuspectAfter << min(r.refuted, maxHoldOff)
	return now.Sub(r.heard) >= limit && now.Sub(r.contact) >= s.opts.SuspectAfter &&
		now.Sub(r.evidence) >= limit
}

func (s *State) judge(now time.Time) {
	for region, contact := range s.regions {
		s.silent[region] = region != s.opts.Region && now.Sub(contact) >= s.opts.RegionSilence
	}
	for _, r := range s.members {
		r.judge(now, &s.opts, s.silent[r.entry.Region])
	}
}

func (s *State) hold(now time.Time) {
	for _, r := range s.members {
		r.hold(now.Sub(s.lastTick))
	}
}

func (s *State) changes() []Changed {
	var changes []Changed
	for _, name := range s.names {
		r := s.members[name]
		status := r.current(s.silent[r.entry.Region])
		if status != r.status {
			changes = append(changes, Changed{name, r.status, status})
			r.status = status
		}
	}
	return changes
}
