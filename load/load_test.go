package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/standin"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

const search = "small"

func newStandin(t *testing.T) *standin.Standin {
	s, err := standin.New(standin.Options{Seed: 5, Warm: true, ServiceTime: standin.Service{Median: 1}, NetworkDelay: -1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// correctResponse returns the correct response to the request. If missing is not
// empty, the response does not cover that shard.
func correctResponse(c *checker, r Request, version, missing string) *SearchResponse {
	s := c.searches[search]
	shards := s.versions[version]
	resp := &SearchResponse{ID: r.ID, Search: search, Version: version, Complete: missing == ""}
	resp.Coverage = Coverage{Shards: len(shards), Responded: len(shards)}
	var without []string
	if missing != "" {
		without = []string{missing}
		resp.Coverage.Responded--
		resp.Coverage.Missing = []MissingShard{{Shard: missing, Reason: "timeout"}}
	}
	want := s.corpus.ExpectedWithout(version, shards, without, r.Query)
	resp.Matched, resp.Records = want.Matched, slices.Clone(want.Records)
	return resp
}

func TestCheckerFindsEachFault(t *testing.T) {
	layout, err := standin.NewLayout(5, 300, standin.SetupSmall)
	if err != nil {
		t.Fatal(err)
	}
	c := newChecker([]standin.Layout{layout})
	r := Request{ID: "r1", Stream: &Stream{Search: search}, Query: targetapi.Query{Limit: 10}}
	tests := []struct {
		name    string
		missing string
		corrupt func(resp *SearchResponse)
		want    FaultKind
	}{
		{"correct", "", func(*SearchResponse) {}, ""},
		{"correct but partial", "s01", func(*SearchResponse) {}, ""},
		{"response to another request", "", func(resp *SearchResponse) { resp.ID = "r2" }, FaultWrongRequest},
		{"unknown version", "", func(resp *SearchResponse) { resp.Version = "v9" }, FaultUnknownVersion},
		{"partial response marked complete", "s01", func(resp *SearchResponse) { resp.Complete = true }, FaultCoverage},
		{"partial response with complete coverage", "s01", func(resp *SearchResponse) {
			resp.Complete, resp.Coverage.Missing, resp.Coverage.Responded = true, nil, resp.Coverage.Shards
		}, FaultRecords},
		{"shard listed as missing twice", "s01", func(resp *SearchResponse) {
			resp.Coverage.Missing = append(resp.Coverage.Missing, resp.Coverage.Missing[0])
			resp.Coverage.Responded--
		}, FaultCoverage},
		{"mixed versions", "", func(resp *SearchResponse) {
			resp.Records[9] = correctResponse(c, r, "v2", "").Records[9]
		}, FaultSnapshot},
		{"duplicate record", "", func(resp *SearchResponse) { resp.Records[1] = resp.Records[0] }, FaultDuplicate},
		{"wrong order", "", func(resp *SearchResponse) { slices.Reverse(resp.Records) }, FaultOrder},
		{"lost record", "", func(resp *SearchResponse) { resp.Records = slices.Delete(resp.Records, 3, 4) }, FaultRecords},
		{"altered record", "", func(resp *SearchResponse) { resp.Records[4].Fields = wire.RawJSON(`{"version":"v1"}`) }, FaultRecords},
		{"wrong number of matches", "", func(resp *SearchResponse) { resp.Matched++ }, FaultRecords},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			resp := correctResponse(c, r, "v1", test.missing)
			test.corrupt(resp)
			fault := c.check(Outcome{Request: r, Code: code.OK, Search: resp})
			if fault == nil && test.want != "" || fault != nil && fault.Kind != test.want {
				t.Fatalf("got %+v, want %q", fault, test.want)
			}
		})
	}
}

func TestCheckExecutions(t *testing.T) {
	tests := []struct {
		reported   code.RunStatus
		executions int
		want       FaultKind
	}{
		{code.Ran, 1, ""},
		{code.NotRun, 0, ""},
		{code.RunUnknown, 0, ""},
		{code.RunUnknown, 1, ""},
		{code.RunUnknown, 2, FaultRanTwice},
		{code.NotRun, 1, FaultRan},
		{code.Ran, 0, FaultDidNotRun},
	}
	for _, test := range tests {
		fault := checkExecutions("a", test.reported, test.executions)
		if fault == nil && test.want != "" || fault != nil && fault.Kind != test.want {
			t.Errorf("reported %d with %d executions: got %+v, want %q", test.reported, test.executions, fault, test.want)
		}
	}
}

// gateway is a minimal correct gateway that delays all responses until it has
// received a number of requests.
type gateway struct {
	checker     *checker
	layout      standin.Layout
	minRequests int

	mu       sync.Mutex
	received int
	release  chan struct{}
}

func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathReady {
		return
	}
	g.mu.Lock()
	g.received++
	if g.received == g.minRequests {
		close(g.release)
	}
	g.mu.Unlock()
	<-g.release
	if path.Dir(r.URL.Path)+"/" == pathAction {
		g.action(w, r)
		return
	}
	var body searchRequest
	_ = json.NewDecoder(r.Body).Decode(&body)
	request := Request{ID: body.ID, Query: body.Query}
	_ = json.NewEncoder(w).Encode(correctResponse(g.checker, request, "v1", ""))
}

