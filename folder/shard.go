package folder

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SortedShards returns the names of the version's shards in ascending order.
func (v Version) SortedShards() []string {
	names := make([]string, 0, len(v.Shards))
	for name := range v.Shards {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ShardOf returns the shard that holds a record: the xxhash64 of its key picks
// one of the shard names, which are in ascending order.
func ShardOf(key string, sorted []string) string {
	return sorted[xxhash.Sum64String(key)%uint64(len(sorted))]
}
