package coverage

import "slices"

// Shards is the immutable set of shard names of one version's shard map. One
// value serves every query that pins the version. It is safe for concurrent use.
type Shards struct {
	names []string // ascending, no duplicates
	index map[string]int32
}

// NewShards returns the set of the given names. Repeated names count once.
func NewShards(names []string) *Shards {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	s := &Shards{names: sorted, index: make(map[string]int32, len(sorted))}
	for i, name := range sorted {
		s.index[name] = int32(i)
	}
	return s
}

// Names returns the shard names in ascending order. The slice must not be
// modified.
func (s *Shards) Names() []string { return s.names }
