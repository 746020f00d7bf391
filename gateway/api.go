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

// Maximum and default of query.limit, in records.
const (
	MaxLimit     = 1000
	DefaultLimit = 20
)

// SearchRequest is the body of POST /v1/search/{search}.
type SearchRequest struct {
	// ID is chosen by the caller and copied to the response.
	ID    string          `json:"id,omitempty"`
	Query targetapi.Query `json:"query"`
	// DeadlineMillis is how long the caller waits, in milliseconds; 0 means the
	// search's configured deadline, which is also the maximum.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
}

// SearchResponse is the body of a response with status 200 to a search.
type SearchResponse struct {
	ID      string `json:"id,omitempty"`
	Search  string `json:"search"`
	Version string `json:"version"`
	// Complete is true if every shard has responded.
	Complete bool     `json:"complete"`
	Coverage Coverage `json:"coverage"`
	// Matched is the number of matching records in all shards that responded, of
	// which Records holds the first ones.
	Matched uint64        `json:"matched"`
	Records []wire.Record `json:"records"`
}

// Coverage describes which shards a response covers.
type Coverage struct {
	Shards    int            `json:"shards"`
	Responded int            `json:"answered"`
	Missing   []MissingShard `json:"missing,omitempty"`
}

// MissingShard is a shard that did not respond, with the reason.
type MissingShard struct {
	Shard  string    `json:"shard"`
	Reason code.Code `json:"reason"`
}

// ActionRequest is the body of POST /v1/action/{search}: a request that is not
// idempotent and runs at most once.
type ActionRequest struct {
	ID             string           `json:"id,omitempty"`
	Action         targetapi.Action `json:"action"`
	DeadlineMillis int64            `json:"deadline_ms,omitempty"`
}

// ActionResponse is the body of a response with status 200 to an action.
type ActionResponse struct {
	ID     string `json:"id,omitempty"`
	Search string `json:"search"`
	Shard  string `json:"shard"`
}

// ErrorResponse is the body of every response with a status other than 200.
type ErrorResponse struct {
	Code    code.Code `json:"code"`
	Message string    `json:"message"`
	// NotRun is true if the request did not run, false if it ran, and otherwise
	// "unknown".
	NotRun any `json:"not_run"`
	// RetryAfterMillis is the delay before a retry, in milliseconds; 0 means that
	// a retry does not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

func (g *Gateway) newMux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/search/:search"), g.serve(g.search))
	mux.HandleFunc(pat.Post("/v1/action/:search"), g.serve(g.action))
	mux.HandleFunc(pat.Get("/ready"), g.serveReady)
	return mux
}

// serve adapts a function that returns a response body or an error to an HTTP
// handler.
func (g *Gateway) serve(handle func(*http.Request) (any, *Error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.active.Add(1)
		defer g.active.Add(-1)
		metrics.requests.Add(1)
		r.Body = http.MaxBytesReader(w, r.Body, g.opts.MaxBody)
		body, err := handle(r)
		if err != nil {
			g.writeError(w, r, err)
			return
		}
		metrics.successes.Add(1)
		writeJSON(w, http.StatusOK, body)
	}
}

func (g *Gateway) writeError(w http.ResponseWriter, r *http.Request, err *Error) {
	metrics.errors.Add(string(err.Code), 1)
	g.opts.Logger.Info("request failed", "path", r.URL.Path, "code", err.Code, "message", err.Message, "not_run", err.RunStatus.String())
	if err.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(err.RetryAfter))
	}
	writeJSON(w, httpStatus(err.Code), ErrorResponse{
		Code:             err.Code,
		Message:          err.Message,
		NotRun:           notRunValue(err.RunStatus),
		RetryAfterMillis: err.RetryAfter.Milliseconds(),
	})
}

// notRunValue returns the value of the field not_run for a run status.
func notRunValue(r code.RunStatus) any {
	switch r {
	case code.NotRun:
		return true
	case code.Ran:
		return false
	default:
		return "unknown"
	}
}

// retryAfterSeconds returns d in whole seconds, which RFC 9110 requires of
// Retry-After. It rounds up.
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

// readBody decodes a request's JSON body into dst. Unknown fields and a second
// JSON value are errors.
func readBody(r *http.Request, dst any) *Error {
	data, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRunError(code.BodyTooLarge, "the body is larger than allowed")
	}
	if err != nil {
		return notRunError(code.BadRequest, "the body can't be read: "+err.Error())
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return notRunError(code.BadRequest, "the body is malformed: "+err.Error())
	}
	if dec.More() {
		return notRunError(code.BadRequest, "the body holds more than one JSON value")
	}
	return nil
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := g.opts.Ready()
	if g.draining.Load() {
		ready, reason = false, "stopping"
	}
	if !ready {
		writeJSON(w, http.StatusServiceUnavailable, ErrorResponse{Code: code.NotReady, Message: reason, NotRun: true})
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
