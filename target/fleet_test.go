package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

var groups = map[string]int{theName: contract.Slots, "a": 2, "b": 2, "c": 2}

// waitFor runs the fleet until done, and returns the time that it took.
func (f *fleet) waitFor(limit time.Duration, what string, done func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !done() {
		if f.now.Sub(start) > limit {
			f.t.Fatalf("%s: not within %v%s", what, limit, f.dump())
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

// warmHolders reports whether all permits of the target are in use as warm.
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
		if n.up && n.table.HoldsZero(f.now, theName) {
			return n
		}
	}
	f.t.Fatal("nobody holds permit 0")
	return nil
}

func started(t *testing.T, seed uint64, relays int) *fleet {
	f := newFleet(t, seed, relays)
	f.waitFor(permit.DefaultFencingDelay+3*time.Second, "fleet start", f.allHeld)
	f.waitFor(10*time.Second, "first ramp", f.fullShare)
	return f
}

func TestFleetThatStartsAtOnceConverges(t *testing.T) {
	for seed := range uint64(5) {
		started(t, seed, 9)
	}
}

func TestTargetThatTurnsColdUnderFullLoadIsRampedOnce(t *testing.T) {
	for _, newBoot := range []bool{true, false} {
		f := started(t, 1, 9)
		f.turnCold(newBoot)
		// Its own warming at the allowance: WarmAfter requests per step of the
		// ramp, each three steps of the clock, at 1 and then 2 at once.
		own := 3 * step * time.Duration(contract.WarmAfter+contract.WarmAfter/2)
		f.waitFor(500*time.Millisecond, "sign", func() bool { return !f.fullShare() })
		took := f.waitFor(2*own, "full share", f.fullShare)
		t.Logf("new boot %v: full share after %v (own warming %v), %d requests above the allowance", newBoot, took, own, f.tgt.excess)
	}
}

func TestRefusingTargetIsTriedBySingleRequests(t *testing.T) {
	f := started(t, 2, 9)
	f.tgt.down = true
	f.run(5 * time.Second)
	if zero := f.zeroHolder().machine; zero.State() != wire.TargetOut || zero.Limit() > 1 {
		t.Fatalf("state %v, limit %d", zero.State(), zero.Limit())
	}
	f.tgt.down = false
	f.turnCold(true)
	f.waitFor(12*time.Second, "return", f.fullShare)
}

func TestPauseBeyondFencingAndLateWakeUp(t *testing.T) {
	f := started(t, 3, 9)
	zero := f.zeroHolder()
	zero.paused = true
	f.unlist(zero)
	took := f.waitFor(permit.DefaultFencingDelay+5*time.Second, "takeover", f.allHeld)
	t.Logf("taken over %v after the list dropped the paused relay", took)
	f.turnCold(true)
	zero.paused = false
	f.run(time.Second)
	f.relist(zero, 0)
	f.run(20 * time.Second)
	f.waitFor(10*time.Second, "return", f.allHeld)
}

func TestKilledRelayIsTakenOver(t *testing.T) {
	f := started(t, 4, 9)
	zero := f.zeroHolder()
	zero.up = false
	f.run(2 * time.Second)
	f.unlist(zero)
	took := f.waitFor(permit.DefaultFencingDelay+f.lag+2*time.Second, "takeover", f.allHeld)
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
	watch := func(d time.Duration) {
		for range int(d / step) {
			f.run(step)
			gap += step
			if f.holders(theName, 0) == 1 {
				gap = 0
			}
			longest = max(longest, gap)
		}
	}
	for i := range 9 {
		old := f.nodes[i]
		f.flagLeaving(old)
		f.permitActions(old, old.table.Leave(f.now))
		watch(8 * time.Second)
		if !old.table.Idle() {
			t.Fatalf("%s still holds permits", old.name)
		}
		old.up = false
		f.unlist(old)
		f.join(old.name+"-next", i%3)
		watch(8 * time.Second)
	}
	f.waitFor(5*time.Second, "last hand-over", f.allHeld)
	t.Logf("permit 0 unused for at most %v", longest)
	if limit := 3 * time.Second; longest > limit {
		t.Fatalf("permit 0 unused for %v, limit %v", longest, limit)
	}
	if !f.fullShare() {
		t.Error("the target isn't warm after the hand-overs")
	}
}

func TestTwoRelaysThatDisagreeAboutPermitZero(t *testing.T) {
	f := started(t, 6, 6)
	zero := f.zeroHolder()
	zero.listCut = true
	for i := range 6 {
		f.join("new"+string(rune('0'+i))+"/relay", i%3)
	}
	f.run(2 * time.Second) // the new relays see a list that zero doesn't know
	f.turnCold(true)
	f.run(30 * time.Second)
	zero.listCut = false
	f.waitFor(10*time.Second, "agreement", f.allHeld)
}

func (f *fleet) dump() string {
	s := fmt.Sprintf("\nat %v list %v", f.now.Sub(time.Unix(1e9, 0)), f.list)
	for _, n := range f.nodes {
		m := n.machine
		s += fmt.Sprintf("\n%s up %v %v %v infos %v\n   limit %d state %v why %q held %+v lost %v warm %v ramp %d proved %v inflight %d boot %s past %v coldSeq %d heard %v", n.name, n.up, n.paused, n.table.Mode(f.now), n.table.Infos(), m.Limit(), m.State(), m.Why(), m.permits, m.lost, m.warm, m.ramp, m.proved, m.inflight, m.boot, m.pastBoots, m.coldSeq%1e15, m.heard)
	}
	return s + fmt.Sprintf("\ntgt boot %d done %d down %v now %v", f.tgt.boot, f.tgt.done, f.tgt.down, f.now)
}
