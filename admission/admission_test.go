package admission

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

// Each request gets exactly one final outcome, none is admitted after its
// deadline, and no limit is exceeded, whatever the order of events.
func TestEveryRequestSettledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, concurrency = 3, 2
		c := New(Options{Mode: ModeFixed, StartLimit: limit, MaxQueue: 5}, rand.New(rand.NewPCG(1, 2)))
		callers := map[string]folder.Caller{}
		for i := range 4 {
			name := fmt.Sprint(i)
			callers[name] = folder.Caller{Name: name, Priority: i / 2, Concurrency: concurrency}
		}
		now := epoch
		c.SetCallers(now, callers)
		deadlines := map[uint64]time.Time{}
		settled := map[uint64]Verdict{}
		settle := func(actions ...Action) {
			for _, a := range actions {
				if _, again := settled[a.ID]; again {
					t.Fatalf("request %d settled twice", a.ID)
				}
				if a.Verdict == Admit && !now.Before(deadlines[a.ID]) {
					t.Fatalf("request %d admitted after its deadline", a.ID)
				}
				settled[a.ID] = a.Verdict
			}
		}
		for id := uint64(1); id <= 60; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				deadlines[id] = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "left")) * time.Millisecond)
				own, others := c.Offer(now, Request{
					ID: id, Caller: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller")),
					Search: "s", Deadline: deadlines[id],
				})
				if own.Verdict != Queue {
					settle(own)
				}
				settle(others...)
			case 2:
				if ids := slices.Sorted(maps.Keys(c.running)); len(ids) > 0 {
					settle(c.Done(now, ids[0], true, 10*time.Millisecond)...)
				}
			case 3:
				settle(c.Tick(now)...)
			}
			if len(c.running) > limit || c.queue.queued > 5 || c.queue.queued != len(c.queued) {
				t.Fatalf("%d running, %d queued", len(c.running), c.queue.queued)
			}
			for _, k := range c.callers {
				if k.running > concurrency {
					t.Fatalf("caller %s runs %d", k.Name, k.running)
				}
			}
		}
		for len(c.running)+len(c.queued) > 0 {
			now = now.Add(time.Millisecond)
			settle(c.Tick(now)...)
			for _, running := range slices.Sorted(maps.Keys(c.running)) {
				settle(c.Done(now, running, true, 0)...)
			}
		}
		if len(settled) != len(deadlines) {
			t.Fatalf("%d of %d requests settled", len(settled), len(deadlines))
		}
	})
}

func TestRefusals(t *testing.T) {
	c := New(Options{Mode: ModeFixed, StartLimit: 1, MaxQueue: 2}, rand.New(rand.NewPCG(1, 2)))
	c.SetCallers(epoch, map[string]folder.Caller{
		"metered": {Name: "metered", Rate: 10, Burst: 2},
		"urgent":  {Name: "urgent"},
		"late":    {Name: "late", Priority: 9},
	})
	c.SetGateways(2)
	offer := func(id uint64, caller string, left time.Duration) Action {
		own, _ := c.Offer(epoch, Request{ID: id, Caller: caller, Search: "s", Deadline: epoch.Add(left)})
		return own
	}
	check := func(a Action, verdict Verdict, reason code.Code) {
		t.Helper()
		if a.Verdict != verdict || a.Code != reason {
			t.Errorf("request %d: got %v %q, want %v %q", a.ID, a.Verdict, a.Code, verdict, reason)
		}
	}
	check(offer(1, "metered", time.Second), Admit, code.OK)
	limited := offer(2, "metered", time.Second)
	check(limited, Refuse, code.RateLimited)
	// Half the tier's 10 requests per second is a token each 200 ms, spread to twice that.
	if limited.RetryAfter < 200*time.Millisecond || limited.RetryAfter > 400*time.Millisecond {
		t.Errorf("come back in %v", limited.RetryAfter)
	}
	check(offer(3, "stranger", time.Second), Refuse, code.Forbidden)
	check(offer(4, "urgent", 0), Refuse, code.DeadlinePassed)
	check(offer(5, "late", time.Second), Queue, "")
	check(offer(6, "late", 50*time.Millisecond), Queue, "")
	check(offer(7, "late", time.Second), Refuse, code.Overloaded)
	_, evicted := c.Offer(epoch, Request{ID: 8, Caller: "urgent", Search: "s", Deadline: epoch.Add(time.Second)})
	if len(evicted) != 1 || evicted[0].ID != 5 || evicted[0].Verdict != Refuse {
		t.Errorf("a full queue must drop the least urgent request: %v", evicted)
	}
	at, ok := c.NextTick()
	if !ok || at.Sub(epoch) > 51*time.Millisecond {
		t.Fatalf("next tick %v %v", at, ok)
	}
	if dropped := c.Tick(at); len(dropped) != 1 || dropped[0].ID != 6 {
		t.Errorf("dropped %v", dropped)
	}
	c.Drain()
	check(offer(9, "urgent", time.Second), Refuse, code.Stopping)
	if next := c.Done(epoch, 1, true, 600*time.Millisecond); len(next) != 1 || next[0].ID != 8 || next[0].Verdict != Admit {
		t.Errorf("a waiting request must still run while draining: %v", next)
	}
	check(offer(10, "urgent", time.Second), Refuse, code.Stopping)
}

