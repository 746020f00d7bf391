package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
)

// The simulated server runs as many requests at full speed as its capacity. More
// requests slow each other down in proportion.
const (
	serverCapacity  = 20
	meanServiceTime = 20 * time.Millisecond
	simDuration     = 20 * time.Second
	highPriority    = "secretaries"
	lightCaller     = "entrants"
	heavyCaller     = "entrants-greedy"
)

var epoch = time.Unix(1_700_000_000, 0)

// load lists the callers, with the fraction of the capacity that each uses at
// factor 1.
var load = []struct {
	caller   string
	priority int
	fraction float64
	deadline time.Duration
}{
	{highPriority, 0, 0.10, 100 * time.Millisecond},
	{"judges", 3, 0.40, 100 * time.Millisecond},
	{lightCaller, 6, 0.05, 75 * time.Millisecond},
	{heavyCaller, 6, 0.45, 75 * time.Millisecond},
}

type job struct {
	id                               uint64
	caller                           string
	arrived, admitted, end, deadline time.Time
}

// arrivals returns the requests of factor times the load, in the order of arrival.
// The load of highPriority is not multiplied.
func arrivals(rng *rand.Rand, capacity, factor float64) []*job {
	var jobs []*job
	for _, l := range load {
		rate := l.fraction * capacity / meanServiceTime.Seconds()
		if l.caller != highPriority {
			rate *= factor
		}
		for at := epoch; at.Before(epoch.Add(simDuration)); {
			at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			jobs = append(jobs, &job{id: uint64(len(jobs)), caller: l.caller, arrived: at, deadline: at.Add(l.deadline)})
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return a.arrived.Compare(b.arrived) })
	return jobs
}

type result struct {
	offered map[string]int             // number of requests
	inTime  map[string][]time.Duration // latencies of the requests that met their deadlines
	total   int                        // number of requests that met their deadlines
}

func (r result) p99(caller string) time.Duration {
	slices.Sort(r.inTime[caller])
	return r.inTime[caller][len(r.inTime[caller])*99/100]
}

func simulate(opts Options, capacity, factor float64) result {
	rng := rand.New(rand.NewPCG(7, 11))
	c, callers, byID := New(opts, rng), map[string]folder.Caller{}, map[uint64]*job{}
	for _, l := range load {
		callers[l.caller] = folder.Caller{Name: l.caller, Priority: l.priority}
	}
	c.SetCallers(epoch, callers)
	r := result{offered: map[string]int{}, inTime: map[string][]time.Duration{}}
	var running []*job // ordered by end
	admit := func(now time.Time, decisions ...Decision) {
		for _, d := range decisions {
			if d.Outcome != Admitted {
				continue
			}
			j := byID[d.ID]
			slowdown := max(1, float64(len(running)+1)/capacity)
			j.admitted, j.end = now, now.Add(time.Duration(float64(meanServiceTime)*(0.5+rng.Float64())*slowdown))
			at, _ := slices.BinarySearchFunc(running, j, func(a, b *job) int { return cmp.Or(a.end.Compare(b.end), -1) })
			running = slices.Insert(running, at, j)
		}
	}
	finish := func(until time.Time) {
		for len(running) > 0 && !running[0].end.After(until) {
			j := running[0]
			running = running[1:]
			metDeadline := !j.end.After(j.deadline)
			if metDeadline {
				r.inTime[j.caller] = append(r.inTime[j.caller], j.end.Sub(j.arrived))
				r.total++
			}
			admit(j.end, c.Done(j.end, j.id, metDeadline, j.end.Sub(j.admitted))...)
		}
	}
	for _, j := range arrivals(rng, capacity, factor) {
		finish(j.arrived)
		byID[j.id] = j
		r.offered[j.caller]++
		own, others := c.Submit(j.arrived, Request{ID: j.id, Caller: j.caller, Search: "s", Deadline: j.deadline})
		admit(j.arrived, append(others, own)...)
	}
	finish(epoch.Add(2 * simDuration))
	return r
}

// At 3 times the capacity, the goodput is at least 90% of that at capacity, 99%
// of the requests of highPriority meet their deadlines at a p99 of at most 1.5
// times that at capacity, lightCaller gets at least 90% of its fair share within
// its priority, and the lowest priority gets at least 90% of its guaranteed fraction.
// In ModeFIFO, the conditions on goodput and highPriority are not met, which shows
// that the load detects a policy that fails under overload.
func TestOverload(t *testing.T) {
	for _, mode := range []Mode{ModeAdaptive, ModeFixed, ModeFIFO} {
		opts := Options{Mode: mode, InitialLimit: serverCapacity}
		atCapacity, overloaded := simulate(opts, serverCapacity, 1), simulate(opts, serverCapacity, 3)
		fractionInTime := float64(len(overloaded.inTime[highPriority])) / float64(overloaded.offered[highPriority])
		lowestPriority := len(overloaded.inTime[lightCaller]) + len(overloaded.inTime[heavyCaller])
		fairCount := min(overloaded.offered[lightCaller], lowestPriority/2)
		t.Logf("%s: goodput %d -> %d, high priority p99 %v -> %v, fraction in time %.4f, lowest priority %d, of these light caller %d",
			mode, atCapacity.total, overloaded.total, atCapacity.p99(highPriority), overloaded.p99(highPriority), fractionInTime, lowestPriority, len(overloaded.inTime[lightCaller]))
		passed := map[string]bool{
			"goodput":       float64(overloaded.total) >= 0.9*float64(atCapacity.total),
			"high priority": fractionInTime >= 0.99 && overloaded.p99(highPriority) <= atCapacity.p99(highPriority)*3/2,
			"fairness":      float64(len(overloaded.inTime[lightCaller])) >= 0.9*float64(fairCount),
			"priorities":    float64(lowestPriority) >= 0.9*DefaultLowPriorityFraction*float64(overloaded.total),
		}
		for name, ok := range passed {
			if mode != ModeFIFO && !ok {
				t.Errorf("%s: condition %q not met", mode, name)
			}
		}
		if mode == ModeFIFO && (passed["goodput"] || passed["high priority"]) {
			t.Error("ModeFIFO meets the conditions, so the load does not detect a policy that fails under overload")
		}
	}
}

// The adaptive limit approaches a capacity far from InitialLimit.
func TestLimitAdapts(t *testing.T) {
	for _, capacity := range []float64{6, 200} {
		fraction := float64(simulate(Options{}, capacity, 3).total) / (capacity / meanServiceTime.Seconds() * simDuration.Seconds())
		t.Logf("capacity %v: goodput %.3f of capacity", capacity, fraction)
		if fraction < 0.9 {
			t.Errorf("capacity %v: goodput %.3f of capacity, want at least 0.9", capacity, fraction)
		}
	}
}
