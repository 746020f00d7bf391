package forward

import (
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/hedge"
)

// Guards against a memory leak: routes and services come and go with the
// configuration, and their statistics and retry budgets must not accumulate.
func TestEvictIdleRemovesUnusedRoutesAndServices(t *testing.T) {
	e := New(Options{Budget: RetryBudget{Ratio: 0.2, Slack: 10}})
	now := time.Now()
	e.mu.Lock()
	e.serviceBudget(now, "old")
	e.routes["old"] = &routeStats{latency: hedge.New(hedge.Options{}), usedAt: now}
	e.serviceBudget(now.Add(idleRetention), "new")
	e.mu.Unlock()
	e.EvictIdle(now.Add(idleRetention + time.Second))
	if len(e.routes) != 0 || len(e.budgets) != 1 || e.budgets["new"] == nil {
		t.Fatalf("%d routes and %d services are kept, want only the service in use", len(e.routes), len(e.budgets))
	}
}
