package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// nextTarget returns a target to which no attempt at the shard was sent before.
func nextTarget(p *Plan, i int) string { return fmt.Sprint("t", len(p.shards[i].targets)) }

// firstTarget is the target that sendDue sends the first attempt at a shard to.
const firstTarget = "t0"

// sendDue makes all attempts that are due and returns the number of extra attempts.
func sendDue(p *Plan, now time.Time) (extra int) {
	for {
		i, more, ok := p.Due(now)
		if !ok {
			return extra
		}
		if more {
			extra++
		}
		p.Sent(now, i, nextTarget(p, i))
	}
}

func TestCompleteWhenAllShardsResponded(t *testing.T) {
	p := New(start, options(4))
	sendDue(p, start)
	for i := range 4 {
		if d := p.Decide(at(5)); d != Wait {
			t.Fatalf("decision %v with %d responses, want to wait", d, i)
		}
		p.Responded(at(5), i, firstTarget)
	}
	if d := p.Decide(at(5)); d != Complete {
		t.Fatalf("decision %v, want complete", d)
	}
}

func TestPartialAtConfiguredTime(t *testing.T) {
	p := New(start, options(4))
	sendDue(p, start)
	for i := range 3 {
		p.Responded(at(5), i, firstTarget)
	}
	if d := p.Decide(at(99)); d != Wait {
		t.Fatalf("decision %v before PartialAt, want to wait", d)
	}
	if d := p.Decide(at(100)); d != Partial {
		t.Fatalf("decision %v at PartialAt, want a partial response", d)
	}
}

func TestWaitsForMinFraction(t *testing.T) {
	p := New(start, options(4))
	sendDue(p, start)
	p.Responded(at(5), 0, firstTarget)
	p.Responded(at(5), 1, firstTarget)
	if d := p.Decide(at(500)); d != Wait {
		t.Fatalf("decision %v with half of the shards, want to wait", d)
	}
	p.Responded(at(150), 2, firstTarget)
	if d := p.Decide(at(150)); d != Wait {
		t.Fatalf("decision %v, want to wait for the last shard until LatePartialAt", d)
	}
	if d := p.Decide(at(200)); d != Partial {
		t.Fatalf("decision %v at LatePartialAt, want a partial response", d)
	}
}

func TestPartialAtOnceIfEnoughOnTime(t *testing.T) {
	p := New(start, options(4))
	sendDue(p, start)
	for i := range 3 {
		p.Responded(at(99+4*i), i, firstTarget)
	}
	if d := p.Decide(at(107)); d != Partial {
		t.Fatalf("decision %v, want a partial response that is still on time", d)
	}
}

func TestHedgesOverdueShardOnce(t *testing.T) {
	p := New(start, options(2))
	sendDue(p, start)
	p.Responded(at(5), 0, firstTarget)
	if n := sendDue(p, at(29)); n != 0 {
		t.Fatalf("%d hedges before the hedge delay, want none", n)
	}
	if n := sendDue(p, at(30)); n != 1 {
		t.Fatalf("%d hedges at the hedge delay, want 1", n)
	}
	if n := sendDue(p, at(200)); n != 0 {
		t.Fatalf("%d more attempts while two are in progress, want none", n)
	}
	if only := p.OnlyTargets(1); len(only) != 2 {
		t.Fatalf("attempts are restricted to %v, want the two targets of earlier attempts", only)
	}
}

// An overloaded process sees all shards as slow. If it hedged every shard, it and
// its targets would do the work twice, and the hedges would use up the shared
// retry budget.
func TestHedgesOnlyStragglers(t *testing.T) {
	p := New(start, options(10))
	sendDue(p, start)
	if extra := sendDue(p, at(35)); extra != 0 {
		t.Fatalf("%d hedges while no shard has responded", extra)
	}
	if wake := p.WakeAt(at(35)); !wake.After(at(35)) {
		t.Fatalf("wakes at once, at %v", wake)
	}
	for i := range 7 {
		p.Responded(at(40), i, firstTarget)
	}
	if extra := sendDue(p, at(45)); extra != 0 {
		t.Fatalf("%d hedges right after most shards responded", extra)
	}
	if extra := sendDue(p, at(50)); extra != 3 {
		t.Fatalf("%d hedges of stragglers, want 3", extra)
	}
	p = New(start, options(10))
	sendDue(p, start)
	if extra := sendDue(p, at(60)); extra != 10 {
		t.Fatalf("%d hedges without responses at twice the hedge delay, want one per shard", extra)
	}
}

