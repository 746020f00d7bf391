package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/explain"
	"github.com/goldcrestmux/goldcrestmux/follow"
	"github.com/goldcrestmux/goldcrestmux/quota"
)

// listedSource lists a configuration and targets, and then has no changes.
type listedSource struct{}

func (listedSource) List(context.Context, bool) (follow.Batch, error) {
	b := follow.Batch{Revision: 9, Items: []catalog.Item{{Kind: catalog.KindConfig, Revision: 1, Config: &catalog.Config{
		Version: 3, Services: []*catalog.Service{{Name: "s0", MaxConnections: 4}},
		Organisations: []*catalog.Organisation{{Name: "alpha", Keys: []catalog.KeyHash{catalog.HashKey("alpha-key")}, Priority: 1, HasPriority: true}},
		Routes: []*catalog.Route{
			{Name: "one", Host: "a.example", Prefix: "/one/", LatencyObjective: 100 * time.Millisecond, Split: []catalog.WeightedService{{Service: "s0", Weight: 1}}},
			{Name: "all", Host: "a.example", Prefix: "/all/", LatencyObjective: 100 * time.Millisecond, Shards: shardNames(50), TopK: 3},
		},
	}}}}
	for i, name := range shardNames(50) {
		id := "t-" + name
		b.Items = append(b.Items, catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: uint64(2 + i%5), Target: &catalog.Target{ID: id, Service: name, Address: "127.0.0.1:1", DataCentre: "dc1", Slots: 2}})
	}
	return b, nil
}

func (listedSource) Watch(ctx context.Context, _ uint64, wait time.Duration) (follow.Batch, error) {
	select {
	case <-ctx.Done():
		return follow.Batch{}, ctx.Err()
	case <-time.After(wait):
		return follow.Batch{Revision: 9}, nil
	}
}

func shardNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("s", i))
	}
	return names
}

// followingProcess returns a process that has read listedSource and serves no requests.
func followingProcess(t *testing.T) *process {
	t.Helper()
	p := newProcess(Adapter{
		NewSource:       func(*Settings, DialFunc) follow.Source { return listedSource{} },
		DroppedLogLines: func() int64 { return 0 },
	}, Settings{Name: "front-1", DataCentre: "dc1", DrainGrace: time.Second, MaxConfigDelay: 5 * time.Second}, slog.New(slog.DiscardHandler))
	p.follower.Start()
	t.Cleanup(func() { _ = p.follower.Stop() })
	for deadline := time.Now().Add(5 * time.Second); !p.view.Load().Configured() || p.follower.ConfirmedAt().IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the source was not read within 5 s")
		}
	}
	return p
}

func explainURL(method, target, organisation, priority string) string {
	q := url.Values{"method": {method}, "url": {target}}
	if organisation != "" {
		q.Set("organisation", organisation)
	}
	if priority != "" {
		q.Set("priority", priority)
	}
	return "/debug/explain?" + q.Encode()
}

func TestExplanationIsServed(t *testing.T) {
	p := followingProcess(t)
	for name, c := range map[string]struct {
		url    string
		status int
		last   string
	}{
		"one service":         {explainURL("GET", "http://a.example/one/x?q=1", "alpha", ""), 200, "path: direct"},
		"sharded":             {explainURL("GET", "http://a.example/all/", "alpha", "4"), 200, "path: direct"},
		"no key":              {explainURL("GET", "http://a.example/one/x", "", ""), 200, "organisation: none, and the route needs a key: 401"},
		"no route":            {explainURL("GET", "http://b.example/one/x", "alpha", ""), 200, "route: none: 404"},
		"no host":             {explainURL("GET", "/one/x", "alpha", ""), 400, ""},
		"no method":           {explainURL("", "http://a.example/one/x", "alpha", ""), 400, ""},
		"priority not number": {explainURL("GET", "http://a.example/one/x", "alpha", "high"), 400, ""},
	} {
		w := httptest.NewRecorder()
		p.serveExplanation(w, httptest.NewRequest(http.MethodGet, c.url, nil))
		if w.Code != c.status {
			t.Errorf("%s: status %d, want %d: %s", name, w.Code, c.status, w.Body)
			continue
		}
		if c.status != http.StatusOK {
			continue
		}
		var e explain.Explanation
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil {
			t.Fatal(err)
		}
		last := e.Steps[len(e.Steps)-1]
		if got := last.Name + ": " + last.Outcome; got != c.last {
			t.Errorf("%s: last step %q, want %q", name, got, c.last)
		}
		if name == "sharded" && (len(e.Services) != explain.MaxServices || e.OmittedServices != 50-explain.MaxServices || len(e.Services[0].Targets) != 1) {
			t.Errorf("%s: %d services, %d omitted", name, len(e.Services), e.OmittedServices)
		}
		if strings.Contains(w.Body.String(), catalog.HashKey("alpha-key").String()) || strings.Contains(w.Body.String(), "q=1") {
			t.Errorf("%s: the explanation shows a key or a query: %s", name, w.Body)
		}
	}
}

