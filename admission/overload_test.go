package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
)

// The simulated tier runs a number of requests, its slots, at full speed; more
// share its capacity.
const (
	serverSlots  = 20
	meanService  = 20 * time.Millisecond
	simDeadline  = 100 * time.Millisecond
	simLength    = 20 * time.Second
	urgentCaller = "secretaries"
)

var epoch = time.Unix(1_700_000_000, 0)

// load is the share of capacity that each caller offers at 1 time capacity.
var load = []struct {
	caller   string
	priority int
	share    float64
	deadline time.Duration
}{
	{urgentCaller, 0, 0.10, simDeadline},
	{"judges", 3, 0.40, simDeadline},
	{"entrants", 6, 0.05, simDeadline * 3 / 4},
	{"entrants-greedy", 6, 0.45, simDeadline * 3 / 4},
}

// event is an arrival (done false) or the end of a request in the simulation.
type event struct {
	at   time.Time
	id   uint64
	done bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

type job struct {
	caller                      string
	arrived, admitted, deadline time.Time
}

type result struct {
	offered, good map[string]int
	latency       map[string][]time.Duration
	total         int
}

func (r result) p99(caller string) time.Duration {
	l := r.latency[caller]
	slices.Sort(l)
	return l[len(l)*99/100]
}

// simulate offers factor times the load to a controller, and counts answers
// within the deadline. Secretaries' load doesn't grow.
func simulate(opts Options, slots, factor float64) result {
	rng := rand.New(rand.NewPCG(7, 11))
	c := New(opts, rng)
	callers := map[string]folder.Caller{}
	var timeline events
	jobs := map[uint64]*job{}
	for _, l := range load {
		callers[l.caller] = folder.Caller{Name: l.caller, Priority: l.priority}
		rate := l.share * slots / meanService.Seconds()
		if l.caller != urgentCaller {
			rate *= factor
		}
		for at := epoch; at.Before(epoch.Add(simLength)); {
			at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			id := uint64(len(jobs) + 1)
			jobs[id] = &job{caller: l.caller, arrived: at, deadline: at.Add(l.deadline)}
			timeline = append(timeline, event{at: at, id: id})
		}
	}
	c.SetCallers(epoch, callers)
	heap.Init(&timeline)
	r := result{offered: map[string]int{}, good: map[string]int{}, latency: map[string][]time.Duration{}}
	running := 0
	admit := func(now time.Time, a Action) {
		if a.Verdict != Admit {
			return
		}
		running++
		jobs[a.ID].admitted = now
		took := float64(meanService) * (0.5 + rng.Float64()) * max(1, float64(running)/slots)
		heap.Push(&timeline, event{at: now.Add(time.Duration(took)), id: a.ID, done: true})
	}
	for len(timeline) > 0 {
		e := heap.Pop(&timeline).(event)
		j := jobs[e.id]
		var actions []Action
		if e.done {
			running--
			inTime := !e.at.After(j.deadline)
			if inTime {
				r.good[j.caller]++
				r.total++
				r.latency[j.caller] = append(r.latency[j.caller], e.at.Sub(j.arrived))
			}
			actions = c.Done(e.at, e.id, inTime, e.at.Sub(j.admitted))
		} else {
			r.offered[j.caller]++
			var own Action
			own, actions = c.Offer(e.at, Request{ID: e.id, Caller: j.caller, Search: "s", Deadline: j.deadline})
			admit(e.at, own)
		}
		for _, a := range actions {
			admit(e.at, a)
		}
	}
	return r
}

func TestOverload(t *testing.T) {
	for _, mode := range []Mode{ModeAdaptive, ModeFixed, ModeFIFO} {
		t.Run(string(mode), func(t *testing.T) {
			opts := Options{Mode: mode, StartLimit: serverSlots}
			calm, over := simulate(opts, serverSlots, 1), simulate(opts, serverSlots, 3)
			ratio := float64(over.total) / float64(calm.total)
			urgent := float64(over.good[urgentCaller]) / float64(over.offered[urgentCaller])
			t.Logf("goodput %d -> %d (%.2f), good %v of %v, urgent answered %.4f",
				calm.total, over.total, ratio, over.good, over.offered, urgent)
			if mode == ModeFIFO {
				if ratio >= 0.9 {
					t.Errorf("first in, first out keeps goodput at %.2f: the load doesn't show the fault", ratio)
				}
				return
			}
			t.Logf("urgent p99 %v -> %v", calm.p99(urgentCaller), over.p99(urgentCaller))
			if ratio < 0.9 {
				t.Errorf("goodput at 3 times capacity is %.2f of that at capacity", ratio)
			}
			if urgent < 0.99 || over.p99(urgentCaller) > calm.p99(urgentCaller)*3/2 {
				t.Errorf("urgent answered %.4f, p99 %v -> %v", urgent, calm.p99(urgentCaller), over.p99(urgentCaller))
			}
			checkShares(t, over)
		})
	}
}

// The adaptive limit finds a capacity far from where it starts.
func TestLimitAdapts(t *testing.T) {
	for _, slots := range []float64{6, 200} {
		over := simulate(Options{}, slots, 3)
		capacity := slots / meanService.Seconds() * simLength.Seconds()
		t.Logf("%v slots: goodput %.3f of capacity", slots, float64(over.total)/capacity)
		if float64(over.total) < 0.9*capacity {
			t.Errorf("%v slots: goodput %d of %.0f", slots, over.total, capacity)
		}
	}
}

// checkShares checks that a modest caller isn't starved by a greedy one of its
// priority, nor the lowest priority by the others.
func checkShares(t *testing.T, r result) {
	t.Helper()
	lowest := r.good["entrants"] + r.good["entrants-greedy"]
	if float64(lowest) < DefaultLowShare*0.9*float64(r.total) {
		t.Errorf("the lowest priority got %d of %d", lowest, r.total)
	}
	fair := min(r.offered["entrants"], lowest/2)
	if float64(r.good["entrants"]) < 0.9*float64(fair) {
		t.Errorf("the modest caller got %d of its fair %d", r.good["entrants"], fair)
	}
}
