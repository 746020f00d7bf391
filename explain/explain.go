// Package explain tells operators where a request would go now, and why. It composes the
// explanation from views of the components that would serve the request, and is pure.
package explain

import (
	"fmt"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/delegate"
	"github.com/goldcrestmux/goldcrestmux/reach"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// Bounds of an explanation. A route may have hundreds of shards.
const (
	// MaxServices is the number of services whose targets are shown.
	MaxServices = 32
	maxTargets  = 12 // of each service
)

// Request is the request to explain.
type Request struct {
	Method string
	Host   string
	// URI is the path and the query.
	URI string
	// Organisation is the name of the caller's organisation; empty if it has none.
	Organisation string
	// Priority replaces that of the organisation and of the route if HasPriority is true.
	Priority    int
	HasPriority bool
}

// Input holds what the components tell about a request.
type Input struct {
	Now                 time.Time
	Process, DataCentre string
	// Stopping is true if the process takes no more requests.
	Stopping bool
	Request  Request
	// View is the view in force; nil if there is none.
	View        *catalog.View
	ConfirmedAt time.Time
	// StaleAfter and MaxKeyAge are the ages of the view from which unknown keys, and all keys
	// if MaxKeyAge is not zero, cannot be verified.
	StaleAfter, MaxKeyAge time.Duration
	// VersionSeen is the latest version with which a peer has served a request.
	VersionSeen uint64
	Path        upstream.PathView
	// Services are the first of the services that the route needs, or may need.
	Services []upstream.ServiceView
	// Gatherers and Helpers are the peers that sharded requests, and requests that this process
	// cannot serve, are handed to.
	Gatherers, Helpers []delegate.View
	// Decisions are those of further components, in the order in which they are made. They come
	// between the organisation and the path.
	Decisions []Step
}

// Explanation is the explanation of a request.
type Explanation struct {
	Process    string `json:"process"`
	DataCentre string `json:"data_centre"`
	Method     string `json:"method"`
	Host       string `json:"host"`
	// Path is the path of the request. Queries may hold secrets and are not shown.
	Path string `json:"path"`
	// Steps are the decisions in their order. The last one is that which rejects the request,
	// if one does.
	Steps []Step `json:"steps"`
	// Peers are those that the request may be handed to, the first choice first.
	Peers []Peer `json:"peers,omitempty"`
	// Services are the services that the request is sent to, bounded in number.
	Services        []Service `json:"services,omitempty"`
	OmittedServices int       `json:"omitted_services,omitempty"`
}

// Step is one decision about a request.
type Step struct {
	// Name is what decides, such as "route".
	Name string `json:"name"`
	// Outcome is the decision.
	Outcome string `json:"outcome"`
	// Rejected is true if the request goes no further.
	Rejected bool `json:"rejected,omitempty"`
	// Facts are the inputs of the decision.
	Facts map[string]any `json:"facts,omitempty"`
}

// Peer is a peer that a request may be handed to.
type Peer struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"data_centre"`
	CostMs     float64 `json:"cost_ms"`
	Usable     bool    `json:"usable"`
}

// Explain returns the explanation.
func Explain(in Input) Explanation {
	out := Explanation{
		Process: in.Process, DataCentre: in.DataCentre,
		Method: in.Request.Method, Host: in.Request.Host, Path: pathOf(in.Request.URI),
	}
	steps := []func(*Input) Step{configuration, route, organisation}
	for _, step := range steps {
		s := step(&in)
		out.Steps = append(out.Steps, s)
		if s.Rejected {
			return out
		}
	}
	out.Steps = append(out.Steps, priority(&in))
	out.Steps = append(out.Steps, in.Decisions...)
	out.Steps = append(out.Steps, path(&in))
	r := routeOf(&in)
	peers := in.Helpers
	if r.Sharded() && len(in.Gatherers) > 0 && in.Path.Direct {
		peers = in.Gatherers
	}
	for _, p := range peers {
		out.Peers = append(out.Peers, Peer{Name: p.Name, DataCentre: p.DataCentre, CostMs: millis(p.Cost), Usable: p.Usable})
	}
	for i := range in.Services {
		out.Services = append(out.Services, service(&in, &in.Services[i], r))
	}
	out.OmittedServices = len(Services(r)) - len(in.Services)
	return out
}

// Services returns the services that requests of a route are sent to: all of its shards, or
// those of its split.
func Services(r *catalog.Route) []string {
	if r.Sharded() {
		return r.Shards
	}
	var names []string
	for _, p := range r.Split {
		names = append(names, p.Service)
	}
	return names
}

func routeOf(in *Input) *catalog.Route { return in.View.RouteOfURI(in.Request.Host, in.Request.URI) }

func configuration(in *Input) Step {
	s := Step{Name: "configuration"}
	if !in.View.Configured() {
		s.Outcome, s.Rejected = "none is known: 503", true
		return s
	}
	age := in.Now.Sub(in.ConfirmedAt)
	s.Outcome = fmt.Sprintf("version %d, confirmed %v ago", in.View.Version, age.Round(time.Millisecond))
	s.Facts = map[string]any{"version": in.View.Version, "age_ms": age.Milliseconds(), "stale": in.stale()}
	switch {
	case in.Stopping:
		s.Outcome += "; the process is stopping and takes no requests"
		s.Rejected = true
	case in.behind():
		s.Outcome += fmt.Sprintf("; a peer has version %d", in.VersionSeen)
		s.Facts["version_of_peer"] = in.VersionSeen
	case in.stale():
		s.Outcome += ", which is old"
	}
	return s
}

func (in *Input) behind() bool { return in.View.Version < in.VersionSeen }

// stale reports whether the view may lack what has been published.
func (in *Input) stale() bool { return in.behind() || in.Now.Sub(in.ConfirmedAt) > in.StaleAfter }

func route(in *Input) Step {
	s := Step{Name: "route"}
	r := routeOf(in)
	switch {
	case r == nil && in.stale():
		s.Outcome, s.Rejected = "none is known, and the configuration may be old: 503", true
		return s
	case r == nil:
		s.Outcome, s.Rejected = "none: 404", true
		return s
	}
	kind := fmt.Sprintf("split over %d services", len(r.Split))
	switch {
	case r.Sharded():
		kind = fmt.Sprintf("sent to %d shards", len(r.Shards))
	case len(r.Split) == 1:
		kind = "sent to service " + r.Split[0].Service
	}
	s.Outcome = fmt.Sprintf("%s (%s%s), %s", r.Name, r.Host, r.Prefix, kind)
	s.Facts = map[string]any{
		"idempotent": r.Idempotent || r.Sharded(), "timeout_ms": r.Timeout.Milliseconds(), "objective_ms": r.LatencyObjective.Milliseconds(),
		"max_attempts": r.MaxAttempts, "priority": r.Priority, "public": r.Public,
	}
	if r.Sharded() {
		s.Facts["min_shard_fraction"] = r.MinShardFraction
	}
	return s
}

func organisation(in *Input) Step {
	s := Step{Name: "organisation"}
	all := in.View.Organisations()
	o := all.Named(in.Request.Organisation)
	age := in.Now.Sub(in.ConfirmedAt)
	switch {
	case all == nil:
		s.Outcome = "none are configured, no key is needed"
	case in.Request.Organisation != "" && o == nil && in.stale():
		s.Outcome, s.Rejected = fmt.Sprintf("%s is not known, and the configuration may be old: 503", in.Request.Organisation), true
	case in.Request.Organisation != "" && o == nil:
		s.Outcome, s.Rejected = fmt.Sprintf("%s is not known: its keys get 401", in.Request.Organisation), true
	case o == nil && routeOf(in).Public:
		s.Outcome = "none, the route is public"
	case o == nil:
		s.Outcome, s.Rejected = "none, and the route needs a key: 401", true
	case !routeOf(in).Public && in.MaxKeyAge > 0 && age > in.MaxKeyAge:
		s.Outcome, s.Rejected = fmt.Sprintf("%s, whose keys cannot be verified: the configuration was confirmed %v ago: 503", o.Name, age.Round(time.Millisecond)), true
	default:
		s.Outcome = o.Name + ", no quota"
		if o.Limited() {
			s.Outcome = fmt.Sprintf("%s, quota %g requests per second and bursts of %g", o.Name, o.Rate, o.Burst)
		}
		s.Facts = map[string]any{"keys": len(o.Keys), "rate": o.Rate, "burst": o.Burst}
		if len(o.Keys) == 0 {
			s.Outcome += "; it holds no key"
		}
	}
	return s
}

func priority(in *Input) Step {
	o := in.View.Organisations().Named(in.Request.Organisation)
	switch {
	case in.Request.HasPriority:
		return priorityStep(in.Request.Priority, "as asked")
	case o != nil && o.HasPriority:
		return priorityStep(o.Priority, "of the organisation")
	}
	return priorityStep(routeOf(in).Priority, "of the route")
}

func priorityStep(p int, source string) Step {
	return Step{Name: "priority", Outcome: fmt.Sprintf("%d, %s", p, source), Facts: map[string]any{"priority": p}}
}

// path tells whether the request is sent to targets by this process, or handed to a peer.
func path(in *Input) Step {
	s := Step{Name: "path", Facts: map[string]any{"mode": in.Path.Mode.String()}}
	if !in.Path.Since.IsZero() {
		s.Facts["mode_for_ms"] = in.Now.Sub(in.Path.Since).Milliseconds()
	}
	r := routeOf(in)
	blocked := !r.Sharded() && len(in.Path.Blocked) > 0
	helper, gatherer := first(in.Helpers), first(in.Gatherers)
	switch {
	case in.behind():
		s.Outcome = handed(helper, "a peer has a later configuration")
	case !in.Path.Direct && helper == "" && in.Path.Mode != reach.Cut:
		s.Outcome = "direct: targets are hard to reach, and there is no peer that helps"
	case !in.Path.Direct:
		s.Outcome = handed(helper, "this process does not reach the targets")
	case blocked && helper == "":
		s.Outcome = fmt.Sprintf("direct: connections to %s fail, and there is no peer that helps", in.Path.Blocked[0])
	case blocked:
		s.Outcome = handed(helper, "connections to "+in.Path.Blocked[0]+" fail")
	case r.Sharded() && gatherer != "":
		s.Outcome = handed(gatherer, "it gathers sharded requests")
	case r.Sharded() && len(in.Gatherers) > 0:
		s.Outcome = "direct: no peer that gathers can be used now"
	default:
		s.Outcome = "direct"
	}
	return s
}

func handed(peer, why string) string {
	if peer == "" {
		return "none: " + why + ", and no peer can be used now: 503"
	}
	return "handed to " + peer + ": " + why
}

// first returns the first usable peer, or "".
func first(peers []delegate.View) string {
	for _, p := range peers {
		if p.Usable {
			return p.Name
		}
	}
	return ""
}

func millis(d time.Duration) float64 { return float64(d.Round(10*time.Microsecond)) / 1e6 }
