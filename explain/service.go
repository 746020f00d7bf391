package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// Service is a service that a request is sent to.
type Service struct {
	Name string `json:"name"`
	// Share is the fraction of the route's requests that the service gets; 1 for a shard.
	Share float64 `json:"share"`
	// Targets are in the order of choice, those that are ruled out last. Among targets of the
	// same cost, requests rotate.
	Targets        []Target `json:"targets"`
	OmittedTargets int      `json:"omitted_targets,omitempty"`
}

// Target is a target of a service.
type Target struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// CostMs is the value by which targets are chosen; absent if the target is ruled out.
	CostMs *float64 `json:"cost_ms,omitempty"`
	// RuledOut is why the target gets no request now; empty if it may get one.
	RuledOut       string `json:"ruled_out,omitempty"`
	InUse          int    `json:"in_use"`
	Slots          int    `json:"slots"`
	Idle           int    `json:"idle_connections"`
	Connections    int    `json:"connections"`
	MaxConnections int    `json:"max_connections"`
	Waiting        int    `json:"waiting,omitempty"`
	// Slowness is the mean ratio of the time of an attempt to the usual one, and Failures the
	// fraction of attempts that failed.
	Slowness float64 `json:"slowness"`
	Failures float64 `json:"failures"`
	// Notes tell what raises the cost, or limits the target.
	Notes []string `json:"notes,omitempty"`
}

func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

func service(in *Input, v *upstream.ServiceView, r *catalog.Route) Service {
	s := Service{Name: v.Service, Share: share(r, v.Service), Targets: []Target{}}
	shown := v.Targets[:min(len(v.Targets), maxTargets)]
	for i := range shown {
		s.Targets = append(s.Targets, target(in.Now, &shown[i]))
	}
	s.OmittedTargets = len(v.Targets) - len(shown)
	return s
}

// share returns the fraction of a route's requests that are sent to a service.
func share(r *catalog.Route, name string) float64 {
	if r.Sharded() {
		return 1
	}
	var own, sum float64
	for _, p := range r.Split {
		sum += p.Weight
		if p.Service == name {
			own += p.Weight
		}
	}
	if sum == 0 {
		return 0
	}
	return own / sum
}

func target(now time.Time, v *upstream.TargetView) Target {
	t := Target{
		ID: v.ID, DataCentre: v.DataCentre, RuledOut: v.Excluded, InUse: v.InUse, Slots: v.Slots,
		Idle: v.Idle, Connections: v.Connections, MaxConnections: v.MaxConnections, Waiting: v.Waiting,
		Slowness: round(v.Stats.Slowness), Failures: round(v.Stats.FailureFraction), Notes: notes(now, v),
	}
	if v.Excluded == "" {
		cost := millis(v.Cost)
		t.CostMs = &cost
	}
	return t
}

func round(x float64) float64 { return float64(int(x*1000+0.5)) / 1000 }

func notes(now time.Time, v *upstream.TargetView) []string {
	var out []string
	for _, n := range []struct {
		holds bool
		text  string
	}{
		{v.Remote, "remote"},
		{v.ColdLimited, "cold, with a limited rate"},
		{v.Cold && !v.ColdLimited, "cold"},
		{v.Draining, "draining"},
		{v.Leaving, "leaving"},
		{v.Deregistered, "no longer registered"},
		{v.Evacuated, "data centre evacuated"},
		{v.Stats.Overdue, "an attempt is overdue"},
		{v.Stats.AvoidedFor > 0, fmt.Sprintf("avoided for %v after a failure to connect", v.Stats.AvoidedFor.Round(time.Millisecond))},
		{v.Pushback.PausedForMs > 0, fmt.Sprintf("asked for a pause, %d ms left", v.Pushback.PausedForMs)},
		{v.AvailableAt.After(now), fmt.Sprintf("available in %v", v.AvailableAt.Sub(now).Round(time.Millisecond))},
		{v.Idle == 0, "needs a connection"},
	} {
		if n.holds {
			out = append(out, n.text)
		}
	}
	if v.Pushback.Limit != nil {
		out = append(out, fmt.Sprintf("limited to %g requests per second of all processes", *v.Pushback.Limit))
	}
	return out
}
