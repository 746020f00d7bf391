package plan

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func options(shards int) Options {
	return Options{
		Shards: shards, MaxTargets: 2, Idempotent: true, MinFraction: 0.75,
		PartialAt: at(100), OnTimeUntil: at(110), LatePartialAt: at(200), SendBy: at(25), Deadline: at(1000), HedgeAfter: 30 * time.Millisecond,
	}
}

// sendDue makes all attempts that are due and returns how many were extra.
func sendDue(p *Plan, now time.Time) (extra int) {
	for {
		i, more, ok := p.Due(now)
		if !ok {
			return extra
		}
		if more {
			extra++
		}
		p.Sent(now, i)
	}
}

func TestAnswersWhenAllAreIn(t *testing.T) {
	p := New(start, options(4))
	sendDue(p, start)
	for i := range 4 {
		if v := p.Decide(at(5)); v != Wait {
			t.Fatalf("verdict %v with %d shards in, want to wait", v, i)
		}
		p.Responded(at(5), i)
	}
	if v := p.Decide(at(5)); v != Complete {
		t.Fatalf("verdict %v, want complete", v)
	}
}

func TestAnswersWithEnoughShardsAtItsTime(t *testing.T) {
	p := New(start, options(4))
	sendDue(p, start)
	for i := range 3 {
		p.Responded(at(5), i)
	}
	if v := p.Decide(at(99)); v != Wait {
		t.Fatalf("verdict %v before the time, want to wait", v)
	}
	if v := p.Decide(at(100)); v != Partial {
		t.Fatalf("verdict %v at the time, want a partial answer", v)
	}
}

func TestNeverAnswersBelowTheLeastShare(t *testing.T) {
	p := New(start, options(4))
	sendDue(p, start)
	p.Responded(at(5), 0)
	p.Responded(at(5), 1)
	if v := p.Decide(at(500)); v != Wait {
		t.Fatalf("verdict %v with half of the shards, want to wait", v)
	}
	p.Responded(at(150), 2)
	if v := p.Decide(at(150)); v != Wait {
		t.Fatalf("verdict %v, want to wait for the last shard until the late time", v)
	}
	if v := p.Decide(at(200)); v != Partial {
		t.Fatalf("verdict %v at the late time, want a partial answer", v)
	}
}

func TestEnoughJustInTimeIsAnsweredAtOnce(t *testing.T) {
	p := New(start, options(4))
	sendDue(p, start)
	for i := range 3 {
		p.Responded(at(99+4*i), i)
	}
	if v := p.Decide(at(107)); v != Partial {
		t.Fatalf("verdict %v, want a partial answer that is still in time", v)
	}
}

func TestHedgesAnOverdueShardOnce(t *testing.T) {
	p := New(start, options(2))
	sendDue(p, start)
	p.Responded(at(5), 0)
	if n := sendDue(p, at(29)); n != 0 {
		t.Fatalf("%d hedges before the delay, want none", n)
	}
	if n := sendDue(p, at(30)); n != 1 {
		t.Fatalf("%d hedges at the delay, want 1", n)
	}
	if n := sendDue(p, at(200)); n != 0 {
		t.Fatalf("%d more attempts while two are in progress, want none", n)
	}
	if p.AllowsNewTarget(1) {
		t.Fatal("a third target may be asked, the route allows two")
	}
}

// A process that is itself behind must not hedge every shard: that costs it and
// its targets the work twice, and the budget of all.
func TestHedgesOnlyStragglers(t *testing.T) {
	p := New(start, options(10))
	sendDue(p, start)
	if extra := sendDue(p, at(35)); extra != 0 {
		t.Fatalf("%d hedges while no shard is in", extra)
	}
	if wake := p.WakeAt(at(35)); !wake.After(at(35)) {
		t.Fatalf("wakes at once, at %v", wake)
	}
	for i := range 7 {
		p.Responded(at(40), i)
	}
	if extra := sendDue(p, at(45)); extra != 0 {
		t.Fatalf("%d hedges right after most shards came in", extra)
	}
	if extra := sendDue(p, at(50)); extra != 3 {
		t.Fatalf("%d hedges of stragglers, want 3", extra)
	}
	p = New(start, options(10))
	sendDue(p, start)
	if extra := sendDue(p, at(60)); extra != 10 {
		t.Fatalf("%d hedges long after, want one of each shard", extra)
	}
}

