package targetapi_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

var request = targetapi.TargetRequest{ID: "r1", Search: "judges", Version: "v1", Shard: "s00", Payload: wire.RawJSON(`{}`)}

const goodResponse = `{"id":"r1","search":"judges","version":"v1","shard":"s00","matched":2,"count":1,"records":[{"key":"k","score":1,"fields":{}}]}`

// respond returns a handler that responds with the given status and body.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(targetapi.HeaderBootID, "b1")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func newClient(t *testing.T, o targetapi.TargetClientOptions, handler http.HandlerFunc) *targetapi.TargetClient {
	server := httptest.NewServer(handler)
	o.Address = server.Listener.Addr().String()
	client := targetapi.NewTargetClient(o)
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

func TestOutcomes(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		buf := make([]byte, 1<<10)
		for r.Body != nil {
			if _, err := r.Body.Read(buf); err != nil {
				break
			}
		}
		<-r.Context().Done()
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		left    time.Duration // until the deadline; zero means a minute
		code    code.Code
		run     code.RunStatus
		sent    bool
	}{
		{"complete", respond(200, goodResponse), 0, code.OK, code.Ran, true},
		{"response to another request", respond(200, `{"id":"r2","search":"judges","version":"v1","shard":"s00"}`), 0, code.BadResponse, code.RunUnknown, true},
		{"another version", respond(200, `{"id":"r1","search":"judges","version":"v2","shard":"s00"}`), 0, code.BadResponse, code.RunUnknown, true},
		{"fewer records than counted", respond(200, `{"id":"r1","search":"judges","version":"v1","shard":"s00","matched":2,"count":2,"records":[]}`), 0, code.BadResponse, code.Ran, true},
		{"malformed JSON", respond(200, `{"id": <html>`), 0, code.BadResponse, code.RunUnknown, true},
		{"shed", respond(503, `{"id":"r1","code":"shed","not_run":true}`), 0, code.Shed, code.NotRun, true},
		{"stopped while running", respond(504, `{"id":"r1","code":"timeout","not_run":false}`), 0, code.Timeout, code.RunUnknown, true},
		{"refusal of another request", respond(503, `{"id":"r2","code":"shed","not_run":true}`), 0, code.BadResponse, code.RunUnknown, true},
		{"refusal with unknown code", respond(503, `{"id":"r1","code":"ok","not_run":true}`), 0, code.BadResponse, code.RunUnknown, true},
		{"connection broken after the request", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, code.ConnectionBroken, code.RunUnknown, true},
		{"no response", hang, 500 * time.Millisecond, code.Timeout, code.RunUnknown, true},
		{"deadline passed", respond(200, goodResponse), -time.Second, code.DeadlinePassed, code.NotRun, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := newClient(t, targetapi.TargetClientOptions{}, test.handler)
			left := test.left
			if left == 0 {
				left = time.Minute
			}
			result := client.Do(context.Background(), targetapi.PathAction, &request, time.Now().Add(left))
			if result.Code != test.code || result.Run != test.run || result.Sent != test.sent {
				t.Fatalf("unexpected result: code %s, run %d, sent %v: %v", result.Code, result.Run, result.Sent, result.Err)
			}
			if (result.Response != nil) != (test.code == code.OK) || (result.Err == nil) != (test.code == code.OK) {
				t.Fatalf("response %v, error %v, want a response only with code ok and an error only with others", result.Response, result.Err)
			}
		})
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	server := httptest.NewServer(respond(200, goodResponse))
	address := server.Listener.Addr().String()
	server.Close()
	client := targetapi.NewTargetClient(targetapi.TargetClientOptions{Address: address})
	result := client.Do(context.Background(), targetapi.PathAction, &request, time.Now().Add(time.Minute))
	if result.Code != code.Unreachable || result.Run != code.NotRun || result.Sent {
		t.Fatalf("got %+v, want unreachable, not run and not sent", result)
	}
}

// TestConnectionsAreReplaced checks that a retired connection is replaced before
// a byte is written, so that each request reaches the target once, and that a
// connection is not used again after a bad response.
func TestConnectionsAreReplaced(t *testing.T) {
	tests := []struct {
		name   string
		maxAge time.Duration
		body   string
		conns  int
	}{
		{"kept", time.Hour, goodResponse, 1},
		{"retired by age", time.Nanosecond, goodResponse, 3},
		{"closed after a response to another request", time.Hour, `{"id":"r2"}`, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conns := make(map[string]int)
			requests := 0
			client := newClient(t, targetapi.TargetClientOptions{MaxAge: test.maxAge}, func(w http.ResponseWriter, r *http.Request) {
				conns[r.RemoteAddr]++
				requests++
				respond(200, test.body)(w, r)
			})
			for range 3 {
				client.Do(context.Background(), targetapi.PathAction, &request, time.Now().Add(time.Minute))
			}
			if len(conns) != test.conns || requests != 3 {
				t.Fatalf("%d requests over %d connections, want 3 over %d", requests, len(conns), test.conns)
			}
		})
	}
}

// TestWithdrawCancelsAtTarget checks that a withdrawn request is canceled at the
// target, and that the target's own response to it determines the result.
func TestWithdrawCancelsAtTarget(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	canceled := make(chan string, 1)
	var gotCancel atomic.Bool
	client := newClient(t, targetapi.TargetClientOptions{CancelGracePeriod: time.Minute}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == targetapi.PathCancel {
			var c targetapi.TargetCancel
			_ = json.NewDecoder(r.Body).Decode(&c)
			gotCancel.Store(true)
			canceled <- c.ID
			return
		}
		cancel()
		id := <-canceled
		respond(499, `{"id":"`+id+`","code":"canceled","not_run":true}`)(w, r)
	})
	result := client.Do(ctx, targetapi.PathSearch, &request, time.Now().Add(time.Minute))
	if result.Code != code.Canceled || result.Run != code.NotRun || !gotCancel.Load() {
		t.Fatalf("got %s, run %d, want canceled, not run and a cancellation at the target: %v", result.Code, result.Run, result.Err)
	}
}

func TestPacerBoundsDials(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := targetapi.PacerOptions{
			MaxDials:    rapid.IntRange(1, 4).Draw(t, "dials"),
			MinInterval: time.Duration(rapid.IntRange(1, 5).Draw(t, "spacing")),
		}
		p := targetapi.NewPacer(o)
		now, last := time.Unix(0, 0), time.Unix(-1, 0)
		inProgress := 0
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "step")))
			if inProgress > 0 && rapid.Bool().Draw(t, "done") {
				p.Done()
				inProgress--
				continue
			}
			ok, wait := p.TryStart(now)
			allowed := inProgress < o.MaxDials && now.Sub(last) >= o.MinInterval
			if ok != allowed || (wait > 0) != (!ok && inProgress < o.MaxDials) {
				t.Fatalf("start allowed: %v, wait %v, with %d in progress and %v since the last start", ok, wait, inProgress, now.Sub(last))
			}
			if ok {
				inProgress++
				last = now
			}
		}
	})
}
