package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/delegate"
	"github.com/goldcrestmux/goldcrestmux/forward"
	"github.com/goldcrestmux/goldcrestmux/ingress"
	"github.com/goldcrestmux/goldcrestmux/mesh"
	"github.com/goldcrestmux/goldcrestmux/peers"
	"github.com/goldcrestmux/goldcrestmux/reach"
	"github.com/goldcrestmux/goldcrestmux/upstream"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// Limits of requests that are handed between peers.
const (
	// gatheredPerCore is the largest number of shards of peers' requests in progress, for each
	// core: a fifth of a second of processor time.
	gatheredPerCore = 1600
	// maxQueryBody is the largest body that is handed to a peer: frames of links are
	// bounded, and small answers wait behind large queries.
	maxQueryBody = 256 << 10
	// maxQueryResponseBody is the largest body that a peer returns: headers and the
	// encoding take some of a frame.
	maxQueryResponseBody = wire.MaxFrameBytes - 256<<10
	// transitTime is the assumed time that a query takes to a peer.
	transitTime = time.Millisecond
	// hopMargin is reserved for the way of the response back to the process that the
	// caller is connected to, which may be small.
	hopMargin = 4 * time.Millisecond
	// expectedFraction and overdueFactor are the usual and the greatest time of a
	// request at a peer, in multiples of its latency objective.
	expectedFraction = 0.6
	overdueFactor    = 1.3
	// lateMargin is how long before the caller's deadline a request at a peer is given up.
	// The peer answers earlier, also if it can only tell that the deadline has passed.
	lateMargin = 10 * time.Millisecond
)

// queryClient hands requests to peers.
type queryClient interface {
	Reachable(vm string) bool
	Connect(vm string)
	Query(ctx context.Context, vm string, q wire.Query) (wire.QueryResponse, error)
}

// gatherer hands requests to peers, and serves those of peers. Its methods are safe for
// concurrent use.
//
// Lock order: mu is acquired before the locks of the mesh and its links.
type gatherer struct {
	p      *process
	client queryClient
	// gathered is the number of shards of peers' requests that are being served, and
	// serving the number of these requests.
	gathered, serving atomic.Int64
	pauses            *pauseDetector
	// versionSeen is the highest version of the configuration with which peers have served
	// requests of this process.
	versionSeen atomic.Uint64

	mu      sync.Mutex
	chooser *delegate.Chooser
	helpers *delegate.Helpers
	// unhelped holds, by service, until when no peer is asked to help with it.
	unhelped map[string]time.Time
}

func newGatherer(p *process) *gatherer {
	s := &p.settings
	self := delegate.Peer{Name: s.Name, DataCentre: s.DataCentre, Capacity: s.Capacity}
	return &gatherer{
		p: p, pauses: newPauseDetector(p.startedAt), chooser: delegate.New(self), helpers: delegate.NewHelpers(self),
		unhelped: map[string]time.Time{},
	}
}

