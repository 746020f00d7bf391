package permit

import (
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
	slices.SortFunc(rk.centres, func(a, b centre) int { return compare(a.hash, b.hash) })
	return rk
}

// owner returns the relay that owns the permit when the relays in skip are
// left out, or "" if there is none. Permits 0, 1, 2, ... of a group go to
// different data centres, in an order that prefers a data centre in proportion
// to its number of relays.
func (rk *ranking) owner(k Key, skip map[string]bool) string {
	group := xxhash.Sum64String(k.Group)
	order := rk.order(group, skip)
	if len(order) == 0 {
		return ""
	}
	c := order[k.Index%len(order)].centre
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

type scoredCentre struct {
	centre *centre
	cost   float64
}

// order sorts the data centres for a group by weighted rendezvous hashing: the
// cost is exponentially distributed with the number of relays as its rate.
func (rk *ranking) order(group uint64, skip map[string]bool) []scoredCentre {
	order := make([]scoredCentre, 0, len(rk.centres))
	for i := range rk.centres {
		c := &rk.centres[i]
		weight := c.weight(skip)
		if weight == 0 {
			continue
		}
		u := (float64(mix(c.hash^mix(group))>>11) + 0.5) / (1 << 53)
		order = append(order, scoredCentre{centre: c, cost: -math.Log(u) / float64(weight)})
	}
	slices.SortFunc(order, func(a, b scoredCentre) int { return compare(a.cost, b.cost) })
	return order
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

func compare[T uint64 | float64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
