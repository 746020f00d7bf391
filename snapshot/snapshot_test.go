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

const queryInterval = 10 * time.Millisecond

// fleet is a set of fake targets and the time from which each serves a version.
type fleet struct {
	search folder.Search
	loads  map[string]map[string]time.Time // target, version
	drops  map[string]time.Time            // version
}

func (f *fleet) serves(now time.Time, target, version string) bool {
	at, ok := f.loads[target][version]
	drop, dropped := f.drops[version]
	return ok && !now.Before(at) && !(dropped && !now.Before(drop))
}

func (f *fleet) add(version string, sequence, shards int, loadAt func(target string) time.Time) {
	v := folder.Version{Sequence: sequence, Shards: map[string][]string{}}
	for i := range shards {
		pair := 20 * i / shards
		targets := []string{fmt.Sprintf("t%02da", pair), fmt.Sprintf("t%02db", pair)}
		v.Shards[fmt.Sprint(version, "-", i)] = targets
		for _, t := range targets {
			if f.loads[t] == nil {
				f.loads[t] = map[string]time.Time{}
			}
			f.loads[t][version] = loadAt(t)
		}
	}
	f.search.Versions[version] = v
}

func newFleet() *fleet {
	f := &fleet{loads: map[string]map[string]time.Time{}, drops: map[string]time.Time{}}
	f.search.Versions = map[string]folder.Version{}
	return f
}

// query tries each shard of the pinned version at its replicas, as a gateway
// does, and tells whether the version covered all of them.
func (f *fleet) query(c *Chooser, rng *rand.Rand, now time.Time, pinned string) bool {
	covered := true
	shards := f.search.Versions[pinned].Shards
	for _, shard := range slices.Sorted(maps.Keys(shards)) {
		targets := shards[shard]
		answered := false
		for _, i := range rng.Perm(len(targets)) {
			target := targets[i]
			if answered || c.Lacks(now, target, pinned) {
				continue
			}
			if f.serves(now, target, pinned) {
				c.Loaded(now, target, pinned)
				answered = true
				continue
			}
			reason := code.VersionNotLoaded
			if _, gone := f.drops[pinned]; gone {
				reason = code.VersionGone
			}
			c.Report(now, target, pinned, reason, nil)
		}
		covered = covered && answered
	}
	return covered
}

// outcome counts what a run of queries met.
type outcome struct {
	queries, restarts, failed int
	switches                  int
	last                      string
}

