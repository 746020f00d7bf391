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

// rightAnswer returns the right answer to the request, without one shard if missing is set.
func rightAnswer(c *checker, r Request, version, missing string) *SearchAnswer {
	s := c.searches[search]
	shards := s.versions[version]
	a := &SearchAnswer{ID: r.ID, Search: search, Version: version, Complete: missing == ""}
	a.Coverage = Coverage{Shards: len(shards), Answered: len(shards)}
	var without []string
	if missing != "" {
		without = []string{missing}
		a.Coverage.Answered--
		a.Coverage.Missing = []MissingShard{{Shard: missing, Reason: "timeout"}}
	}
	want := s.corpus.ExpectedWithout(version, shards, without, r.Query)
	a.Matched, a.Records = want.Matched, slices.Clone(want.Records)
	return a
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
		damage  func(a *SearchAnswer)
		want    FaultKind
	}{
		{"right", "", func(*SearchAnswer) {}, ""},
		{"right in part", "s01", func(*SearchAnswer) {}, ""},
		{"of another request", "", func(a *SearchAnswer) { a.ID = "r2" }, FaultEcho},
		{"unknown version", "", func(a *SearchAnswer) { a.Version = "v9" }, FaultVersion},
		{"part said to be complete", "s01", func(a *SearchAnswer) { a.Complete = true }, FaultCoverage},
		{"part passed off as whole", "s01", func(a *SearchAnswer) {
			a.Complete, a.Coverage.Missing, a.Coverage.Answered = true, nil, a.Coverage.Shards
		}, FaultRecords},
		{"shard counted as missing twice", "s01", func(a *SearchAnswer) {
			a.Coverage.Missing = append(a.Coverage.Missing, a.Coverage.Missing[0])
			a.Coverage.Answered--
		}, FaultCoverage},
		{"mixed versions", "", func(a *SearchAnswer) {
			a.Records[9] = rightAnswer(c, r, "v2", "").Records[9]
		}, FaultSnapshot},
		{"record twice", "", func(a *SearchAnswer) { a.Records[1] = a.Records[0] }, FaultDuplicate},
		{"wrong order", "", func(a *SearchAnswer) { slices.Reverse(a.Records) }, FaultOrder},
		{"record lost", "", func(a *SearchAnswer) { a.Records = slices.Delete(a.Records, 3, 4) }, FaultRecords},
		{"altered record", "", func(a *SearchAnswer) { a.Records[4].Fields = wire.RawJSON(`{"version":"v1"}`) }, FaultRecords},
		{"wrong count", "", func(a *SearchAnswer) { a.Matched++ }, FaultRecords},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := rightAnswer(c, r, "v1", test.missing)
			test.damage(a)
			fault := c.check(Outcome{Request: r, Code: code.OK, Search: a})
			if fault == nil && test.want != "" || fault != nil && fault.Kind != test.want {
				t.Fatalf("got %+v, want %q", fault, test.want)
			}
		})
	}
}

func TestActionRunsAreCompared(t *testing.T) {
	tests := []struct {
		said code.RunStatus
		runs int
		want FaultKind
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
		fault := checkRuns("a", test.said, test.runs)
		if fault == nil && test.want != "" || fault != nil && fault.Kind != test.want {
			t.Errorf("said %d with %d runs: got %+v, want %q", test.said, test.runs, fault, test.want)
		}
	}
}

// gateway is a small right gateway that holds all answers until a number of
// requests is there.
type gateway struct {
	checker *checker
	layout  standin.Layout
	holdFor int

	mu      sync.Mutex
	arrived int
	release chan struct{}
}

func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathReady {
		return
	}
	g.mu.Lock()
	g.arrived++
	if g.arrived == g.holdFor {
		close(g.release)
	}
	g.mu.Unlock()
	<-g.release
	if path.Dir(r.URL.Path)+"/" == pathAction {
		g.action(w, r)
		return
	}
	var body searchBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	request := Request{ID: body.ID, Query: body.Query}
	_ = json.NewEncoder(w).Encode(rightAnswer(g.checker, request, "v1", ""))
}

// action runs the action at the first target of its shard.
func (g *gateway) action(w http.ResponseWriter, r *http.Request) {
	var body actionBody
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
	_ = json.NewEncoder(w).Encode(ActionAnswer{ID: body.ID, Search: search, Shard: shard})
}

// All requests are sent although none is answered before the last one has
// come, which a closed loop would wait for in vain.
func TestLoopIsOpen(t *testing.T) {
	s := newStandin(t)
	const requests = 39 // due every 5 ms within 200 ms
	g := &gateway{
		checker: newChecker([]standin.Layout{s.Layout()}), layout: s.Layout(),
		holdFor: requests, release: make(chan struct{}),
	}
	server := httptest.NewServer(g)
	defer server.Close()
	plan := Plan{
		Gateways: []string{server.Listener.Addr().String()},
		Standins: []string{s.AdminAddress()},
		Duration: standin.Duration(200 * time.Millisecond),
		Streams: []Stream{{
			Search: search, Rate: 200, Even: true, Actions: 0.3, Deadline: standin.Duration(time.Minute),
		}},
	}
	report, err := Run(context.Background(), plan, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if broken := report.Broken(); len(broken) > 0 {
		t.Fatalf("broken %v, faults %v", broken, report.FaultList)
	}
	total := report.Total
	if total.Scheduled != requests || total.Dropped != 0 || total.CompleteShare != 1 {
		t.Fatalf("got %+v", total)
	}
	first := time.Duration(requests-1) * 5 * time.Millisecond // the first request waits for the last
	if total.P999.Std() < first*99/100 {
		t.Fatalf("the longest latency is %v, the first request waited for %v", total.P999.Std(), first)
	}
}

func TestPlansAreChecked(t *testing.T) {
	good := `{"gateways": ["g"], "standins": ["s"], "streams": [{"search": "small"}], // comment
	}`
	p, err := ParsePlan([]byte(good))
	if err != nil || p.complete() != nil || p.Streams[0].Token != "small-token" {
		t.Fatalf("got %+v, %v", p, err)
	}
	for _, bad := range []string{`{"unknown": 1}`, `{"duration": 3}`, `[`} {
		if _, err := ParsePlan([]byte(bad)); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
	p.Streams[0].Rate = MaxRequests
	if p.complete() == nil {
		t.Error("a plan beyond the bounds is accepted")
	}
}
