package ctl

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goldcrestmux/goldcrestmux/operator"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"gcmuxctl": func() {
			os.Exit(Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
		},
	})
}

// operatorHandler returns a handler that responds like the operator address of a
// process. The state contains the level that was last set.
func operatorHandler() http.Handler {
	level := "info"
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.PathState, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"revision":7,"level":"`+level+`"}`)
	})
	mux.HandleFunc("GET "+operator.PathMembers, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `[{"name":"vm2/relay","role":"relay","data_centre":"tsv","status":"suspect","incarnation":5,"revision":4,"age_ms":2500,"source":"gossip"},
			{"name":"vm1/relay","role":"relay","data_centre":"bne","status":"alive","incarnation":4,"revision":7,"age_ms":40,"source":"heartbeat"},
			{"name":"vm3/relay","role":"relay","data_centre":"cns","status":"leaving","incarnation":6,"age_ms":100,"source":"vm list"}]`)
	})
	mux.HandleFunc("PUT "+operator.PathLevel, func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		level = strings.TrimSpace(string(body))
	})
	return mux
}

func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(operatorHandler())
	defer server.Close()
	// The scripts are parallel subtests. The enclosing subtest waits for them before
	// the deferred calls of this function run.
	t.Run("run", func(t *testing.T) {
		testscript.Run(t, testscript.Params{
			Dir: "testdata/script",
			Setup: func(e *testscript.Env) error {
				e.Setenv("EXAMPLES", examples)
				e.Setenv("ADDR", server.Listener.Addr().String())
				return nil
			},
		})
	})
}

func TestExitCodes(t *testing.T) {
	cases := map[string]int{
		"--help":                          ExitOK,
		"validate -h":                     ExitOK,
		"validate ../examples/hrabovsky":  ExitOK,
		"validate ../examples/faulty":     ExitFailed,
		"--json merge ../examples/faulty": ExitFailed,
		"validate no-such-folder":         ExitFailed,
		"dump 127.0.0.1:1":                ExitFailed,
		"dump nowhere":                    ExitUsage,
		"level 127.0.0.1:1 loud":          ExitUsage,
		"diff ../examples/hrabovsky":      ExitUsage,
		"":                                ExitUsage,
		"-colour validate":                ExitUsage,
	}
	for line, want := range cases {
		if got := Run(context.Background(), strings.Fields(line), io.Discard, io.Discard); got != want {
			t.Errorf("gcmuxctl %s: exit code %d, want %d", line, got, want)
		}
	}
}
