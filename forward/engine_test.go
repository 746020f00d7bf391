package forward

import (
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/hedge"
)

// Routes and services come and go with the configuration; what is known of them
// must not add up.
func TestForgetsWhatGetsNoRequests(t *testing.T) {
	e := New(Options{Budget: RetryBudget{Ratio: 0.2, Slack: 10}})
	now := time.Now()
	e.mu.Lock()
	e.window(now, "old")
	e.kinds["old"] = &kind{latency: hedge.New(hedge.Options{}), used: now}
	e.window(now.Add(forgetAfter), "new")
	e.mu.Unlock()
	e.EvictIdle(now.Add(forgetAfter + time.Second))
	if len(e.kinds) != 0 || len(e.services) != 1 || e.services["new"] == nil {
		t.Fatalf("%d routes and %d services are known, want only the service in use", len(e.kinds), len(e.services))
	}
}
