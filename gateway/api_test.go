package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/admission"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func testContracts() *folder.Contracts {
	search := folder.Search{
		Name: "judges", Current: "v1", Deadline: time.Second, StragglerWait: 30 * time.Millisecond, HedgeFraction: 0.05,
		Versions: map[string]folder.Version{"v1": {Sequence: 1, Shards: map[string][]string{"s0": {"t0"}, "s1": {"t1"}}}},
	}
	other := search
	other.Name = "results"
	caller := func(name string, actions bool) folder.Caller {
		return folder.Caller{
			Name: name, TokenSHA256: tokenHash(name), Searches: []string{"judges"},
			Actions: actions, Rate: 1e6, Burst: 1e6, Concurrency: 1000,
		}
	}
	slow := caller("slow", false)
	slow.Rate = 0.001
	slow.Burst = 1
	return &folder.Contracts{
		Searches:    map[string]folder.Search{"judges": search, "results": other},
		Callers:     map[string]folder.Caller{"judge": caller("judge", false), "steward": caller("steward", true), "slow": slow},
		DataCentres: map[string]folder.DataCentre{"dc1": {Name: "dc1", State: folder.StateIn}},
		Targets: map[string]folder.Target{
			"t0": {Name: "t0", DataCentre: "dc1", State: folder.StateIn},
			"t1": {Name: "t1", DataCentre: "dc1", State: folder.StateIn},
		},
	}
}

// fakeRelay grants both targets and responds to sub-requests by calling respond.
type fakeRelay struct {
	respond func(b wire.Batch, s wire.SubRequest) wire.SubResponse
}

func (f *fakeRelay) Up(l *link.Link) {
	_ = l.Send(&wire.Frame{Grants: []wire.Grant{
		{Full: true},
		{Target: "t0", State: wire.TargetWarm, Limit: 2},
		{Target: "t1", State: wire.TargetWarm, Limit: 2},
	}})
}

func (f *fakeRelay) Frame(l *link.Link, frame *wire.Frame) {
	for _, b := range frame.Batches {
		for _, s := range b.SubRequests {
			_ = l.Send(&wire.Frame{SubResponses: []wire.SubResponse{f.respond(b, s)}})
		}
	}
}

func (f *fakeRelay) Dropped(*link.Link, wire.Batch) {}
func (f *fakeRelay) Down(*link.Link, error)         {}

// okResponse returns a response to the sub-request that holds one record.
func okResponse(b wire.Batch, s wire.SubRequest) wire.SubResponse {
	return wire.SubResponse{
		ID: s.ID, QueryID: b.QueryID, Version: b.Version, Shard: s.Shard, Target: s.Target,
		Code: code.OK, Run: code.Ran, Matched: 1,
		Records: []wire.Record{{Key: "k-" + s.Shard, Score: 1, Fields: wire.RawJSON(`{}`)}},
	}
}

// gatewayLinks implements link.Handler for the gateway of a test.
type gatewayLinks struct{ *Gateway }

func (h *gatewayLinks) Down(l *link.Link, _ error) { h.Gateway.Down(l) }

// newTestGateway returns a gateway. If relay is nil it has no contracts; otherwise
// it has the contracts of testContracts and a route to each target.
func newTestGateway(t testing.TB, relay *fakeRelay) *Gateway {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	self := wire.Process{VM: "vm1", Role: wire.RoleGateway, DataCentre: "dc1", Incarnation: 1}
	h := &gatewayLinks{}
	pool := link.NewPool(link.Options{Self: self, Handler: h, Logger: logger})
	h.Gateway = New(Options{
		Self: self, Logger: logger, Links: pool, MaxBody: 1024,
		Admission: admission.Options{}, Ready: func() (bool, string) { return true, "" },
	})
	t.Cleanup(func() { pool.Close(); h.Gateway.Close() })
	if relay == nil {
		return h.Gateway
	}
	peer := wire.Process{VM: "vm1", Role: wire.RoleRelay, DataCentre: "dc1", Incarnation: 1}
	relayPool := link.NewPool(link.Options{Self: peer, Handler: relay, Logger: logger})
	srv := httptest.NewServer(relayPool)
	t.Cleanup(func() { relayPool.Close(); srv.Close() })
	h.Gateway.SetContracts(testContracts())
	pool.SetPeers(map[string]link.Peer{peer.Name(): {Address: strings.TrimPrefix(srv.URL, "http://"), Persistent: true}})
	deadline := time.Now().Add(5 * time.Second)
	for h.Gateway.UncoveredSearch() != "" {
		if time.Now().After(deadline) {
			t.Fatal("gateway has no route to every shard after 5 s")
		}
		time.Sleep(time.Millisecond)
	}
	return h.Gateway
}

func post(g *Gateway, path, token, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w
}

