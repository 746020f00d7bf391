package snapshot

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
)

var epoch = time.Unix(1_700_000_000, 0)

const queryInterval = 100 * time.Millisecond

// fleet is a set of fake targets, ten pairs that hold the same shards, with the
// times from which each serves a version and from which a version is gone.
type fleet struct {
	chooser *Chooser
	rng     *rand.Rand
	search  folder.Search
	loads   map[[2]string]time.Time // target, version
	gone    map[string]time.Time    // version
}

func newFleet() *fleet {
	return &fleet{
		chooser: New(Options{}),
		rng:     rand.New(rand.NewPCG(5, 6)),
		search:  folder.Search{Versions: map[string]folder.Version{}},
		loads:   map[[2]string]time.Time{},
		gone:    map[string]time.Time{},
	}
}

// publish makes a version current that the targets load at random within lag.
func (f *fleet) publish(now time.Time, name string, sequence, shards int, lag time.Duration) {
	v := folder.Version{Sequence: sequence, Shards: map[string][]string{}}
	for i := range shards {
		pair := fmt.Sprint("t", i%10)
		v.Shards[fmt.Sprint(name, "-", i)] = []string{pair + "a", pair + "b"}
		for _, t := range []string{pair + "a", pair + "b"} {
			f.loads[[2]string{t, name}] = now.Add(time.Duration(f.rng.Float64() * float64(lag)))
		}
	}
	f.search.Versions[name] = v
	f.search.Current = name
	f.chooser.SetVersions(now, f.search)
}

// query asks each shard of the pinned version at its replicas, as a gateway
// does, and tells whether the version covered all of them.
func (f *fleet) query(now time.Time, pinned string) bool {
	covered := true
	shards := f.search.Versions[pinned].Shards
	for _, shard := range slices.Sorted(maps.Keys(shards)) {
		answered := false
		for _, i := range f.rng.Perm(len(shards[shard])) {
			target := shards[shard][i]
			if answered || f.chooser.Lacks(now, target, pinned) {
				continue
			}
			gone, vanishes := f.gone[pinned]
			switch {
			case vanishes && !now.Before(gone):
				f.chooser.RecordRefusal(now, target, pinned, code.VersionGone, nil)
			case now.Before(f.loads[[2]string{target, pinned}]):
				f.chooser.RecordRefusal(now, target, pinned, code.VersionNotLoaded, nil)
			default:
				f.chooser.RecordServed(now, target, pinned)
				answered = true
			}
		}
		covered = covered && answered
	}
	return covered
}

// outcome counts what a run of queries met.
type outcome struct {
	queries, restarts, failed, switches int
	last                                string
}

// run sends queries. With optimistic set it always pins the current version,
// as a gateway without a chooser would.
func (f *fleet) run(from time.Time, length time.Duration, optimistic bool) (o outcome) {
	for now := from; now.Before(from.Add(length)); now = now.Add(queryInterval) {
		pinned, ok := f.chooser.Choose(now)
		if optimistic {
			pinned = f.search.Current
		}
		o.queries++
		if !ok || !f.query(now, pinned) {
			o.restarts++
			pinned, ok = f.chooser.ChooseOther(now, pinned)
			if !ok || !f.query(now, pinned) {
				o.failed++
				continue
			}
		}
		if o.last != "" && o.last != pinned {
			o.switches++
		}
		o.last = pinned
	}
	return o
}

// A version is published with another number of shards while targets load it
// over 30 s: few queries restart, none fails, and all switch. At most 1 in 100
// is slowed, so that p99 stays that of calm times. When the version vanishes
// again, queries go back to the one before.
func TestRollOut(t *testing.T) {
	for _, optimistic := range []bool{false, true} {
		f := newFleet()
		f.publish(epoch, "v1", 1, 40, 0)
		calm := f.run(epoch, time.Second, optimistic)
		publish := epoch.Add(time.Second)
		f.publish(publish, "v2", 2, 60, 30*time.Second)
		rollOut := f.run(publish, time.Minute, optimistic)
		f.gone["v2"] = publish.Add(time.Minute)
		vanished := f.run(publish.Add(time.Minute), time.Minute, optimistic)
		t.Logf("optimistic %v: roll-out %+v, vanished %+v", optimistic, rollOut, vanished)
		if optimistic {
			if rollOut.restarts*100 <= rollOut.queries {
				t.Error("the roll-out doesn't show the fault")
			}
			continue
		}
		for i, o := range []outcome{calm, rollOut, vanished} {
			if o.restarts*100 > o.queries || o.failed > 0 || o.switches > 1+2*o.restarts || o.last != []string{"v1", "v2", "v1"}[i] {
				t.Errorf("phase %d: %+v", i, o)
			}
		}
	}
}

// One lagging replica doesn't turn queries back; a shard without any does, and
// the version isn't chosen again before the hold is over. A new version is
// chosen once all shards have shown it, and one out of the folder never.
func TestEvidence(t *testing.T) {
	f := newFleet()
	c := f.chooser
	f.publish(epoch, "v1", 1, 2, 0)
	f.run(epoch, time.Second, false)
	f.publish(epoch, "v2", 2, 2, 0)
	f.run(epoch, time.Second, false)
	now := epoch.Add(time.Second)
	want := func(got string, ok bool, name string, covers bool) {
		t.Helper()
		if got != name || ok != covers {
			t.Errorf("after %v: chose %q %v, want %q %v", now.Sub(epoch), got, ok, name, covers)
		}
	}
	choose := func(name string, covers bool) {
		t.Helper()
		got, ok := c.Choose(now)
		want(got, ok, name, covers)
	}
	f.publish(now, "v3", 3, 2, 0)
	choose("v3", true) // a probe
	c.RecordServed(now, "t0a", "v3")
	choose("v2", true) // the other shard hasn't shown it
	c.RecordServed(now, "t1a", "v3")
	choose("v3", true)
	delete(f.search.Versions, "v3")
	f.search.Current = "v2"
	c.SetVersions(now, f.search)
	c.RecordRefusal(now, "t0a", "v2", code.VersionNotLoaded, []string{"v1"})
	choose("v2", true)
	c.RecordRefusal(now, "t0b", "v2", code.VersionNotLoaded, []string{"v1"})
	choose("v1", true)
	c.RecordServed(now, "t0b", "v2")
	choose("v1", true)
	now = now.Add(DefaultCooldown)
	choose("v2", true)
	delete(f.search.Versions, "v1")
	c.SetVersions(now, f.search)
	c.RecordRefusal(now, "t0a", "v2", code.VersionNotLoaded, nil)
	c.RecordRefusal(now, "t0b", "v2", code.VersionNotLoaded, nil)
	choose("v2", false) // covers the most shards
	got, ok := c.ChooseOther(now, "v2")
	want(got, ok, "", false)
	now = now.Add(DefaultNotLoadedTTL)
	choose("v2", true)
}
