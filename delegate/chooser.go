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
}

// Chooser chooses the peers that gather the requests of one process.
type Chooser struct {
	self   Peer
	picked []Peer
	stats  map[string]*balance.Stats // by name of a picked peer
	turn   uint64
}

// New returns the Chooser of the process self, which knows no peers.
func New(self Peer) *Chooser { return &Chooser{self: self, stats: map[string]*balance.Stats{}} }

// Update picks the peers to hand requests to, among those that are alive. Served is the
// fraction of the shards, from 0 to 1, that have a target in each data centre.
func (c *Chooser) Update(alive []Peer, served map[string]float64) {
	c.picked = c.pick(alive, served)
	for name := range c.stats {
		if !slices.ContainsFunc(c.picked, func(p Peer) bool { return p.Name == name }) {
			delete(c.stats, name)
		}
	}
	for _, p := range c.picked {
		if c.stats[p.Name] == nil {
			c.stats[p.Name] = &balance.Stats{}
		}
	}
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
		if p.Capacity >= minCapacity && near(p.DataCentre) && p.Name != c.self.Name {
			candidates = append(candidates, p)
		}
	}
	if local := inDataCentre(candidates, c.self.DataCentre); len(local) > 0 {
		candidates = local
	}
	slices.SortFunc(candidates, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(c.rank(b), c.rank(a)), cmp.Compare(a.Name, b.Name))
	})
	return spread(candidates)
}

// rank returns the rank of a peer for this process. Ranks differ between processes, so
// that requests spread over the peers.
func (c *Chooser) rank(p Peer) uint64 { return xxhash.Sum64String(c.self.Name + "/" + p.Name) }

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

// Picked returns the names of the picked peers. Links to them should be kept open.
func (c *Chooser) Picked() []string {
	var names []string
	for _, p := range c.picked {
		names = append(names, p.Name)
	}
	return names
}

// Choose returns the peer that gathers a request, among the picked ones that are
// reachable. It returns "" if the process gathers the request itself: there is none, or
// all are stalled or avoided.
func (c *Chooser) Choose(now time.Time, profile balance.Profile, reachable func(name string) bool) string {
	var candidates []balance.Candidate
	var names []string
	for _, p := range c.picked {
		candidate := balance.Candidate{Stats: c.stats[p.Name], Slots: slots}
		if reachable(p.Name) && candidate.Cost(now, profile) <= maxExpectedFactor*profile.Expected+maxExtraCost {
			candidates = append(candidates, candidate)
			names = append(names, p.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	c.turn++
	return names[balance.Choose(now, profile, candidates, c.turn)]
}

// The process gathers a request itself if the cost of each peer is above
// maxExpectedFactor times the expected time plus maxExtraCost. A peer with an overdue
// request, or one that is avoided, costs more.
const (
	maxExpectedFactor = 2
	maxExtraCost      = 100 * time.Millisecond
)

// Sent records that a request was handed to a peer.
func (c *Chooser) Sent(now time.Time, peer string, profile balance.Profile) {
	if s := c.stats[peer]; s != nil {
		s.Sent(now, profile.OverdueAfter)
	}
}

// Result is how a request that was handed to a peer ended.
type Result int

// Results.
const (
	Responded Result = iota + 1 // the peer responded
	Refused                     // the peer has not begun with the request
	Late                        // the peer did not respond before the deadline, but its link lives
	Lost                        // the link was lost
	Canceled                    // the caller left
)

// Ended records the result of a request that was handed to a peer at the given time.
func (c *Chooser) Ended(now, sent time.Time, peer string, result Result, profile balance.Profile) {
	s := c.stats[peer]
	if s == nil {
		return
	}
	switch result {
	case Responded:
		s.Responded(now, sent, profile.Expected)
	case Refused:
		s.Unreachable(now, sent, false)
	case Late:
		s.Failed(now, sent)
	case Lost:
		s.Unreachable(now, sent, true)
	default:
		s.Canceled(sent)
	}
}
