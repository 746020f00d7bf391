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
	"github.com/goldcrestmux/goldcrestmux/mesh"
	"github.com/goldcrestmux/goldcrestmux/peers"
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
	Query(ctx context.Context, vm string, q wire.Query) (wire.QueryResponse, error)
}

// gatherer hands sharded requests to peers, and serves those of peers. Its methods are
// safe for concurrent use.
//
// Lock order: mu is acquired before the locks of the mesh and its links.
type gatherer struct {
	p      *process
	client queryClient
	// gathered is the number of shards of peers' requests that are being served.
	gathered atomic.Int64
	pauses   *pauseDetector

	mu      sync.Mutex
	chooser *delegate.Chooser
}

func newGatherer(p *process) *gatherer {
	s := &p.settings
	return &gatherer{p: p, pauses: newPauseDetector(p.startedAt), chooser: delegate.New(delegate.Peer{Name: s.Name, DataCentre: s.DataCentre, Capacity: s.Capacity})}
}

// update picks the peers to hand requests to, and returns their names.
func (g *gatherer) update(alive []peers.Member) []string {
	known := make([]delegate.Peer, 0, len(alive))
	for _, m := range alive {
		if g.sameRegion(m.DataCentre) {
			known = append(known, delegate.Peer{Name: m.Name, DataCentre: m.DataCentre, Capacity: m.Capacity})
		}
	}
	var served map[string]float64
	if v := g.p.view.Load(); v.Configured() {
		served = v.ShardsServed()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Update(known, served)
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

// Gather hands a sharded request to a peer. It returns false if no peer has begun with it:
// the process must then serve it itself.
func (g *gatherer) Gather(ctx context.Context, req *forward.Request) (forward.Response, bool) {
	if !req.Route.Sharded() || len(req.Call.Body) > maxQueryBody {
		return forward.Response{}, false
	}
	profile := profileOf(req.Route)
	sentAt := time.Now()
	peer := g.choose(sentAt, profile)
	if peer == "" {
		return forward.Response{}, false
	}
	// A slow peer is waited for: what it has begun is not given up while its link lives.
	waitCtx, cancel := context.WithDeadline(ctx, deadline(req).Add(-lateMargin))
	defer cancel()
	response, err := g.client.Query(waitCtx, peer, newQuery(req, sentAt))
	result := resultOf(ctx, response, err)
	g.ended(sentAt, peer, result, profile)
	switch result {
	case delegate.Responded:
		return responseOf(&response), true
	case delegate.Refused:
		return forward.Response{}, false
	case delegate.Canceled:
		return forward.Response{Reason: forward.ReasonCallerDisconnected}, true
	}
	g.p.log.Warn("request lost at a peer", "id", req.Call.ID, "route", req.Route.Name, "peer", peer, "took", time.Since(sentAt), "error", err)
	if result == delegate.Late {
		return forward.Response{Status: http.StatusGatewayTimeout, Reason: "the peer that gathered the shards did not respond in time"}, true
	}
	return forward.Response{Status: http.StatusBadGateway, Reason: "the peer that gathered the shards was lost"}, true
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
		Caller: req.Call.Caller, Keys: req.Call.Keys,
	}
}

func responseOf(r *wire.QueryResponse) forward.Response {
	return forward.Response{
		Status: r.Status, Sharded: r.Status == http.StatusOK, Signatures: r.Signatures, Missing: r.Missing,
		Body: r.Body, RetryAfter: time.Duration(r.RetryAfterMicros) * time.Microsecond, Reason: r.Reason,
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

// serve serves a request that a peer handed to this process.
func (g *gatherer) serve(ctx context.Context, peer string, q *wire.Query) wire.QueryResponse {
	receivedAt := time.Now().Add(-time.Duration(q.ElapsedMicros)*time.Microsecond - transitTime)
	if g.pauses.paused(time.Now()) {
		return wire.QueryResponse{Refused: "was paused: the request may have waited"}
	}
	v := g.p.view.Load()
	if g.p.stopping.Load() || !v.Configured() || v.Version != q.Version {
		return wire.QueryResponse{Refused: "stopping, or another version of the configuration is in force"}
	}
	route := v.RouteOfURI(q.Host, q.URI)
	if route == nil || !route.Sharded() {
		return wire.QueryResponse{Refused: "no sharded route"}
	}
	shards := int64(len(route.Shards))
	before := g.gathered.Add(shards) - shards
	defer g.gathered.Add(-shards)
	if before > 0 && before+shards > gatheredPerCore*int64(g.p.settings.Capacity)/1000 {
		return wire.QueryResponse{Refused: "too many requests of peers"}
	}
	resp := g.p.engine.Do(ctx, &forward.Request{
		Call: &upstream.Call{
			ID: q.RequestID, Method: q.Method, URI: q.URI, Host: q.Host, Header: q.Header, Body: q.Body, HasBody: q.HasBody,
			Deadline: time.Now().Add(time.Duration(q.LeftMicros)*time.Microsecond - transitTime - hopMargin),
			Caller:   q.Caller, Keys: q.Keys,
		},
		Route: route, Version: v.Version, ConfirmedAt: g.p.follower.ConfirmedAt(), ReceivedAt: receivedAt,
		NewConnection: q.NewConnection, HopMargin: hopMargin, For: peer,
	})
	return wire.QueryResponse{
		Status: resp.Status, Signatures: resp.Signatures, Missing: resp.Missing, Body: resp.Body,
		RetryAfterMicros: uint64(resp.RetryAfter.Microseconds()), Reason: resp.Reason,
	}
}

// gatheringState is the content of the state page about requests that are handed between
// peers.
type gatheringState struct {
	// Peers are those to which sharded requests are handed, with whether there is a link.
	Peers map[string]bool `json:"peers"`
	// Serving is the number of shards of peers' requests in progress.
	Serving int64 `json:"serving"`
}

func (g *gatherer) state() gatheringState {
	g.mu.Lock()
	names := g.chooser.Picked()
	g.mu.Unlock()
	s := gatheringState{Peers: map[string]bool{}, Serving: g.gathered.Load()}
	for _, name := range names {
		s.Peers[name] = g.client.Reachable(name)
	}
	return s
}