// action runs the action at the first target of its shard.
func (g *gateway) action(w http.ResponseWriter, r *http.Request) {
	var body actionRequest
	_ = json.NewDecoder(r.Body).Decode(&body)
	shard := corpus.ShardOf(body.Action.Key, g.checker.searches[search].versions["v1"])
	i := slices.IndexFunc(g.layout.Searches[0].Versions[0].Shards, func(s standin.ShardLayout) bool { return s.Name == shard })
	name := g.layout.Searches[0].Versions[0].Shards[i].Targets[0]
	j := slices.IndexFunc(g.layout.Targets, func(t standin.TargetLayout) bool { return t.Name == name })
	client := targetapi.NewTargetClient(targetapi.TargetClientOptions{Address: g.layout.Targets[j].Address})
	defer client.Close()
	payload, _ := json.Marshal(body.Action)
	result := client.Do(r.Context(), targetapi.PathAction, &targetapi.TargetRequest{
		ID: body.Action.ID, Search: search, Version: "v1", Shard: shard, Payload: payload,
	}, time.Now().Add(time.Minute))
	if result.Code != code.OK {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"code":"` + string(result.Code) + `","not_run":` + result.Run.String() + `}`))
		return
	}
	_ = json.NewEncoder(w).Encode(ActionResponse{ID: body.ID, Search: search, Shard: shard})
}

// All requests must be sent although the gateway responds to none of them before it
// has received the last one. A closed loop would wait for the first response forever.
func TestOpenLoop(t *testing.T) {
	s := newStandin(t)
	const requests = 39 // due every 5 ms within 200 ms
	g := &gateway{
		checker: newChecker([]standin.Layout{s.Layout()}), layout: s.Layout(),
		minRequests: requests, release: make(chan struct{}),
	}
	server := httptest.NewServer(g)
	defer server.Close()
	plan := Plan{
		Gateways: []string{server.Listener.Addr().String()},
		Standins: []string{s.AdminAddress()},
		Duration: standin.Duration(200 * time.Millisecond),
		Streams: []Stream{{
			Search: search, Rate: 200, EvenlySpaced: true, ActionFraction: 0.3, Deadline: standin.Duration(time.Minute),
		}},
	}
	report, err := Run(context.Background(), plan, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if violations := report.Violations(); len(violations) > 0 {
		t.Fatalf("violations %v, faults %v", violations, report.FaultList)
	}
	total := report.Total
	if total.Scheduled != requests || total.Dropped != 0 || total.CompleteFraction != 1 {
		t.Fatalf("got %+v", total)
	}
	firstLatency := time.Duration(requests-1) * 5 * time.Millisecond // the first request waits for the last
	if total.P999.Std() < firstLatency*99/100 {
		t.Fatalf("the longest latency is %v, the first request waited for %v", total.P999.Std(), firstLatency)
	}
}

func TestPlanValidation(t *testing.T) {
	valid := `{"gateways": ["g"], "standins": ["s"], "streams": [{"search": "small"}], // comment
	}`
	p, err := ParsePlan([]byte(valid))
	if err != nil || p.setDefaultsAndValidate() != nil || p.Streams[0].Token != "small-token" {
		t.Fatalf("got %+v, %v", p, err)
	}
	for _, invalid := range []string{`{"unknown": 1}`, `{"duration": 3}`, `[`} {
		if _, err := ParsePlan([]byte(invalid)); err == nil {
			t.Errorf("plan %s is accepted", invalid)
		}
	}
	p.Streams[0].Rate = MaxRequests
	if p.setDefaultsAndValidate() == nil {
		t.Error("a plan with too many requests is accepted")
	}
}
