package permit

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranking is one version of the VM list, prepared for rendezvous hashing. It is
// immutable.
type ranking struct {
	dataCentres []dataCentre
}

// dataCentre is a data centre with its relays that may own permits.
type dataCentre struct {
	hash   uint64
	relays []rankedRelay
}

type rankedRelay struct {
	name string
	hash uint64
}

// newRanking ranks the relays that may own permits: all but those that are
// leaving according to the VM list or that the map leaving names.
func newRanking(relays []Relay, leaving map[string]bool) *ranking {
	byDataCentre := map[string][]rankedRelay{}
	for _, r := range relays {
		if r.Leaving || leaving[r.Name] {
			continue
		}
		ranked := rankedRelay{name: r.Name, hash: xxhash.Sum64String(r.Name)}
		byDataCentre[r.DataCentre] = append(byDataCentre[r.DataCentre], ranked)
	}
	rk := &ranking{}
	for name, members := range byDataCentre {
		rk.dataCentres = append(rk.dataCentres, dataCentre{hash: xxhash.Sum64String(name), relays: members})
	}
	slices.SortFunc(rk.dataCentres, func(a, b dataCentre) int { return cmp.Compare(a.hash, b.hash) })
	return rk
}

// owner returns the relay that owns the permit when the relays in skip are
// left out, or "" if there is none. Permits 0, 1, 2, ... of a group belong to
// different data centres until each data centre has one.
func (rk *ranking) owner(k Key, skip map[string]bool) string {
	group := xxhash.Sum64String(k.Group)
	c := rk.dataCentre(group, k.Index, skip)
	if c == nil {
		return ""
	}
	best, bestScore := "", uint64(0)
	for _, r := range c.relays {
		s := score(r.hash, group, k.Index)
		if skip[r.name] || (best != "" && s <= bestScore) {
			continue
		}
		best, bestScore = r.name, s
	}
	return best
}

// dataCentre returns the data centre of a permit, or nil if there is none. Each
// index is assigned by weighted rendezvous hashing among the data centres that
// the lower indices have not taken.
func (rk *ranking) dataCentre(group uint64, index int, skip map[string]bool) *dataCentre {
	weights := make([]int, len(rk.dataCentres))
	usable := 0
	for i := range rk.dataCentres {
		weights[i] = rk.dataCentres[i].weight(skip)
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
	return &rk.dataCentres[chosen]
}

// choose returns the index of the data centre of least cost among those with a
// weight above 0. The cost is exponentially distributed with the weight as its
// rate, so that a data centre is chosen in proportion to its number of relays.
func (rk *ranking) choose(group uint64, index int, weights []int) int {
	best, bestCost := -1, 0.0
	for i, weight := range weights {
		if weight == 0 {
			continue
		}
		hash := score(rk.dataCentres[i].hash, group, index)
		u := (float64(hash>>11) + 0.5) / (1 << 53)
		cost := -math.Log(u) / float64(weight)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (c *dataCentre) weight(skip map[string]bool) int {
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

// hasPrecedence reports whether relay a goes before relay b in claiming a permit.
// The order does not depend on the VM list, so that claims cannot wait for each
// other in a cycle.
func hasPrecedence(a, b string, k Key) bool {
	group := xxhash.Sum64String(k.Group)
	scoreA := score(xxhash.Sum64String(a), group, k.Index)
	scoreB := score(xxhash.Sum64String(b), group, k.Index)
	return scoreA > scoreB || (scoreA == scoreB && a < b)
}

// score is the rendezvous hash of a relay or data centre for a permit.
func score(node, group uint64, index int) uint64 {
	return splitMix64(node ^ splitMix64(group+uint64(index)))
}

// splitMix64 is the finaliser of SplitMix64 (Steele, Lea, Flood, 2014).
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
