// Package ingress serves callers: it reads their requests within the published
// limits, finds the route, and writes the responses.
package ingress

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/drain"
	"github.com/goldcrestmux/goldcrestmux/forward"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/upstream"
	"github.com/juju/errors"
)

// Meta holds the values of a request's headers that are meant for this process.
type Meta struct {
	// ID is the request ID that the caller set.
	ID string
	// Timeout is how long the caller waits; zero if the request does not say.
	Timeout time.Duration
	// Key is the hash of the key that the caller sent; HasKey is false if it sent none.
	Key    catalog.KeyHash
	HasKey bool
}

// HeaderCodec decodes the headers of requests and encodes those of responses.
type HeaderCodec interface {
	Decode(h http.Header) (Meta, error)
	Encode(h http.Header, resp *forward.Response)
	// RemoveKey removes the caller's key from the header of a request.
	RemoveKey(h http.Header)
	// RemoveOrganisation removes the organisation that the caller claims to be of from the
	// header of a request.
	RemoveOrganisation(h http.Header)
	// SetOrganisation sets the organisation in a header without one. Targets get it from the
	// call; the header is for peers of builds that pass on the headers that they receive.
	SetOrganisation(h http.Header, name string)
}

// Options configures a Handler.
type Options struct {
	HeaderCodec HeaderCodec
	Engine      *forward.Engine
	// Delegate hands a request to a peer. It returns false if no peer has begun with it;
	// may be nil.
	Delegate func(ctx context.Context, req *forward.Request) (forward.Response, bool)
	// Rescue hands a request to a peer that this process could not serve, as the Detour of
	// its response says. It returns false if no peer has begun with it; may be nil.
	Rescue func(ctx context.Context, req *forward.Request, detour *forward.Detour) (forward.Response, bool)
	// Behind reports whether a peer has served requests with a later configuration than
	// the one in force here; may be nil.
	Behind func() bool
	// View returns the current view; nil if there is none yet.
	View func() *catalog.View
	// ConfirmedAt returns when the store last confirmed the view.
	ConfirmedAt func() time.Time
	// StaleAfter is the age of the view above which a missing route may already
	// have been published.
	StaleAfter time.Duration
	// MaxKeyAge is the age of the view above which it can't tell whether a key still holds,
	// so that requests that need one are refused; zero if they are then served.
	MaxKeyAge time.Duration
	// DefaultTimeout is used for requests that state no timeout.
	DefaultTimeout time.Duration
	Logger         *slog.Logger
	// Quota holds organisations to their quotas; may be nil.
	Quota Quota
	// MaxBodiesBytes bounds the bodies of all requests in progress, in bytes, but for the
	// first 4 KiB of each; zero for no bound. Further requests are refused with 503.
	MaxBodiesBytes int64
	// Observe is called with each response; it must not block.
	Observe func(route *catalog.Route, resp *forward.Response, took time.Duration)
	// ObserveOrganisation is called with each response to a request of a known organisation;
	// it must not block. It may be nil.
	ObserveOrganisation func(organisation *catalog.Organisation, resp *forward.Response)
}

// Handler is an http.Handler for the requests of callers. It uses no
// http.ServeMux: paths are matched and forwarded as they were sent.
type Handler struct {
	opts               Options
	active             atomic.Int64
	keepAlivesDisabled atomic.Bool
	stop               atomic.Pointer[drain.Schedule] // nil before the process stops
	keyLog, stopLog    refusalLog
	// bodyBytes is the number of bytes that count against Options.MaxBodiesBytes.
	bodyBytes atomic.Int64
}

// New returns a Handler.
func New(opts Options) *Handler { return &Handler{opts: opts} }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// DisableKeepAlives closes each connection after its next response.
func (h *Handler) DisableKeepAlives() { h.keepAlivesDisabled.Store(true) }

// BeginStop refuses requests that are not expected to end before those in progress are
// answered.
func (h *Handler) BeginStop(s drain.Schedule) { h.stop.Store(&s) }

// unknownRetryAfter is sent to callers while the configuration or their route is
// not known: outages of the store last seconds.
const unknownRetryAfter = 500 * time.Millisecond

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	receivedAt := time.Now()
	meta, decodeErr := h.opts.HeaderCodec.Decode(r.Header)
	body := &heldBody{ReadCloser: r.Body, used: &h.bodyBytes, limit: h.opts.MaxBodiesBytes}
	r.Body = body
	defer body.release()
	newConnection := false
	conn, _ := r.Context().Value(connKey{}).(*callerConn)
	if conn != nil {
		newConnection = conn.startRequest(RequestInProgress{ID: meta.ID, ReceivedAt: receivedAt})
	}
	route, resp := h.serve(r, &meta, decodeErr, receivedAt, newConnection)
	if resp.Reason == forward.ReasonCallerDisconnected && conn != nil && conn.closedHere() {
		h.opts.Logger.Error("connection of a caller closed with a request in progress", "id", meta.ID, "took", time.Since(receivedAt))
	}
	h.write(w, &resp)
	if h.opts.Observe != nil {
		h.opts.Observe(route, &resp, time.Since(receivedAt))
	}
}

