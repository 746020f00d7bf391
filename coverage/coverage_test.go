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

// Property tests run the same cases each time.
var _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000")

// For any sequence of responses, repeated responses and missing shards, the report
// accounts for each shard, only a full set of responses is complete, and the
// merge equals sorting all records and keeping the first of each key.
func TestReportAndMergeForAnyEvents(t *testing.T) {
	record := rapid.Custom(func(t *rapid.T) wire.Record {
		key, score := rapid.IntRange(0, 15).Draw(t, "key"), rapid.IntRange(0, 4).Draw(t, "score")
		return wire.Record{Key: fmt.Sprint("k", key), Score: float64(score)}
	})
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"s0", "s1", "s2", "s3"}[:rapid.IntRange(0, 4).Draw(t, "shards")]
		tracker := New(names)
		missing := map[string]code.Code{}
		for _, name := range names {
			missing[name] = code.Timeout
		}
		var all []wire.Record
		for range rapid.IntRange(0, 12).Draw(t, "events") {
			name := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "shard"))
			_, pending := missing[name]
			if rapid.Bool().Draw(t, "miss") {
				tracker.MarkMissing(name, code.Shed)
				if pending {
					missing[name] = code.Shed
				}
				continue
			}
			records := rapid.SliceOfN(record, 0, 6).Draw(t, "records")
			if tracker.AddResponse(name, records, uint32(len(records))) != pending {
				t.Fatalf("AddResponse(%s) does not return %v", name, pending)
			}
			if pending {
				delete(missing, name)
				all = append(all, records...)
			}
		}
		checkReport(t, tracker, len(names), missing)
		checkMerge(t, tracker, all, rapid.IntRange(0, 20).Draw(t, "limit"))
	})
}

func checkReport(t *rapid.T, tracker *Tracker, shards int, missing map[string]code.Code) {
	r := tracker.Report()
	if r.Shards != shards || r.Responded != shards-len(missing) || len(r.Missing) != len(missing) {
		t.Fatalf("report %+v, want missing %v", r, missing)
	}
	for _, m := range r.Missing {
		if missing[m.Shard] != m.Reason {
			t.Fatalf("missing %+v, want %v", m, missing)
		}
	}
	if tracker.Complete() != (shards > 0 && len(missing) == 0) {
		t.Fatalf("complete %v, missing %v of %d shards", tracker.Complete(), missing, shards)
	}
}

func checkMerge(t *rapid.T, tracker *Tracker, all []wire.Record, limit int) {
	slices.SortStableFunc(all, compareRecords)
	var want []wire.Record
	for _, r := range all {
		if !slices.ContainsFunc(want, func(w wire.Record) bool { return w.Key == r.Key }) {
			want = append(want, r)
		}
	}
	got, distinct := tracker.Merge(limit), uint64(len(want))
	if limit > 0 {
		want = want[:min(limit, len(want))]
	}
	if !slices.EqualFunc(got.Records, want, func(a, b wire.Record) bool { return compareRecords(a, b) == 0 }) {
		t.Fatalf("merged %v, want %v", got.Records, want)
	}
	if got.Matched < distinct || limit == 0 && got.Matched != distinct {
		t.Fatalf("matched %d, want at least %d, and exactly that without a limit", got.Matched, distinct)
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, shards := range []int{40, 920} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			const perShard, limit = 20, 20
			names, responses := make([]string, shards), make([][]wire.Record, shards)
			for i := range names {
				names[i] = fmt.Sprintf("shard-%03d", i)
				for j := range perShard {
					score := 1 - (float64(j)+rand.Float64())/perShard
					responses[i] = append(responses[i], wire.Record{Key: fmt.Sprintf("entry-%d-%d", i, j), Score: score})
				}
			}
			set := NewShards(names)
			b.ReportAllocs()
			for b.Loop() {
				tracker := NewTracker(set)
				for i, name := range names {
					tracker.AddResponse(name, responses[i], perShard)
				}
				tracker.Merge(limit)
			}
		})
	}
}
