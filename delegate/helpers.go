package delegate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
)

// MaxHelpers is the number of peers that may serve the requests of a process that reaches no
// target. Some of them may be cut off as well, full, or stopping.
const MaxHelpers = 6

// remoteHelperCost is the cost, as a time, of a helper in another data centre.
const remoteHelperCost = 5 * time.Millisecond

// Helpers chooses the peers that serve the requests of a process that reaches no target.
type Helpers struct {
	self Peer
	picked
}

// NewHelpers returns the Helpers of the process self, which knows no peers.
func NewHelpers(self Peer) *Helpers { return &Helpers{self: self, picked: newPicked()} }

// Update picks helpers among the peers that are alive: half of them in the own data centre
// if there are enough, as the others may be far, and half elsewhere, as the whole data
// centre may be cut off. Processes pick different ones, more often those with more capacity.
func (h *Helpers) Update(alive []Peer) {
	var local, remote []Peer
	for _, p := range alive {
		switch {
		case p.CutOff || p.Name == h.self.Name:
		case p.DataCentre == h.self.DataCentre:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	for _, peers := range [][]Peer{local, remote} {
		slices.SortFunc(peers, func(a, b Peer) int {
			return cmp.Or(cmp.Compare(h.rank(a), h.rank(b)), cmp.Compare(a.Name, b.Name))
		})
	}
	fromLocal := min(len(local), max(MaxHelpers/2, MaxHelpers-len(remote)))
	h.set(append(local[:fromLocal:fromLocal], remote[:min(len(remote), MaxHelpers-fromLocal)]...))
}

// rank returns the rank of a peer for this process, the best one first: by rendezvous
// hashing, weighted by capacity.
func (h *Helpers) rank(p Peer) float64 {
	fraction := (float64(rank(h.self, p)>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -math.Log(fraction) / float64(max(p.Capacity, 1))
}

// Choose returns the helper for a request, among those that are reachable and have not
// refused it; "" if there is none.
func (h *Helpers) Choose(now time.Time, profile balance.Profile, reachable func(name string) bool, refused map[string]bool) string {
	profile.RemotePenalty = remoteHelperCost
	return h.choose(now, profile, func(p Peer, _ time.Duration) bool {
		return !refused[p.Name] && reachable(p.Name)
	}, h.self.DataCentre)
}
