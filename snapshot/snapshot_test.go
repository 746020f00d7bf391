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

var start = time.Unix(1_700_000_000, 0)

const queryInterval = 100 * time.Millisecond

// simulation is a set of fake targets, ten pairs of replicas, with the times from
// which each target serves a version and from which a version is gone.
type simulation struct {
	chooser  *Chooser
	rng      *rand.Rand
	search   folder.Search
	loadedAt map[[2]string]time.Time // by target and version
	goneAt   map[string]time.Time    // by version
}

func newSimulation() *simulation {
	return &simulation{
		chooser:  New(Options{}),
		rng:      rand.New(rand.NewPCG(5, 6)),
		search:   folder.Search{Versions: map[string]folder.Version{}},
		loadedAt: map[[2]string]time.Time{},
		goneAt:   map[string]time.Time{},
	}
}

// publish makes a new version current, which each target loads at a random time
// within lag.
func (s *simulation) publish(now time.Time, name string, sequence, shards int, lag time.Duration) {
	v := folder.Version{Sequence: sequence, Shards: map[string][]string{}}
	for i := range shards {
		pair := fmt.Sprint("t", i%10)
		v.Shards[fmt.Sprint(name, "-", i)] = []string{pair + "a", pair + "b"}
		for _, t := range []string{pair + "a", pair + "b"} {
			s.loadedAt[[2]string{t, name}] = now.Add(time.Duration(s.rng.Float64() * float64(lag)))
		}
	}
	s.search.Versions[name] = v
	s.search.Current = name
	s.chooser.SetVersions(now, s.search)
}

// query sends a sub-request for each shard of the pinned version to its replicas
// in random order, as a gateway does, and reports whether all shards responded.
func (s *simulation) query(now time.Time, pinned string) bool {
	covered := true
	shards := s.search.Versions[pinned].Shards
	for _, shard := range slices.Sorted(maps.Keys(shards)) {
		responded := false
		for _, i := range s.rng.Perm(len(shards[shard])) {
			target := shards[shard][i]
			if responded || s.chooser.Lacks(now, target, pinned) {
				continue
			}
			goneAt, disappears := s.goneAt[pinned]
			switch {
			case disappears && !now.Before(goneAt):
				s.chooser.RecordRefusal(now, target, pinned, code.VersionGone, nil)
			case now.Before(s.loadedAt[[2]string{target, pinned}]):
				s.chooser.RecordRefusal(now, target, pinned, code.VersionNotLoaded, nil)
			default:
				s.chooser.RecordServed(now, target, pinned)
				responded = true
			}
		}
		covered = covered && responded
	}
	return covered
}

// outcome counts the results of a run of queries.
type outcome struct {
	queries, restarts, failed, switches int
	last                                string // pinned version of the last successful query
}

// run sends queries at queryInterval. With optimistic set, it always pins the
// current version, as a gateway without a chooser would.
func (s *simulation) run(from time.Time, length time.Duration, optimistic bool) (o outcome) {
	for now := from; now.Before(from.Add(length)); now = now.Add(queryInterval) {
		pinned, ok := s.chooser.Choose(now)
		if optimistic {
			pinned = s.search.Current
		}
		o.queries++
		if !ok || !s.query(now, pinned) {
			o.restarts++
			pinned, ok = s.chooser.ChooseOther(now, pinned)
			if !ok || !s.query(now, pinned) {
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

// Targets load a new version with another number of shards over 30 s. Queries
// that pin it too early have to restart, which slows them. At most 1 query in
// 100 may restart, so that the roll-out leaves p99 unchanged; none may fail, and
// all must end on the new version. When the version disappears, queries return
// to the previous one.
func TestRollOut(t *testing.T) {
	for _, optimistic := range []bool{false, true} {
		s := newSimulation()
		s.publish(start, "v1", 1, 40, 0)
		steady := s.run(start, time.Second, optimistic)
		publish := start.Add(time.Second)
		s.publish(publish, "v2", 2, 60, 30*time.Second)
		rollOut := s.run(publish, time.Minute, optimistic)
		s.goneAt["v2"] = publish.Add(time.Minute)
		gone := s.run(publish.Add(time.Minute), time.Minute, optimistic)
		t.Logf("optimistic %v: roll-out %+v, version gone %+v", optimistic, rollOut, gone)
		if optimistic {
			if rollOut.restarts*100 <= rollOut.queries {
				t.Error("the roll-out caused too few restarts to test the chooser")
			}
			continue
		}
		for i, o := range []outcome{steady, rollOut, gone} {
			if o.restarts*100 > o.queries || o.failed > 0 || o.switches > 1+2*o.restarts || o.last != []string{"v1", "v2", "v1"}[i] {
				t.Errorf("phase %d: unexpected outcome %+v", i, o)
			}
		}
	}
}

// One replica that lacks the version does not make queries return to the previous
// version; a shard whose replicas all lack it does, and the version is not chosen
// again before its cooldown has ended. A new version is chosen once all shards
// have served it, and a version that was removed from the folder never is.
func TestChoiceFollowsAvailability(t *testing.T) {
	s := newSimulation()
	c := s.chooser
	s.publish(start, "v1", 1, 2, 0)
	s.run(start, time.Second, false)
	s.publish(start, "v2", 2, 2, 0)
	s.run(start, time.Second, false)
	now := start.Add(time.Second)
	want := func(got string, ok bool, name string, covers bool) {
		t.Helper()
		if got != name || ok != covers {
			t.Errorf("after %v: chose %q (covers all shards: %v), want %q (%v)", now.Sub(start), got, ok, name, covers)
		}
	}
	choose := func(name string, covers bool) {
		t.Helper()
		got, ok := c.Choose(now)
		want(got, ok, name, covers)
	}
	s.publish(now, "v3", 3, 2, 0)
	choose("v3", true) // a probe
	c.RecordServed(now, "t0a", "v3")
	choose("v2", true) // the other shard has not served it yet
	c.RecordServed(now, "t1a", "v3")
	choose("v3", true)
	delete(s.search.Versions, "v3")
	s.search.Current = "v2"
	c.SetVersions(now, s.search)
	c.RecordRefusal(now, "t0a", "v2", code.VersionNotLoaded, []string{"v1"})
	choose("v2", true)
	c.RecordRefusal(now, "t0b", "v2", code.VersionNotLoaded, []string{"v1"})
	choose("v1", true)
	c.RecordServed(now, "t0b", "v2")
	choose("v1", true)
	now = now.Add(DefaultCooldown)
	choose("v2", true)
	delete(s.search.Versions, "v1")
	c.SetVersions(now, s.search)
	c.RecordRefusal(now, "t0a", "v2", code.VersionNotLoaded, nil)
	c.RecordRefusal(now, "t0b", "v2", code.VersionNotLoaded, nil)
	choose("v2", false) // not ok: it only covers the most shards
	got, ok := c.ChooseOther(now, "v2")
	want(got, ok, "", false)
	now = now.Add(DefaultNotLoadedTTL)
	choose("v2", true)
}