func TestErrorsHaveStableCodes(t *testing.T) {
	g := newTestGateway(t, nil)
	if w := post(g, "/v1/search/judges", "judge", `{}`); !strings.Contains(w.Body.String(), `"not_ready"`) {
		t.Errorf("without contracts: %s", w.Body)
	}
	g.SetContracts(testContracts())
	post(g, "/v1/search/judges", "slow", `{}`)
	for _, tc := range []struct {
		name, path, token, body string
		status                  int
		code                    code.Code
	}{
		{"no token", "/v1/search/judges", "", `{}`, 401, code.Unauthorized},
		{"unknown token", "/v1/search/judges", "nobody", `{}`, 401, code.Unauthorized},
		{"unknown search", "/v1/search/none", "judge", `{}`, 404, code.UnknownSearch},
		{"forbidden search", "/v1/search/results", "judge", `{}`, 403, code.Forbidden},
		{"forbidden action", "/v1/action/judges", "judge", `{"action":{"id":"1","key":"k"}}`, 403, code.Forbidden},
		{"malformed", "/v1/search/judges", "judge", `{`, 400, code.BadRequest},
		{"unknown field", "/v1/search/judges", "judge", `{"querry":{}}`, 400, code.BadRequest},
		{"two values", "/v1/search/judges", "judge", `{} {}`, 400, code.BadRequest},
		{"limit", "/v1/search/judges", "judge", `{"query":{"limit":1001}}`, 400, code.BadRequest},
		{"action without id", "/v1/action/judges", "steward", `{"action":{"key":"k"}}`, 400, code.BadRequest},
		{"too large", "/v1/search/judges", "judge", `{"id":"` + strings.Repeat("x", 2000) + `"}`, 413, code.BodyTooLarge},
		{"passed deadline", "/v1/search/judges", "judge", `{"deadline_ms":-1}`, 504, code.DeadlinePassed},
		{"rate", "/v1/search/judges", "slow", `{}`, 429, code.RateLimited},
		{"no relay", "/v1/search/judges", "judge", `{"deadline_ms":50}`, 503, code.LowCoverage},
		{"action without relay", "/v1/action/judges", "steward", `{"action":{"id":"1","key":"k"},"deadline_ms":50}`, 503, code.NoReplica},
	} {
		w := post(g, tc.path, tc.token, tc.body)
		var response ErrorResponse
		if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil {
			t.Errorf("%s: %v in %q", tc.name, err, w.Body)
			continue
		}
		if w.Code != tc.status || response.Code != tc.code || response.NotRun != true {
			t.Errorf("%s: status %d, response %+v; want status %d, code %s, not run", tc.name, w.Code, response, tc.status, tc.code)
		}
		if response.RetryAfterMillis > 0 && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After header", tc.name)
		}
	}
}

func TestSearchMergesShards(t *testing.T) {
	g := newTestGateway(t, &fakeRelay{respond: okResponse})
	w := post(g, "/v1/search/judges", "judge", `{"id":"q1","query":{"limit":5}}`)
	var response SearchResponse
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil || w.Code != http.StatusOK {
		t.Fatalf("status %d, %v: %s", w.Code, err, w.Body)
	}
	if response.ID != "q1" || !response.Complete || response.Matched != 2 || len(response.Records) != 2 {
		t.Fatalf("response %+v, want complete response q1 with two records", response)
	}
}

func TestMismatchedResponsesAreNotMerged(t *testing.T) {
	for name, alter := range map[string]func(*wire.SubResponse){
		"other shard":   func(r *wire.SubResponse) { r.Shard = "s9" },
		"other target":  func(r *wire.SubResponse) { r.Target = "t9" },
		"other version": func(r *wire.SubResponse) { r.Version = "v9" },
		"other query":   func(r *wire.SubResponse) { r.QueryID++ },
	} {
		g := newTestGateway(t, &fakeRelay{respond: func(b wire.Batch, s wire.SubRequest) wire.SubResponse {
			r := okResponse(b, s)
			if s.Shard == "s1" {
				alter(&r)
			}
			return r
		}})
		w := post(g, "/v1/search/judges", "judge", `{"deadline_ms":60}`)
		var response SearchResponse
		if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil || w.Code != http.StatusOK {
			t.Errorf("%s: status %d, %v: %s", name, w.Code, err, w.Body)
			continue
		}
		if response.Complete || response.Coverage.Responded != 1 || len(response.Records) != 1 {
			t.Errorf("%s: response %+v, want only shard s0", name, response)
		}
	}
}

func TestActionWithLostResponseHasUnknownOutcome(t *testing.T) {
	sent := 0
	g := newTestGateway(t, &fakeRelay{respond: func(b wire.Batch, s wire.SubRequest) wire.SubResponse {
		sent++
		r := okResponse(b, s)
		r.Code = code.ConnectionBroken
		r.Run = code.RunUnknown
		return r
	}})
	w := post(g, "/v1/action/judges", "steward", `{"action":{"id":"1","key":"k"},"deadline_ms":200}`)
	var response ErrorResponse
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil {
		t.Fatal(err)
	}
	if response.Code != code.OutcomeUnknown || response.NotRun != "unknown" || sent != 1 {
		t.Fatalf("response %+v after %d attempts, want an unknown outcome after one attempt", response, sent)
	}
}

// A load balancer still sends requests for a while after readiness fails.
func TestDrainingFailsReadinessAndServesRequests(t *testing.T) {
	g := newTestGateway(t, &fakeRelay{respond: okResponse})
	g.StartDraining()
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("readiness status %d while draining, want 503", w.Code)
	}
	if w := post(g, "/v1/search/judges", "judge", `{}`); w.Code != http.StatusOK {
		t.Errorf("status %d for a request while draining, want 200", w.Code)
	}
}

func FuzzSearchBody(f *testing.F) {
	f.Add(`{"id":"q","query":{"text":"a","limit":3},"deadline_ms":5}`)
	f.Add(`{"query":null}`)
	g := newTestGateway(f, nil)
	contracts := testContracts()
	search := contracts.Searches["judges"]
	search.Deadline = 5 * time.Millisecond
	contracts.Searches["judges"] = search
	g.SetContracts(contracts)
	f.Fuzz(func(t *testing.T, body string) {
		w := post(g, "/v1/search/judges", "judge", body)
		var response ErrorResponse
		if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil || response.Code == "" {
			t.Fatalf("status %d, body %q: %v", w.Code, w.Body, err)
		}
	})
}
