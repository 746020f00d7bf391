package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entry is one process of the platform's VM list.
type Entry struct {
	// Name is the process's name, as wire.Process.Name returns it.
	Name       string
	DataCentre string
	Region     string
	// Leaving is true if the platform means to stop the process's VM.
	Leaving bool
}

// closeness ranks how near two members stand to each other.
type closeness int

const (
	otherRegion closeness = iota
	sameRegion
	sameDataCentre
)

func (e *Entry) closeness(to *Entry) closeness {
	switch {
	case e.Region != to.Region:
		return otherRegion
	case e.DataCentre != to.DataCentre:
		return sameRegion
	default:
		return sameDataCentre
	}
}

// ring is all members in the order of a hash of their names.
type ring []*Entry

func newRings(entries []Entry, count int) []ring {
	rings := make([]ring, count)
	for i := range rings {
		rings[i] = newRing(entries, uint64(i))
	}
	return rings
}

func newRing(entries []Entry, seed uint64) ring {
	type hashed struct {
		hash  uint64
		entry *Entry
	}
	order := make([]hashed, len(entries))
	for i := range entries {
		order[i] = hashed{mix(xxhash.Sum64String(entries[i].Name), seed), &entries[i]}
	}
	slices.SortFunc(order, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.entry.Name, b.entry.Name))
	})
	r := make(ring, len(order))
	for i, h := range order {
		r[i] = h.entry
	}
	return r
}

// mix spreads the bits of hash and seed (the finalizer of SplitMix64).
func mix(hash, seed uint64) uint64 {
	z := hash + (seed+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// next returns the first member after position at that want accepts and that
// isn't taken, or nil.
func (r ring) next(at int, taken []*Entry, want func(closeness) bool) *Entry {
	for i := 1; i < len(r); i++ {
		e := r[(at+i)%len(r)]
		if want(r[at].closeness(e)) && !slices.Contains(taken, e) {
			return e
		}
	}
	return nil
}

// neighbours returns, sorted by name, the members that self exchanges
// heartbeats with: those that it chooses and those that choose it.
//
// Each ring gives each member one choice: its successor in the same data
// centre, in the same region, or in another region, by the ring's kind. Every
// member computes the choices of all, so both ends of an edge know of it.
func neighbours(entries []Entry, self string, peers, farPeers int) []string {
	rings := newRings(entries, peers)
	chosen := make(map[*Entry][]*Entry, len(entries))
	for i, r := range rings {
		kind := kindOf(i, peers, farPeers)
		for at, e := range r {
			if peer := r.pick(at, chosen[e], kind); peer != nil {
				chosen[e] = append(chosen[e], peer)
			}
		}
	}
	var names []string
	for e, picks := range chosen {
		for _, peer := range picks {
			switch self {
			case e.Name:
				names = append(names, peer.Name)
			case peer.Name:
				names = append(names, e.Name)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// kindOf returns the closeness that ring i is for: the last rings are far, the
// others take turns between the region and the data centre.
func kindOf(i, peers, farPeers int) closeness {
	switch {
	case i >= peers-farPeers:
		return otherRegion
	case i%2 == 0:
		return sameRegion
	default:
		return sameDataCentre
	}
}

// pick returns the successor of the wanted kind, else the next best.
func (r ring) pick(at int, taken []*Entry, kind closeness) *Entry {
	order := []func(closeness) bool{
		func(c closeness) bool { return c == kind },
		func(c closeness) bool { return c == sameRegion },
		func(closeness) bool { return true },
	}
	for _, want := range order {
		if e := r.next(at, taken, want); e != nil {
			return e
		}
	}
	return nil
}
