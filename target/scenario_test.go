package target

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

const fencingDelay = permit.DefaultFencingDelay

// waitFor runs the simulation until done returns true, and returns the
// simulated time that it took.
func (s *simulation) waitFor(limit time.Duration, what string, done func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !done() {
		if s.now.Sub(start) > limit {
			s.fail("%s took longer than %v", what, limit)
		}
		s.run(step)
	}
	return s.now.Sub(start)
}

// allHeld reports whether every permit of every group has exactly one holder.
func (s *simulation) allHeld() bool {
	for group, n := range groups {
		for i := range n {
			if s.holders(group, i) != 1 {
				return false
			}
		}
	}
	return true
}

// fullyUsed reports whether all permits of the target are usable at relays
// whose state of the target is warm.
func (s *simulation) fullyUsed() bool {
	limit := 0
	for _, n := range s.nodes {
		if n.up && !n.paused && n.machine.State() == wire.TargetWarm {
			limit += n.machine.Limit()
		}
	}
	return limit == contract.Slots
}

func (s *simulation) holderOfZero() *node {
	for _, n := range s.nodes {
		if n.up && n.table.HoldsZero(s.now, targetName) {
			return n
		}
	}
	s.fail("no relay holds permit 0")
	return nil
}

// startedSimulation returns a simulation whose relays have started at once, with
// a warm target.
func startedSimulation(t *testing.T, seed uint64, relays int) *simulation {
	s := newSimulation(t, seed, relays)
	s.waitFor(fencingDelay+3*time.Second, "acquisition of all permits after the start", s.allHeld)
	s.waitFor(10*time.Second, "first ramp of the target", s.fullyUsed)
	return s
}

func TestTargetTurningColdUnderFullLoadIsRampedOnce(t *testing.T) {
	for _, newBoot := range []bool{true, false} {
		s := startedSimulation(t, 1, 9)
		s.turnCold(newBoot)
		// The ramp of one target: WarmAfter requests for each step of the ramp,
		// each taking three steps of the clock, with 1 and then 2 in progress.
		ramp := 3 * step * time.Duration(contract.WarmAfter+contract.WarmAfter/2)
		s.waitFor(500*time.Millisecond, "evidence that the target turned cold", func() bool { return !s.fullyUsed() })
		took := s.waitFor(2*ramp, "use of all permits", s.fullyUsed)
		t.Logf("new boot %v: all permits in use after %v (ramp alone %v), %d requests above the cold limit", newBoot, took, ramp, s.excess)
	}
}

func TestTargetThatRefusesConnectionsGetsAtMostOneRequest(t *testing.T) {
	s := startedSimulation(t, 2, 9)
	s.down = true
	s.run(5 * time.Second)
	if m := s.holderOfZero().machine; m.State() != wire.TargetOutOfService || m.Limit() > 1 {
		t.Fatalf("state %v, limit %d while connections are refused, want out of service, at most 1", m.State(), m.Limit())
	}
	s.down = false
	s.turnCold(true)
	s.waitFor(12*time.Second, "return of the target", s.fullyUsed)
}

func TestRelayResumesAfterPauseBeyondFencingDelay(t *testing.T) {
	s := startedSimulation(t, 3, 9)
	holder := s.holderOfZero()
	holder.paused = true
	s.removeFromList(holder)
	s.waitFor(fencingDelay+5*time.Second, "takeover", s.allHeld)
	s.turnCold(true)
	holder.paused = false
	s.run(time.Second)
	s.addToList(holder, 0, false)
	s.run(20 * time.Second)
	s.waitFor(10*time.Second, "return of the paused relay", s.allHeld)
}

func TestPermitsOfKilledRelayAreTakenOver(t *testing.T) {
	s := startedSimulation(t, 4, 9)
	holder := s.holderOfZero()
	holder.up = false
	s.run(2 * time.Second)
	s.removeFromList(holder)
	took := s.waitFor(fencingDelay+s.maxListLag+2*time.Second, "takeover", s.allHeld)
	t.Logf("permits taken over %v after the VM list dropped the killed relay", took)

	holder = s.holderOfZero()
	holder.up = false
	s.run(time.Second)
	s.start(holder)
	took = s.waitFor(permit.DefaultQuietPeriod+2*time.Second, "restart", s.allHeld)
	t.Logf("permits held again %v after the restart of the process", took)
}

func TestRollingReplacementKeepsPermitsUsable(t *testing.T) {
	s := startedSimulation(t, 5, 9)
	longest, unheld := time.Duration(0), time.Duration(0)
	watch := func() {
		for range 8 * time.Second / step {
			s.run(step)
			unheld += step
			if s.holders(targetName, 0) == 1 {
				unheld = 0
			}
			longest = max(longest, unheld)
		}
	}
	for i, old := range s.nodes {
		s.addToList(old, i, true)
		perform(s, old, old.table.Leave(s.now))
		watch()
		if !old.table.Idle() {
			t.Fatalf("%s still holds permits after it has left", old.name)
		}
		old.up = false
		s.removeFromList(old)
		s.join(old.name+"-next", i)
		watch()
	}
	s.waitFor(5*time.Second, "last handover", s.allHeld)
	t.Logf("permit 0 unused for at most %v", longest)
	if limit := 3 * time.Second; longest > limit || !s.fullyUsed() {
		t.Fatalf("permit 0 unused for %v, want at most %v; all permits in use: %v", longest, limit, s.fullyUsed())
	}
}

