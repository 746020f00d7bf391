package forward

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/budget"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// Guards against the processes together exceeding the published retry budget in
// any window. Each process spends all that it is granted, load is uneven, and
// all processes are restarted half-way, which loses their counts.
func TestRetryBudgetHoldsAcrossProcesses(t *testing.T) {
	const service = "s"
	for _, n := range []int{6, 9, 75} {
		for seed := range uint64(5) {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			b := RetryBudget{Ratio: 0.2, Slack: 52 + 2*n}
			members := make([]string, n)
			for i := range members {
				members[i] = fmt.Sprint("front-", i)
			}
			begin := time.Now()
			engines := make([]*Engine, n)
			start := func(i int, now time.Time) {
				engines[i] = New(Options{Budget: b})
				engines[i].SetFleet(now, share.Fleet{Self: members[i], Members: members})
			}
			weights := make([]float64, n)
			for i := range engines {
				start(i, begin.Add(-time.Minute))
				weights[i] = rng.Float64() * rng.Float64()
			}
			var firsts, extras []time.Time
			inWindow := func(times []time.Time, now time.Time) (count int) {
				for _, at := range times {
					if now.Sub(at) < budget.WindowLength {
						count++
					}
				}
				return count
			}
			for step := range 300 {
				now := begin.Add(time.Duration(step) * 100 * time.Millisecond)
				if step == 150 {
					for i := range engines {
						start(i, now)
					}
				}
				for i, e := range engines {
					e.mu.Lock()
					w := e.serviceBudget(now, service)
					if rng.Float64() < weights[i] {
						w.AddFirst(now)
						firsts = append(firsts, now)
					}
					for _, ok := w.Take(now); ok; _, ok = w.Take(now) {
						extras = append(extras, now)
					}
					e.mu.Unlock()
				}
				limit := b.Ratio*float64(inWindow(firsts, now)) + float64(b.Slack)
				if count := inWindow(extras, now); float64(count) > limit {
					t.Fatalf("%d processes, seed %d, step %d: %d extra attempts in a window, want at most %.1f", n, seed, step, count, limit)
				}
			}
		}
	}
}

// Guards against concurrent requests that all pass the check of the retry budget
// before any of them is counted.
func TestConcurrentRequestsDoNotShareAnExtraAttempt(t *testing.T) {
	const service = "s"
	e := New(Options{Budget: RetryBudget{Slack: 2}, Logger: slog.New(slog.DiscardHandler)}) // the share of one process is one
	now := time.Now()
	e.SetFleet(now.Add(-time.Minute), share.Fleet{Self: "a", Members: []string{"a"}})
	var requests [3]*activeRequest
	for i := range requests {
		requests[i] = &activeRequest{engine: e, services: []string{service}}
	}
	taken, ok := requests[0].takeExtra(now, 0)
	if !ok {
		t.Fatal("no extra attempt is granted, want one")
	}
	if _, ok := requests[1].takeExtra(now, 0); ok {
		t.Fatal("the only extra attempt is granted to two requests")
	}
	requests[0].returnExtra(now, 0, taken)
	if _, ok := requests[2].takeExtra(now, 0); !ok {
		t.Fatal("a returned extra attempt is not granted again")
	}
	if s := e.BudgetState(now); s.Granted != 1 || s.Denied != 1 || s.Services[service].Extras != 1 {
		t.Fatalf("state %+v, want one extra attempt granted and one denied", s)
	}
}
