package coverage

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

// The merge equals sorting all records and keeping the first of each key.
func TestMergeEqualsNaive(t *testing.T) {
	record := rapid.Custom(func(t *rapid.T) wire.Record {
		return wire.Record{
			Key:   fmt.Sprint("k", rapid.IntRange(0, 15).Draw(t, "key")),
			Score: float64(rapid.IntRange(0, 4).Draw(t, "score")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		answers := rapid.SliceOfN(rapid.SliceOfN(record, 0, 6), 0, 8).Draw(t, "answers")
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		var names []string
		var all []wire.Record
		for i, records := range answers {
			names = append(names, fmt.Sprint("s", i))
			all = append(all, records...)
		}
		l := New(names)
		for i, records := range answers {
			l.Answer(names[i], records, uint32(len(records)))
		}
		slices.SortStableFunc(all, compare)
		var want []wire.Record
		for _, r := range all {
			if !slices.ContainsFunc(want, func(w wire.Record) bool { return w.Key == r.Key }) {
				want = append(want, r)
			}
		}
		distinct := len(want)
		if limit > 0 {
			want = want[:min(limit, len(want))]
		}
		got := l.Merge(limit)
		if !slices.EqualFunc(got.Records, want, func(a, b wire.Record) bool { return compare(a, b) == 0 }) {
			t.Fatalf("got %v, want %v", got.Records, want)
		}
		if got.Matched < uint64(distinct) || limit == 0 && got.Matched != uint64(distinct) {
			t.Fatalf("matched %d, distinct %d", got.Matched, distinct)
		}
	})
}

// However answers and misses arrive, the report adds up and only a full set of
// answers is complete.
func TestCompleteIsDerived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 4).Draw(t, "shards")
		var names []string
		for i := range count {
			names = append(names, fmt.Sprint("s", i))
		}
		l := New(names)
		answered := map[string]bool{}
		missed := map[string]code.Code{}
		for range rapid.IntRange(0, 12).Draw(t, "events") {
			name := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "shard"))
			known := slices.Contains(names, name)
			if rapid.Bool().Draw(t, "answer") {
				if l.Answer(name, nil, 1) != (known && !answered[name]) {
					t.Fatalf("answer of %s", name)
				}
				if known {
					answered[name] = true
				}
				continue
			}
			l.Miss(name, code.Shed)
			if known {
				missed[name] = code.Shed
			}
		}
		r := l.Report()
		if l.Complete() != (count > 0 && len(answered) == count) || l.Complete() && len(r.Missing) > 0 {
			t.Fatalf("complete %v with %d of %d", l.Complete(), len(answered), count)
		}
		if r.Shards != count || r.Answered != len(answered) || len(r.Missing) != count-len(answered) {
			t.Fatalf("report %+v", r)
		}
		open := 0
		for _, m := range r.Missing {
			want, ok := missed[m.Shard]
			if !ok {
				want = code.Timeout
				open++
			}
			if answered[m.Shard] || m.Reason != want {
				t.Fatalf("missing %+v, want %s", m, want)
			}
		}
		if l.Open() != open || uint64(len(answered)) != l.Merge(0).Matched {
			t.Fatalf("open %d, want %d", l.Open(), open)
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	for _, shards := range []int{40, 920} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			const perShard, limit = 20, 20
			rng := rand.New(rand.NewPCG(1, 2))
			names := make([]string, shards)
			answers := make([][]wire.Record, shards)
			for i := range names {
				names[i] = fmt.Sprintf("shard-%03d", i)
				for j := range perShard {
					answers[i] = append(answers[i], wire.Record{Key: fmt.Sprintf("entry-%d-%d", i, j), Score: rng.Float64()})
				}
				slices.SortFunc(answers[i], compare)
			}
			set := NewShards(names)
			b.ReportAllocs()
			for b.Loop() {
				l := NewLedger(set)
				for i, name := range names {
					l.Answer(name, answers[i], perShard)
				}
				l.Merge(limit)
			}
		})
	}
}
