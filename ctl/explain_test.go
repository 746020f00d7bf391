package ctl

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/goldcrestmux/goldcrestmux/operator"
	"github.com/sebdah/goldie/v2"
)

// explainServer responds with an explanation of package explain, and keeps the last query.
func explainServer(t *testing.T, query *string) string {
	t.Helper()
	explanation, err := os.ReadFile("../explain/testdata/orders.golden")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.PathExplain, func(w http.ResponseWriter, r *http.Request) {
		*query = r.URL.RawQuery
		if r.URL.Query().Get("url") == "http://none.example/" {
			_, _ = io.WriteString(w, `{"process":"front-1","data_centre":"dc1","method":"GET","host":"none.example","path":"/",
				"steps":[{"name":"configuration","outcome":"version 7, confirmed 40ms ago"},{"name":"route","outcome":"none: 404","rejected":true}]}`)
			return
		}
		_, _ = w.Write(explanation)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestExplainOutput(t *testing.T) {
	var query string
	addr := explainServer(t, &query)
	for name, args := range map[string]string{
		"explain":          "explain ADDR GET http://a.example/orders/1?x=1&y -organisation alpha -priority 3",
		"explain-before":   "explain -organisation alpha -priority 3 ADDR GET http://a.example/orders/1?x=1&y",
		"explain-json":     "--json explain ADDR GET http://a.example/orders/1?x=1&y -organisation alpha -priority 3",
		"explain-rejected": "explain ADDR GET http://none.example/",
	} {
		var stdout, stderr bytes.Buffer
		if code := Run(context.Background(), strings.Fields(strings.ReplaceAll(args, "ADDR", addr)), &stdout, &stderr); code != ExitOK {
			t.Errorf("%s: exit code %d: %s", name, code, &stderr)
			continue
		}
		if name == "explain-before" {
			name = "explain" // flags may come before the arguments or after them
		}
		goldie.New(t).Assert(t, name, stdout.Bytes())
		want := "method=GET&organisation=alpha&priority=3&url=http%3A%2F%2Fa.example%2Forders%2F1%3Fx%3D1%26y"
		if name != "explain-rejected" && query != want {
			t.Errorf("%s: query %q, want %q", name, query, want)
		}
	}
}

func TestExplainUsage(t *testing.T) {
	for _, line := range []string{
		"explain 127.0.0.1:1 GET", "explain 127.0.0.1:1 GET /no/host", "explain nowhere GET http://a.example/",
		"explain 127.0.0.1:1 GET http://a.example/ -priority high", "explain 127.0.0.1:1 GET http://a.example/ -key secret",
		"explain 127.0.0.1:1 GET http://a.example/ more",
	} {
		if got := Run(context.Background(), strings.Fields(line), io.Discard, io.Discard); got != ExitUsage {
			t.Errorf("gcmuxctl %s: exit code %d, want %d", line, got, ExitUsage)
		}
	}
	if got := Run(context.Background(), strings.Fields("explain 127.0.0.1:1 GET http://a.example/"), io.Discard, io.Discard); got != ExitFailed {
		t.Errorf("process that cannot be reached: exit code %d, want %d", got, ExitFailed)
	}
}
