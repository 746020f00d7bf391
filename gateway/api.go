package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/coverage"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"
)

// Bounds of what a caller may ask for.
const (
	MaxLimit     = 1000
	DefaultLimit = 20
)

// SearchRequest is the body of POST /v1/search/{search}.
type SearchRequest struct {
	// ID is the caller's own name for the request; the answer repeats it.
	ID    string          `json:"id,omitempty"`
	Query targetapi.Query `json:"query"`
	// DeadlineMillis is how long the caller waits, in milliseconds; 0 means the
	// search's own deadline, which also is the longest.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
}

// SearchResponse is the body of a 200 answer to a search.
type SearchResponse struct {
	ID      string `json:"id,omitempty"`
	Search  string `json:"search"`
	Version string `json:"version"`
	// Complete is true if every shard has answered.
	Complete bool     `json:"complete"`
	Coverage Coverage `json:"coverage"`
	// Matched is the number of matching records over the shards that answered,
	// of which Records holds the first ones.
	Matched uint64        `json:"matched"`
	Records []wire.Record `json:"records"`
}

// Coverage tells which shards an answer covers.
type Coverage struct {
	Shards    int            `json:"shards"`
	Responded int            `json:"answered"`
	Missing   []MissingShard `json:"missing,omitempty"`
}

// MissingShard names a shard that did not answer, and why.
type MissingShard struct {
	Shard  string    `json:"shard"`
	Reason code.Code `json:"reason"`
}

// ActionRequest is the body of POST /v1/action/{search}: work that is not
// idempotent and runs at most once.
type ActionRequest struct {
	ID             string           `json:"id,omitempty"`
	Action         targetapi.Action `json:"action"`
	DeadlineMillis int64            `json:"deadline_ms,omitempty"`
}

// ActionResponse is the body of a 200 answer to an action.
type ActionResponse struct {
	ID     string `json:"id,omitempty"`
	Search string `json:"search"`
	Shard  string `json:"shard"`
}

// ErrorResponse is the body of every answer other than 200.
type ErrorResponse struct {
	Code    code.Code `json:"code"`
	Message string    `json:"message"`
	// NotRun is true, false or "unknown".
	NotRun any `json:"not_run"`
	// RetryAfterMillis tells when to come back, in milliseconds; 0 means that
	// coming back does not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

func (g *Gateway) newMux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/search/:search"), g.serve(g.search))
	mux.HandleFunc(pat.Post("/v1/action/:search"), g.serve(g.action))
	mux.HandleFunc(pat.Get("/ready"), g.serveReady)
	return mux
}

// serve turns a handler that returns an answer or an error into one for HTTP.
func (g *Gateway) serve(handle func(*http.Request) (any, *Error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		metrics.requests.Add(1)
		r.Body = http.MaxBytesReader(w, r.Body, g.opts.MaxBody)
		answer, err := handle(r)
		if err != nil {
			g.writeError(w, r, err)
			return
		}
		metrics.answers.Add(1)
		writeJSON(w, http.StatusOK, answer)
	}
}

func (g *Gateway) writeError(w http.ResponseWriter, r *http.Request, err *Error) {
	metrics.errors.Add(string(err.Code), 1)
	g.opts.Logger.Info("request failed", "path", r.URL.Path, "code", err.Code, "message", err.Message, "not_run", err.RunStatus.String())
	if err.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(err.RetryAfter))
	}
	writeJSON(w, status(err.Code), ErrorResponse{
		Code:             err.Code,
		Message:          err.Message,
		NotRun:           notRun(err.RunStatus),
		RetryAfterMillis: err.RetryAfter.Milliseconds(),
	})
}

func notRun(r code.RunStatus) any {
	switch r {
	case code.NotRun:
		return true
	case code.Ran:
		return false
	default:
		return "unknown"
	}
}

// retryAfterSeconds rounds up to whole seconds, as RFC 9110 asks for.
func retryAfterSeconds(d time.Duration) string {
	seconds := (d + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// readBody decodes a request's JSON body. Unknown fields and a second value
// are refused.
func readBody(r *http.Request, into any) *Error {
	data, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(code.BodyTooLarge, "the body is larger than allowed")
	}
	if err != nil {
		return refusal(code.BadRequest, "the body can't be read: "+err.Error())
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return refusal(code.BadRequest, "the body is malformed: "+err.Error())
	}
	if dec.More() {
		return refusal(code.BadRequest, "the body holds more than one JSON value")
	}
	return nil
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, why := g.opts.Ready()
	if g.draining.Load() {
		ready, why = false, "stopping"
	}
	if !ready {
		writeJSON(w, http.StatusServiceUnavailable, ErrorResponse{Code: code.NotReady, Message: why, NotRun: true})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Ready bool `json:"ready"`
	}{true})
}

func newCoverage(r coverage.Report) Coverage {
	c := Coverage{Shards: r.Shards, Responded: r.Responded}
	for _, m := range r.Missing {
		c.Missing = append(c.Missing, MissingShard{Shard: m.Shard, Reason: m.Reason})
	}
	return c
}
