package entry

import (
	"fmt"
	"slices"

	"github.com/goldcrestmux/goldcrestmux/explain"
)

// explainers are the components, in the order in which they decide on a request, that decide
// between its authentication and its path. They must not change any state.
var explainers = []func(p *process, q *explainedRequest) explain.Step{explainQuota, explainAdmission}

// explainQuota tells what is known here of the use of the organisation's quota.
func explainQuota(p *process, q *explainedRequest) explain.Step {
	s := explain.Step{Name: "quota", Outcome: "none applies"}
	if !q.organisation.Limited() {
		return s
	}
	state, used := p.quotas.organisation(q.now, q.organisation.Name)
	if !used {
		s.Outcome = "not used here of late"
		return s
	}
	s.Outcome = "admitted at once and reported"
	if state.Mode == "limited" {
		s.Outcome = "the coordinator is asked"
	}
	s.Facts = map[string]any{
		"mode": state.Mode, "admitted_in_window": state.Window, "refused": state.Refused, "waiting": state.Waiting,
		"coordinator": state.Coordinator, "deputy": state.Deputy,
	}
	return s
}

// explainAdmission tells whether requests to the route's services are limited at this
// process. A request that is handed to a peer is subject to the peer's limit instead.
func explainAdmission(p *process, q *explainedRequest) explain.Step {
	s := explain.Step{Name: "admission", Outcome: "off: requests to these services have one priority"}
	for name, group := range p.engine.AdmissionState() {
		if !slices.Contains(group.Routes, q.route.Name) {
			continue
		}
		s.Outcome = "no limit, as the targets are not overloaded"
		if group.Limited {
			s.Outcome = fmt.Sprintf("limited: %d of %d requests in progress", group.Running, group.Limit)
		}
		s.Facts = map[string]any{
			"group": name, "running": group.Running, "waiting": group.Waiting,
			"latency_of_tolerated": group.Latency, "refused_by_targets": group.GuardStats.Refused,
		}
		return s
	}
	return s
}
