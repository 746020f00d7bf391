package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/admission"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/snapshot"
)

// State is the dump of a gateway's state.
type State struct {
	Draining  bool                 `json:"draining"`
	Queries   int                  `json:"queries"`
	Queued    int                  `json:"waiting"`
	Admission admission.Stats      `json:"admission"`
	Searches  []SearchState        `json:"searches"`
	Routes    []replica.RouteState `json:"routes"`
}

// SearchState is what a gateway has learned about one search.
type SearchState struct {
	Search string `json:"search"`
	// HedgeDelayMicros is the delay before a hedge, in microseconds.
	HedgeDelayMicros int64                   `json:"hedge_us"`
	Versions         []snapshot.VersionState `json:"versions"`
}

// State returns a dump of the gateway's state.
func (g *Gateway) State() State {
	now := time.Now()
	s := State{
		Draining:  g.draining.Load(),
		Queries:   g.inflight.len(),
		Queued:    g.admission.waiting(),
		Admission: g.admission.stats(),
	}
	g.routes.mu.Lock()
	defer g.routes.mu.Unlock()
	s.Routes = g.routes.table.Routes(now)
	for name, state := range g.routes.searches {
		delay, _ := state.hedge.Delay(now)
		s.Searches = append(s.Searches, SearchState{
			Search:           name,
			HedgeDelayMicros: delay.Microseconds(),
			Versions:         state.versions.Versions(now),
		})
	}
	slices.SortFunc(s.Searches, func(a, b SearchState) int { return strings.Compare(a.Search, b.Search) })
	return s
}
