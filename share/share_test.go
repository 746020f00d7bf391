package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("front-%d", i)
	}
	return out
}

func TestSharesAddUpToLimit(t *testing.T) {
	for _, n := range []int{1, 6, 9, 75, 300} {
		members := names(n)
		for _, limit := range []float64{3, 11, 52, 60, 190} {
			for key := range 20 {
				sum := 0
				for _, self := range members {
					f := Fleet{Self: self, Members: members}
					sum += f.Share(limit, fmt.Sprint(key))
				}
				if want := int(limit * dividedFraction); sum != want {
					t.Fatalf("%d processes use %d of a limit of %v, want %d", n, sum, limit, want)
				}
			}
		}
	}
}

// The shares add up to at most the limit although some processes have restarted
// and know only some of the others, or learn of a new or stopped process late.
func TestSharesWithinLimitWithStaleMembers(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 4 + rng.IntN(9)
		members := names(n)
		limit := float64(10 + rng.IntN(100))
		sum := 0
		for i, self := range members {
			f := Fleet{Self: self, Members: members}
			switch rng.IntN(4) {
			case 0: // has just restarted: knows some members and an assumed size
				f.Members, f.AssumedSize = append([]string{self}, members[:rng.IntN(i+1)]...), 16
			case 1: // does not know the newest process yet
				if i < n-1 {
					f.Members = members[:n-1]
				}
			case 2: // counts a process that has stopped
				f.Members = append([]string{"gone"}, members...)
			}
			sum += f.Share(limit, "key")
		}
		if float64(sum) > limit {
			t.Fatalf("seed %d: %d processes use %d of a limit of %v", seed, n, sum, limit)
		}
	}
}

func TestRateLimitInAnyWindow(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 3))
	var r RateLimiter
	var sent []time.Time
	now := time.Unix(1_700_000_000, 0)
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		if r.Allows(now, 3) {
			r.Add(now)
			sent = append(sent, now)
		}
	}
	for i := range sent {
		if i >= 3 && sent[i].Sub(sent[i-3]) < time.Second {
			t.Fatalf("four events within %v", sent[i].Sub(sent[i-3]))
		}
	}
	if len(sent) < 1000 {
		t.Fatalf("only %d events allowed in 500 s with a limit of 3 per second", len(sent))
	}
}

// drawProcesses returns n processes in three data centres, some of them with unknown loads.
func drawProcesses(rng *rand.Rand, n int) []Process {
	out := make([]Process, n)
	for i, name := range names(n) {
		out[i] = Process{Name: name, DataCentre: fmt.Sprint("dc", i%3)}
		if rng.IntN(4) > 0 {
			out[i].Load = &Load{Sharded: rng.Float64() * 20, Single: float64(rng.IntN(2))}
		}
	}
	return out
}

// Guards against parts of a limit, divided by expected demand, that add up to more than it.
func TestFractionsByDemandAddUpToOne(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		n := 1 + rng.IntN(60)
		processes := drawProcesses(rng, n)
		r := Resource{DataCentre: "dc0", Targets: map[string]int{"dc0": 1 + rng.IntN(2), "dc1": rng.IntN(2)}, Sharded: rng.IntN(2) == 0}
		sum := 0.0
		for i := range processes {
			f := Fleet{Self: processes[i].Name, Members: names(n)}
			part := f.FractionOf(&r, processes)
			if even := f.Fraction(); part < evenPart*even-1e-9 {
				t.Fatalf("seed %d: part %v of a process, below %v of an even one", seed, part, evenPart)
			}
			sum += part
		}
		if sum > 1+1e-9 {
			t.Fatalf("seed %d: the parts of %d processes add up to %v", seed, n, sum)
		}
	}
}

// The parts follow the demand: those who have a target of the service at hand leave others to
// those who have none, and busy processes have more than quiet ones.
func TestFractionsFollowDemand(t *testing.T) {
	processes := []Process{
		{Name: "near-busy", DataCentre: "dc0", Load: &Load{Sharded: 30}},
		{Name: "near-quiet", DataCentre: "dc0", Load: &Load{Sharded: 3}},
		{Name: "near-other", DataCentre: "dc1", Load: &Load{Sharded: 30}},
		{Name: "near-none", DataCentre: "dc2", Load: &Load{Sharded: 30}},
	}
	r := Resource{DataCentre: "dc0", Targets: map[string]int{"dc0": 1, "dc1": 1}, Sharded: true}
	var members []string
	for _, p := range processes {
		members = append(members, p.Name)
	}
	var parts []float64
	for _, p := range processes {
		f := Fleet{Self: p.Name, Members: members}
		parts = append(parts, f.FractionOf(&r, processes))
	}
	if !(parts[0] > parts[3] && parts[3] > parts[1] && parts[1] > parts[2]) {
		t.Errorf("parts %v, want them in the order of the expected demand: 30, 3, 0 and 15 a second", parts)
	}
}

// Guards against a process that goes by a load that the others do not know yet.
func TestSharedLoadLagsBehindRise(t *testing.T) {
	var m LoadMeter
	total := uint64(0)
	now := time.Unix(1_700_000_000, 0)
	run := func(seconds int, perSecond uint64) {
		for range seconds {
			now = now.Add(time.Second)
			total += perSecond
			m.Add(now, total, 0)
		}
	}
	run(3, 10)
	if m.Load() != nil || m.Shared(now) != nil {
		t.Error("a load is known after 3 s")
	}
	run(20, 10)
	run(4, 100)
	if told, shared := m.Load().Sharded, m.Shared(now).Sharded; told < 40 || shared > 11 {
		t.Errorf("load %v, shared %v 4 s after a rise from 10 to 100 a second, want the shared one to lag", told, shared)
	}
	run(20, 100)
	if shared := m.Shared(now).Sharded; shared < 99 {
		t.Errorf("shared load %v 24 s after the rise, want 100", shared)
	}
	run(4, 0)
	if told, shared := m.Load().Sharded, m.Shared(now).Sharded; shared != told {
		t.Errorf("load %v, shared %v 4 s after a fall, want the lower one", told, shared)
	}
}
