package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
)

// The simulated tier runs a number of requests, its slots, at full speed; more
// share its capacity.
const (
	serverSlots = 20
	meanService = 20 * time.Millisecond
	simLength   = 20 * time.Second
	urgent      = "secretaries"
	modest      = "entrants"
	greedy      = "entrants-greedy"
)

var epoch = time.Unix(1_700_000_000, 0)

// load is the share of capacity that each caller offers at 1 time capacity.
var load = []struct {
	caller   string
	priority int
	share    float64
	deadline time.Duration
}{
	{urgent, 0, 0.10, 100 * time.Millisecond},
	{"judges", 3, 0.40, 100 * time.Millisecond},
	{modest, 6, 0.05, 75 * time.Millisecond},
	{greedy, 6, 0.45, 75 * time.Millisecond},
}

type job struct {
	id                           uint64
	caller                       string
	arrived, admitted, ends, due time.Time
}

// arrivals returns factor times the load, in order of time. The urgent
// caller's load doesn't grow.
func arrivals(rng *rand.Rand, slots, factor float64) []*job {
	var jobs []*job
	for _, l := range load {
		rate := l.share * slots / meanService.Seconds()
		if l.caller != urgent {
			rate *= factor
		}
		for at := epoch; at.Before(epoch.Add(simLength)); {
			at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			jobs = append(jobs, &job{id: uint64(len(jobs)), caller: l.caller, arrived: at, due: at.Add(l.deadline)})
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return a.arrived.Compare(b.arrived) })
	return jobs
}

// result holds the latencies of the answers within the deadline.
type result struct {
	offered map[string]int
	good    map[string][]time.Duration
	total   int
}

func (r result) p99(caller string) time.Duration {
	slices.Sort(r.good[caller])
	return r.good[caller][len(r.good[caller])*99/100]
}

func simulate(opts Options, slots, factor float64) result {
	rng := rand.New(rand.NewPCG(7, 11))
	c, callers, byID := New(opts, rng), map[string]folder.Caller{}, map[uint64]*job{}
	for _, l := range load {
		callers[l.caller] = folder.Caller{Name: l.caller, Priority: l.priority}
	}
	c.SetCallers(epoch, callers)
	r := result{offered: map[string]int{}, good: map[string][]time.Duration{}}
	var running []*job // in order of their ends
	admit := func(now time.Time, actions ...Decision) {
		for _, a := range actions {
			if a.Outcome != Admitted {
				continue
			}
			j := byID[a.ID]
			slowdown := max(1, float64(len(running)+1)/slots)
			j.admitted, j.ends = now, now.Add(time.Duration(float64(meanService)*(0.5+rng.Float64())*slowdown))
			at, _ := slices.BinarySearchFunc(running, j, func(a, b *job) int { return cmp.Or(a.ends.Compare(b.ends), -1) })
			running = slices.Insert(running, at, j)
		}
	}
	finish := func(until time.Time) {
		for len(running) > 0 && !running[0].ends.After(until) {
			j := running[0]
			running = running[1:]
			inTime := !j.ends.After(j.due)
			if inTime {
				r.good[j.caller] = append(r.good[j.caller], j.ends.Sub(j.arrived))
				r.total++
			}
			admit(j.ends, c.Done(j.ends, j.id, inTime, j.ends.Sub(j.admitted))...)
		}
	}
	for _, j := range arrivals(rng, slots, factor) {
		finish(j.arrived)
		byID[j.id] = j
		r.offered[j.caller]++
		own, others := c.Submit(j.arrived, Request{ID: j.id, Caller: j.caller, Search: "s", Deadline: j.due})
		admit(j.arrived, append(others, own)...)
	}
	finish(epoch.Add(2 * simLength))
	return r
}

// At 3 times capacity goodput stays at 90% of that at capacity, the urgent
// caller keeps its p99, the modest caller gets its fair part of its priority,
// and the lowest priority its share. First in, first out doesn't do that.
func TestOverload(t *testing.T) {
	for _, mode := range []Mode{ModeAdaptive, ModeFixed, ModeFIFO} {
		opts := Options{Mode: mode, InitialLimit: serverSlots}
		calm, over := simulate(opts, serverSlots, 1), simulate(opts, serverSlots, 3)
		answered := float64(len(over.good[urgent])) / float64(over.offered[urgent])
		lowest := len(over.good[modest]) + len(over.good[greedy])
		fair := min(over.offered[modest], lowest/2)
		t.Logf("%s: goodput %d -> %d, urgent p99 %v -> %v, answered %.4f, lowest priority %d, of it modest %d",
			mode, calm.total, over.total, calm.p99(urgent), over.p99(urgent), answered, lowest, len(over.good[modest]))
		kept := map[string]bool{
			"goodput":    float64(over.total) >= 0.9*float64(calm.total),
			"urgent":     answered >= 0.99 && over.p99(urgent) <= calm.p99(urgent)*3/2,
			"fairness":   float64(len(over.good[modest])) >= 0.9*float64(fair),
			"priorities": float64(lowest) >= 0.9*DefaultLowPriorityFraction*float64(over.total),
		}
		for name, ok := range kept {
			if mode != ModeFIFO && !ok {
				t.Errorf("%s: %s not kept", mode, name)
			}
		}
		if mode == ModeFIFO && (kept["goodput"] || kept["urgent"]) {
			t.Error("the load doesn't show the fault")
		}
	}
}

// The adaptive limit finds a capacity far from where it starts.
func TestLimitAdapts(t *testing.T) {
	for _, slots := range []float64{6, 200} {
		share := float64(simulate(Options{}, slots, 3).total) / (slots / meanService.Seconds() * simLength.Seconds())
		t.Logf("%v slots: goodput %.3f of capacity", slots, share)
		if share < 0.9 {
			t.Errorf("%v slots: goodput %.3f of capacity", slots, share)
		}
	}
}
