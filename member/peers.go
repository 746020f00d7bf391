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

func sameDataCentre(a, b *Entry) bool { return a.Region == b.Region && a.DataCentre == b.DataCentre }

func sameRegion(a, b *Entry) bool { return a.Region == b.Region }

// ring is members in the order of a hash of their names.
type ring []*Entry

func newRing(entries []Entry, seed int, include func(*Entry) bool) ring {
	type hashed struct {
		hash  uint64
		entry *Entry
	}
	var order []hashed
	for i := range entries {
		if e := &entries[i]; include(e) {
			order = append(order, hashed{mix(xxhash.Sum64String(e.Name), uint64(seed)), e})
		}
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

// neighbours returns, sorted by name, the members that self exchanges
// heartbeats with: those that it chooses and those that choose it. Each ring
// gives each member one choice. Both ends of an edge work out the same rings,
// so each knows of it.
func neighbours(entries []Entry, self *Entry, peers, farPeers int) []string {
	var names []string
	near := func(e *Entry) bool { return sameDataCentre(self, e) }
	around := func(e *Entry) bool { return sameRegion(self, e) }
	everywhere := func(*Entry) bool { return true }
	for i := range peers {
		switch {
		case i >= peers-farPeers:
			names = append(names, newRing(entries, i, everywhere).across(self)...)
		case i%2 == 0:
			names = append(names, newRing(entries, i, around).across(self)...)
		default:
			names = append(names, newRing(entries, i, near).adjacent(self)...)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(n string) bool { return n == self.Name })
}

// adjacent returns the names of self's successor and predecessor.
func (r ring) adjacent(self *Entry) []string {
	at := slices.IndexFunc(r, func(e *Entry) bool { return e.Name == self.Name })
	if at < 0 {
		return nil
	}
	n := len(r)
	return []string{r[(at+1)%n].Name, r[(at+n-1)%n].Name}
}

// farther returns the relation of members that are far from each other: in
// other regions; in other data centres if all share a region; else any.
func (r ring) farther() func(a, b *Entry) bool {
	for _, near := range []func(a, b *Entry) bool{sameRegion, sameDataCentre} {
		for _, e := range r {
			if !near(r[0], e) {
				return func(a, b *Entry) bool { return !near(a, b) }
			}
		}
	}
	return func(a, b *Entry) bool { return a != b }
}

// maxChosen is how often one ring may choose a member as a far peer.
const maxChosen = 2

// across returns the names of the far peers that self chooses on the ring, and
// of those that choose it. Each member chooses the first far one that follows
// it and isn't chosen too often already.
func (r ring) across(self *Entry) []string {
	far := r.farther()
	var names []string
	chosen := make(map[*Entry]int, len(r))
	for at, e := range r {
		peer := r.follow(at, func(f *Entry) bool { return far(e, f) && chosen[f] < maxChosen })
		if peer == nil {
			continue
		}
		chosen[peer]++
		switch self.Name {
		case e.Name:
			names = append(names, peer.Name)
		case peer.Name:
			names = append(names, e.Name)
		}
	}
	return names
}

// follow returns the first member after position at that is wanted, or nil.
func (r ring) follow(at int, want func(*Entry) bool) *Entry {
	for i := 1; i < len(r); i++ {
		if e := r[(at+i)%len(r)]; want(e) {
			return e
		}
	}
	return nil
}