func (h *Handler) serve(r *http.Request, meta *Meta, decodeErr error, receivedAt time.Time, newConnection bool) (_ *catalog.Route, resp forward.Response) {
	view := h.opts.View()
	route, organisation, call, refusal := h.prepareCall(r, view, *meta, decodeErr, receivedAt)
	if refusal != nil {
		h.logRefusal(r, view, meta, refusal, receivedAt)
		return route, *refusal
	}
	if organisation != nil && h.opts.ObserveOrganisation != nil {
		defer func() { h.opts.ObserveOrganisation(organisation, &resp) }()
	}
	if refusal := h.checkQuota(r.Context(), organisation); refusal != nil {
		return route, *refusal
	}
	req := &forward.Request{
		Call: call, Route: route, Version: view.Version, ConfirmedAt: h.opts.ConfirmedAt(),
		ReceivedAt: receivedAt, NewConnection: newConnection,
		Organisation: organisation, Key: meta.Key, KeyUnchecked: meta.HasKey && view.Organisations() == nil,
	}
	resp = h.forward(r.Context(), req)
	h.settleQuota(organisation, &resp)
	return route, resp
}

// forward serves a request, here or at a peer.
func (h *Handler) forward(ctx context.Context, req *forward.Request) forward.Response {
	if resp, refused := h.opts.Engine.Refuse(req); refused {
		return resp
	}
	if h.opts.Delegate != nil {
		if resp, ok := h.opts.Delegate(ctx, req); ok {
			return resp
		}
	}
	resp := h.opts.Engine.Do(ctx, req)
	if resp.Detour != nil && h.opts.Rescue != nil {
		if rescued, ok := h.opts.Rescue(ctx, req, resp.Detour); ok {
			return rescued
		}
	}
	return resp
}

// prepareCall finds the route of a request and reads its body. If the request is
// refused, it returns the response instead of the call, and the route if there
// is one.
func (h *Handler) prepareCall(r *http.Request, view *catalog.View, meta Meta, decodeErr error, receivedAt time.Time) (*catalog.Route, *catalog.Organisation, *upstream.Call, *forward.Response) {
	if !view.Configured() {
		return nil, nil, nil, &forward.Response{Status: http.StatusServiceUnavailable, RetryAfter: unknownRetryAfter, Reason: "no configuration is known"}
	}
	uri := requestURI(r)
	route := view.RouteOfURI(r.Host, uri)
	if route == nil {
		return nil, nil, nil, h.refuseUnknownRoute(receivedAt)
	}
	if n := view.Limits.HeaderBytes; n > 0 && headerBytes(r) > n {
		return route, nil, nil, &forward.Response{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "the headers are larger than allowed"}
	}
	organisation, refusal := h.authenticate(r.Header, view, route, &meta, receivedAt)
	if refusal != nil {
		return route, nil, nil, refusal
	}
	if decodeErr != nil {
		return route, nil, nil, &forward.Response{Status: http.StatusBadRequest, Reason: decodeErr.Error()}
	}
	timeout := meta.Timeout
	if timeout <= 0 {
		timeout = h.opts.DefaultTimeout
	}
	deadline := receivedAt.Add(timeout)
	if !h.takes(receivedAt, route, deadline) {
		refusal := forward.RefuseStopping()
		return route, nil, nil, &refusal
	}
	body, err := readBodyBy(deadline, r, view.Limits.BodyBytes)
	if err != nil {
		return route, nil, nil, bodyErrorResponse(err)
	}
	if body != nil && !h.takes(time.Now(), route, deadline) { // it may have arrived late
		refusal := forward.RefuseStopping()
		return route, nil, nil, &refusal
	}
	caller := callerOf(r)
	call := &upstream.Call{
		ID: meta.ID, Method: r.Method, URI: uri, Host: r.Host, Header: removeHopByHop(r.Header),
		Body: body, HasBody: r.ContentLength != 0, Deadline: deadline,
		Caller: caller, Keys: quarantine.KeysOf(caller, r.Method, r.Host, uri, body),
	}
	if organisation != nil {
		call.Organisation = organisation.Name
		h.opts.HeaderCodec.SetOrganisation(call.Header, organisation.Name)
	}
	return route, organisation, call, nil
}

// takes reports whether a request that is allowed until the given deadline is taken: while
// the process stops, only one that is expected to end before that.
func (h *Handler) takes(now time.Time, route *catalog.Route, deadline time.Time) bool {
	stop := h.stop.Load()
	if stop == nil {
		return true
	}
	if at := now.Add(route.Timeout); route.Timeout > 0 && at.Before(deadline) {
		deadline = at
	}
	return stop.Takes(now, drain.Request{Deadline: deadline, Usual: h.opts.Engine.UsualDuration(now, route)})
}

