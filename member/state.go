// Package member keeps the membership of the system's own processes: which of
// them are alive, suspect, leaving or gone.
//
// Only processes on the platform's VM list can be members. Heartbeats to a
// fixed number of peers, and gossip carried by them, give more detail than the
// list, and sooner. The state machine does no I/O and reads no clock. It is not
// safe for concurrent use, and the times passed to it must never decrease.
package member

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Heartbeat is an action: send the updates to the peer To.
type Heartbeat struct {
	To      string
	Updates []wire.MemberUpdate
}

// StatusChange is an event: the status of a member changed. From is 0 for a new
// member.
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

// maxBackoffDoublings bounds how often AccuseAfter is doubled for a member whose
// accusations by this process were refuted.
const maxBackoffDoublings = 6

// antiEntropyUpdates is the number of members that each heartbeat reports
// whether or not their state changed, so that all processes eventually agree
// even if gossip was lost.
const antiEntropyUpdates = 2

// State is the membership as one process knows it.
type State struct {
	opts          Options
	name          string
	hash          uint32
	members       map[string]*record
	sorted        []*record // by name
	peers         []string  // sorted
	nextHeartbeat map[string]time.Time
	regions       map[string]*region
	accused       map[*record]bool
	queue         updateQueue
	// dirty is true if a reported status may be out of date.
	dirty           bool
	health          localHealth
	regionTurn      uint64
	antiEntropyTurn uint64
	lastTick        time.Time
	conflicts       uint64
	// revision, leaving and pathChanges are what this process reports of itself.
	revision    uint64
	leaving     bool
	pathChanges uint32
}

// New returns a State without members.
func New(opts Options) *State {
	opts = opts.withDefaults()
	return &State{
		opts:          opts,
		name:          opts.Self.Name(),
		hash:          accuserHash(opts.Self.Name()),
		members:       map[string]*record{},
		nextHeartbeat: map[string]time.Time{},
		regions:       map[string]*region{},
		accused:       map[*record]bool{},
		queue:         newUpdateQueue(),
		health:        localHealth{recoveryPeriod: opts.RecoveryPeriod},
	}
}

func accuserHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// SetVMList sets the processes of the platform's VM list and returns the
// changes of status that follow. A process that is not on the list is no
// member, whatever peers report.
func (s *State) SetVMList(now time.Time, entries []Entry) []StatusChange {
	listed := s.mergeListed(now, entries)
	changes := s.removeUnlisted(listed)
	s.sorted = slices.SortedFunc(maps.Values(s.members), func(a, b *record) int {
		return strings.Compare(a.entry.Name, b.entry.Name)
	})
	all := make([]Entry, 0, len(s.sorted))
	for _, r := range s.sorted {
		all = append(all, r.entry)
	}
	s.setPeers(now, s.choosePeers(all))
	s.dirty = true
	return append(changes, s.statusChanges()...)
}

// choosePeers returns the peers of this process; none if it is not listed.
func (s *State) choosePeers(all []Entry) []string {
	self := s.members[s.name]
	if self == nil {
		return nil
	}
	return choosePeers(all, &self.entry, s.opts.Peers, s.opts.RemotePeers)
}

// mergeListed creates or updates the records of the listed processes and
// returns the set of their names.
func (s *State) mergeListed(now time.Time, entries []Entry) map[string]bool {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = true
		r := s.members[e.Name]
		if r == nil {
			r = &record{lastDirectContact: now}
			s.members[e.Name] = r
		}
		r.entry = e
		r.region = s.regionOf(now, e.Region)
	}
	s.updateSelf()
	return listed
}

func (s *State) regionOf(now time.Time, name string) *region {
	r := s.regions[name]
	if r == nil {
		r = &region{lastContact: now}
		s.regions[name] = r
	}
	return r
}

func (s *State) removeUnlisted(listed map[string]bool) []StatusChange {
	var changes []StatusChange
	for _, r := range s.sorted {
		name := r.entry.Name
		if listed[name] {
			continue
		}
		delete(s.members, name)
		delete(s.accused, r)
		if r.region.contacted == r {
			r.region.contacted = nil
		}
		s.queue.remove(name)
		if r.status != wire.MemberGone {
			changes = append(changes, StatusChange{name, r.status, wire.MemberGone})
		}
	}
	return changes
}

func (s *State) setPeers(now time.Time, peers []string) {
	nextHeartbeat := make(map[string]time.Time, len(peers))
	for i, name := range peers {
		next, ok := s.nextHeartbeat[name]
		if !ok {
			next = now.Add(s.opts.HeartbeatInterval * time.Duration(i) / time.Duration(len(peers)))
			s.members[name].lastDirectContact = now
		}
		nextHeartbeat[name] = next
	}
	s.peers, s.nextHeartbeat = peers, nextHeartbeat
}

// Peers returns the names of the members that this process exchanges
// heartbeats with, sorted.
func (s *State) Peers() []string { return slices.Clone(s.peers) }

// Members returns all members, sorted by name.
func (s *State) Members() []Member {
	members := make([]Member, 0, len(s.sorted))
	for _, r := range s.sorted {
		_, peer := s.nextHeartbeat[r.entry.Name]
		members = append(members, Member{
			Entry: r.entry, Status: r.status, Incarnation: r.incarnation, Revision: r.revision,
			LastDirectContact: r.lastDirectContact, LastContact: r.lastContact, Peer: peer,
		})
	}
	return members
}

