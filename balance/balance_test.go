package balance

import (
	"testing"
	"time"
)

var (
	epoch   = time.Unix(1_700_000_000, 0)
	profile = Profile{Expected: 20 * time.Millisecond, OverdueAfter: 50 * time.Millisecond, RemotePenalty: 15 * time.Millisecond}
)

func pair() []Candidate {
	return []Candidate{{Stats: &Stats{}, Slots: 2}, {Stats: &Stats{}, Slots: 2}}
}

func TestAvoidsStalledTarget(t *testing.T) {
	c := pair()
	c[1].Remote = true
	if i := Choose(epoch, profile, c, 0); i != 0 {
		t.Fatalf("chose %d, want the one in the local data centre", i)
	}
	c[0].Stats.Sent(epoch, profile.OverdueAfter)
	if i := Choose(epoch.Add(40*time.Millisecond), profile, c, 0); i != 0 {
		t.Fatalf("chose %d before the attempt is overdue, want 0", i)
	}
	if i := Choose(epoch.Add(60*time.Millisecond), profile, c, 0); i != 1 {
		t.Fatalf("chose %d while an attempt at 0 is overdue, want 1", i)
	}
	c[0].Stats.Responded(epoch.Add(70*time.Millisecond), epoch, profile.Expected)
	if i := Choose(epoch.Add(10*time.Second), profile, c, 0); i != 0 {
		t.Fatalf("chose %d long after the stall, want 0", i)
	}
}

// A long request in progress that is not overdue must not make its target appear
// stalled to short requests.
func TestLongRequestIsNotAStall(t *testing.T) {
	c := pair()
	c[1].Remote = true
	c[0].Stats.Sent(epoch, time.Second)
	if i := Choose(epoch.Add(200*time.Millisecond), profile, c, 0); i != 0 {
		t.Fatalf("chose %d while 0 runs a long request, want 0", i)
	}
}

func TestAvoidsSlowTargetUntilDecayed(t *testing.T) {
	c := pair()
	now := epoch
	for range 5 {
		c[0].Stats.Sent(now, profile.OverdueAfter)
		c[0].Stats.Responded(now.Add(200*time.Millisecond), now, profile.Expected)
		now = now.Add(200 * time.Millisecond)
	}
	for turn := range uint64(4) {
		if i := Choose(now, profile, c, turn); i != 1 {
			t.Fatalf("chose the slow target")
		}
	}
	later := now.Add(5 * decayTime)
	if cost := c[0].Cost(later, profile); cost > 22*time.Millisecond {
		t.Fatalf("cost %v after five times the decay time, want at most 22ms", cost)
	}
}

func TestAvoidsFailingTarget(t *testing.T) {
	c := pair()
	for range 4 {
		c[0].Stats.Sent(epoch, profile.OverdueAfter)
		c[0].Stats.Failed(epoch, epoch)
	}
	if i := Choose(epoch, profile, c, 0); i != 1 {
		t.Fatalf("chose the failing target")
	}
}

func TestPreferenceAmongPoorCandidates(t *testing.T) {
	c := []Candidate{
		{Stats: &Stats{}, Slots: 2, LastResort: true},
		{Stats: &Stats{}, Slots: 2, PriorAttempts: 1},
		{Stats: &Stats{}, Slots: 2, Cold: true},
	}
	c[2].Stats.Unreachable(epoch, epoch, true)
	if i := Choose(epoch, profile, c, 0); i != 2 {
		t.Fatalf("chose %d, want the unreachable one before the one with a prior attempt and the last resort", i)
	}
	if i := Choose(epoch, profile, c[:2], 0); i != 1 {
		t.Fatalf("chose %d, want the one with a prior attempt before the last resort", i)
	}
}

func TestTurnBreaksTies(t *testing.T) {
	c := pair()
	if a, b := Choose(epoch, profile, c, 0), Choose(epoch, profile, c, 1); a == b {
		t.Fatalf("both turns chose %d", a)
	}
}

func TestAvoidsTargetLongerAfterTimeout(t *testing.T) {
	at := epoch.Add(200 * time.Millisecond)
	for timedOut, want := range map[bool]int{false: 0, true: 1} {
		c := pair()
		c[1].Remote = true
		c[0].Stats.Unreachable(epoch, epoch, timedOut)
		c[0].Stats.failureFraction = 0
		if i := Choose(at, profile, c, 0); i != want {
			t.Errorf("timed out %v: chose %d after 200 ms, want %d", timedOut, i, want)
		}
	}
}

// A hedge goes to a target with a free connection rather than opening a new one.
func TestPrefersFreeConnection(t *testing.T) {
	c := pair()
	c[0].NeedsConnection = true
	for turn := range uint64(4) {
		if i := Choose(epoch, profile, c, turn); i != 1 {
			t.Fatalf("chose %d, want the one with a free connection", i)
		}
	}
	c[1].Remote = true
	if i := Choose(epoch, profile, c, 0); i != 0 {
		t.Fatalf("chose %d, want the one in the local data centre", i)
	}
}
