package upstream

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/pushback"
	"github.com/goldcrestmux/goldcrestmux/reach"
)

// ServiceView describes the targets of a service as the choice for a new request sees them.
type ServiceView struct {
	Service string
	// Known is false if no target of the service has ever been registered.
	Known bool
	// Targets are those that may be chosen, the first choice first, then the others.
	Targets []TargetView
}

// TargetView describes one target.
type TargetView struct {
	ID, Address, DataCentre string
	// Excluded is why the target may not be chosen now; empty if it may. Cost is then the
	// value by which it is ordered.
	Excluded string
	Cost     time.Duration
	// AvailableAt is when a target whose limit is used up, or that has asked for a pause, may
	// be chosen again; zero for others.
	AvailableAt time.Time
	// InUse is the number of attempts in progress, and Waiting that of those that wait for a
	// connection.
	InUse, Slots, Waiting int
	// Connections is the number of open connections, Idle that of those that are free, and
	// MaxConnections this process's share of the limit.
	Connections, Idle, MaxConnections int
	Remote, Cold, ColdLimited         bool
	Draining, Leaving, Deregistered   bool
	Evacuated                         bool
	Stats                             balance.Summary
	// Pushback is what the target has asked for; HasPushback is false if that is nothing.
	Pushback    pushback.Report
	HasPushback bool
}

// PathView describes whether requests for some services are sent to targets by this process.
type PathView struct {
	Mode reach.Mode
	// Since is when the mode was entered; zero if at the start.
	Since time.Time
	// Direct is false if requests are handed to peers, as this process reaches no targets.
	Direct bool
	// Blocked holds the services that this process does not reach though they have targets.
	Blocked []string
}

// Explain returns the targets of each of the services in the order in which Start would choose
// them for the first attempt of a request, and the path of a request that needs all of
// the services in needed. It changes no state.
func (p *Pool) Explain(now time.Time, needed, services []string, profile balance.Profile) (PathView, []ServiceView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := PathView{}
	state := p.reach // a copy: asking takes a credit while the path is regained
	path.Mode, path.Since = state.Mode()
	path.Direct = state.Direct(now, path.Mode == reach.Narrow && p.connected(now, needed))
	views := make([]ServiceView, 0, len(services))
	for _, name := range services {
		if usable, reached := p.reached(now, name); usable && !reached {
			path.Blocked = append(path.Blocked, name)
		}
		views = append(views, p.explainService(now, name, profile))
	}
	return path, views
}

// explainService returns the targets of a service. mu must be held.
func (p *Pool) explainService(now time.Time, name string, profile balance.Profile) ServiceView {
	svc := p.services[name]
	if svc == nil {
		return ServiceView{Service: name}
	}
	view := ServiceView{Service: name, Known: true}
	for _, t := range svc.targets {
		view.Targets = append(view.Targets, p.explainTarget(now, svc, *t, profile))
	}
	slices.SortStableFunc(view.Targets, func(a, b TargetView) int {
		return cmp.Or(
			cmp.Compare(boolRank(a.Excluded != ""), boolRank(b.Excluded != "")),
			cmp.Compare(a.Cost, b.Cost), strings.Compare(a.ID, b.ID))
	})
	return view
}

// explainTarget describes a target. t is a copy, as averages decay and credits are filled
// when they are read. mu must be held.
func (p *Pool) explainTarget(now time.Time, svc *service, t Target, profile balance.Profile) TargetView {
	candidate, excluded, availableAt := p.candidate(now, svc, &t, &AttemptOptions{Service: t.Service, Profile: profile})
	v := TargetView{
		ID: t.ID, Address: t.entry.Address, DataCentre: t.entry.DataCentre, Excluded: excluded, AvailableAt: availableAt,
		InUse: t.stats.Outstanding(), Slots: t.entry.Slots, Waiting: len(t.waiting),
		Connections: t.openConns, Idle: len(t.idle), MaxConnections: t.maxConns,
		Remote: t.remote, Cold: t.isCold(now), Draining: t.entry.Draining, Leaving: t.leaving(), Deregistered: t.entry.Deregistered(), Evacuated: t.evacuated,
	}
	v.ColdLimited = v.Cold && svc.limitsCold()
	v.Pushback, v.HasPushback = t.pushback.Report(now)
	if excluded == "" {
		v.Cost = candidate.Cost(now, profile)
	}
	v.Stats = t.stats.Summary(now)
	return v
}
