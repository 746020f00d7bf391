package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entry is one process of the platform's VM list.
type Entry struct {
	// Name is the process's name, as returned by wire.Process.Name.
	Name       string
	DataCentre string
	Region     string
	// Leaving is true if the platform is about to stop the process's VM.
	Leaving bool
}

func sameDataCentre(a, b *Entry) bool { return a.Region == b.Region && a.DataCentre == b.DataCentre }

func sameRegion(a, b *Entry) bool { return a.Region == b.Region }

// ring is a list of members in the order of a hash of their names.
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

// mix returns a well-distributed hash of hash and seed (the finalizer of SplitMix64).
func mix(hash, seed uint64) uint64 {
	z := hash + (seed+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// choosePeers returns, sorted by name, the members that self exchanges
// heartbeats with: those that it chooses and those that choose it. Each member
// chooses one peer on each ring. Both ends of an edge compute the same rings,
// so each knows of the edge.
func choosePeers(entries []Entry, self *Entry, peers, remotePeers int) []string {
	var names []string
	inDataCentre := func(e *Entry) bool { return sameDataCentre(self, e) }
	inRegion := func(e *Entry) bool { return sameRegion(self, e) }
	anywhere := func(*Entry) bool { return true }
	for i := range peers {
		switch {
		case i >= peers-remotePeers:
			names = append(names, newRing(entries, i, anywhere).remotePeers(self)...)
		case i%2 == 0:
			names = append(names, newRing(entries, i, inRegion).remotePeers(self)...)
		default:
			names = append(names, newRing(entries, i, inDataCentre).adjacent(self)...)
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

// remote returns the function that reports whether two members are remote from
// each other: in different regions; in different data centres if the whole ring
// is in one region; any two members if it is in one data centre.
func (r ring) remote() func(a, b *Entry) bool {
	for _, local := range []func(a, b *Entry) bool{sameRegion, sameDataCentre} {
		for _, e := range r {
			if !local(r[0], e) {
				return func(a, b *Entry) bool { return !local(a, b) }
			}
		}
	}
	return func(a, b *Entry) bool { return a != b }
}

// maxRemoteChoices is how often one ring may choose a member as a remote peer.
const maxRemoteChoices = 2

// remotePeers returns the names of the remote peers that self chooses on the
// ring, and of those that choose it. Each member chooses the first remote
// member that follows it and was not yet chosen maxRemoteChoices times.
func (r ring) remotePeers(self *Entry) []string {
	remote := r.remote()
	var names []string
	chosen := make(map[*Entry]int, len(r))
	for at, e := range r {
		peer := r.firstAfter(at, func(f *Entry) bool { return remote(e, f) && chosen[f] < maxRemoteChoices })
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

// firstAfter returns the first member after position at that matches, or nil.
func (r ring) firstAfter(at int, match func(*Entry) bool) *Entry {
	for i := 1; i < len(r); i++ {
		if e := r[(at+i)%len(r)]; match(e) {
			return e
		}
	}
	return nil
}
