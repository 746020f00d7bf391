package snapshot

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
)

// evidence is what is known about one target and one version.
type evidence uint8

const (
	unknown evidence = iota
	serves           // an answer or a served list has shown the version
	lacks            // a refusal has shown that the version is missing
)

// version is one index version with the evidence about its targets.
type version struct {
	name     string
	sequence int
	shards   []shard
	holders  map[string]*holder
	// confirmed is the number of shards with a target that serves the version.
	confirmed int
	// blocked is the number of shards whose targets all lack the version.
	blocked int

	// trusted is set once each shard has shown the version, and cleared once a
	// shard has no target left for it.
	trusted bool
	// heldUntil ends the time in which a version that became unusable isn't
	// chosen again while another one is.
	heldUntil time.Time
	// probedAt and probedNumber are the time and the number of the last query
	// that tried the version while it wasn't trusted.
	probedAt     time.Time
	probedNumber uint64
}

// shard counts the evidence about the replicas of one shard.
type shard struct {
	replicas int
	serving  int
	lacking  int
}

// holder is one target of a version.
type holder struct {
	shards   []int
	evidence evidence
	// until is when evidence lacks expires.
	until time.Time
}

func newVersion(name string, v folder.Version) *version {
	names := slices.Sorted(maps.Keys(v.Shards))
	out := &version{
		name:     name,
		sequence: v.Sequence,
		shards:   make([]shard, len(names)),
		holders:  map[string]*holder{},
	}
	for i, shardName := range names {
		out.addShard(i, v.Shards[shardName])
	}
	return out
}

func (v *version) addShard(i int, targets []string) {
	for _, name := range targets {
		h, ok := v.holders[name]
		if !ok {
			h = &holder{}
			v.holders[name] = h
		}
		if slices.Contains(h.shards, i) {
			continue
		}
		h.shards = append(h.shards, i)
		v.shards[i].replicas++
	}
	if len(targets) == 0 {
		v.blocked++
	}
}

// shown tells whether each shard has a target that serves the version.
func (v *version) shown() bool {
	return len(v.shards) > 0 && v.confirmed == len(v.shards)
}

// set changes the evidence about one target.
func (v *version) set(h *holder, e evidence, until time.Time) {
	h.until = until
	if h.evidence == e {
		return
	}
	for _, i := range h.shards {
		v.count(&v.shards[i], h.evidence, -1)
		v.count(&v.shards[i], e, 1)
	}
	h.evidence = e
}

// count adds delta replicas with evidence e to a shard, and keeps the
// version's totals.
func (v *version) count(s *shard, e evidence, delta int) {
	before := *s
	switch e {
	case serves:
		s.serving += delta
	case lacks:
		s.lacking += delta
	}
	v.confirmed += boolToInt(s.serving > 0) - boolToInt(before.serving > 0)
	v.blocked += boolToInt(s.lacking == s.replicas) - boolToInt(before.lacking == before.replicas)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// carry copies the evidence about targets that an earlier shard map of the
// same version also named.
func (v *version) carry(old *version) {
	for name, h := range v.holders {
		if was, ok := old.holders[name]; ok && was.evidence != unknown {
			v.set(h, was.evidence, was.until)
		}
	}
	v.trusted = v.blocked == 0 && (v.shown() || old.trusted && v.sameMap(old))
	v.heldUntil = old.heldUntil
	v.probedAt = old.probedAt
	v.probedNumber = old.probedNumber
}

// sameMap tells whether both shard maps give each target the same shards.
func (v *version) sameMap(old *version) bool {
	return len(v.shards) == len(old.shards) &&
		maps.EqualFunc(v.holders, old.holders, func(a, b *holder) bool {
			return slices.Equal(a.shards, b.shards)
		})
}
