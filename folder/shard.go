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

// ShardOf returns the name of the shard that holds the record with the given
// key. The xxhash64 of the key selects one of sorted, the shard names in
// ascending order.
func ShardOf(key string, sorted []string) string {
	return sorted[xxhash.Sum64String(key)%uint64(len(sorted))]
}