// The explanation must be served next to the metrics, where gcmuxctl asks for it.
func TestExplanationIsServedWithMetrics(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	p := followingProcess(t)
	p.settings.MetricsListen = address
	p.startMetrics()
	t.Cleanup(func() {
		p.tomb.Kill(nil)
		_ = p.tomb.Wait()
	})
	resp, err := http.Get("http://" + address + explainURL("GET", "http://a.example/one/x", "alpha", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var e explain.Explanation
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil || resp.StatusCode != http.StatusOK || e.Process != "front-1" {
		t.Errorf("status %d, explanation %+v, error %v", resp.StatusCode, e, err)
	}
}

// Guards against an explanation that counts as a request, opens connections, or changes what
// the state page shows.
func TestExplainingChangesNothing(t *testing.T) {
	p := followingProcess(t)
	snapshot := func() string {
		state := p.state().(map[string]any)
		for _, name := range []string{"picture_age_ms", "uptime_s", "store_calls"} { // change with time
			delete(state, name)
		}
		data, err := json.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		sharded, single := p.engine.Requests()
		m := p.metrics
		return fmt.Sprint(string(data), sharded, single, m.responses, m.reasons, m.latency, m.connections, m.delegated, m.detours, m.partial, m.late)
	}
	before := snapshot()
	for range 20 {
		for _, path := range []string{"one/", "all/", "none/"} {
			p.serveExplanation(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, explainURL("GET", "http://a.example/"+path, "alpha", ""), nil))
		}
	}
	if after := snapshot(); after != before {
		t.Errorf("after explanations:\n%s\nwant\n%s", after, before)
	}
}

// What later components decide must appear between the organisation and the path.
func TestExplainersDecideBeforePath(t *testing.T) {
	p := followingProcess(t)
	explainers = append(explainers, func(_ *process, q *explainedRequest) explain.Step {
		return explain.Step{Name: "test", Outcome: q.organisation.Name + " " + q.route.Name}
	})
	defer func() { explainers = explainers[:len(explainers)-1] }()
	e := p.explain(time.Now(), explain.Request{Method: "GET", Host: "a.example", URI: "/one/", Organisation: "alpha"})
	if n := len(e.Steps); n < 3 || e.Steps[n-1].Name != "path" || e.Steps[n-2].Name != "test" || e.Steps[n-2].Outcome != "alpha one" {
		t.Errorf("steps %+v", e.Steps)
	}
}

// Guards against explanations that leave out the use of a quota, or that count as use.
func TestExplanationShowsUseOfQuota(t *testing.T) {
	p := followingProcess(t)
	now := time.Now()
	p.quotas = newQuotas(&Settings{Name: "p", Quota: quota.DefaultBounds}, now, slog.New(slog.DiscardHandler))
	q := &explainedRequest{now: now, organisation: &catalog.Organisation{Name: "alpha", Rate: 5, Burst: 5}, route: &catalog.Route{Name: "one"}}
	if s := explainQuota(p, q); s.Facts != nil {
		t.Errorf("step %+v before the first request", s)
	}
	p.quotas.mu.Lock()
	p.quotas.limiter.Admit(now, "alpha", quota.Limit{Rate: 5, Burst: 5})
	p.quotas.mu.Unlock()
	for range 2 {
		if s := explainQuota(p, q); s.Facts["mode"] != "open" || s.Facts["refused"] != uint64(0) {
			t.Errorf("step %+v after the first request", s)
		}
	}
	if s := explainAdmission(p, q); s.Name != "admission" || s.Outcome == "" {
		t.Errorf("step %+v", s)
	}
}
