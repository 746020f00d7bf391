package balance

import (
	"testing"
	"time"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	kind  = Profile{Expected: 20 * time.Millisecond, OverdueAfter: 50 * time.Millisecond, RemotePenalty: 15 * time.Millisecond}
)

func pair() []Candidate {
	return []Candidate{{Stats: &Stats{}, Slots: 2}, {Stats: &Stats{}, Slots: 2}}
}

func TestLeavesAStalledTarget(t *testing.T) {
	c := pair()
	c[1].Remote = true
	if i := Choose(epoch, kind, c, 0); i != 0 {
		t.Fatalf("chose %d, want the one in the own data centre", i)
	}
	c[0].Stats.Sent(epoch, kind.OverdueAfter)
	if i := Choose(epoch.Add(40*time.Millisecond), kind, c, 0); i != 0 {
		t.Fatalf("chose %d before the attempt is overdue, want 0", i)
	}
	if i := Choose(epoch.Add(60*time.Millisecond), kind, c, 0); i != 1 {
		t.Fatalf("chose %d while an attempt at 0 is overdue, want 1", i)
	}
	c[0].Stats.Responded(epoch.Add(70*time.Millisecond), epoch, kind.Expected)
	if i := Choose(epoch.Add(10*time.Second), kind, c, 0); i != 0 {
		t.Fatalf("chose %d long after the stall, want 0", i)
	}
}

// A request that usually takes long is no sign of a stall to a short one.
func TestLongRequestsAreNoStall(t *testing.T) {
	c := pair()
	c[1].Remote = true
	c[0].Stats.Sent(epoch, time.Second)
	if i := Choose(epoch.Add(200*time.Millisecond), kind, c, 0); i != 0 {
		t.Fatalf("chose %d while 0 works on a long request, want 0", i)
	}
}

func TestLeavesASlowTargetAndComesBack(t *testing.T) {
	c := pair()
	now := epoch
	for range 5 {
		c[0].Stats.Sent(now, kind.OverdueAfter)
		c[0].Stats.Responded(now.Add(200*time.Millisecond), now, kind.Expected)
		now = now.Add(200 * time.Millisecond)
	}
	for turn := range uint64(4) {
		if i := Choose(now, kind, c, turn); i != 1 {
			t.Fatalf("chose the slow target")
		}
	}
	later := now.Add(5 * forgetAfter)
	if cost := c[0].Cost(later, kind); cost > 22*time.Millisecond {
		t.Fatalf("cost %v after five times the memory's length, want about the usual", cost)
	}
}

func TestLeavesAFailingTarget(t *testing.T) {
	c := pair()
	for range 4 {
		c[0].Stats.Sent(epoch, kind.OverdueAfter)
		c[0].Stats.Failed(epoch, epoch)
	}
	if i := Choose(epoch, kind, c, 0); i != 1 {
		t.Fatalf("chose the failing target")
	}
}

func TestOrderOfLastResorts(t *testing.T) {
	c := []Candidate{
		{Stats: &Stats{}, Slots: 2, LastResort: true},
		{Stats: &Stats{}, Slots: 2, PriorAttempts: 1},
		{Stats: &Stats{}, Slots: 2, Cold: true},
	}
	c[2].Stats.Unreachable(epoch, epoch, true)
	if i := Choose(epoch, kind, c, 0); i != 2 {
		t.Fatalf("chose %d, want the unreachable one before one that was tried or is leaving", i)
	}
	if i := Choose(epoch, kind, c[:2], 0); i != 1 {
		t.Fatalf("chose %d, want the tried one before the leaving one", i)
	}
}

func TestEqualTargetsTakeTurns(t *testing.T) {
	c := pair()
	if a, b := Choose(epoch, kind, c, 0), Choose(epoch, kind, c, 1); a == b {
		t.Fatalf("both turns chose %d", a)
	}
}

func TestSilentTargetIsAvoidedForLonger(t *testing.T) {
	at := epoch.Add(200 * time.Millisecond)
	for silent, want := range map[bool]int{false: 0, true: 1} {
		c := pair()
		c[1].Remote = true
		c[0].Stats.Unreachable(epoch, epoch, silent)
		c[0].Stats.failing = 0
		if i := Choose(at, kind, c, 0); i != want {
			t.Errorf("silent %v: chose %d after 200 ms, want %d", silent, i, want)
		}
	}
}

// A hedge goes where a connection is free rather than open another one.
func TestPrefersAFreeConnection(t *testing.T) {
	c := pair()
	c[0].NeedsConnection = true
	for turn := range uint64(4) {
		if i := Choose(epoch, kind, c, turn); i != 1 {
			t.Fatalf("chose %d, want the one with a free connection", i)
		}
	}
	c[1].Remote = true
	if i := Choose(epoch, kind, c, 0); i != 0 {
		t.Fatalf("chose %d, want the one in the own data centre", i)
	}
}