// update picks the peers to hand requests to, and returns the names of those to which links
// are kept open. Without a path to targets, these include helpers.
func (g *gatherer) update(alive []peers.Member, cutOff bool) []string {
	known := make([]delegate.Peer, 0, len(alive))
	for _, m := range alive {
		if g.sameRegion(m.DataCentre) {
			known = append(known, delegate.Peer{Name: m.Name, DataCentre: m.DataCentre, Capacity: m.Capacity, CutOff: m.CutOff})
		}
	}
	var served map[string]float64
	if v := g.p.view.Load(); v.Configured() {
		served = v.ShardsServed()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Update(known, served)
	g.helpers.Update(known)
	if cutOff {
		return append(g.chooser.Picked(), g.helpers.Picked()...)
	}
	return g.chooser.Picked()
}

// sameRegion reports whether a data centre is in the region of this process, which the
// bodies of callers' requests must not leave.
func (g *gatherer) sameRegion(dc string) bool {
	s := &g.p.settings
	return dc == s.DataCentre || (s.Region != "" && s.DataCentres[dc] == s.Region)
}

func profileOf(route *catalog.Route) balance.Profile {
	objective := float64(forward.LatencyObjective(route))
	return balance.Profile{Expected: time.Duration(expectedFraction * objective), OverdueAfter: time.Duration(overdueFactor * objective)}
}

// Gather hands a request to a peer: a sharded one to a peer that gathers its shards, or any
// request if this process does not reach the targets. It returns false if no peer has begun
// with it: the process must then serve it itself.
func (g *gatherer) Gather(ctx context.Context, req *forward.Request) (forward.Response, bool) {
	if len(req.Call.Body) > maxQueryBody || g.p.ending.Err() != nil {
		return forward.Response{}, false // the engine refuses it as the process ends
	}
	if !g.direct(req) {
		return g.detour(ctx, req)
	}
	if !req.Route.Sharded() {
		if !g.p.pool.Blocked(time.Now(), req.Services()[0]) {
			return forward.Response{}, false
		}
		return g.askHelper(ctx, req, nil)
	}
	profile := profileOf(req.Route)
	sentAt := time.Now()
	peer := g.choose(sentAt, profile)
	if peer == "" {
		return forward.Response{}, false
	}
	response, result := g.hand(ctx, peer, req, newQuery(req, sentAt), sentAt)
	if result == delegate.Responded && response.Reason == forward.ReasonOverloaded {
		result = delegate.Overloaded
	}
	g.ended(sentAt, peer, result, profile)
	return response, result != delegate.Refused
}

// hand hands a request to a peer and waits for its response. A slow peer is waited for: what
// it has begun is not given up while its link lives.
func (g *gatherer) hand(ctx context.Context, peer string, req *forward.Request, q wire.Query, sentAt time.Time) (forward.Response, delegate.Result) {
	waitCtx, cancel := context.WithDeadline(ctx, deadline(req).Add(-lateMargin))
	defer cancel()
	defer context.AfterFunc(g.p.ending, cancel)()
	response, err := g.client.Query(waitCtx, peer, q)
	result := resultOf(ctx, response, err)
	if err != nil && result == delegate.Lost && g.p.ending.Err() != nil {
		return forward.Response{Status: http.StatusGatewayTimeout, Reason: forward.ReasonStopped}, delegate.Late
	}
	switch result {
	case delegate.Responded:
		g.sawVersion(response.Version)
		return responseOf(&response), result
	case delegate.Refused:
		return forward.Response{Reason: response.Refused}, result
	case delegate.Canceled:
		return forward.Response{Reason: forward.ReasonCallerDisconnected}, result
	}
	g.p.log.Warn("request lost at a peer", "id", req.Call.ID, "route", req.Route.Name, "peer", peer, "took", time.Since(sentAt), "error", err)
	if result == delegate.Late {
		return forward.Response{Status: http.StatusGatewayTimeout, Reason: "the peer that served the request did not respond in time"}, result
	}
	return forward.Response{Status: http.StatusBadGateway, Reason: "the peer that served the request was lost"}, result
}

// choose returns the peer to hand a request to, or "" if there is none, and records that
// it is sent.
func (g *gatherer) choose(now time.Time, profile balance.Profile) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	peer := g.chooser.Choose(now, profile, g.client.Reachable)
	if peer != "" {
		g.chooser.Sent(now, peer, profile)
	}
	return peer
}

// ended records the result of a request that was sent to a peer.
func (g *gatherer) ended(sentAt time.Time, peer string, result delegate.Result, profile balance.Profile) {
	g.mu.Lock()
	g.chooser.Ended(time.Now(), sentAt, peer, result, profile)
	g.mu.Unlock()
	g.p.metrics.observeDelegation(result)
}

func newQuery(req *forward.Request, now time.Time) wire.Query {
	return wire.Query{
		Version: req.Version, RequestID: req.Call.ID, Method: req.Call.Method, URI: req.Call.URI, Host: req.Call.Host,
		Header: req.Call.Header, Body: req.Call.Body, HasBody: req.Call.HasBody,
		LeftMicros:    uint64(max(req.Call.Deadline.Sub(now), 0).Microseconds()),
		ElapsedMicros: uint64(max(now.Sub(req.ReceivedAt), 0).Microseconds()), NewConnection: req.NewConnection,
		Caller: req.Call.Caller, Keys: req.Call.Keys, Organisation: req.Call.Organisation, Key: keyOf(req),
	}
}