// An attempt for which no connection was available has not reached a target, so
// the next attempt adds no load and does not draw on the retry budget.
func TestUnsentAttemptDoesNotDrawOnBudget(t *testing.T) {
	p := New(start, options(1))
	if extra := sendDue(p, start); extra != 0 {
		t.Fatal("the first attempt is extra")
	}
	p.NotSent(at(10), 0, firstTarget)
	if extra := sendDue(p, at(20)); extra != 0 {
		t.Fatal("an attempt after one that was not sent is extra")
	}
	p.Refused(at(30), 0, firstTarget)
	if extra := sendDue(p, at(100)); extra != 1 {
		t.Fatal("an attempt after a refused one is not extra")
	}
}

func TestNonIdempotentRetriedOnlyIfRefused(t *testing.T) {
	o := options(1)
	o.Idempotent = false
	p := New(start, o)
	sendDue(p, start)
	if n := sendDue(p, at(500)); n != 0 {
		t.Fatalf("%d hedges of a request that must not run twice", n)
	}
	p.Refused(at(500), 0, firstTarget)
	if n := sendDue(p, at(500)); n != 1 {
		t.Fatalf("%d attempts after a refusal, want 1", n)
	}
	p.Failed(at(510), 0, firstTarget)
	if d := p.Decide(at(510)); d != Failed {
		t.Fatalf("decision %v after a failed attempt, want failed", d)
	}
}

// A request whose retry is denied by the budget fails at once, not at its
// deadline.
func TestDeniedRequestFailsAtOnce(t *testing.T) {
	for _, refused := range []bool{true, false} {
		p := New(start, options(1))
		sendDue(p, start)
		want := NotRun
		if refused {
			p.Refused(at(10), 0, firstTarget)
		} else {
			p.Failed(at(10), 0, firstTarget)
			want = Failed
		}
		i, extra, ok := p.Due(at(10))
		if !ok || !extra {
			t.Fatal("no retry is due")
		}
		p.Denied(at(10), i)
		if d := p.Decide(at(10)); d != want {
			t.Fatalf("decision %v after the budget denied the retry, want %v", d, want)
		}
	}
}

// Guards against callers that wait until their deadline for a response that cannot
// come: a shard that the route requires has no attempt in progress and no target.
func TestRequestWithoutTargetsFailsAtSendBy(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(p *Plan)
		want Decision
	}{
		"refused": {func(p *Plan) { p.Refused(at(10), 0, firstTarget) }, NotRun},
		"failed":  {func(p *Plan) { p.Failed(at(10), 0, firstTarget) }, Failed},
	} {
		p := New(start, options(1))
		sendDue(p, start)
		test.end(p)
		p.Unavailable(at(10), 0)
		if d := p.Decide(at(24)); d != Wait {
			t.Fatalf("%s: decision %v before SendBy, want to wait for a target", name, d)
		}
		if wake := p.WakeAt(at(24)); wake.After(at(25)) {
			t.Fatalf("%s: wakes at %v, after SendBy", name, wake)
		}
		if d := p.Decide(at(25)); d != test.want {
			t.Fatalf("%s: decision %v at SendBy without a target, want %v", name, d, test.want)
		}
	}
	p := New(start, options(4))
	sendDue(p, start)
	p.Failed(at(10), 0, firstTarget)
	p.Unavailable(at(10), 0)
	if d := p.Decide(at(30)); d != Wait {
		t.Fatalf("decision %v with one shard of four without a target, want to wait for the others", d)
	}
	p.Sent(at(40), 0, firstTarget)
	p.Failed(at(41), 1, firstTarget)
	p.Unavailable(at(41), 1)
	if d := p.Decide(at(50)); d != Wait {
		t.Fatalf("decision %v after the first shard was sent again, want to wait", d)
	}
	p.Failed(at(51), 0, firstTarget)
	p.Unavailable(at(51), 0)
	if d := p.Decide(at(52)); d != Failed {
		t.Fatalf("decision %v with two shards of four without a target, want failed", d)
	}
}

func TestNotRunOnlyIfNoAttemptMayRun(t *testing.T) {
	p := New(start, options(1))
	for !p.opts.SendBy.Before(at(25)) && p.Decide(at(24)) == Wait {
		i, _, ok := p.Due(at(24))
		if !ok {
			break
		}
		p.Unavailable(at(24), i)
	}
	if d := p.Decide(at(25)); d != NotRun {
		t.Fatalf("decision %v without a target, want not run", d)
	}
	p = New(start, options(1))
	sendDue(p, start)
	if d := p.Decide(at(1000)); d != Expired {
		t.Fatalf("decision %v with an attempt in progress at the deadline, want expired", d)
	}
}

