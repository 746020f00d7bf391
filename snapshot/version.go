package snapshot

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
)

// availability is what is known about one version at one target.
type availability uint8

const (
	unknown   availability = iota
	available              // a response or a list of served versions has shown the version
	missing                // a refusal has shown that the target lacks the version
)

// version is one index version with the availability at its targets.
type version struct {
	name     string
	sequence int
	shards   []shard
	targets  map[string]*versionTarget
	// confirmed is the number of shards with a target that serves the version.
	confirmed int
	// blocked is the number of shards whose targets all lack the version.
	blocked int

	// trusted is set once every shard is confirmed, and cleared once a shard is
	// blocked.
	trusted bool
	// cooldownUntil is the time before which a version that became unusable is
	// not chosen again while another one is usable.
	cooldownUntil time.Time
	// probedAt and probedQuery are the time and the number of the last query
	// that probed the version.
	probedAt    time.Time
	probedQuery uint64
}

// shard counts the replicas of one shard by availability.
type shard struct {
	replicas  int
	available int
	missing   int
}

// versionTarget is one target of a version.
type versionTarget struct {
	shards       []int
	availability availability
	// until is when availability missing expires.
	until time.Time
}

func newVersion(name string, v folder.Version) *version {
	names := slices.Sorted(maps.Keys(v.Shards))
	out := &version{
		name:     name,
		sequence: v.Sequence,
		shards:   make([]shard, len(names)),
		targets:  map[string]*versionTarget{},
	}
	for i, shardName := range names {
		out.addShard(i, v.Shards[shardName])
	}
	return out
}

func (v *version) addShard(i int, targets []string) {
	for _, name := range targets {
		t, ok := v.targets[name]
		if !ok {
			t = &versionTarget{}
			v.targets[name] = t
		}
		if slices.Contains(t.shards, i) {
			continue
		}
		t.shards = append(t.shards, i)
		v.shards[i].replicas++
	}
	if len(targets) == 0 {
		v.blocked++
	}
}

// allConfirmed reports whether each shard has a target that serves the version.
func (v *version) allConfirmed() bool {
	return len(v.shards) > 0 && v.confirmed == len(v.shards)
}

// set changes the availability at one target.
func (v *version) set(t *versionTarget, a availability, until time.Time) {
	t.until = until
	if t.availability == a {
		return
	}
	for _, i := range t.shards {
		v.count(&v.shards[i], t.availability, -1)
		v.count(&v.shards[i], a, 1)
	}
	t.availability = a
}

// count adds delta replicas with availability a to a shard, and updates the
// version's totals.
func (v *version) count(s *shard, a availability, delta int) {
	before := *s
	switch a {
	case available:
		s.available += delta
	case missing:
		s.missing += delta
	}
	v.confirmed += boolToInt(s.available > 0) - boolToInt(before.available > 0)
	v.blocked += boolToInt(s.missing == s.replicas) - boolToInt(before.missing == before.replicas)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// copyFrom copies the availability at targets that an earlier shard map of the
// same version also named.
func (v *version) copyFrom(old *version) {
	for name, t := range v.targets {
		if was, ok := old.targets[name]; ok && was.availability != unknown {
			v.set(t, was.availability, was.until)
		}
	}
	v.trusted = v.blocked == 0 && (v.allConfirmed() || old.trusted && v.sameShardMap(old))
	v.cooldownUntil = old.cooldownUntil
	v.probedAt = old.probedAt
	v.probedQuery = old.probedQuery
}

// sameShardMap reports whether both shard maps give each target the same shards.
func (v *version) sameShardMap(old *version) bool {
	return len(v.shards) == len(old.shards) &&
		maps.EqualFunc(v.targets, old.targets, func(a, b *versionTarget) bool {
			return slices.Equal(a.shards, b.shards)
		})
}