// A request that can't be met by the measured service time and the requests
// ahead of it is refused on arrival.
func TestRefusedOnArrival(t *testing.T) {
	c := New(Options{Mode: ModeFixed, StartLimit: 1}, rand.New(rand.NewPCG(1, 2)))
	c.SetCallers(epoch, map[string]folder.Caller{"a": {Name: "a"}})
	offer := func(id uint64, left time.Duration) Action {
		own, _ := c.Offer(epoch, Request{ID: id, Caller: "a", Search: "s", Deadline: epoch.Add(left)})
		return own
	}
	offer(1, time.Second)
	c.Done(epoch, 1, true, 100*time.Millisecond)
	for i, tt := range []struct {
		left time.Duration
		want Verdict
	}{
		{50 * time.Millisecond, Admit},   // too short, but only answers correct the estimate
		{50 * time.Millisecond, Refuse},  // shorter than one service time
		{150 * time.Millisecond, Refuse}, // one runs before it
		{250 * time.Millisecond, Queue},
		{250 * time.Millisecond, Refuse}, // one waits before it too
	} {
		own := offer(uint64(i+2), tt.left)
		if own.Verdict != tt.want || own.Verdict == Refuse && (own.Code != code.Overloaded || own.RetryAfter == 0) {
			t.Errorf("case %d: got %+v, want %v", i, own, tt.want)
		}
	}
}

func BenchmarkOffer(b *testing.B) {
	const callers, limit = 50, 64
	c := New(Options{Mode: ModeFixed, StartLimit: limit}, rand.New(rand.NewPCG(1, 2)))
	contracts := map[string]folder.Caller{}
	names := make([]string, callers)
	for i := range names {
		names[i] = fmt.Sprintf("caller-%02d", i)
		contracts[names[i]] = folder.Caller{Name: names[i], Priority: i % priorities}
	}
	now := epoch
	c.SetCallers(now, contracts)
	var admitted []uint64
	note := func(actions ...Action) {
		for _, a := range actions {
			if a.Verdict == Admit {
				admitted = append(admitted, a.ID)
			}
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(50 * time.Microsecond)
		own, others := c.Offer(now, Request{
			ID: uint64(i + 1), Caller: names[i%callers], Search: "s", Deadline: now.Add(100 * time.Millisecond),
		})
		note(own)
		note(others...)
		if len(admitted) >= limit {
			done := admitted[0]
			admitted = admitted[1:]
			note(c.Done(now, done, true, 5*time.Millisecond)...)
		}
	}
}
