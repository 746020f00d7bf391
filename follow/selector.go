package follow

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Rules of a Route.
const (
	// readersPerDataCentre is the number of processes of a data centre that read
	// the store themselves: two, so that one may be lost.
	readersPerDataCentre = 2
	// smallFleet is the number of processes up to which all read the store.
	smallFleet = 16
	// leastApply is the time allowed for changes from which on a way over a peer
	// is quick enough: two pauses between watches and a failed call.
	leastApply = 4 * time.Second
	// directSpan is how long the store is read after a peer has failed.
	directSpan = 4 * time.Second
	// peerSpan is how long peers are asked after the store has failed.
	peerSpan = 3 * time.Second
	// MaxPeerAge is the age from which on what a peer has read is too old: it is
	// above the longest watch of the store.
	MaxPeerAge = 3500 * time.Millisecond
)

// Process is a process that may read the store for others.
type Process struct {
	Name       string
	DataCentre string
	// Rank orders the processes; the lowest of each data centre read the store.
	Rank uint64
}

// Selector decides whether the store or a peer is asked next. It isn't safe for
// concurrent use.
type Selector struct {
	self    Process
	apply   time.Duration
	rng     *rand.Rand
	peers   []Process
	direct  time.Time // until when the store is read in any case
	instead time.Time // until when a peer is asked instead of the store
}

// NewSelector returns the Route of a process. Apply is the time within which
// changes must be in force.
func NewSelector(self Process, apply time.Duration, rng *rand.Rand) *Selector {
	return &Selector{self: self, apply: apply, rng: rng}
}

// SetPeers takes the other processes.
func (r *Selector) SetPeers(peers []Process) { r.peers = peers }

// reads reports whether this process is among those that read the store.
func (r *Selector) reads() bool {
	if len(r.peers)+1 <= smallFleet || r.apply < leastApply {
		return true
	}
	before := 0
	for _, p := range r.peers {
		if p.DataCentre == r.self.DataCentre && p.Rank < r.self.Rank {
			before++
		}
	}
	return before < readersPerDataCentre
}

// Next returns the peer to ask, or "" for the store.
func (r *Selector) Next(now time.Time) string {
	if len(r.peers) == 0 {
		return ""
	}
	if r.reads() {
		if now.Before(r.instead) {
			return r.peers[r.rng.IntN(len(r.peers))].Name
		}
		return ""
	}
	if now.Before(r.direct) {
		return ""
	}
	readers := r.readers()
	return readers[r.rng.IntN(len(readers))]
}

// readers returns the names of the processes of the own data centre that read
// the store.
func (r *Selector) readers() []string {
	var near []Process
	for _, p := range r.peers {
		if p.DataCentre == r.self.DataCentre {
			near = append(near, p)
		}
	}
	slices.SortFunc(near, func(a, b Process) int {
		switch {
		case a.Rank < b.Rank:
			return -1
		case a.Rank > b.Rank:
			return 1
		}
		return 0
	})
	var names []string
	for _, p := range near[:min(len(near), readersPerDataCentre)] {
		names = append(names, p.Name)
	}
	return names
}

// Failed records that asking the peer, or the store if it is "", failed.
func (r *Selector) Failed(now time.Time, peer string) {
	if peer != "" {
		r.direct = now.Add(directSpan)
		r.instead = time.Time{}
		return
	}
	r.direct = time.Time{}
	r.instead = now.Add(peerSpan)
}
