package corpus

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// The results of the single shards, merged in the order of Compare, equal the
// expected result over all of them.
func TestMergedShardsEqualExpected(t *testing.T) {
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
			t.Fatalf("merged %d records of %d matches, want %d of %d", len(merged), matched, len(want.Records), want.Matched)
		}
	})
}

// The records of a key differ between versions, so that a response of the wrong
// version is detected.
func TestVersionsDiffer(t *testing.T) {
	c := New(Options{Seed: 1, Search: "judges", Records: 50})
	v1, v2 := c.entries("v1"), c.entries("v2")
	for _, a := range v1 {
		i := slices.IndexFunc(v2, func(b Entry) bool { return b.Record.Key == a.Record.Key })
		if i < 0 {
			t.Fatalf("key %s of v1 is missing in v2", a.Record.Key)
		}
		if reflect.DeepEqual(a.Record, v2[i].Record) {
			t.Fatalf("record %s is equal in v1 and v2", a.Record.Key)
		}
	}
}
