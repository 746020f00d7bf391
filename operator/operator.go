// Package operator serves the operators' HTTP endpoints of a process: its state, the
// members that it knows, its metrics and its log level. The endpoints do not
// authenticate requests and are intended for the loopback interface.
package operator

import (
	"encoding/json"
	"expvar"
	"io"
	"log/slog"
	"net/http"
	"strings"

	"goji.io"
	"goji.io/pat"
)

// Paths of the operators' endpoints.
const (
	PathState   = "/debug/state"   // GET the process's state as a JSON object
	PathMembers = "/debug/members" // GET a JSON list of Member
	PathLevel   = "/debug/level"   // PUT the log level as text
	PathMetrics = "/debug/vars"    // GET the metrics of expvar
	PathExplain = "/debug/explain" // GET where a request would go, of entry processes only
)

// maxLevelBytes is the maximum size of the body of a request to PathLevel.
const maxLevelBytes = 64

// Member is one element of the response at PathMembers.
type Member struct {
	// Name is the member's name, VM/role.
	Name       string `json:"name"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	// Status is "alive", "suspect", "leaving" or "gone".
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
	// Revision is the folder revision in force at the member; 0 if unknown.
	Revision uint64 `json:"revision"`
	// AgeMillis is the time since the last known contact with the member, in
	// milliseconds.
	AgeMillis int64 `json:"age_ms"`
	// Source is where the entry comes from: "heartbeat", "gossip" or "self".
	Source string `json:"source"`
}

// Options configures the endpoints.
type Options struct {
	// State returns the process's state, which is encoded as JSON.
	State func() any
	// Members returns the members that this process knows.
	Members func() []Member
	// Level is the log level, which a PUT request to PathLevel sets.
	Level  *slog.LevelVar
	Logger *slog.Logger
}

// NewHandler returns a handler of the operators' endpoints.
func NewHandler(opts Options) http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(PathState), func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, opts.State()) })
	mux.HandleFunc(pat.Get(PathMembers), func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, opts.Members()) })
	mux.Handle(pat.Get(PathMetrics), expvar.Handler())
	mux.HandleFunc(pat.Put(PathLevel), opts.setLevel)
	return mux
}

// setLevel sets the log level to the body of the request.
func (o Options) setLevel(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxLevelBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(strings.TrimSpace(string(body)))); err != nil {
		http.Error(w, "the level must be debug, info, warn or error", http.StatusBadRequest)
		return
	}
	o.Level.Set(level)
	o.Logger.Warn("log level changed", "level", level.String())
}

// writeJSON responds with v as indented JSON.
func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}
