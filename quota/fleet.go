package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is a process that quotas are shared with.
type Member struct {
	Name string
	// Started changes with each start of the process.
	Started int64
	// Alive is true if there was a recent sign of life.
	Alive bool
}

// Fleet is what a process knows of the fleet.
type Fleet struct {
	// Members are the other processes; empty if none is known.
	Members []Member
	// Size is the number of processes, with this one and those that may not be known yet;
	// zero if nothing tells how many there are.
	Size int
	// Settling is true if Size allows for members that may appear, although nothing tells of
	// them.
	Settling bool
}

// Health of peers.
const (
	// missesUntilDown is the number of questions in a row that a peer leaves unanswered until
	// others are asked in its place: one datagram in fifty is lost.
	missesUntilDown = 2
	// downFor is the time after which such a peer is asked again.
	downFor = time.Second
	// settleTime is the time without a new member after which no more are expected. Gossip
	// waits for five seconds; a coordinator that misses a few members of many does no harm.
	settleTime = 2 * time.Second
)

// peer is another process and what is known of its health.
type peer struct {
	Member
	hash uint64
	// heardAt is when the last batch of it arrived.
	heardAt time.Time
	// misses is the number of questions in a row that it left unanswered; downUntil is until
	// when it is not asked for that.
	misses    int
	downUntil time.Time
	// incarnation is that of its last batch; zero before.
	incarnation uint64
	// pingedAt is when it was last pinged.
	pingedAt time.Time
}

func (p *peer) down(now time.Time) bool { return now.Before(p.downUntil) }

func (p *peer) missed(now time.Time) (lost bool) {
	p.misses++
	if p.misses < missesUntilDown {
		return false
	}
	lost = p.downUntil.IsZero()
	p.downUntil = now.Add(downFor)
	return lost
}

func (p *peer) heard(now time.Time) {
	p.heardAt, p.misses, p.downUntil = now, 0, time.Time{}
}

// fleet holds the peers of a process.
type fleet struct {
	self string
	// known is the size as this process knows it, told the greatest that others told.
	known, told int
	selfHash    uint64
	peers       map[string]*peer
	size        int
	// version changes with the set of live peers, which changes at changedAt.
	version   uint64
	changedAt time.Time
}

func newFleet(self string, now time.Time) fleet {
	return fleet{self: self, selfHash: xxhash.Sum64String(self), peers: map[string]*peer{}, changedAt: now, version: 1}
}

// set replaces the members. It returns the names of those that have restarted.
func (f *fleet) set(now time.Time, known Fleet) (restarted []string) {
	changed := f.size == 0
	seen := make(map[string]bool, len(known.Members))
	for _, m := range known.Members {
		if m.Name == f.self || m.Name == "" {
			continue
		}
		seen[m.Name] = true
		p := f.peers[m.Name]
		if p == nil {
			p = &peer{hash: xxhash.Sum64String(m.Name)}
			f.peers[m.Name] = p
			changed = true
		} else {
			if p.Alive != m.Alive {
				changed = true
			}
			if p.Started != m.Started {
				restarted = append(restarted, m.Name)
			}
		}
		p.Member = m
	}
	for name := range f.peers {
		if !seen[name] {
			delete(f.peers, name)
			changed = true
		}
	}
	if changed {
		f.version++
		f.changedAt = now
	}
	f.known = known.Size
	if known.Settling && now.Sub(f.changedAt) >= settleTime {
		f.known = len(f.peers) + 1
	}
	f.updateSize()
	return restarted
}

// updateSize sets the size. While members may be missing, it is what a process told that knows
// all: after a restart, the assumed size would leave a coordinator of a small fleet with a
// sixth of the quota for five seconds.
func (f *fleet) updateSize() {
	f.size = f.known
	if members := len(f.peers) + 1; f.known > members && f.told > 0 {
		f.size = max(members, f.told)
	}
}

// tell records the size that a process knows.
func (f *fleet) tell(size int) {
	if size > f.told && f.known > 0 {
		f.told = size
		f.updateSize()
	}
}

// settled reports whether all processes are known.
func (f *fleet) settled() bool { return f.size <= len(f.peers)+1 }

// candidate is a process that may coordinate an organisation; peer is nil for this process.
type candidate struct {
	weight uint64
	name   string
	peer   *peer
}

// candidatesKept is the number of candidates that are kept for an organisation: with half of
// the processes unreachable, one in 250 organisations has none.
const candidatesKept = 8

// candidates returns the live processes that come first in the rendezvous order of an
// organisation.
func (f *fleet) candidates(id ID) []candidate {
	all := make([]candidate, 0, len(f.peers)+1)
	all = append(all, candidate{mix(uint64(id) ^ mix(f.selfHash)), f.self, nil})
	for _, p := range f.peers {
		if p.Alive {
			all = append(all, candidate{mix(uint64(id) ^ mix(p.hash)), p.Name, p})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		}
		return 0
	})
	return slices.Clone(all[:min(len(all), candidatesKept)])
}
