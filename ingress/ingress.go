// Package ingress is the face to callers: it reads their requests within the
// published limits, finds the route, and writes the answers.
package ingress

import (
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/forward"
	"github.com/goldcrestmux/goldcrestmux/upstream"
	"github.com/juju/errors"
)

// Meta is what the headers of a request say beside what is forwarded.
type Meta struct {
	// ID is the caller's id of the request.
	ID string
	// Timeout is how long the caller waits; zero if it doesn't say.
	Timeout time.Duration
}

// HeaderCodec reads the headers of requests and writes those of answers.
type HeaderCodec interface {
	Decode(h http.Header) (Meta, error)
	Encode(h http.Header, a *forward.Response)
}

// Options configures a Handler.
type Options struct {
	HeaderCodec HeaderCodec
	Engine      *forward.Engine
	// View returns the picture in force; nil if none is known.
	View func() *catalog.View
	// Confirmed returns when the store last confirmed the picture.
	Confirmed func() time.Time
	// StaleAfter is the age of the picture from which on an unknown route may
	// just not be known yet.
	StaleAfter time.Duration
	// DefaultTimeout is how long a caller waits that doesn't say.
	DefaultTimeout time.Duration
	Logger         *slog.Logger
	// Observe is told each answer; it must not block.
	Observe func(route *catalog.Route, a *forward.Response, took time.Duration)
}

// Handler serves callers. It doesn't route by pattern: paths are matched and
// forwarded as they were sent.
type Handler struct {
	opts   Options
	active atomic.Int64
	last   atomic.Bool
}

// New returns a Handler.
func New(opts Options) *Handler { return &Handler{opts: opts} }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// DisableKeepAlives makes each connection end with its next answer.
func (h *Handler) DisableKeepAlives() { h.last.Store(true) }

// unknownRetry is when a caller may come back whose route is not known: a store
// that is away is so for seconds.
const unknownRetry = 500 * time.Millisecond

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	arrived := time.Now()
	connected := false
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		connected = c.serve()
	}
	route, a := h.serve(r, arrived, connected)
	h.write(w, &a)
	if h.opts.Observe != nil {
		h.opts.Observe(route, &a, time.Since(arrived))
	}
}

func (h *Handler) serve(r *http.Request, arrived time.Time, connected bool) (*catalog.Route, forward.Response) {
	view := h.opts.View()
	meta, err := h.opts.HeaderCodec.Decode(r.Header)
	route, call, refusal := h.admit(r, view, meta, err, arrived)
	if refusal != nil {
		h.logRefusal(r, view, meta.ID, refusal, arrived)
		return route, *refusal
	}
	return route, h.opts.Engine.Do(r.Context(), &forward.Request{
		Call: call, Route: route, Version: view.Version, ConfirmedAt: h.opts.Confirmed(),
		ReceivedAt: arrived, NewConnection: connected,
	})
}

// admit finds the route of a request and reads its body, or refuses it.
func (h *Handler) admit(r *http.Request, view *catalog.View, meta Meta, bad error, arrived time.Time) (*catalog.Route, *upstream.Call, *forward.Response) {
	if !view.Configured() {
		return nil, nil, &forward.Response{Status: http.StatusServiceUnavailable, RetryAfter: unknownRetry, Reason: "no configuration is known"}
	}
	uri := requestURI(r)
	path, _, _ := strings.Cut(uri, "?")
	route := view.Route(r.Host, path)
	if route == nil {
		return nil, nil, h.noRoute(arrived)
	}
	if n := view.Limits.HeaderBytes; n > 0 && headerBytes(r) > n {
		return route, nil, &forward.Response{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "the headers are larger than allowed"}
	}
	if bad != nil {
		return route, nil, &forward.Response{Status: http.StatusBadRequest, Reason: bad.Error()}
	}
	body, err := readBody(r, view.Limits.BodyBytes)
	if err != nil {
		return route, nil, bodyAnswer(err)
	}
	wait := meta.Timeout
	if wait <= 0 {
		wait = h.opts.DefaultTimeout
	}
	return route, &upstream.Call{
		ID: meta.ID, Method: r.Method, URI: uri, Host: r.Host, Header: forwarded(r.Header),
		Body: body, HasBody: r.ContentLength != 0, Deadline: arrived.Add(wait),
	}, nil
}

// logRefusal tells of a request that was not sent to any target.
func (h *Handler) logRefusal(r *http.Request, view *catalog.View, id string, a *forward.Response, arrived time.Time) {
	attrs := []any{
		"id", id, "host", r.Host, "path", r.URL.Path, "status", a.Status, "reason", a.Reason,
		"took", time.Since(arrived),
	}
	if view.Configured() {
		attrs = append(attrs, "version", view.Version, "picture_age", arrived.Sub(h.opts.Confirmed()))
	}
	h.opts.Logger.Info("request refused", attrs...)
}

// noRoute refuses a request that no known route allows. While the picture is
// old, the route may exist.
func (h *Handler) noRoute(now time.Time) *forward.Response {
	if now.Sub(h.opts.Confirmed()) > h.opts.StaleAfter {
		return &forward.Response{Status: http.StatusServiceUnavailable, RetryAfter: unknownRetry, Reason: "no route is known, and the configuration may be old"}
	}
	return &forward.Response{Status: http.StatusNotFound, Reason: "no route"}
}

// requestURI returns the path and query as they were sent.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

var errBodyTooLarge = errors.New("the body is larger than allowed")

func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.Annotate(err, "read the body")
	}
	if int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, nil
}

// defaultBodyBytes bounds bodies where the configuration doesn't.
const defaultBodyBytes = 1 << 20

func bodyAnswer(err error) *forward.Response {
	if errors.Is(err, errBodyTooLarge) {
		return &forward.Response{Status: http.StatusRequestEntityTooLarge, Reason: err.Error()}
	}
	return &forward.Response{Status: http.StatusBadRequest, Reason: err.Error()}
}

// oneConnection names the headers that concern one connection only.
var oneConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwarded removes the headers that concern one connection. The request's own
// map is changed: nobody else uses it.
func forwarded(h http.Header) http.Header {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range oneConnection {
		delete(h, name)
	}
	return h
}

func (h *Handler) write(w http.ResponseWriter, a *forward.Response) {
	if a.Reason == forward.ReasonCallerDisconnected {
		panic(http.ErrAbortHandler) // nobody reads an answer
	}
	out := w.Header()
	for name, values := range forwarded(a.Header) {
		out[name] = values
	}
	// The library would add these; they are the target's to give.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
	h.opts.HeaderCodec.Encode(out, a)
	if h.last.Load() {
		out.Set("Connection", "close")
	}
	if a.RetryAfter > 0 {
		out.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := a.Body
	if body == nil && a.Reason != "" {
		body = []byte(a.Reason + "\n")
	}
	out.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(body) // a failure means that the caller left
}
