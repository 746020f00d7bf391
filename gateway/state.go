package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/admission"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/snapshot"
)

// State is the gateway's part of the state page.
type State struct {
	Draining  bool                 `json:"draining"`
	Queries   int                  `json:"queries"`
	Queued    int                  `json:"waiting"`
	Admission admission.Stats      `json:"admission"`
	Searches  []SearchState        `json:"searches"`
	Routes    []replica.RouteState `json:"routes"`
}

// SearchState describes one search on the state page.
type SearchState struct {
	Search string `json:"search"`
	// HedgeDelayMicros is the delay before a hedge, in microseconds.
	HedgeDelayMicros int64                   `json:"hedge_us"`
	Versions         []snapshot.VersionState `json:"versions"`
}

// State returns the gateway's state for the state page.
func (g *Gateway) State() State {
	now := time.Now()
	s := State{
		Draining:  g.draining.Load(),
		Queries:   g.inflight.len(),
		Queued:    g.admission.queued(),
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
