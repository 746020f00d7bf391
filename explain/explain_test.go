package explain

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/delegate"
	"github.com/goldcrestmux/goldcrestmux/pushback"
	"github.com/goldcrestmux/goldcrestmux/reach"
	"github.com/goldcrestmux/goldcrestmux/upstream"
	"github.com/sebdah/goldie/v2"
)

var now = time.Unix(1_700_000_000, 0)

func view() *catalog.View {
	s := catalog.NewState(catalog.StateOptions{})
	s.Apply(now, []catalog.Item{{Kind: catalog.KindConfig, Revision: 1, Config: &catalog.Config{
		Version: 7,
		Routes: []*catalog.Route{
			{Name: "orders", Host: "a.example", Prefix: "/orders/", Timeout: 2 * time.Second, LatencyObjective: 400 * time.Millisecond, MaxAttempts: 2, Priority: 2, Split: []catalog.WeightedService{{Service: "s1", Weight: 9}, {Service: "s2", Weight: 1}}},
			{Name: "search", Host: "a.example", Prefix: "/search/", Timeout: time.Second, LatencyObjective: 200 * time.Millisecond, Shards: []string{"p0", "p1", "p2"}, TopK: 3, MinShardFraction: 0.9},
			{Name: "open", Host: "a.example", Prefix: "/open/", Public: true, Split: []catalog.WeightedService{{Service: "s1", Weight: 1}}},
		},
		Organisations: []*catalog.Organisation{
			{Name: "alpha", Keys: []catalog.KeyHash{catalog.HashKey("alpha-key")}, Priority: 1, HasPriority: true, Rate: 9, Burst: 18},
			{Name: "beta", Keys: []catalog.KeyHash{catalog.HashKey("beta-key")}},
		},
	}}})
	return s.View()
}

func services() []upstream.ServiceView {
	limit := 0.5
	return []upstream.ServiceView{
		{Service: "s1", Known: true, Targets: []upstream.TargetView{
			{ID: "t1", DataCentre: "dc1", Cost: 21500 * time.Microsecond, InUse: 1, Slots: 2, Connections: 3, Idle: 2, MaxConnections: 4, Stats: balance.Summary{Slowness: 1.04}},
			{ID: "t2", DataCentre: "dc2", Cost: 190 * time.Millisecond, Slots: 2, MaxConnections: 4, Remote: true, Stats: balance.Summary{Slowness: 2.6, FailureFraction: 0.2, Overdue: true, AvoidedFor: 80 * time.Millisecond}},
			{ID: "t3", DataCentre: "dc1", Excluded: "its limit is used up, or it has asked for a pause", AvailableAt: now.Add(700 * time.Millisecond), Slots: 2, MaxConnections: 4, Idle: 1, Connections: 1, Stats: balance.Summary{Slowness: 1}, Pushback: pushback.Report{Limit: &limit}, HasPushback: true},
			{ID: "t4", DataCentre: "dc3", Excluded: "its data centre is evacuated", Slots: 2, Evacuated: true, Idle: 1, Connections: 1, Stats: balance.Summary{Slowness: 1}},
		}},
		{Service: "s2"},
	}
}

func input(uri, organisation string) Input {
	in := Input{
		Now: now, Process: "front-1", DataCentre: "dc1", View: view(), ConfirmedAt: now.Add(-40 * time.Millisecond), StaleAfter: 4 * time.Second,
		Request: Request{Method: "GET", Host: "a.example", URI: uri, Organisation: organisation},
		Path:    upstream.PathView{Mode: reach.Open, Direct: true}, Services: services(),
		Helpers: []delegate.View{{Peer: delegate.Peer{Name: "front-9", DataCentre: "dc2"}, Cost: 5 * time.Millisecond, Usable: true}},
	}
	return in
}

func outcomes(e Explanation) map[string]string {
	out := map[string]string{}
	for _, s := range e.Steps {
		out[s.Name] = s.Outcome
	}
	return out
}

func TestExplanation(t *testing.T) {
	in := input("/orders/1?secret=1", "alpha")
	in.Decisions = []Step{{Name: "decision", Outcome: "of a further component", Facts: map[string]any{"input": 3}}}
	data, err := json.MarshalIndent(Explain(in), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "orders", append(data, '\n'))
}

