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

// Property tests run the same cases each time.
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

// Each request gets exactly one final outcome, none is admitted after its
// deadline, and no limit is exceeded, whatever the order of events.
func TestEveryRequestSettledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFixed(3, 5, folder.Caller{Name: "0", Concurrency: 2}, folder.Caller{Name: "1", Concurrency: 2, Priority: 1},
			folder.Caller{Name: "2", Concurrency: 2, Priority: 1})
		now := epoch
		deadlines, settled := map[uint64]time.Time{}, map[uint64]bool{}
		settle := func(actions ...Decision) {
			for _, a := range actions {
				if settled[a.ID] || a.Outcome == Admitted && !now.Before(deadlines[a.ID]) {
					t.Fatalf("%+v, settled before %v, deadline %v, now %v", a, settled[a.ID], deadlines[a.ID], now)
				}
				settled[a.ID] = a.Outcome != Queued
			}
		}
		events := rapid.IntRange(20, 60).Draw(t, "events")
		for id := uint64(1); id <= uint64(events) || len(c.running)+len(c.queued) > 0; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
			event := rapid.IntRange(0, 3).Draw(t, "event")
			running := slices.Sorted(maps.Keys(c.running))
			switch {
			case id <= uint64(events) && event < 2:
				deadlines[id] = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "left")) * time.Millisecond)
				name := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "caller"))
				own, others := c.Submit(now, Request{ID: id, Caller: name, Search: "s", Deadline: deadlines[id]})
				settle(append(others, own)...)
			case event == 2 && len(running) > 0:
				settle(c.Done(now, running[0], true, 10*time.Millisecond)...)
			default:
				settle(c.Tick(now)...)
			}
			for _, k := range c.callers {
				if k.running > 2 || len(c.running) > 3 || len(c.queued) > 5 || c.queue.queued != len(c.queued) {
					t.Fatalf("caller runs %d of %d, %d queued", k.running, len(c.running), len(c.queued))
				}
			}
		}
		for id := range deadlines {
			if !settled[id] {
				t.Fatalf("request %d never settled", id)
			}
		}
	})
}

// Requests are offered one after another at one instant, with the given time
// left; each row says what becomes of it.
func TestOffer(t *testing.T) {
	type row struct {
		caller  string
		left    time.Duration
		verdict Outcome
		code    code.Code
	}
	check := func(c *Controller, first uint64, rows ...row) {
		t.Helper()
		for i, r := range rows {
			own, _ := c.Submit(epoch, Request{ID: first + uint64(i), Caller: r.caller, Search: "s", Deadline: epoch.Add(r.left * time.Millisecond)})
			if own.Outcome != r.verdict || own.Code != r.code || r.code == code.Overloaded && own.RetryAfter == 0 {
				t.Errorf("request %d: %+v, want %+v", own.ID, own, r)
			}
		}
	}
	metered := folder.Caller{Name: "metered", Rate: 10, Burst: 2}
	c := newFixed(1, 2, metered, folder.Caller{Name: "urgent"}, folder.Caller{Name: "late", Priority: 9})
	c.SetGateways(2)
	check(c, 1, row{"metered", 1000, Admitted, code.OK}, row{"metered", 1000, Rejected, code.RateLimited},
		row{"stranger", 1000, Rejected, code.Forbidden}, row{"urgent", 0, Rejected, code.DeadlinePassed},
		row{"late", 1000, Queued, ""}, row{"late", 50, Queued, ""}, row{"late", 1000, Rejected, code.Overloaded})
	// Half the tier's 10 requests per second is a token each 200 ms, spread to twice that.
	again, _ := c.Submit(epoch, Request{ID: 8, Caller: "metered", Deadline: epoch.Add(time.Second)})
	if again.RetryAfter < 200*time.Millisecond || again.RetryAfter > 400*time.Millisecond {
		t.Errorf("come back in %v", again.RetryAfter)
	}
	_, evicted := c.Submit(epoch, Request{ID: 9, Caller: "urgent", Search: "s", Deadline: epoch.Add(time.Second)})
	at, _ := c.NextTick()
	dropped := c.Tick(at)
	c.Drain()
	check(c, 10, row{"urgent", 1000, Rejected, code.Stopping})
	next := c.Done(epoch, 1, true, 100*time.Millisecond)
	for i, actions := range [][]Decision{evicted, dropped, next} {
		want := []Decision{{ID: 5, Outcome: Rejected}, {ID: 6, Outcome: Rejected}, {ID: 9, Outcome: Admitted}}[i]
		if len(actions) != 1 || actions[0].ID != want.ID || actions[0].Outcome != want.Outcome {
			t.Errorf("got %+v, want %+v", actions, want)
		}
	}
	// With a service time of 100 ms: the first is too short, but only answers
	// correct the estimate; the others wait for those before them.
	c = newFixed(1, 9, folder.Caller{Name: "urgent"})
	check(c, 1, row{"urgent", 1000, Admitted, code.OK})
	c.Done(epoch, 1, true, 100*time.Millisecond)
	check(c, 2, row{"urgent", 50, Admitted, code.OK}, row{"urgent", 50, Rejected, code.Overloaded},
		row{"urgent", 150, Rejected, code.Overloaded}, row{"urgent", 250, Queued, ""}, row{"urgent", 250, Rejected, code.Overloaded})
	// The caller's own concurrency makes it wait too.
	c = newFixed(9, 9, folder.Caller{Name: "single", Concurrency: 1})
	check(c, 1, row{"single", 1000, Admitted, code.OK})
	c.Done(epoch, 1, true, 100*time.Millisecond)
	c.opts.MinLimit = 1
	check(c, 2, row{"single", 150, Admitted, code.OK}, row{"single", 150, Rejected, code.Overloaded}, row{"single", 250, Queued, ""})
}

func BenchmarkOffer(b *testing.B) {
	var callers []folder.Caller
	for i := range 50 {
		callers = append(callers, folder.Caller{Name: fmt.Sprintf("caller-%02d", i), Priority: i % priorities})
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
		for _, a := range append(others, own) {
			if a.Outcome == Admitted {
				admitted = append(admitted, a.ID)
			}
		}
	}
}