func TestRestartedRelaysWaitForRelayDroppedBeforeTheirStart(t *testing.T) {
	s := startedSimulation(t, 9, 6)
	holder := s.holderOfZero()
	holder.partition, holder.listDown, s.maxListLag = 1, true, 0
	stale := s.list
	s.removeFromList(holder)
	for _, n := range s.nodes {
		if n != holder {
			s.start(n)
		}
	}
	s.run(permit.DefaultVMListLag - time.Second)
	stale.AsOf = s.now
	perform(s, holder, holder.table.SetVMList(s.now, stale)) // a read that lags
	s.waitFor(fencingDelay+3*time.Second, "takeover", s.allHeld)
}

func TestRelaysThatDisagreeAboutPermitZero(t *testing.T) {
	s := startedSimulation(t, 6, 6)
	holder := s.holderOfZero()
	holder.listDown = true
	for i := range 6 {
		s.join("new"+string(rune('0'+i))+"/relay", i)
	}
	s.run(2 * time.Second) // the new relays read a list that the holder has not read
	s.turnCold(true)
	s.run(30 * time.Second)
	holder.listDown = false
	s.waitFor(10*time.Second, "agreement about the holders", s.allHeld)
}

func TestListOutageAtAllRelaysKeepsWarmTargetsInUse(t *testing.T) {
	s := startedSimulation(t, 7, 6)
	for _, n := range s.nodes {
		n.listDown = true
	}
	s.run(permit.DefaultVMListMaxAge + step)
	if s.holders(targetName, 1) != 0 {
		t.Fatal("permits in use with a copy of the VM list that is too old")
	}
	for _, n := range s.nodes {
		n.table.SetVMListDown(s.now, true)
	}
	s.waitFor(5*time.Second, "use of warm permits", s.fullyUsed)
	s.turnCold(true)
	s.run(time.Minute)
	if s.completed > contract.Slots {
		t.Errorf("%d requests completed at a cold target, want at most its slots", s.completed)
	}
	s.removeFromList(s.nodes[5])
	s.heal()
	s.waitFor(fencingDelay+10*time.Second, "end of the outage", s.allHeld)
}

func TestPermitAboveZeroOfUnreachableRelayIsTakenOverAndCounted(t *testing.T) {
	s := startedSimulation(t, 8, 9)
	holder := s.holderOfZero()
	holder.partition = 1
	s.run(fencingDelay + 5*time.Second)
	if s.holders(targetName, 0) != 1 || s.permitOverlaps() == 0 {
		t.Errorf("permit 0 has %d holders, want 1; %d permits above 0 taken over, want some", s.holders(targetName, 0), s.permitOverlaps())
	}
	holder.partition = 0
	s.waitFor(3*time.Second, "end of the overlap", s.allHeld)
}

// init makes the random search the same in every run. Flags on the command line
// override it.
func init() {
	for name, value := range map[string]string{"seed": "20261204", "checks": "200", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
}

// TestFaultInterleavings searches random interleavings of faults for a permit
// with two holders and for requests above a cold target's limit.
func TestFaultInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(rt, name) }
		s := newSimulation(rt, rapid.Uint64().Draw(rt, "seed"), 5)
		s.maxListLag = time.Duration(draw("lag", 0, 4)) * time.Second
		s.lossRate = float64(draw("loss", 0, 3)) / 10
		s.run(20 * time.Second)
		for range draw("faults", 1, 12) {
			i := draw("relay", 0, len(s.nodes)-1)
			s.fault(draw("fault", 0, 9), i, s.nodes[i])
			s.run(time.Duration(draw("steps", 1, 200)) * step)
		}
		s.heal()
		s.waitFor(2*time.Minute, "acquisition of all permits after the faults", s.allHeld)
		s.waitFor(time.Minute, "use of all permits after the faults", s.fullyUsed)
	})
}

// fault injects or ends the fault of the given kind.
func (s *simulation) fault(kind, i int, n *node) {
	switch kind {
	case 0:
		n.paused = !n.paused
	case 1:
		n.partition = 1 - n.partition
	case 2:
		n.listDown = !n.listDown
	case 3:
		s.removeFromList(n)
	case 4, 5:
		s.addToList(n, i, kind == 5)
	case 6:
		if n.up {
			n.up = false
		} else {
			s.start(n)
		}
	case 7, 8:
		s.turnCold(kind == 7)
	case 9:
		s.down = !s.down
	}
}

// heal ends all faults.
func (s *simulation) heal() {
	s.lossRate, s.down = 0, false
	for i, n := range s.nodes {
		n.paused, n.partition, n.listDown = false, 0, false
		s.addToList(n, i, false)
		if !n.up {
			s.start(n)
		}
	}
}