// callerOf returns the host that a request came from, which identifies the caller: the
// headers of a request do not.
func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// logRefusal logs a request that was refused before it was sent to any target.
func (h *Handler) logRefusal(r *http.Request, view *catalog.View, meta *Meta, resp *forward.Response, receivedAt time.Time) {
	message := "request refused"
	attrs := []any{
		"id", meta.ID, "host", r.Host, "path", r.URL.Path, "status", resp.Status, "reason", resp.Reason,
		"took", time.Since(receivedAt),
	}
	if view.Configured() {
		attrs = append(attrs, "version", view.Version, "picture_age", receivedAt.Sub(h.opts.ConfirmedAt()))
	}
	if resp.Reason == forward.ReasonStopping {
		left, omitted := h.stopLog.allow(receivedAt)
		if !left {
			return
		}
		attrs = append(attrs, "omitted", omitted)
	}
	if _, byKey := RefusedKey(resp.Reason); byKey {
		left, omitted := h.keyLog.allow(receivedAt)
		if !left {
			return
		}
		message = "key refused"
		attrs = append(attrs, "omitted", omitted)
		if meta.HasKey {
			attrs = append(attrs, "key_hash", meta.Key.String())
		}
	}
	h.opts.Logger.Info(message, attrs...)
}

// refuseUnknownRoute returns the response to a request without a route. The
// caller may retry while the view is stale, as the route may have been published.
func (h *Handler) refuseUnknownRoute(receivedAt time.Time) *forward.Response {
	if h.mayBeOld(receivedAt.Sub(h.opts.ConfirmedAt())) {
		return &forward.Response{Status: http.StatusServiceUnavailable, RetryAfter: unknownRetryAfter, Reason: "no route is known, and the configuration may be old"}
	}
	return &forward.Response{Status: http.StatusNotFound, Reason: "no route"}
}

// requestURI returns the path and query as they were sent. An absolute request
// URI is reduced to them.
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
			n += len(name) + len(v) + 4 // with ": " and CRLF
		}
	}
	return n
}

var errBodyTooLarge = errors.New("the body is larger than allowed")

// readBodyBy is like readBody, but fails at the deadline, or when the process stops.
func readBodyBy(deadline time.Time, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	conn, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return readBody(r, limit)
	}
	if err := conn.startBody(deadline); err != nil {
		return nil, errors.Annotate(err, "set the deadline of the body")
	}
	body, err := readBody(r, limit)
	if err != nil {
		conn.abandonBody()
		return nil, err
	}
	return body, errors.Annotate(conn.endBody(), "clear the deadline of the body")
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
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

// defaultBodyBytes is the limit on bodies if the configuration has none.
const defaultBodyBytes = 1 << 20

// bodyErrorResponse returns the response to a request whose body could not be read. Its reason
// is one of a fixed set, as reasons are counted each by itself: the text of an error names the
// ports of the connection.
func bodyErrorResponse(err error) *forward.Response {
	if errors.Is(err, errBodyTooLarge) {
		return &forward.Response{Status: http.StatusRequestEntityTooLarge, Reason: err.Error()}
	}
	if errors.Is(err, errBodiesFull) {
		return &forward.Response{Status: http.StatusServiceUnavailable, RetryAfter: unknownRetryAfter, Reason: err.Error()}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &forward.Response{Status: http.StatusRequestTimeout, Reason: "the body did not arrive in time"}
	}
	reason := "the body could not be read"
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		reason = "the body was cut off"
	case errors.Is(err, syscall.ECONNRESET):
		reason = "the connection was reset while the body was read"
	}
	return &forward.Response{Status: http.StatusBadRequest, Reason: reason}
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// removeHopByHop removes the headers that apply to a single connection. It
// changes h in place and returns it: the map is used by nothing else.
func removeHopByHop(h http.Header) http.Header {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}

func (h *Handler) write(w http.ResponseWriter, resp *forward.Response) {
	if resp.Reason == forward.ReasonCallerDisconnected {
		panic(http.ErrAbortHandler) // the caller reads no response
	}
	out := w.Header()
	for name, values := range removeHopByHop(resp.Header) {
		out[name] = values
	}
	// net/http would add these headers; only the target may set them.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
	h.opts.HeaderCodec.Encode(out, resp)
	if h.keepAlivesDisabled.Load() || resp.Reason == forward.ReasonStopping {
		out.Set("Connection", "close")
	}
	if resp.RetryAfter > 0 {
		out.Set("Retry-After", strconv.FormatFloat(resp.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := resp.Body
	if body == nil && resp.Reason != "" {
		body = []byte(resp.Reason + "\n")
	}
	out.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(body) // an error means that the caller has disconnected
}
