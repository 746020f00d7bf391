// Package gateway faces the callers: it authenticates and admits their
// requests, pins an index version, sends sub-requests to relays, gathers the
// replies and answers with the coverage reached.
//
// Decisions are made by the state machines of the packages admission, query,
// replica, budget, hedge and snapshot; this package feeds them with events.
package gateway

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/admission"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// DefaultMaxBody is the largest body of a request in bytes.
const DefaultMaxBody = 64 << 10

// Options configures a Gateway.
type Options struct {
	// Self is this process.
	Self   wire.Process
	Logger *slog.Logger
	// Links reaches the relays.
	Links *link.Pool
	// MaxBody is the largest body of a request in bytes.
	MaxBody int64
	// Admission configures the limits on concurrent requests.
	Admission admission.Options
	// Hedge configures when a second attempt is sent.
	Hedge hedge.Options
	// ReplicaChoice selects how a replica is chosen.
	ReplicaChoice replica.Mode
	// Ready tells whether the process may serve, and if not, why.
	Ready func() (bool, string)
}

// Gateway is the role that faces callers. Its methods may be called concurrently.
//
// Lock order: the locks of admission, routes, inflight and of each mailbox are
// leaf locks; none is taken while another of them is held.
type Gateway struct {
	opts      Options
	links     *link.Pool
	routes    *routes
	admission *admissions
	inflight  *inflight
	contracts atomic.Pointer[callerIndex]
	draining  atomic.Bool
	handler   http.Handler
}

// New returns a gateway that refuses every request until it has contracts.
func New(opts Options) *Gateway {
	opts.MaxBody = cmp.Or(opts.MaxBody, DefaultMaxBody)
	g := &Gateway{
		opts:  opts,
		links: opts.Links,
		routes: newRoutes(opts.Self.Incarnation, opts.Hedge, replica.Options{
			DataCentre: opts.Self.DataCentre, Mode: opts.ReplicaChoice,
		}),
		admission: newAdmissions(opts.Admission, rand.New(rand.NewPCG(opts.Self.Incarnation, 3))),
		inflight:  &inflight{byID: make(map[uint64]*mailbox)},
	}
	g.handler = g.newMux()
	return g
}

// Close stops the gateway's own goroutines.
func (g *Gateway) Close() { g.admission.close() }

// ServeHTTP serves the callers' API.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.handler.ServeHTTP(w, r) }

// SetContracts puts contracts in force for queries that start from now on.
func (g *Gateway) SetContracts(c *folder.Contracts) {
	now := time.Now()
	index := newCallerIndex(c)
	g.routes.setContracts(now, c, index.versions)
	g.admission.setCallers(now, c.Callers)
	g.contracts.Store(index)
}

// SetGateways sets the number of live gateways that share the callers' rates.
func (g *Gateway) SetGateways(n int) { g.admission.setGateways(n) }

// Leave makes readiness fail. Requests that still arrive are served.
func (g *Gateway) Leave() { g.draining.Store(true) }

// Requests returns the number of requests in progress.
func (g *Gateway) Requests() int { return g.inflight.len() + g.admission.waiting() }

// Uncovered returns a search of which a shard can't be reached now, or "".
func (g *Gateway) Uncovered() string { return g.routes.uncovered(time.Now()) }

// Up implements the part of link.Handler that concerns gateways.
func (g *Gateway) Up(*link.Link) {}

// Frame takes what a relay sent.
func (g *Gateway) Frame(l *link.Link, f *wire.Frame) {
	if len(f.Grants) > 0 {
		g.routes.setHoldings(l.Peer().Name(), f.Grants)
	}
	for i := range f.SubResponses {
		r := &f.SubResponses[i]
		box := g.inflight.find(r.QueryID)
		if box == nil || r.ID>>attemptBits != r.QueryID {
			metrics.stray.Add(1)
			continue
		}
		box.put(event{reply: r})
	}
}

// Dropped takes a batch that was never written to its link.
func (g *Gateway) Dropped(_ *link.Link, b wire.Batch) {
	if box := g.inflight.find(b.QueryID); box != nil {
		box.put(event{dropped: &b})
	}
}

// Unresponsive tells that a relay may be silent: new work goes elsewhere if it can.
func (g *Gateway) Unresponsive(l *link.Link, quiet bool) {
	g.routes.setQuiet(l.Peer().Name(), quiet)
}

// Down tells every query that a link is gone.
func (g *Gateway) Down(l *link.Link) {
	name := l.Peer().Name()
	if other := g.links.Get(name); other == nil || other == l {
		g.routes.dropRelay(name)
	}
	for _, box := range g.inflight.all() {
		box.put(event{lost: name})
	}
}