// Each case is a decision that operators ask for: why a request is rejected, and where it goes.
func TestOutcomes(t *testing.T) {
	gatherers := []delegate.View{{Peer: delegate.Peer{Name: "large-1"}, Usable: false}, {Peer: delegate.Peer{Name: "large-2"}, Usable: true}}
	for name, c := range map[string]struct {
		change  func(in *Input)
		step    string
		outcome string
		last    bool // the step rejects the request
	}{
		"no configuration":    {func(in *Input) { in.View = nil }, "configuration", "none is known: 503", true},
		"stopping":            {func(in *Input) { in.Stopping = true }, "configuration", "version 7, confirmed 40ms ago; the process is stopping and takes no requests", true},
		"no route":            {func(in *Input) { in.Request.URI = "/none/" }, "route", "none: 404", true},
		"no route, old view":  {func(in *Input) { in.Request.URI, in.ConfirmedAt = "/none/", now.Add(-time.Minute) }, "route", "none is known, and the configuration may be old: 503", true},
		"no organisation":     {func(in *Input) { in.Request.Organisation = "" }, "organisation", "none, and the route needs a key: 401", true},
		"unknown":             {func(in *Input) { in.Request.Organisation = "gamma" }, "organisation", "gamma is not known: its keys get 401", true},
		"unknown, old view":   {func(in *Input) { in.Request.Organisation, in.VersionSeen = "gamma", 8 }, "organisation", "gamma is not known, and the configuration may be old: 503", true},
		"cannot be verified":  {func(in *Input) { in.MaxKeyAge = 10 * time.Millisecond }, "organisation", "alpha, whose keys cannot be verified: the configuration was confirmed 40ms ago: 503", true},
		"public":              {func(in *Input) { in.Request.URI, in.Request.Organisation = "/open/1", "" }, "organisation", "none, the route is public", false},
		"priority":            {nil, "priority", "1, of the organisation", false},
		"priority of route":   {func(in *Input) { in.Request.Organisation = "beta" }, "priority", "2, of the route", false},
		"priority as asked":   {func(in *Input) { in.Request.HasPriority, in.Request.Priority = true, 5 }, "priority", "5, as asked", false},
		"direct":              {nil, "path", "direct", false},
		"cut off":             {func(in *Input) { in.Path = upstream.PathView{Mode: reach.Cut} }, "path", "handed to front-9: this process does not reach the targets", false},
		"cut off, no helper":  {func(in *Input) { in.Path, in.Helpers = upstream.PathView{Mode: reach.Cut}, nil }, "path", "none: this process does not reach the targets, and no peer can be used now: 503", false},
		"behind":              {func(in *Input) { in.VersionSeen = 8 }, "path", "handed to front-9: a peer has a later configuration", false},
		"blocked":             {func(in *Input) { in.Path.Blocked = []string{"s1"} }, "path", "handed to front-9: connections to s1 fail", false},
		"gathered":            {func(in *Input) { in.Request.URI, in.Gatherers = "/search/1", gatherers }, "path", "handed to large-2: it gathers sharded requests", false},
		"no gatherer":         {func(in *Input) { in.Request.URI, in.Gatherers = "/search/1", gatherers[:1] }, "path", "direct: no peer that gathers can be used now", false},
		"sharded in small":    {func(in *Input) { in.Request.URI = "/search/1" }, "path", "direct", false},
		"route that is split": {nil, "route", "orders (a.example/orders/), split over 2 services", false},
	} {
		t.Run(name, func(t *testing.T) {
			in := input("/orders/1", "alpha")
			if c.change != nil {
				c.change(&in)
			}
			e := Explain(in)
			if got := outcomes(e)[c.step]; got != c.outcome {
				t.Errorf("%s: %q, want %q", c.step, got, c.outcome)
			}
			last := e.Steps[len(e.Steps)-1]
			if rejected := last.Rejected && last.Name == c.step; rejected != c.last || (c.last && len(e.Services) > 0) {
				t.Errorf("last step %+v with %d services, rejected %v, want %v", last, len(e.Services), rejected, c.last)
			}
		})
	}
}

// A route may have hundreds of shards, and a service hundreds of targets.
func TestExplanationIsBounded(t *testing.T) {
	in := input("/search/1", "alpha")
	many := upstream.ServiceView{Service: "p0", Known: true, Targets: make([]upstream.TargetView, 100)}
	in.Services = []upstream.ServiceView{many}
	e := Explain(in)
	if len(e.Services) != 1 || e.OmittedServices != 2 || len(e.Services[0].Targets) != maxTargets || e.Services[0].OmittedTargets != 100-maxTargets {
		t.Errorf("%d services (%d omitted), %d targets (%d omitted)", len(e.Services), e.OmittedServices, len(e.Services[0].Targets), e.Services[0].OmittedTargets)
	}
}
