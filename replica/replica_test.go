package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

var epoch = time.Unix(1_700_000_000, 0)

// Whatever happened before, a choice is usable, not avoided, within the
// allowance of a cold target, and an extra one goes to a warm target that
// hasn't just failed. What must be usable is taken from the events alone.
func TestPickIsUsable(t *testing.T) {
	relays := []string{"r0", "r1", "r2"}
	targets := []string{"t0", "t1", "t2"}
	codes := []code.Code{code.OK, code.Shed, code.Broken, code.TargetOut, code.Canceled}
	type route struct{ relay, target string }
	rapid.Check(t, func(t *rapid.T) {
		table := New(Options{})
		now := epoch
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		in := map[string]bool{}
		held := map[route]wire.Holding{}
		sent := map[route]int{}
		failed := map[string]bool{} // since now last moved
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			r := route{rapid.SampledFrom(relays).Draw(t, "relay"), rapid.SampledFrom(targets).Draw(t, "target")}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				in[r.target] = rapid.Bool().Draw(t, "in")
				table.SetTarget(r.target, "dc", in[r.target])
			case 1, 2:
				h := wire.Holding{
					Target: r.target,
					State:  wire.TargetState(rapid.IntRange(0, 3).Draw(t, "state")),
					Limit:  uint16(rapid.IntRange(0, 2).Draw(t, "limit")),
				}
				held[r] = h
				table.SetHolding(r.relay, h)
			case 3:
				table.DropRelay(r.relay)
				for _, target := range targets {
					delete(held, route{r.relay, target})
				}
			case 4:
				if sent[r] > 0 {
					sent[r]--
					c := rapid.SampledFrom(codes).Draw(t, "code")
					failed[r.target] = failed[r.target] || c != code.OK && c != code.Canceled
					table.Done(now, r.relay, r.target, Outcome{Code: c, Service: time.Millisecond})
				}
			case 5:
				now = now.Add(2 * DefaultFailurePause)
				clear(failed)
			case 6:
				purpose := Purpose(rapid.IntRange(0, 1).Draw(t, "purpose"))
				choice, got := table.Pick(now, rng, targets, purpose, []Avoid{{Target: r.target}})
				if got != code.OK {
					continue
				}
				c := route{choice.Relay, choice.Target}
				h := held[c]
				usable := in[c.target] && h.Limit > 0 && h.State >= wire.TargetCold && c.target != r.target
				cold := h.State == wire.TargetCold
				if !usable || cold && sent[c] >= int(h.Limit) {
					t.Fatalf("picked %v of holding %+v with %d sent", choice, h, sent[c])
				}
				if purpose == Extra && (cold || failed[c.target]) {
					t.Fatalf("extra attempt at %v, failed %v", choice, failed)
				}
				table.Sent(c.relay, c.target)
				sent[c]++
			}
		}
	})
}

func newPair(opts Options, states ...wire.TargetState) (*Table, []string) {
	table := New(opts)
	var targets []string
	for i, state := range states {
		name := fmt.Sprint("t", i)
		targets = append(targets, name)
		table.SetTarget(name, fmt.Sprint("dc", i), true)
		table.SetHolding("r", wire.Holding{Target: name, State: state, Limit: 1})
	}
	return table, targets
}

func TestDataCentreBreaksTiesOnly(t *testing.T) {
	table, targets := newPair(Options{DataCentre: "dc1"}, wire.TargetWarm, wire.TargetWarm)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, want := range []string{"t1", "t0"} {
		choice, _ := table.Pick(epoch, rng, targets, First, nil)
		if choice.Target != want {
			t.Errorf("picked %s, want %s", choice.Target, want)
		}
		table.Sent(choice.Relay, choice.Target)
	}
}

