package query

import (
	"fmt"
	"testing"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/coverage"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// BenchmarkQuery runs a query from its start to the last response. Like the
// gateway, it calls NextTick after each response.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{40, 920} {
		b.Run(fmt.Sprint(shards, "shards"), func(b *testing.B) {
			opts := newMachine(&fakeRoutes{}, false).opts
			opts.Shards = nil
			names := make([]string, shards)
			for i := range names {
				names[i] = fmt.Sprintf("s%03d", i)
				opts.Shards = append(opts.Shards, Shard{Name: names[i], Replicas: []string{"a" + names[i], "b" + names[i]}})
			}
			set := coverage.NewShards(names)
			b.ReportAllocs()
			for b.Loop() {
				opts.Coverage = coverage.NewTracker(set)
				m := New(opts)
				for i, a := range m.Start(at(0)).Send {
					m.Responded(at(i), uint32(i), &wire.SubResponse{
						Code: code.OK, Run: code.Ran, Version: "v1", Shard: a.Shard, Target: a.Route.Target,
					})
					_ = m.NextTick()
				}
				if m.Status() != Finished {
					b.Fatal("the query has not finished after the last response")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/shard")
		})
	}
}