// An attempt that no connection could be had for has reached no target, so the
// next one is no extra load on any.
func TestUnsentAttemptDrawsOnNoBudget(t *testing.T) {
	p := New(start, options(1))
	if extra := sendDue(p, start); extra != 0 {
		t.Fatal("the first attempt is extra")
	}
	p.NotSent(at(10), 0)
	if extra := sendDue(p, at(20)); extra != 0 {
		t.Fatal("an attempt after one that was not sent is extra")
	}
	p.Refused(at(30), 0)
	if extra := sendDue(p, at(100)); extra != 1 {
		t.Fatal("an attempt after a refused one is not extra")
	}
}

func TestNotIdempotentIsSentAgainOnlyIfRefused(t *testing.T) {
	o := options(1)
	o.Idempotent = false
	p := New(start, o)
	sendDue(p, start)
	if n := sendDue(p, at(500)); n != 0 {
		t.Fatalf("%d hedges of a request that must not run twice", n)
	}
	p.Refused(at(500), 0)
	if n := sendDue(p, at(500)); n != 1 {
		t.Fatalf("%d attempts after a refusal, want 1", n)
	}
	p.Failed(at(510), 0)
	if v := p.Decide(at(510)); v != Failed {
		t.Fatalf("verdict %v after a broken attempt, want failed", v)
	}
}

// A request that may not be sent again is answered at once, not at its deadline.
func TestDeniedRequestFailsAtOnce(t *testing.T) {
	for _, refused := range []bool{true, false} {
		p := New(start, options(1))
		sendDue(p, start)
		want := NotRun
		if refused {
			p.Refused(at(10), 0)
		} else {
			p.Failed(at(10), 0)
			want = Failed
		}
		i, extra, ok := p.Due(at(10))
		if !ok || !extra {
			t.Fatal("no retry is due")
		}
		p.Denied(at(10), i)
		if v := p.Decide(at(10)); v != want {
			t.Fatalf("verdict %v after the budget denied the retry, want %v", v, want)
		}
	}
}

func TestRefusedAsNotRunOnlyIfNothingMayRun(t *testing.T) {
	p := New(start, options(1))
	for !p.opts.SendBy.Before(at(25)) && p.Decide(at(24)) == Wait {
		i, _, ok := p.Due(at(24))
		if !ok {
			break
		}
		p.Unavailable(at(24), i)
	}
	if v := p.Decide(at(25)); v != NotRun {
		t.Fatalf("verdict %v without a target, want not run", v)
	}
	p = New(start, options(1))
	sendDue(p, start)
	if v := p.Decide(at(1000)); v != Expired {
		t.Fatalf("verdict %v with an attempt in progress at the deadline, want expired", v)
	}
}

// Whatever happens, a plan ends by its deadline; "not run" is told only while
// nothing may have run; an answer has enough shards.
func TestAnyCourseEndsTrue(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 7))
		o := options(1 + rng.IntN(6))
		o.Idempotent = rng.IntN(3) > 0
		p := New(start, o)
		inFlight := map[int]int{}
		mayHaveRun := false
		in := 0
		var v Decision
		ms := 0
		for ; ms <= 1000; ms += 1 + rng.IntN(20) {
			now := at(ms)
			for {
				i, _, ok := p.Due(now)
				if !ok {
					break
				}
				if rng.IntN(4) == 0 {
					p.Unavailable(now, i)
					continue
				}
				p.Sent(now, i)
				inFlight[i]++
			}
			for i := range o.Shards {
				if inFlight[i] == 0 || rng.IntN(3) > 0 {
					continue
				}
				inFlight[i]--
				switch rng.IntN(3) {
				case 0:
					p.Refused(now, i)
				case 1:
					p.Failed(now, i)
					mayHaveRun = true
				default:
					mayHaveRun = true
					if p.Responded(now, i) {
						in++
					}
				}
			}
			if v = p.Decide(now); v != Wait {
				break
			}
			if wake := p.WakeAt(now); wake.After(o.Deadline) {
				t.Fatalf("seed %d: wakes after the deadline", seed)
			}
		}
		if v == Wait {
			if v = p.Decide(at(1000)); v == Wait {
				t.Fatalf("seed %d: no verdict at the deadline", seed)
			}
		}
		for _, n := range inFlight {
			mayHaveRun = mayHaveRun || n > 0
		}
		if v == NotRun && mayHaveRun {
			t.Fatalf("seed %d: told as not run though it may have", seed)
		}
		if (v == Complete && in != o.Shards) || (v == Partial && float64(in) < o.MinFraction*float64(o.Shards)) {
			t.Fatalf("seed %d: verdict %v with %d of %d shards", seed, v, in, o.Shards)
		}
		for i := range p.shards {
			if p.shards[i].ran > 0 && !o.Idempotent && p.shards[i].sends > p.shards[i].refusals+1 {
				t.Fatalf("seed %d: sent again after it may have run", seed)
			}
		}
	}
}
