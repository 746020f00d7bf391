package forward

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// Guards against an explanation that counts as a request, or that changes the statistics of
// the route: they decide when hedges are sent.
func TestProfileChangesNothing(t *testing.T) {
	e := New(Options{Pool: upstream.New(upstream.Options{}), Logger: slog.New(slog.DiscardHandler), Hedge: hedge.Options{InitialDelay: 60 * time.Millisecond}})
	route := &catalog.Route{Name: "r", LatencyObjective: 100 * time.Millisecond}
	now := time.Now()
	if p := e.Profile(now, route); p.Expected != 30*time.Millisecond || p.RemotePenalty != 20*time.Millisecond || len(e.routes) != 0 {
		t.Errorf("profile %+v and %d routes, want the initial profile and none", p, len(e.routes))
	}
	stats := &routeStats{latency: hedge.New(hedge.Options{RotationInterval: time.Second})}
	for range 100 {
		stats.latency.Observe(now, 5*time.Millisecond)
	}
	e.routes["r"] = stats
	before := fmt.Sprintf("%+v", *stats.latency)
	if p := e.Profile(now.Add(1500*time.Millisecond), route); p.Expected < 4*time.Millisecond || p.Expected > 6*time.Millisecond {
		t.Errorf("expected time %v, want about 5 ms", p.Expected)
	}
	if after := fmt.Sprintf("%+v", *stats.latency); after != before {
		t.Error("the statistics of the route have changed")
	}
	if sharded, single := e.Requests(); sharded != 0 || single != 0 || len(e.budgets) != 0 {
		t.Errorf("%d sharded and %d other requests, %d budgets, want none", sharded, single, len(e.budgets))
	}
}
