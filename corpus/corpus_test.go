package corpus

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// The answers of all shards, merged by order alone, are the expected answer.
func TestShardsMergeToExpected(t *testing.T) {
	shards := []string{"s2", "s0", "s1"}
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{Competition, Substance}).Draw(t, "kind")
		o := Options{Seed: rapid.Uint64().Draw(t, "seed"), Search: "x", Kind: kind, Records: 200}
		q := targetapi.Query{Limit: rapid.IntRange(0, 250).Draw(t, "limit")}
		if rapid.Bool().Draw(t, "filter") {
			q.Text = rapid.SampledFrom(Words(kind)).Draw(t, "word")
		}
		missing := rapid.SampledFrom([][]string{nil, {"s1"}, {"s0", "s2"}}).Draw(t, "missing")

		c, other := New(o), New(o)
		var merged []wire.Record
		matched := 0
		for _, shard := range shards {
			if slices.Contains(missing, shard) {
				continue
			}
			n, top := Search(c.Shard("v1", shards, shard), q)
			matched += n
			merged = append(merged, top...)
		}
		slices.SortFunc(merged, Compare)
		merged = merged[:min(q.Limit, len(merged))]
		want := other.ExpectedWithout("v1", shards, missing, q)
		if matched != want.Matched || len(merged) != len(want.Records) ||
			len(merged) > 0 && !reflect.DeepEqual(merged, want.Records) {
			t.Fatalf("merged %d of %d, want %d of %d", len(merged), matched, len(want.Records), want.Matched)
		}
	})
}

// A record of one version can't pass for that of another.
func TestVersionsDiffer(t *testing.T) {
	c := New(Options{Seed: 1, Search: "judges", Records: 50})
	v1, v2 := c.entries("v1"), c.entries("v2")
	for _, a := range v1 {
		i := slices.IndexFunc(v2, func(b Entry) bool { return b.Record.Key == a.Record.Key })
		if i < 0 {
			t.Fatalf("key %s is missing in v2", a.Record.Key)
		}
		if reflect.DeepEqual(a.Record, v2[i].Record) {
			t.Fatalf("record %s is the same in both versions", a.Record.Key)
		}
	}
}