// keyOf returns the hash of the key that a request was authenticated with, or that the peer is
// to check; nil if there is none.
func keyOf(req *forward.Request) []byte {
	if req.Organisation == nil && !req.KeyUnchecked {
		return nil
	}
	return req.Key[:]
}

// organisationOf returns the organisation of a peer's request and the hash of its key, by the
// view of this process, which may be later than that of the peer. It returns false if the
// route needs a key and the request has none that holds. It takes the key from the header if
// the query has no hash of one: the peer is of a build that passes the key on. It removes the
// key from the header, and the organisation if organisations are configured.
func (g *gatherer) organisationOf(v *catalog.View, route *catalog.Route, q *wire.Query) (o *catalog.Organisation, key catalog.KeyHash, holds bool) {
	codec := g.p.adapter.HeaderCodec
	if len(q.Key) == len(key) {
		key = catalog.KeyHash(q.Key)
	} else {
		meta, _ := codec.Decode(q.Header) // the key does not depend on the other headers
		key = meta.Key
	}
	codec.RemoveKey(q.Header)
	organisations := v.Organisations()
	if organisations == nil {
		return nil, catalog.KeyHash{}, true
	}
	codec.RemoveOrganisation(q.Header)
	o = organisations.Holder(key)
	return o, key, o != nil || route.Public
}

func responseOf(r *wire.QueryResponse) forward.Response {
	return forward.Response{
		Status: r.Status, Sharded: r.Status == http.StatusOK && !r.Single, Signatures: r.Signatures, Missing: r.Missing,
		Header: r.Header, Signature: r.Signature, Body: r.Body, RetryAfter: time.Duration(r.RetryAfterMicros) * time.Microsecond, Reason: r.Reason,
	}
}

// deadline returns the end of the time that the caller waits or its route allows.
func deadline(req *forward.Request) time.Time {
	if t := req.Route.Timeout; t > 0 && req.ReceivedAt.Add(t).Before(req.Call.Deadline) {
		return req.ReceivedAt.Add(t)
	}
	return req.Call.Deadline
}

// resultOf returns how a query ended.
func resultOf(ctx context.Context, response wire.QueryResponse, err error) delegate.Result {
	switch {
	case err == nil && response.Refused == "":
		return delegate.Responded
	case err == nil || errors.Is(err, mesh.ErrNotSent):
		return delegate.Refused
	case ctx.Err() != nil:
		return delegate.Canceled
	case errors.Is(err, context.DeadlineExceeded):
		return delegate.Late
	}
	return delegate.Lost
}

