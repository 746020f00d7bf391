package delegate

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
)

// View describes a peer that requests may be handed to.
type View struct {
	Peer
	Cost time.Duration
	// Usable is false if a request is not handed to the peer now.
	Usable bool
}

// Explain returns the picked peers as Choose sees them. It changes no state.
func (c *Chooser) Explain(now time.Time, profile balance.Profile, reachable func(name string) bool) []View {
	return c.explain(now, profile, acceptable(profile, reachable), c.self.DataCentre)
}

// Explain returns the picked peers as Choose sees them for a request that none has refused. It
// changes no state.
func (h *Helpers) Explain(now time.Time, profile balance.Profile, reachable func(name string) bool) []View {
	profile.RemotePenalty = remoteHelperCost
	return h.explain(now, profile, func(p Peer, _ time.Duration) bool { return reachable(p.Name) }, h.self.DataCentre)
}

// explain returns the picked peers, the first choice first.
func (c *picked) explain(now time.Time, profile balance.Profile, acceptable func(p Peer, cost time.Duration) bool, dataCentre string) []View {
	var views []View
	for _, p := range c.peers {
		stats := *c.stats[p.Name] // a copy: reading the averages decays them
		candidate := balance.Candidate{Stats: &stats, Slots: slots, Remote: p.DataCentre != dataCentre}
		cost := candidate.Cost(now, profile)
		views = append(views, View{Peer: p, Cost: cost, Usable: acceptable(p, cost)})
	}
	slices.SortStableFunc(views, func(a, b View) int {
		if a.Usable != b.Usable {
			if a.Usable {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), strings.Compare(a.Name, b.Name))
	})
	return views
}