// replicas are the targets of each shard in TestRandomEvents.
var replicas = []string{"a", "b", "c", "d"}

// For any sequence of events, a plan ends by its deadline, decides NotRun only if
// no target may have run the request, responds only with enough shards, and has
// each shard run by at most MaxTargets targets.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 7))
		o := options(1 + rng.IntN(6))
		o.Idempotent = rng.IntN(3) > 0
		o.MaxTargets = 1 + rng.IntN(3)
		p := New(start, o)
		inFlight := map[int][]string{}   // targets by shard
		ran := map[int]map[string]bool{} // targets that may have run the request, by shard
		mayHaveRun := false
		responses := 0
		var d Decision
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
				target := replicas[rng.IntN(len(replicas))]
				if only := p.OnlyTargets(i); only != nil {
					target = only[rng.IntN(len(only))]
				}
				p.Sent(now, i, target)
				inFlight[i] = append(inFlight[i], target)
			}
			for i := range o.Shards {
				if len(inFlight[i]) == 0 || rng.IntN(3) > 0 {
					continue
				}
				n := rng.IntN(len(inFlight[i]))
				target := inFlight[i][n]
				inFlight[i] = slices.Delete(inFlight[i], n, n+1)
				outcome := rng.IntN(3)
				if outcome == 0 {
					p.Refused(now, i, target)
					continue
				}
				mayHaveRun = true
				if ran[i] == nil {
					ran[i] = map[string]bool{}
				}
				ran[i][target] = true
				if outcome == 1 {
					p.Failed(now, i, target)
				} else if p.Responded(now, i, target) {
					responses++
				}
			}
			if d = p.Decide(now); d != Wait {
				break
			}
			if wake := p.WakeAt(now); wake.After(o.Deadline) {
				t.Fatalf("seed %d: wakes after the deadline", seed)
			}
		}
		if d == Wait {
			if d = p.Decide(at(1000)); d == Wait {
				t.Fatalf("seed %d: no decision at the deadline", seed)
			}
		}
		for i, targets := range inFlight {
			for _, target := range targets {
				mayHaveRun = true
				if ran[i] == nil {
					ran[i] = map[string]bool{}
				}
				ran[i][target] = true
			}
			if len(ran[i]) > o.MaxTargets {
				t.Fatalf("seed %d: %d targets of a shard may have run the request, want at most %d", seed, len(ran[i]), o.MaxTargets)
			}
		}
		if d == NotRun && mayHaveRun {
			t.Fatalf("seed %d: decided NotRun although a target may have run it", seed)
		}
		if (d == Complete && responses != o.Shards) || (d == Partial && float64(responses) < o.MinFraction*float64(o.Shards)) {
			t.Fatalf("seed %d: decision %v with %d of %d shards", seed, d, responses, o.Shards)
		}
		for i := range p.shards {
			if len(ran[i]) > 0 && !o.Idempotent && p.shards[i].attempts > p.shards[i].backoffs+1 {
				t.Fatalf("seed %d: retried although it may have run", seed)
			}
		}
	}
}

// Guards against requests and responses that wait for a target although it is known that
// none may be chosen in time.
func TestShardFailsIfItsTargetsAreAvailableTooLate(t *testing.T) {
	for name, c := range map[string]struct {
		shards      int
		availableAt time.Time
		want        Decision
	}{
		"single, in time":         {1, at(20), Wait},
		"single, too late":        {1, at(40), NotRun},
		"sharded, in time":        {4, at(90), Wait},
		"sharded, too late":       {4, at(150), Partial},
		"sharded, not known":      {4, time.Time{}, Wait},
		"single, not known":       {1, time.Time{}, Wait},
		"sharded, at once":        {4, at(5), Wait},
		"single, after PartialAt": {1, at(120), NotRun},
	} {
		p := New(start, options(c.shards))
		for i := range c.shards - 1 {
			p.Sent(start, i, firstTarget)
			p.Responded(at(5), i, firstTarget)
		}
		p.UnavailableUntil(at(5), c.shards-1, c.availableAt)
		if d := p.Decide(at(5)); d != c.want {
			t.Errorf("%s: decision %v, want %v", name, d, c.want)
		}
		if c.want != Wait {
			continue
		}
		if wake := p.WakeAt(at(5)); wake.Before(c.availableAt) && wake.Before(at(25)) {
			t.Errorf("%s: wakes up after %v, before a target is available", name, wake.Sub(start))
		}
	}
}
