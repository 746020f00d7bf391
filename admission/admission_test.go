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

// Fixed seed and count: property tests run the same cases each time.
var _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000")

func newFixed(limit, maxQueue int, callers ...folder.Caller) *Controller {
	c := New(Options{Mode: ModeFixed, InitialLimit: limit, MaxQueue: maxQueue}, rand.New(rand.NewPCG(1, 2)))
	contracts := map[string]folder.Caller{}
	for _, k := range callers {
		contracts[k.Name] = k
	}
	c.SetCallers(epoch, contracts)
	return c
}

// Whatever the order of events, each request gets exactly one final outcome, none
// is admitted after its deadline, and no limit is exceeded.
func TestEveryRequestDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFixed(3, 5, folder.Caller{Name: "0", Concurrency: 2}, folder.Caller{Name: "1", Concurrency: 2, Priority: 1},
			folder.Caller{Name: "2", Concurrency: 2, Priority: 1})
		now := epoch
		deadlines, decided := map[uint64]time.Time{}, map[uint64]bool{}
		record := func(decisions ...Decision) {
			for _, d := range decisions {
				if decided[d.ID] || d.Outcome == Admitted && !now.Before(deadlines[d.ID]) {
					t.Fatalf("decision %+v: already decided %v, deadline %v, now %v", d, decided[d.ID], deadlines[d.ID], now)
				}
				decided[d.ID] = d.Outcome != Queued
			}
		}
		events := rapid.IntRange(20, 60).Draw(t, "events")
		for id := uint64(1); id <= uint64(events) || len(c.running)+len(c.queued) > 0; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause ms")) * time.Millisecond)
			event := rapid.IntRange(0, 3).Draw(t, "event")
			running := slices.Sorted(maps.Keys(c.running))
			switch {
			case id <= uint64(events) && event < 2:
				deadlines[id] = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "left ms")) * time.Millisecond)
				name := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "caller"))
				own, others := c.Submit(now, Request{ID: id, Caller: name, Search: "s", Deadline: deadlines[id]})
				record(append(others, own)...)
			case event == 2 && len(running) > 0:
				record(c.Done(now, running[0], true, 10*time.Millisecond)...)
			default:
				record(c.Tick(now)...)
			}
			for _, k := range c.callers {
				if k.running > 2 || len(c.running) > 3 || len(c.queued) > 5 || c.queue.queued != len(c.queued) {
					t.Fatalf("%d of %d running requests are of one caller, %d are queued; want at most 2, at most 3, at most 5, and as many queued as the queue counts", k.running, len(c.running), len(c.queued))
				}
			}
		}
		for id := range deadlines {
			if !decided[id] {
				t.Fatalf("request %d has no final outcome", id)
			}
		}
	})
}

// Requests are submitted one after another at the same time. Each row gives the
// time until the deadline in milliseconds, and the expected decision.
func TestSubmit(t *testing.T) {
	type row struct {
		caller  string
		left    time.Duration
		outcome Outcome
		code    code.Code
	}
	check := func(c *Controller, first uint64, rows ...row) {
		t.Helper()
		for i, r := range rows {
			own, _ := c.Submit(epoch, Request{ID: first + uint64(i), Caller: r.caller, Search: "s", Deadline: epoch.Add(r.left * time.Millisecond)})
			if own.Outcome != r.outcome || own.Code != r.code || r.code == code.Overloaded && own.RetryAfter == 0 {
				t.Errorf("request %d: got %+v, want %+v with RetryAfter set if overloaded", own.ID, own, r)
			}
		}
	}
	metered := folder.Caller{Name: "metered", Rate: 10, Burst: 2}
	c := newFixed(1, 2, metered, folder.Caller{Name: "high"}, folder.Caller{Name: "low", Priority: 9})
	c.SetGateways(2)
	check(c, 1, row{"metered", 1000, Admitted, code.OK}, row{"metered", 1000, Rejected, code.RateLimited},
		row{"unknown", 1000, Rejected, code.Forbidden}, row{"high", 0, Rejected, code.DeadlinePassed},
		row{"low", 1000, Queued, ""}, row{"low", 50, Queued, ""}, row{"low", 1000, Rejected, code.Overloaded})
	// Half of 10 requests per second is one token per 200 ms; jitter at most doubles it.
	again, _ := c.Submit(epoch, Request{ID: 8, Caller: "metered", Deadline: epoch.Add(time.Second)})
	if again.RetryAfter < 200*time.Millisecond || again.RetryAfter > 400*time.Millisecond {
		t.Errorf("RetryAfter %v, want 200 ms to 400 ms", again.RetryAfter)
	}
	_, evicted := c.Submit(epoch, Request{ID: 9, Caller: "high", Search: "s", Deadline: epoch.Add(time.Second)})
	at, _ := c.NextTick()
	dropped := c.Tick(at)
	c.Drain()
	check(c, 10, row{"high", 1000, Rejected, code.Stopping})
	next := c.Done(epoch, 1, true, 100*time.Millisecond)
	for i, decisions := range [][]Decision{evicted, dropped, next} {
		want := []Decision{{ID: 5, Outcome: Rejected}, {ID: 6, Outcome: Rejected}, {ID: 9, Outcome: Admitted}}[i]
		if len(decisions) != 1 || decisions[0].ID != want.ID || decisions[0].Outcome != want.Outcome {
			t.Errorf("got %+v, want %+v", decisions, want)
		}
	}
	// With a latency of 100 ms: request 2 cannot meet its deadline, but is admitted
	// because only finished requests correct the estimate. The others must wait for
	// the requests before them.
	c = newFixed(1, 9, folder.Caller{Name: "high"})
	check(c, 1, row{"high", 1000, Admitted, code.OK})
	c.Done(epoch, 1, true, 100*time.Millisecond)
	check(c, 2, row{"high", 50, Admitted, code.OK}, row{"high", 50, Rejected, code.Overloaded},
		row{"high", 150, Rejected, code.Overloaded}, row{"high", 250, Queued, ""}, row{"high", 250, Rejected, code.Overloaded})
	// A caller at its concurrency limit waits too.
	c = newFixed(9, 9, folder.Caller{Name: "single", Concurrency: 1})
	check(c, 1, row{"single", 1000, Admitted, code.OK})
	c.Done(epoch, 1, true, 100*time.Millisecond)
	c.opts.MinLimit = 1
	check(c, 2, row{"single", 150, Admitted, code.OK}, row{"single", 150, Rejected, code.Overloaded}, row{"single", 250, Queued, ""})
}

func BenchmarkSubmit(b *testing.B) {
	var callers []folder.Caller
	for i := range 50 {
		callers = append(callers, folder.Caller{Name: fmt.Sprintf("caller-%02d", i), Priority: i % numPriorities})
	}
	c, now := newFixed(64, 1024, callers...), epoch
	admitted := make([]uint64, 0, b.N)
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		now = now.Add(50 * time.Microsecond)
		own, others := c.Submit(now, Request{ID: i, Caller: callers[i%50].Name, Search: "s", Deadline: now.Add(100 * time.Millisecond)})
		if len(admitted) > 50 {
			others = append(others, c.Done(now, admitted[0], true, 5*time.Millisecond)...)
			admitted = admitted[1:]
		}
		for _, d := range append(others, own) {
			if d.Outcome == Admitted {
				admitted = append(admitted, d.ID)
			}
		}
	}
}
