package entry

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/explain"
	"github.com/juju/errors"
)

// explainedRequest is what explainers are told about a request.
type explainedRequest struct {
	now          time.Time
	request      explain.Request
	view         *catalog.View
	route        *catalog.Route
	organisation *catalog.Organisation // nil if none is known
	services     []string
}

// serveExplanation explains where a request would go now. The query parameters are method,
// url, and, if given, organisation and priority.
func (p *process) serveExplanation(w http.ResponseWriter, r *http.Request) {
	request, err := parseExplained(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := json.MarshalIndent(p.explain(time.Now(), request), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n')) // an error means that the operator has left
}

func parseExplained(q url.Values) (explain.Request, error) {
	r := explain.Request{Method: q.Get("method"), Organisation: q.Get("organisation")}
	if r.Method == "" {
		return r, errors.NotValidf("request without a method")
	}
	u, err := url.Parse(q.Get("url"))
	if err != nil || u.Host == "" {
		return r, errors.NotValidf("url (must have a host)")
	}
	r.Host, r.URI = u.Host, u.RequestURI()
	if text := q.Get("priority"); text != "" {
		r.Priority, err = strconv.Atoi(text)
		if err != nil {
			return r, errors.NotValidf("priority %q", text)
		}
		r.HasPriority = true
	}
	return r, nil
}

// explain explains a request. It changes no state.
func (p *process) explain(now time.Time, request explain.Request) explain.Explanation {
	s := &p.settings
	in := explain.Input{
		Now: now, Process: s.Name, DataCentre: s.DataCentre, Stopping: p.stopping.Load(), Request: request,
		View: p.view.Load(), ConfirmedAt: p.follower.ConfirmedAt(), StaleAfter: staleAfter, MaxKeyAge: s.MaxKeyAge,
		VersionSeen: p.gatherer.versionSeen.Load(),
	}
	if !in.View.Configured() {
		return explain.Explain(in)
	}
	route := in.View.RouteOfURI(request.Host, request.URI)
	if route == nil {
		return explain.Explain(in)
	}
	services := explain.Services(route)
	in.Path, in.Services = p.pool.Explain(now, services, services[:min(len(services), explain.MaxServices)], p.engine.Profile(now, route))
	profile := profileOf(route)
	g := p.gatherer
	g.mu.Lock()
	if route.Sharded() {
		in.Gatherers = g.chooser.Explain(now, profile, g.client.Reachable)
	}
	in.Helpers = g.helpers.Explain(now, profile, g.client.Reachable)
	g.mu.Unlock()
	q := &explainedRequest{now: now, request: request, view: in.View, route: route, organisation: in.View.Organisations().Named(request.Organisation), services: services}
	for _, explainer := range explainers {
		in.Decisions = append(in.Decisions, explainer(p, q))
	}
	return explain.Explain(in)
}
