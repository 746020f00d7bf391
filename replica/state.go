package replica

import (
	"slices"
	"strings"
	"time"
)

// RouteState describes one route for the state page.
type RouteState struct {
	Relay       string        `json:"relay"`
	Target      string        `json:"target"`
	InService   bool          `json:"in"`
	State       uint8         `json:"state"`
	Limit       int           `json:"limit"`
	Outstanding int           `json:"outstanding"`
	Load        int           `json:"load"`
	ServiceTime time.Duration `json:"service_ns"`
	Demoted     bool          `json:"demoted"`
}

// Routes returns the state of every route, ordered by target, then relay.
func (t *Table) Routes(now time.Time) []RouteState {
	var states []RouteState
	for _, tg := range t.targets {
		for _, r := range tg.routes {
			states = append(states, RouteState{
				Relay:       r.relay,
				Target:      tg.name,
				InService:   tg.inService,
				State:       uint8(r.state),
				Limit:       r.limit,
				Outstanding: r.outstanding,
				Load:        t.load(now, r),
				ServiceTime: time.Duration(t.serviceTime(now, tg)),
				Demoted:     r.demotion.active(now) || tg.demotion.active(now),
			})
		}
	}
	slices.SortFunc(states, func(a, b RouteState) int {
		if c := strings.Compare(a.Target, b.Target); c != 0 {
			return c
		}
		return strings.Compare(a.Relay, b.Relay)
	})
	return states
}