// serve serves a request that a peer handed to this process. It never hands it on: what this
// process cannot serve by itself is refused.
func (g *gatherer) serve(ctx context.Context, peer string, q *wire.Query) wire.QueryResponse {
	g.serving.Add(1)
	defer g.serving.Add(-1)
	now := time.Now()
	receivedAt := now.Add(-time.Duration(q.ElapsedMicros)*time.Microsecond - transitTime)
	deadline := now.Add(time.Duration(q.LeftMicros)*time.Microsecond - transitTime - hopMargin)
	if g.pauses.paused(now) {
		return wire.QueryResponse{Refused: "was paused: the request may have waited"}
	}
	v := g.viewFor(ctx, q)
	if v == nil {
		return wire.QueryResponse{Refused: "stopping, or another version of the configuration is in force"}
	}
	if rejection := g.authenticateQuery(v, q, now); rejection != nil {
		return *rejection
	}
	req := &forward.Request{
		Call: &upstream.Call{
			ID: q.RequestID, Method: q.Method, URI: q.URI, Host: q.Host, Header: q.Header, Body: q.Body, HasBody: q.HasBody,
			Deadline: deadline, Caller: q.Caller, Keys: q.Keys,
		},
		Route: v.RouteOfURI(q.Host, q.URI), Version: v.Version, ConfirmedAt: g.p.follower.ConfirmedAt(), ReceivedAt: receivedAt,
		NewConnection: q.NewConnection, HopMargin: hopMargin, For: peer, Counted: q.Counted,
		Repeat: q.Repeat, MaxTargets: int(q.MaxTargets),
	}
	if req.Route == nil || (!q.CutOff && !req.Route.Sharded()) {
		return wire.QueryResponse{Refused: "no such route, or not a sharded one"}
	}
	organisation, key, holds := g.organisationOf(v, req.Route, q)
	if !holds {
		return wire.QueryResponse{Status: http.StatusUnauthorized, Reason: ingress.ReasonKeyWithdrawn, Single: !req.Route.Sharded(), Version: v.Version}
	}
	if organisation != nil {
		req.Organisation, req.Key, req.Call.Organisation = organisation, key, organisation.Name
	}
	if !g.reaches(req, q.CutOff) {
		return wire.QueryResponse{Refused: refusedCutOff}
	}
	shards := int64(len(req.Services()))
	before := g.gathered.Add(shards) - shards
	defer g.gathered.Add(-shards)
	if before > 0 && before+shards > int64(maxGathered(g.p.settings.Capacity)) && !g.p.engine.MayBeOverloaded(req.Route) {
		return wire.QueryResponse{Refused: "too many requests of peers"}
	}
	resp := g.p.engine.Do(ctx, req)
	if resp.Reason == forward.ReasonStopping {
		return wire.QueryResponse{Refused: resp.Reason} // it has not run: the peer may serve it
	}
	return queryResponse(req, resp)
}

// maxGathered returns the largest number of shards in progress for the given processor share,
// in thousandths of a core.
func maxGathered(capacity uint32) int { return gatheredPerCore * int(capacity) / 1000 }

// drainPollInterval is the time between two looks for requests of peers in progress.
const drainPollInterval = 10 * time.Millisecond

// drain waits until no request of a peer is being served, at most until the given time. It
// returns the number of those that are.
func (g *gatherer) drain(until time.Time) (inProgress int) {
	for g.serving.Load() > 0 && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
	return int(g.serving.Load())
}

// reaches reports whether this process may serve a request of a peer, which does not reach
// the targets itself if cutOff is true.
func (g *gatherer) reaches(req *forward.Request, cutOff bool) bool {
	if cutOff {
		return g.p.pool.Helps(time.Now(), req.Services())
	}
	mode, _ := g.p.pool.Path()
	return mode == reach.Open
}

// queryResponse returns the response to a query. One that does not fit into a frame is a
// failure that may have run.
func queryResponse(req *forward.Request, resp forward.Response) wire.QueryResponse {
	out := wire.QueryResponse{
		Status: resp.Status, Signatures: resp.Signatures, Missing: resp.Missing, Body: resp.Body, Version: req.Version,
		RetryAfterMicros: uint64(resp.RetryAfter.Microseconds()), Reason: resp.Reason, Single: !req.Route.Sharded(),
	}
	if out.Single {
		out.Header, out.Signature = resp.Header, resp.Signature
	}
	if len(out.Body) > maxQueryResponseBody {
		return wire.QueryResponse{Status: http.StatusBadGateway, Reason: "the response is too large for a link", Single: out.Single, Version: req.Version}
	}
	return out
}

// gatheringState is the content of the state page about requests that are handed between
// peers.
type gatheringState struct {
	// Peers are those to which sharded requests are handed, with whether there is a link.
	Peers map[string]bool `json:"peers"`
	// Helpers are those that serve requests while no target can be reached, with whether
	// there is a link.
	Helpers map[string]bool `json:"helpers"`
	// Serving is the number of shards of peers' requests in progress.
	Serving int64 `json:"serving"`
}

func (g *gatherer) state() gatheringState {
	g.mu.Lock()
	names, helpers := g.chooser.Picked(), g.helpers.Picked()
	g.mu.Unlock()
	s := gatheringState{Peers: map[string]bool{}, Helpers: map[string]bool{}, Serving: g.gathered.Load()}
	for _, name := range names {
		s.Peers[name] = g.client.Reachable(name)
	}
	for _, name := range helpers {
		s.Helpers[name] = g.client.Reachable(name)
	}
	return s
}
