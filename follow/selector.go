package follow

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of a Selector.
const (
	// readersPerDataCentre is the number of processes per data centre that read
	// the store themselves. With two, one may fail.
	readersPerDataCentre = 2
	// maxDirectReaders is the size of the largest fleet in which every process reads
	// the store itself.
	maxDirectReaders = 16
	// minDelayForPeers is the shortest maximum delay of changes with which a process
	// may read from peers: applying a change may take two delays between watches
	// and a failed call.
	minDelayForPeers = 4 * time.Second
	// storeFallback is how long a process that reads from peers reads the store
	// after a peer has failed.
	storeFallback = 4 * time.Second
	// peerFallback is how long a process that reads the store reads from peers
	// after the store has failed.
	peerFallback = 3 * time.Second
	// MaxPeerAge is the maximum age of data that is read from a peer. It is
	// greater than the longest watch of the store.
	MaxPeerAge = 3500 * time.Millisecond
)

// Process is a process that may read the store and serve it to its peers.
type Process struct {
	Name       string
	DataCentre string
	// Rank orders the processes of a data centre: those with the lowest ranks
	// read the store.
	Rank uint64
	// FormerSchema is true if the build of the process may not know all of the
	// configuration.
	FormerSchema bool
}

// Selector decides whether the next read goes to the store or to a peer. It is not
// safe for concurrent use.
type Selector struct {
	self       Process
	maxDelay   time.Duration
	rng        *rand.Rand
	peers      []Process // those that know all of the configuration
	former     []Process // the others
	storeUntil time.Time // end of the fallback to the store
	peerUntil  time.Time // end of the fallback to peers
}

// NewSelector returns the Selector of the process self, in which changes must be
// applied within maxDelay.
func NewSelector(self Process, maxDelay time.Duration, rng *rand.Rand) *Selector {
	return &Selector{self: self, maxDelay: maxDelay, rng: rng}
}

// SetPeers sets the other processes that are alive. Those whose build may not know all of
// the configuration are read only while the store has failed and there is no other.
func (s *Selector) SetPeers(peers []Process) {
	s.peers, s.former = nil, nil
	for _, p := range peers {
		if p.FormerSchema {
			s.former = append(s.former, p)
		} else {
			s.peers = append(s.peers, p)
		}
	}
}

// readsStore reports whether this process is one of those that normally read the
// store themselves.
func (s *Selector) readsStore() bool {
	if len(s.peers)+1 <= maxDirectReaders || s.maxDelay < minDelayForPeers {
		return true
	}
	lower := 0
	for _, p := range s.peers {
		if p.DataCentre == s.self.DataCentre && p.Rank < s.self.Rank {
			lower++
		}
	}
	return lower < readersPerDataCentre
}

// Next returns the name of the peer to read from, or "" for the store.
func (s *Selector) Next(now time.Time) string {
	if s.readsStore() {
		fallback := s.peers
		if len(fallback) == 0 {
			fallback = s.former
		}
		if now.Before(s.peerUntil) && len(fallback) > 0 {
			return fallback[s.rng.IntN(len(fallback))].Name
		}
		return ""
	}
	if now.Before(s.storeUntil) {
		return ""
	}
	readers := s.localReaders()
	return readers[s.rng.IntN(len(readers))]
}

// localReaders returns the names of the processes of the local data centre that
// read the store.
func (s *Selector) localReaders() []string {
	var local []Process
	for _, p := range s.peers {
		if p.DataCentre == s.self.DataCentre {
			local = append(local, p)
		}
	}
	slices.SortFunc(local, func(a, b Process) int {
		switch {
		case a.Rank < b.Rank:
			return -1
		case a.Rank > b.Rank:
			return 1
		}
		return 0
	})
	var names []string
	for _, p := range local[:min(len(local), readersPerDataCentre)] {
		names = append(names, p.Name)
	}
	return names
}

// Failed records that reading from the peer failed, or from the store if peer is
// "".
func (s *Selector) Failed(now time.Time, peer string) {
	if peer != "" {
		s.storeUntil = now.Add(storeFallback)
		s.peerUntil = time.Time{}
		return
	}
	s.storeUntil = time.Time{}
	s.peerUntil = now.Add(peerFallback)
}
