package target

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

const fence = permit.DefaultFencingDelay

// waitFor runs the fleet until done, and returns the time that it took.
func (f *fleet) waitFor(limit time.Duration, what string, done func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !done() {
		if f.now.Sub(start) > limit {
			f.fail("%s: not within %v", what, limit)
		}
		f.run(step)
	}
	return f.now.Sub(start)
}

func (f *fleet) allHeld() bool {
	for group, n := range groups {
		for i := range n {
			if f.holders(group, i) != 1 {
				return false
			}
		}
	}
	return true
}

// fullShare reports whether all permits of the target are in use as warm.
func (f *fleet) fullShare() bool {
	limit := 0
	for _, n := range f.nodes {
		if n.up && !n.paused && n.machine.State() == wire.TargetWarm {
			limit += n.machine.Limit()
		}
	}
	return limit == contract.Slots
}

func (f *fleet) zeroHolder() *node {
	for _, n := range f.nodes {
		if n.up && n.table.HoldsZero(f.now, leaf) {
			return n
		}
	}
	f.fail("nobody holds permit 0")
	return nil
}

// started returns a fleet that has started all at once.
func started(t *testing.T, seed uint64, relays int) *fleet {
	f := newFleet(t, seed, relays)
	f.waitFor(fence+3*time.Second, "fleet start", f.allHeld)
	f.waitFor(10*time.Second, "first ramp", f.fullShare)
	return f
}

func TestTargetThatTurnsColdUnderFullLoadIsRampedOnce(t *testing.T) {
	for _, newBoot := range []bool{true, false} {
		f := started(t, 1, 9)
		f.turnCold(newBoot)
		// Its own warming at the allowance: WarmAfter requests for each step of
		// the ramp, each three steps of the clock, at 1 and then 2 at once.
		own := 3 * step * time.Duration(contract.WarmAfter+contract.WarmAfter/2)
		f.waitFor(500*time.Millisecond, "sign", func() bool { return !f.fullShare() })
		took := f.waitFor(2*own, "full share", f.fullShare)
		t.Logf("new boot %v: full share after %v (own warming %v), %d requests above the allowance", newBoot, took, own, f.excess)
	}
}

func TestRefusingTargetIsTriedBySingleRequests(t *testing.T) {
	f := started(t, 2, 9)
	f.down = true
	f.run(5 * time.Second)
	if zero := f.zeroHolder().machine; zero.State() != wire.TargetOut || zero.Limit() > 1 {
		t.Fatalf("state %v, limit %d", zero.State(), zero.Limit())
	}
	f.down = false
	f.turnCold(true)
	f.waitFor(12*time.Second, "return", f.fullShare)
}

func TestPauseBeyondFencingAndLateWakeUp(t *testing.T) {
	f := started(t, 3, 9)
	zero := f.zeroHolder()
	zero.paused = true
	f.unlist(zero)
	f.waitFor(fence+5*time.Second, "takeover", f.allHeld)
	f.turnCold(true)
	zero.paused = false
	f.run(time.Second)
	f.enlist(zero, 0, false)
	f.run(20 * time.Second)
	f.waitFor(10*time.Second, "return", f.allHeld)
}

func TestKilledRelayIsTakenOver(t *testing.T) {
	f := started(t, 4, 9)
	zero := f.zeroHolder()
	zero.up = false
	f.run(2 * time.Second)
	f.unlist(zero)
	took := f.waitFor(fence+f.lag+2*time.Second, "takeover", f.allHeld)
	t.Logf("taken over %v after the list dropped the killed relay", took)

	zero = f.zeroHolder()
	zero.up = false
	f.run(time.Second)
	f.start(zero)
	took = f.waitFor(permit.DefaultQuietPeriod+2*time.Second, "restart", f.allHeld)
	t.Logf("held again %v after the restart of the process", took)
}

func TestRollingReplacementKeepsPermitsUsable(t *testing.T) {
	f := started(t, 5, 9)
	longest, gap := time.Duration(0), time.Duration(0)
	watch := func() {
		for range 8 * time.Second / step {
			f.run(step)
			gap += step
			if f.holders(leaf, 0) == 1 {
				gap = 0
			}
			longest = max(longest, gap)
		}
	}
	for i, old := range f.nodes {
		f.enlist(old, i, true)
		perform(f, old, old.table.Leave(f.now))
		watch()
		if !old.table.Idle() {
			t.Fatalf("%s still holds permits", old.name)
		}
		old.up = false
		f.unlist(old)
		f.join(old.name+"-next", i)
		watch()
	}
	f.waitFor(5*time.Second, "last hand-over", f.allHeld)
	t.Logf("permit 0 unused for at most %v", longest)
	if limit := 3 * time.Second; longest > limit || !f.fullShare() {
		t.Fatalf("permit 0 unused for %v, limit %v; full share %v", longest, limit, f.fullShare())
	}
}

