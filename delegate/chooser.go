// Package delegate decides which peer gathers a sharded request in place of the process
// that the caller is connected to.
//
// A small process that serves few requests knows little of the targets, and needs a new
// connection for most shards. In a large fleet it hands sharded requests to one of a few
// much larger processes near the targets, which keep connections and see each pause.
//
// The package is pure: time is passed in. It is not safe for concurrent use.
package delegate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/goldcrestmux/goldcrestmux/balance"
)

// Limits of delegation.
const (
	// minFleet is the number of processes from which requests are handed to peers. In a
	// smaller fleet each process sees enough requests.
	minFleet = 17
	// minCapacityRatio is how much larger a peer must be if both are near the targets.
	minCapacityRatio = 2
	// nearFraction is the fraction of the shards with a target there, relative to the
	// data centre with the most, from which a data centre counts as near the targets.
	nearFraction = 0.9
	// maxPicked is the number of peers that requests are handed to. With two, one may
	// fail; more would see fewer requests each.
	maxPicked = 2
	// slots is the number of requests at a peer that does not yet count as a queue.
	slots = 16
)

// Peer is a process that may gather requests.
type Peer struct {
	Name       string
	DataCentre string
	// Capacity is its processor share in thousandths of a core; zero if unknown.
	Capacity uint32
	// CutOff is true if it has told that it reaches no targets.
	CutOff bool
}

// Chooser chooses the peers that gather the requests of one process.
type Chooser struct {
	self Peer
	picked
}

// New returns the Chooser of the process self, which knows no peers.
func New(self Peer) *Chooser { return &Chooser{self: self, picked: newPicked()} }

// Update picks the peers to hand requests to, among those that are alive. Served is the
// fraction of the shards, from 0 to 1, that have a target in each data centre.
func (c *Chooser) Update(alive []Peer, served map[string]float64) {
	c.set(c.pick(alive, served))
}

func (c *Chooser) pick(alive []Peer, served map[string]float64) []Peer {
	if len(alive)+1 < minFleet || c.self.Capacity == 0 {
		return nil
	}
	most := 0.0
	for _, fraction := range served {
		most = max(most, fraction)
	}
	near := func(dc string) bool { return most > 0 && served[dc] >= nearFraction*most }
	minCapacity := c.self.Capacity
	if near(c.self.DataCentre) {
		minCapacity *= minCapacityRatio
	}
	var candidates []Peer
	for _, p := range alive {
		if p.Capacity >= minCapacity && near(p.DataCentre) && p.Name != c.self.Name && !p.CutOff {
			candidates = append(candidates, p)
		}
	}
	if local := inDataCentre(candidates, c.self.DataCentre); len(local) > 0 {
		candidates = local
	}
	slices.SortFunc(candidates, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank(c.self, b), rank(c.self, a)), cmp.Compare(a.Name, b.Name))
	})
	return spread(candidates)
}

// rank returns the rank of a peer for a process. Ranks differ between processes, so that
// requests spread over the peers.
func rank(self, p Peer) uint64 { return xxhash.Sum64String(self.Name + "/" + p.Name) }

func inDataCentre(peers []Peer, dc string) []Peer {
	var out []Peer
	for _, p := range peers {
		if p.DataCentre == dc {
			out = append(out, p)
		}
	}
	return out
}

// spread returns the first candidates, in different data centres if there are several:
// one of them may be cut off.
func spread(candidates []Peer) []Peer {
	if len(candidates) <= maxPicked {
		return candidates
	}
	picked := candidates[:1:1]
	for _, p := range candidates[1:] {
		if len(picked) < maxPicked && p.DataCentre != picked[0].DataCentre {
			picked = append(picked, p)
		}
	}
	for _, p := range candidates[1:] {
		if len(picked) < maxPicked {
			picked = append(picked, p)
		}
	}
	return picked
}

// Choose returns the peer that gathers a request, among the picked ones that are
// reachable. It returns "" if the process gathers the request itself: there is none, or
// all are stalled or avoided.
func (c *Chooser) Choose(now time.Time, profile balance.Profile, reachable func(name string) bool) string {
	return c.choose(now, profile, acceptable(profile, reachable), c.self.DataCentre)
}

// acceptable returns whether a peer with a given cost may gather requests.
func acceptable(profile balance.Profile, reachable func(name string) bool) func(p Peer, cost time.Duration) bool {
	return func(p Peer, cost time.Duration) bool {
		return reachable(p.Name) && cost <= maxExpectedFactor*profile.Expected+maxExtraCost
	}
}

// The process gathers a request itself if the cost of each peer is above
// maxExpectedFactor times the expected time plus maxExtraCost. A peer with an overdue
// request, or one that is avoided, costs more.
const (
	maxExpectedFactor = 2
	maxExtraCost      = 100 * time.Millisecond
)
