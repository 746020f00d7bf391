package balance

import (
	"testing"
	"time"
)

const usualPause = 100 * time.Millisecond

// group returns members of one group, which know the length of pauses.
func group() []Candidate {
	g := &Group{}
	c := []Candidate{{Stats: &Stats{}, Slots: 2}, {Stats: &Stats{}, Slots: 2}, {Stats: &Stats{}, Slots: 2}}
	for i := range c {
		c[i].Stats.Join(g, 2)
	}
	at := epoch.Add(-time.Minute)
	for i := range 12 {
		serve(c[i%2].Stats, at, profile.Expected)
		serve(c[i%2].Stats, at.Add(time.Second), usualPause+profile.Expected)
		at = at.Add(3 * time.Second)
	}
	return c
}

// serve records an attempt that took the given time.
func serve(s *Stats, at time.Time, took time.Duration) {
	s.Started(at, profile)
	s.Responded(at.Add(took), at, profile.Expected)
}

// Guards against a target that is avoided for longer than its pause lasts, or not at all.
func TestTargetInPauseIsAvoidedForTheRestOfIt(t *testing.T) {
	c := group()[:2]
	c[1].Remote = true
	serve(c[0].Stats, epoch.Add(-profile.Expected), profile.Expected)
	c[0].Stats.Started(epoch, profile)
	if i := Choose(epoch.Add(65*time.Millisecond), profile, c, 0); i != 1 {
		t.Error("chose the target in a pause of 100 ms after 45 ms of it")
	}
	if i := Choose(epoch.Add(usualPause+profile.Expected), profile, c, 0); i != 0 {
		t.Error("avoided the target whose pause is over")
	}
}

// Guards against a target that is lost, rather than in a pause, and is chosen as its pause
// should be over.
func TestOverdueBeyondPauseIsAvoided(t *testing.T) {
	c := group()[:2]
	c[1].Remote = true
	c[0].Stats.Started(epoch, profile)
	if i := Choose(epoch.Add(3*usualPause), profile, c, 0); i != 1 {
		t.Error("chose the target that has not responded for three times its pause")
	}
}

// Guards against a target with one attempt that is judged by it, and against one for which pauses
// of its siblings count for nothing.
func TestFewSamplesFallBackToSiblings(t *testing.T) {
	c := group()
	serve(c[2].Stats, epoch, 3*profile.Expected)
	l := c[2].Stats.Learned(epoch.Add(time.Second))
	if l.RelativeTime != 1 || l.Concurrency != 2 {
		t.Errorf("relative time %.1f and concurrency %.1f after one attempt, want 1 and 2", l.RelativeTime, l.Concurrency)
	}
	if l.Pause < usualPause*3/4 || l.Pause > usualPause*5/4 {
		t.Errorf("pause %v after one attempt, want the siblings' %v", l.Pause, usualPause)
	}
}

// Guards against pauses that count as slowness, for which the target is avoided after them.
func TestPauseIsNotSlowness(t *testing.T) {
	c := group()
	serve(c[0].Stats, epoch.Add(-time.Second), profile.Expected)
	before := c[0].Stats.slowness
	serve(c[0].Stats, epoch, usualPause+profile.Expected)
	if after := c[0].Stats.slowness; after > before {
		t.Errorf("slowness %.2f after a pause, was %.2f", after, before)
	}
}

// Guards against a target that takes four times as long and is taken for one that pauses.
func TestSlownessIsNotAPause(t *testing.T) {
	c := group()
	for i := range 10 {
		serve(c[0].Stats, epoch.Add(time.Duration(i)*time.Second), 4*profile.Expected)
		serve(c[1].Stats, epoch.Add(time.Duration(i)*time.Second), profile.Expected)
	}
	if r := c[0].Stats.Learned(epoch.Add(time.Minute)).RelativeTime; r < 3 {
		t.Errorf("relative time %.1f of a target that takes four times as long", r)
	}
}

// Guards against what was learned that is lost when entries are rewritten, outlives a run of a
// target, or stays part of the siblings' mean.
func TestJoinForgetAndLeave(t *testing.T) {
	c := group()
	g := c[0].Stats.learned.group
	for i := range 10 {
		serve(c[0].Stats, epoch.Add(time.Duration(i)*time.Second), 3*profile.Expected)
	}
	now := epoch.Add(10 * time.Second)
	was := c[0].Stats.Learned(now)
	for i := range c {
		c[i].Stats.Join(g, 2)
	}
	if l := c[0].Stats.Learned(now); l != was || l.RelativeTime < 2 {
		t.Errorf("learned %+v after a rewrite, was %+v", l, was)
	}
	c[0].Stats.Join(g, 4)
	if l := c[0].Stats.Learned(now); l.Concurrency != 4 || l.Slots != 4 {
		t.Errorf("learned %+v after a rewrite with 4 slots, want a concurrency of 4", l)
	}
	c[0].Stats.Forget()
	if l := c[0].Stats.Learned(now); l.Samples != 0 || l.RelativeTime != 1 || l.Pause != g.pauses.length {
		t.Errorf("learned %+v after a restart, want only what the siblings tell", l)
	}
	if g.timeN != 1 {
		t.Errorf("%d members with a known time, want 1", g.timeN)
	}
	c[1].Stats.Leave()
	if g.timeN != 0 || g.timeSum > 1e-9 {
		t.Errorf("%d members with a known time (sum %g), want none", g.timeN, g.timeSum)
	}
}

// Guards against a target in another data centre that counts as slow long after anything was
// sent to it.
func TestSlownessWithoutAttemptsIsDropped(t *testing.T) {
	c := group()
	for i := range 10 {
		at := epoch.Add(time.Duration(i) * time.Second)
		serve(c[0].Stats, at, 3*profile.Expected)
		serve(c[1].Stats, at, profile.Expected)
	}
	for _, after := range []time.Duration{20 * time.Second, 50 * time.Second} {
		want := after < staleTime
		c[0].Cost(epoch.Add(after), profile)
		if c[0].Stats.learned.slower != want {
			t.Errorf("slower %v after %v, want %v", !want, after, want)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, name := range []string{"former", "learned", "one slower"} {
		c := group()
		if name == "one slower" {
			c[0].Stats.learned.slower = true
		}
		if name == "former" {
			for i := range c {
				c[i].Stats = &Stats{}
			}
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			now := epoch
			for i := range b.N {
				now = now.Add(time.Millisecond)
				chosen := c[Choose(now, profile, c, uint64(i))].Stats
				chosen.Started(now, profile)
				chosen.Responded(now.Add(profile.Expected), now, profile.Expected)
			}
		})
	}
}