func TestRelaysWithoutHistoryWaitForOneDroppedBeforeTheirStart(t *testing.T) {
	f := started(t, 9, 6)
	zero := f.zeroHolder()
	zero.side, zero.listCut, f.lag = 1, true, 0
	late := f.list
	f.unlist(zero)
	for _, n := range f.nodes {
		if n != zero {
			f.start(n)
		}
	}
	f.run(permit.DefaultVMListLag - time.Second)
	late.AsOf = f.now
	perform(f, zero, zero.table.SetVMList(f.now, late)) // a read that lags
	f.waitFor(fence+3*time.Second, "takeover", f.allHeld)
}

func TestTwoRelaysThatDisagreeAboutPermitZero(t *testing.T) {
	f := started(t, 6, 6)
	zero := f.zeroHolder()
	zero.listCut = true
	for i := range 6 {
		f.join("new"+string(rune('0'+i))+"/relay", i)
	}
	f.run(2 * time.Second) // the new relays see a list that zero doesn't know
	f.turnCold(true)
	f.run(30 * time.Second)
	zero.listCut = false
	f.waitFor(10*time.Second, "agreement", f.allHeld)
}

func TestListOutageForAllKeepsWarmTargetsInUse(t *testing.T) {
	f := started(t, 7, 6)
	for _, n := range f.nodes {
		n.listCut = true
	}
	f.run(permit.DefaultVMListMaxAge + step)
	if f.holders(leaf, 1) != 0 {
		t.Fatal("permits in use with a view that is too old")
	}
	for _, n := range f.nodes {
		n.table.SetVMListDown(f.now, true)
	}
	f.waitFor(5*time.Second, "use of warm permits", f.fullShare)
	f.turnCold(true)
	f.run(time.Minute)
	if f.done > contract.Slots {
		t.Errorf("%d requests completed at a cold target", f.done)
	}
	f.unlist(f.nodes[5])
	f.heal()
	f.waitFor(fence+10*time.Second, "end of the outage", f.allHeld)
}

func TestPermitAboveZeroOfUnreachableRelayIsTakenAndCounted(t *testing.T) {
	f := started(t, 8, 9)
	zero := f.zeroHolder()
	zero.side = 1
	f.run(fence + 5*time.Second)
	if f.holders(leaf, 0) != 1 || f.taken() == 0 {
		t.Errorf("permit 0 has %d holders, %d permits above 0 taken", f.holders(leaf, 0), f.taken())
	}
	zero.side = 0
	f.waitFor(3*time.Second, "end of the overlap", f.allHeld)
}

// The search is the same in every run; flags on the command line change it.
func init() {
	for name, value := range map[string]string{"seed": "20261204", "checks": "200", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
}

// TestInterleavings searches random interleavings of faults for two holders of
// a permit and for work above a cold target's allowance.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(rt, name) }
		f := newFleet(rt, rapid.Uint64().Draw(rt, "seed"), 5)
		f.lag = time.Duration(draw("lag", 0, 4)) * time.Second
		f.loss = float64(draw("loss", 0, 3)) / 10
		f.run(20 * time.Second)
		for range draw("faults", 1, 12) {
			i := draw("relay", 0, len(f.nodes)-1)
			f.fault(draw("fault", 0, 9), i, f.nodes[i])
			f.run(time.Duration(draw("steps", 1, 200)) * step)
		}
		f.heal()
		f.waitFor(2*time.Minute, "convergence", f.allHeld)
		f.waitFor(time.Minute, "full share", f.fullShare)
	})
}

func (f *fleet) fault(kind, i int, n *node) {
	switch kind {
	case 0:
		n.paused = !n.paused
	case 1:
		n.side = 1 - n.side
	case 2:
		n.listCut = !n.listCut
	case 3:
		f.unlist(n)
	case 4, 5:
		f.enlist(n, i, kind == 5)
	case 6:
		if n.up {
			n.up = false
		} else {
			f.start(n)
		}
	case 7, 8:
		f.turnCold(kind == 7)
	case 9:
		f.down = !f.down
	}
}

func (f *fleet) heal() {
	f.loss, f.down = 0, false
	for i, n := range f.nodes {
		n.paused, n.side, n.listCut = false, 0, false
		f.enlist(n, i, false)
		if !n.up {
			f.start(n)
		}
	}
}
