package forward

import (
	"cmp"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
)

// Profile returns the profile by which targets are chosen for a request of a route now. Unlike
// serving a request, it changes no state.
func (e *Engine) Profile(now time.Time, route *catalog.Route) balance.Profile {
	p := balance.Profile{RemotePenalty: time.Duration(remotePenaltyFraction * float64(LatencyObjective(route)))}
	e.mu.Lock()
	defer e.mu.Unlock()
	if stats := e.routes[route.Name]; stats != nil {
		latency := *stats.latency // a copy: reading rotates its window
		p.Expected = latency.Quantile(now, 0.5)
	}
	p.Expected = cmp.Or(p.Expected, e.opts.Hedge.InitialDelay/2)
	return p
}