// run sends queries until the end. With optimistic set it always pins the
// current version, as a gateway without a chooser would.
func (f *fleet) run(c *Chooser, from time.Time, length time.Duration, optimistic bool) outcome {
	rng := rand.New(rand.NewPCG(1, 2))
	var o outcome
	for now := from; now.Before(from.Add(length)); now = now.Add(queryInterval) {
		pinned, ok := c.Choose(now)
		if optimistic {
			pinned = f.search.Current
		}
		o.queries++
		if !ok || !f.query(c, rng, now, pinned) {
			o.restarts++
			pinned, ok = c.Restart(now, pinned)
			if !ok || !f.query(c, rng, now, pinned) {
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
// over 10 s: few queries restart, none fails, and all switch once.
func TestRollOut(t *testing.T) {
	for _, optimistic := range []bool{false, true} {
		t.Run(fmt.Sprint("optimistic=", optimistic), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(5, 6))
			f := newFleet()
			c := New(Options{})
			f.add("v1", 1, 40, func(string) time.Time { return epoch })
			f.search.Current = "v1"
			c.SetVersions(epoch, f.search)
			calm := f.run(c, epoch, time.Second, optimistic)
			if calm.restarts != 0 || calm.last != "v1" {
				t.Fatalf("before the change: %+v", calm)
			}
			publish := epoch.Add(time.Second)
			f.add("v2", 2, 60, func(string) time.Time {
				return publish.Add(time.Duration(rng.Float64() * float64(10*time.Second)))
			})
			f.search.Current = "v2"
			c.SetVersions(publish, f.search)
			o := f.run(c, publish, 20*time.Second, optimistic)
			t.Logf("%+v", o)
			if optimistic {
				if o.restarts*100 <= o.queries {
					t.Error("the optimistic choice restarts few queries: the roll-out doesn't show the fault")
				}
				return
			}
			// At most 1 in 100 queries is slowed, so p99 stays that of calm times.
			if o.restarts*100 > o.queries || o.failed > 0 || o.last != "v2" || o.switches > 1+o.restarts {
				t.Errorf("roll-out: %+v", o)
			}
		})
	}
}

// When the old version vanishes while the new one is served, queries restart
// on the new one; once it is out of the folder it is never chosen.
func TestVanishedVersion(t *testing.T) {
	f := newFleet()
	c := New(Options{})
	f.add("v1", 1, 40, func(string) time.Time { return epoch })
	f.add("v2", 2, 40, func(string) time.Time { return epoch })
	f.search.Current = "v1"
	c.SetVersions(epoch, f.search)
	f.drops["v1"] = epoch.Add(time.Second)
	o := f.run(c, epoch, 30*time.Second, false)
	if o.last != "v2" || o.failed > 0 || o.restarts*100 > o.queries {
		t.Errorf("after the version vanished: %+v", o)
	}
	delete(f.search.Versions, "v1")
	f.search.Current = "v2"
	c.SetVersions(epoch.Add(time.Minute), f.search)
	if got, ok := c.Restart(epoch.Add(time.Minute), "v1"); !ok || got != "v2" {
		t.Errorf("restart on %q %v", got, ok)
	}
	if got, ok := c.Restart(epoch.Add(time.Minute), "v2"); ok || got != "" {
		t.Errorf("restart without another version on %q %v", got, ok)
	}
}

// One lagging replica doesn't turn queries back; a shard without any does, and
// the version isn't chosen again before the hold is over.
func TestHysteresis(t *testing.T) {
	f := newFleet()
	c := New(Options{})
	for i, v := range []string{"v1", "v2"} {
		f.add(v, i, 2, func(string) time.Time { return epoch })
		f.search.Current = v
		c.SetVersions(epoch, f.search)
		f.run(c, epoch, time.Second, false)
	}
	now := epoch.Add(time.Second)
	choose := func(want string) {
		t.Helper()
		if got, ok := c.Choose(now); !ok || got != want {
			t.Errorf("after %v: chose %q %v, want %q", now.Sub(epoch), got, ok, want)
		}
	}
	targets := slices.Clone(f.search.Versions["v2"].Shards["v2-0"])
	c.Report(now, targets[0], "v2", code.VersionNotLoaded, []string{"v1"})
	choose("v2")
	c.Report(now, targets[1], "v2", code.VersionNotLoaded, []string{"v1"})
	choose("v1")
	c.Loaded(now, targets[1], "v2")
	choose("v1")
	now = now.Add(DefaultHold)
	choose("v2")
}

// With no version that covers every shard, the one that covers most is named,
// and evidence expires so that it is found again.
func TestNoVersionCoversAll(t *testing.T) {
	f := newFleet()
	c := New(Options{})
	f.add("v1", 1, 20, func(string) time.Time { return epoch })
	f.search.Current = "v1"
	c.SetVersions(epoch, f.search)
	for _, target := range f.search.Versions["v1"].Shards["v1-0"] {
		c.Report(epoch, target, "v1", code.VersionNotLoaded, nil)
	}
	if got, ok := c.Choose(epoch); ok || got != "v1" {
		t.Errorf("chose %q %v", got, ok)
	}
	if got, ok := c.Choose(epoch.Add(DefaultEvidenceTTL)); !ok || got != "v1" {
		t.Errorf("after the evidence expired: chose %q %v", got, ok)
	}
}
