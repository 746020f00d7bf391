package permit

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranking is one view of the VM list, prepared for rendezvous hashing. It is
// immutable.
type ranking struct {
	centres []centre
}

// centre is a data centre with its relays that may own permits.
type centre struct {
	hash   uint64
	relays []rankedRelay
}

type rankedRelay struct {
	name string
	hash uint64
}

// newRanking ranks the relays that may own permits. Relays that are leaving,
// by the view or by the overlay, own nothing.
func newRanking(relays []Relay, leaving map[string]bool) *ranking {
	byName := map[string][]rankedRelay{}
	for _, r := range relays {
		if r.Leaving || leaving[r.Name] {
			continue
		}
		ranked := rankedRelay{name: r.Name, hash: xxhash.Sum64String(r.Name)}
		byName[r.DataCentre] = append(byName[r.DataCentre], ranked)
	}
	rk := &ranking{}
	for name, members := range byName {
		rk.centres = append(rk.centres, centre{hash: xxhash.Sum64String(name), relays: members})
	}
	slices.SortFunc(rk.centres, func(a, b centre) int { return cmp.Compare(a.hash, b.hash) })
	return rk
}

// owner returns the relay that owns the permit when the relays in skip are
// left out, or "" if there is none. Permits 0, 1, 2, ... of a group go to
// different data centres as long as there are more.
func (rk *ranking) owner(k Key, skip map[string]bool) string {
	group := xxhash.Sum64String(k.Group)
	c := rk.centre(group, k.Index, skip)
	if c == nil {
		return ""
	}
	best, bestScore := "", uint64(0)
	for _, r := range c.relays {
		score := relayScore(r.hash, group, k.Index)
		if skip[r.name] || (best != "" && score <= bestScore) {
			continue
		}
		best, bestScore = r.name, score
	}
	return best
}

// centre returns the data centre of a permit, or nil if there is none. Each
// index chooses by weighted rendezvous hashing among the data centres that the
// lower indices left over.
func (rk *ranking) centre(group uint64, index int, skip map[string]bool) *centre {
	weights := make([]int, len(rk.centres))
	usable := 0
	for i := range rk.centres {
		weights[i] = rk.centres[i].weight(skip)
		if weights[i] > 0 {
			usable++
		}
	}
	if usable == 0 {
		return nil
	}
	chosen := -1
	for j := index - index%usable; j <= index; j++ {
		chosen = rk.choose(group, j, weights)
		weights[chosen] = 0
	}
	return &rk.centres[chosen]
}

// choose returns the data centre of least cost among those with a weight above
// 0. The cost is exponentially distributed with the weight as its rate, so that
// a data centre is chosen in proportion to its number of relays.
func (rk *ranking) choose(group uint64, index int, weights []int) int {
	best, bestCost := -1, 0.0
	for i, weight := range weights {
		if weight == 0 {
			continue
		}
		hash := relayScore(rk.centres[i].hash, group, index)
		u := (float64(hash>>11) + 0.5) / (1 << 53)
		cost := -math.Log(u) / float64(weight)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (c *centre) weight(skip map[string]bool) int {
	n := len(c.relays)
	if len(skip) == 0 {
		return n
	}
	for _, r := range c.relays {
		if skip[r.name] {
			n--
		}
	}
	return n
}

// prefers reports whether relay a goes before relay b in claiming a permit.
// The order doesn't depend on any view, so that claims can't wait in a circle.
func prefers(a, b string, k Key) bool {
	group := xxhash.Sum64String(k.Group)
	scoreA := relayScore(xxhash.Sum64String(a), group, k.Index)
	scoreB := relayScore(xxhash.Sum64String(b), group, k.Index)
	return scoreA > scoreB || (scoreA == scoreB && a < b)
}

func relayScore(relay, group uint64, index int) uint64 {
	return mix(relay ^ mix(group+uint64(index)))
}

// mix is the finaliser of SplitMix64 (Steele, Lea, Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