// A cold target takes part up to its allowance, so that it warms, and no more.
func TestColdAllowance(t *testing.T) {
	table, targets := newPair(Options{}, wire.TargetWarm, wire.TargetCold)
	rng := rand.New(rand.NewPCG(1, 1))
	picked := map[string]int{}
	for range 50 {
		choice, _ := table.Pick(epoch, rng, targets, First, nil)
		table.Sent(choice.Relay, choice.Target)
		picked[choice.Target]++
	}
	if picked["t1"] != 1 {
		t.Errorf("cold target picked %d times at once", picked["t1"])
	}
	if _, got := table.Pick(epoch, rng, targets[1:], First, nil); got != code.TargetCold {
		t.Errorf("only a full cold target: %s", got)
	}
	// A queue at the relay that other gateways caused counts too.
	table.Done(epoch, "r", "t1", Outcome{Code: code.OK, Queue: 1})
	if _, got := table.Pick(epoch, rng, targets[1:], First, nil); got != code.TargetCold {
		t.Errorf("a cold target with a queue: %s", got)
	}
}

// arrivalInterval leaves even the slow target spare capacity at an equal share.
const arrivalInterval = 3 * time.Millisecond

// station is a simulated target with one slot to each of its two relays.
type station struct {
	free    [2]time.Time
	service time.Duration
}

// waits returns the p99 of times from arrival to answer over one shard's four
// targets, one of them four times slower, with the choice made by pick.
func waits(balanced bool) time.Duration {
	rng := rand.New(rand.NewPCG(9, 9))
	table := New(Options{})
	stations := map[string]*station{}
	var targets []string
	for i := range 4 {
		name := fmt.Sprint("t", i)
		targets = append(targets, name)
		stations[name] = &station{service: 5 * time.Millisecond}
		table.SetTarget(name, "dc", true)
		for relay := range 2 {
			table.SetHolding(fmt.Sprint(relay), wire.Holding{Target: name, State: wire.TargetWarm, Limit: 1})
		}
	}
	stations["t3"].service *= 4
	type answer struct {
		at      time.Time
		choice  Choice
		service time.Duration
	}
	var pending []answer
	var took []time.Duration
	now := epoch
	for range 20000 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(arrivalInterval)))
		pending = slices.DeleteFunc(pending, func(a answer) bool {
			if a.at.After(now) {
				return false
			}
			table.Done(a.at, a.choice.Relay, a.choice.Target, Outcome{Code: code.OK, Service: a.service})
			return true
		})
		choice := Choice{Relay: fmt.Sprint(rng.IntN(2)), Target: targets[rng.IntN(4)]}
		if balanced {
			choice, _ = table.Pick(now, rng, targets, First, nil)
		}
		table.Sent(choice.Relay, choice.Target)
		s := stations[choice.Target]
		slot := &s.free[choice.Relay[0]-'0']
		service := time.Duration(float64(s.service) * (0.5 + rng.Float64()))
		if slot.Before(now) {
			*slot = now
		}
		*slot = slot.Add(service)
		pending = append(pending, answer{at: *slot, choice: choice, service: service})
		took = append(took, slot.Sub(now))
	}
	slices.Sort(took)
	return took[len(took)*99/100]
}

// Choosing by load keeps a slow target from holding up the tail; choosing at
// random doesn't.
func TestSlowTarget(t *testing.T) {
	picked, random := waits(true), waits(false)
	t.Logf("p99 %v, chosen at random %v", picked, random)
	if float64(picked) > 0.4*float64(random) {
		t.Errorf("p99 %v, chosen at random %v", picked, random)
	}
}

func BenchmarkPick(b *testing.B) {
	table := New(Options{DataCentre: "dc"})
	var shards [][]string
	for i := range 920 {
		pair := []string{fmt.Sprintf("target-%04d-a", i), fmt.Sprintf("target-%04d-b", i)}
		shards = append(shards, pair)
		for _, name := range pair {
			table.SetTarget(name, "dc", true)
			for r := range 2 {
				table.SetHolding(fmt.Sprint("relay-", (i+r)%40), wire.Holding{Target: name, State: wire.TargetWarm, Limit: 1})
			}
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Pick(epoch, rng, shards[i%len(shards)], First, nil)
	}
}