// LocallyHealthy reports whether this process receives heartbeats from enough
// of its peers, and has done so for long enough, to accuse others.
func (s *State) LocallyHealthy(now time.Time) bool { return s.health.healthy(now) }

// Conflicts returns how often gossip reported this process with an incarnation
// higher than its own, because another process uses the same name.
func (s *State) Conflicts() uint64 { return s.conflicts }

// SetRevision sets the folder revision that this process reports to others.
func (s *State) SetRevision(revision uint64) {
	s.revision = revision
	s.updateSelf()
}

// Leave makes this process report to its peers, with the next Tick, that it
// leaves.
func (s *State) Leave(now time.Time) {
	s.leaving = true
	s.dirty = true
	s.updateSelf()
	for name := range s.nextHeartbeat {
		s.nextHeartbeat[name] = now
	}
}

// SetPathLost sets whether this process reports to its peers, with the next Tick, that it
// reaches no target.
func (s *State) SetPathLost(now time.Time, lost bool) {
	if pathLost(s.pathChanges) == lost {
		return
	}
	s.pathChanges++
	s.dirty = true
	s.updateSelf()
	for name := range s.nextHeartbeat {
		s.nextHeartbeat[name] = now
	}
}

// pathLost reports whether a member that has changed its path so often reaches no target.
func pathLost(changes uint32) bool { return changes%2 == 1 }

// updateSelf copies what this process reports of itself into its record, which
// exists only while the process is on the VM list.
func (s *State) updateSelf() {
	self := s.members[s.name]
	if self == nil {
		return
	}
	self.incarnation = max(self.incarnation, s.opts.Self.Incarnation)
	self.revision = s.revision
	self.leaving = s.leaving
	self.pathChanges = s.pathChanges
}

// Paused records that this process did not run for a while. Its knowledge is
// out of date, so it accuses nobody for RecoveryPeriod.
func (s *State) Paused(now time.Time) {
	s.health.reset()
	for _, r := range s.members {
		r.lastDirectContact = now
	}
	for _, region := range s.regions {
		region.lastContact = now
	}
	s.lastTick = now
}

// Tick advances the state machine to now and returns the heartbeats to send and
// the changes of status. It must be called several times per HeartbeatInterval.
func (s *State) Tick(now time.Time) Result {
	s.observePeers(now)
	if s.health.healthy(now) {
		s.accuseSilentPeers(now)
		s.advance(now)
	} else {
		s.postpone(now)
	}
	s.lastTick = now
	return Result{Heartbeats: s.dueHeartbeats(now), Changes: s.statusChanges()}
}

// observePeers counts the peers of the local region, or of all regions if the
// local one has none, and those of them whose heartbeats arrive.
func (s *State) observePeers(now time.Time) {
	var local, all peerCount
	for _, name := range s.peers {
		r := s.members[name]
		live := now.Sub(r.lastDirectContact) < s.opts.AccuseAfter
		all.add(live)
		if r.entry.Region == s.opts.Region {
			local.add(live)
		}
	}
	if local.total == 0 {
		local = all
	}
	s.health.observe(now, local)
}

// accuseSilentPeers accuses silent peers of the local region. Peers elsewhere
// are left to the members of their own region, so that a network partition
// between regions leads to no accusations.
func (s *State) accuseSilentPeers(now time.Time) {
	for _, name := range s.peers {
		r := s.members[name]
		if r.entry.Region != s.opts.Region || r.accusedBy(s.hash) || !s.isSilent(now, r) {
			continue
		}
		s.addAccusers(now, r, []uint32{s.hash})
	}
}

func (s *State) isSilent(now time.Time, r *record) bool {
	limit := s.opts.AccuseAfter << min(r.refutations, maxBackoffDoublings)
	return now.Sub(r.lastDirectContact) >= limit && now.Sub(r.lastContact) >= s.opts.AccuseAfter &&
		now.Sub(r.incarnationSince) >= limit
}

// advance applies the timeouts of regions and of accused members.
func (s *State) advance(now time.Time) {
	for name, r := range s.regions {
		silent := name != s.opts.Region && now.Sub(r.lastContact) >= s.opts.RegionTimeout
		s.dirty = s.dirty || silent != r.silent
		r.silent = silent
	}
	for r := range s.accused {
		r.advance(now, &s.opts)
		s.dirty = s.dirty || r.currentStatus() != r.status
	}
}

// postpone extends the timeouts of all accusations by the time since the last
// Tick.
func (s *State) postpone(now time.Time) {
	for r := range s.accused {
		r.postpone(now.Sub(s.lastTick))
	}
}

// statusChanges returns the changes of status since its last call.
func (s *State) statusChanges() []StatusChange {
	if !s.dirty {
		return nil
	}
	s.dirty = false
	var changes []StatusChange
	for _, r := range s.sorted {
		status := r.currentStatus()
		if status != r.status {
			changes = append(changes, StatusChange{r.entry.Name, r.status, status})
			r.status = status
		}
	}
	return changes
}
