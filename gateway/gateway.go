// Package gateway serves the API for callers: it authenticates and admits
// requests, pins an index version, sends sub-requests to relays, gathers the
// responses and returns a merged response that states its coverage.
//
// Decisions are made by the state machines of the packages admission, query,
// replica, budget, hedge and snapshot; this package passes events to them.
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
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// DefaultMaxBody is the default maximum size of a request body in bytes.
const DefaultMaxBody = 64 << 10

// Options configures a Gateway.
type Options struct {
	// Self identifies this process.
	Self   wire.Process
	Logger *slog.Logger
	// Links holds the links to the relays.
	Links *link.Pool
	// MaxBody is the maximum size of a request body in bytes; DefaultMaxBody if 0.
	MaxBody int64
	// Admission configures the limits on concurrent requests.
	Admission admission.Options
	// Hedge configures when a hedge is sent.
	Hedge hedge.Options
	// ReplicaChoice selects how a replica is chosen.
	ReplicaChoice replica.Mode
	// Guard decides which requests are no longer sent to targets.
	Guard *quarantine.Guard
	// Ready reports whether the process may serve, and if not, the reason.
	Ready func() (bool, string)
}

// Gateway serves callers. Its methods are safe for concurrent use.
//
// Lock order: the locks of admission, routes, inflight and of each mailbox are
// leaf locks; none is taken while another of them is held.
type Gateway struct {
	opts      Options
	links     *link.Pool
	routes    *routes
	admission *admitter
	inflight  *inflight
	contracts atomic.Pointer[contractIndex]
	draining  atomic.Bool
	active    atomic.Int64 // requests of the API whose handler has not returned
	handler   http.Handler
}

// New returns a gateway that responds to every search and action with
// code.NotReady until SetContracts is called.
func New(opts Options) *Gateway {
	opts.MaxBody = cmp.Or(opts.MaxBody, DefaultMaxBody)
	opts.Guard = opts.Guard.OrNew(opts.Logger)
	g := &Gateway{
		opts:  opts,
		links: opts.Links,
		routes: newRoutes(opts.Self.Incarnation, opts.Hedge, replica.Options{
			DataCentre: opts.Self.DataCentre, Mode: opts.ReplicaChoice,
		}),
		admission: newAdmitter(opts.Admission, rand.New(rand.NewPCG(opts.Self.Incarnation, 3))),
		inflight:  &inflight{byID: make(map[uint64]*mailbox)},
	}
	g.handler = g.newMux()
	return g
}

// Close stops the gateway's goroutines.
func (g *Gateway) Close() { g.admission.close() }

// ServeHTTP serves the callers' API.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.handler.ServeHTTP(w, r) }

// SetContracts replaces the contracts. They apply to queries that start afterwards.
func (g *Gateway) SetContracts(c *folder.Contracts) {
	now := time.Now()
	index := newContractIndex(c)
	g.routes.setContracts(now, c, index.versions)
	g.admission.setCallers(now, c.Callers)
	g.contracts.Store(index)
}

// SetGateways sets the number of live gateways, among which the callers' rate
// limits are shared.
func (g *Gateway) SetGateways(n int) { g.admission.setGateways(n) }

// StartDraining makes the readiness check fail. Requests that still arrive are
// served.
func (g *Gateway) StartDraining() { g.draining.Store(true) }

// RequestsInProgress returns the number of searches and actions whose headers were read and
// whose response has not been written by its handler: also those whose body is still arriving.
func (g *Gateway) RequestsInProgress() int { return int(g.active.Load()) }

// UncoveredSearch returns the name of a search that has a shard without a usable
// replica, or "" if there is none.
func (g *Gateway) UncoveredSearch() string { return g.routes.uncoveredSearch(time.Now()) }

// Up is called when a link is ready to use. It does nothing.
func (g *Gateway) Up(*link.Link) {}

// Frame handles a frame from a relay. Responses to queries that have ended are
// dropped.
func (g *Gateway) Frame(l *link.Link, f *wire.Frame) {
	if len(f.Grants) > 0 {
		g.routes.setGrants(l.Peer().Name(), f.Grants)
	}
	for i := range f.SubResponses {
		r := &f.SubResponses[i]
		box := g.inflight.find(r.QueryID)
		if box == nil || r.ID>>attemptBits != r.QueryID {
			metrics.strayResponses.Add(1)
			continue
		}
		box.put(event{response: r})
	}
}

// Dropped handles a batch that was never written to its link.
func (g *Gateway) Dropped(_ *link.Link, b wire.Batch) {
	if box := g.inflight.find(b.QueryID); box != nil {
		box.put(event{dropped: &b})
	}
}

// Unresponsive records whether a relay is unresponsive. New sub-requests avoid
// an unresponsive relay if there is another route.
func (g *Gateway) Unresponsive(l *link.Link, unresponsive bool) {
	g.routes.setUnresponsive(l.Peer().Name(), unresponsive)
}

// Down handles the loss of a link. It removes the relay's grants, unless there
// is another link to the relay, and notifies every query in progress.
func (g *Gateway) Down(l *link.Link) {
	name := l.Peer().Name()
	if current := g.links.Get(name); current == nil || current == l {
		g.routes.removeRelay(name)
	}
	for _, box := range g.inflight.all() {
		box.put(event{lostRelay: name})
	}
}
