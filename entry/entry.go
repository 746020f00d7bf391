package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/follow"
	"github.com/goldcrestmux/goldcrestmux/forward"
	"github.com/goldcrestmux/goldcrestmux/ingress"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/mesh"
	"github.com/goldcrestmux/goldcrestmux/peers"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/reach"
	"github.com/goldcrestmux/goldcrestmux/share"
	"github.com/goldcrestmux/goldcrestmux/upstream"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"
)

// Adapter connects the process to its environment.
type Adapter struct {
	// LoadSettings reads the settings. It is called at the start and then again to
	// find changes.
	LoadSettings func() (Settings, error)
	// NewSource returns the source that reads the store.
	NewSource   func(s *Settings, dial DialFunc) follow.Source
	Codec       upstream.Codec
	HeaderCodec ingress.HeaderCodec
	// DroppedLogLines returns the number of log lines that were dropped.
	DroppedLogLines func() int64
	// Dial opens connections to the store and to targets; a net.Dialer's if nil.
	Dial DialFunc
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// process is one running process and its components.
type process struct {
	adapter   Adapter
	settings  Settings
	log       *slog.Logger
	tomb      tomb.Tomb
	startedAt time.Time

	view     atomic.Pointer[catalog.View]
	stopping atomic.Bool
	// ending is canceled by end when requests in progress must be answered with what is known
	// of them, as the process is about to end.
	ending          context.Context
	end             context.CancelFunc
	guard           *quarantine.Guard
	pool            *upstream.Pool
	engine          *forward.Engine
	follower        *follow.Follower
	peers           *peers.Node
	mesh            *mesh.Mesh
	gatherer        *gatherer
	linkServer      *http.Server
	source          *follow.MultiSource
	feed            *follow.Feed
	handler         *ingress.Handler
	quotas          *quotas
	callerServer    *ingress.Server
	readinessServer *http.Server
	metrics         *metrics
	organisations   *organisationCounts
	// loadMeter, lastPath and lastPathSince are used by runMaintenance only. The latter
	// are the path to targets as last logged.
	loadMeter     share.LoadMeter
	lastPath      reach.Mode
	lastPathSince time.Time

	// reloadMu guards latestSettings, the settings as they were last read.
	reloadMu       sync.Mutex
	latestSettings Settings
}

// Run runs the process until SIGTERM or an interrupt stops it or a component
// fails, and returns its exit code. SIGHUP reloads the settings.
func Run(adapter Adapter, log *slog.Logger) int {
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return RunUntil(adapter, log, signals)
}

// memoryFraction is the fraction of Settings.MemoryLimit that the heap may take
// before garbage is collected more often.
const memoryFraction = 0.6

// bufferedDivisor is the divisor of Settings.MemoryLimit that yields the memory for large
// responses of targets that are being received.
const bufferedDivisor = 8

// Divisors of Settings.MemoryLimit that yield the memory for changes that are kept for peers,
// for what waits to be sent to peers, and for bodies of callers' requests in progress.
const (
	feedDivisor   = 16
	queuedDivisor = 8
	bodiesDivisor = 4
)

// RunUntil is like Run, but takes the signals from a channel.
func RunUntil(adapter Adapter, log *slog.Logger, signals <-chan os.Signal) int {
	s, err := adapter.LoadSettings()
	if err != nil {
		log.Error("start failed; exiting", "error", err)
		return exitFailure
	}
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(s.MemoryLimit)))
	}
	log = log.With("process", s.Name)
	p := newProcess(adapter, s, log)
	if err := p.start(); err != nil {
		log.Error("start failed; exiting", "error", err)
		return exitFailure
	}
	return p.supervise(signals)
}

// gcPercent is passed to debug.SetGCPercent: a higher value takes more memory and
// less processor time.
const gcPercent = 100

func newProcess(adapter Adapter, s Settings, log *slog.Logger) *process {
	p := &process{adapter: adapter, settings: s, log: log, startedAt: time.Now(), metrics: newMetrics(), organisations: newOrganisationCounts(), latestSettings: s}
	p.ending, p.end = context.WithCancel(context.Background())
	p.guard = quarantine.NewGuard(quarantine.Options{Self: s.Name, StartedAt: p.startedAt}, log)
	p.pool = upstream.New(upstream.Options{
		Guard: p.guard,
		Codec: adapter.Codec, DataCentre: s.DataCentre, Dial: p.dial, DialTimeout: dialTimeout,
		DrainGrace: s.DrainGrace / drainGraceDivisor, Cold: s.Cold, StartedAt: p.startedAt, OnEvent: p.connectionEvent,
		MaxBufferedBytes: s.MemoryLimit / bufferedDivisor,
	})
	p.engine = forward.New(forward.Options{Pool: p.pool, Budget: s.RetryBudget, Logger: log, Hedge: shardHedging, SingleHedge: singleHedging, MaxSubRequests: maxGathered(s.Capacity), Ending: p.ending.Done()})
	p.gatherer = newGatherer(p)
	p.quotas = newQuotas(&s, p.startedAt, log)
	p.handler = ingress.New(ingress.Options{
		Quota: p.quotas, MaxBodiesBytes: s.MemoryLimit / bodiesDivisor,
		HeaderCodec: adapter.HeaderCodec, Engine: p.engine, Delegate: p.gatherer.Gather, Rescue: p.gatherer.Rescue, Behind: p.gatherer.behind, View: p.view.Load, ConfirmedAt: func() time.Time { return p.follower.ConfirmedAt() },
		StaleAfter: staleAfter, MaxKeyAge: s.MaxKeyAge, DefaultTimeout: defaultTimeout, Logger: log, Observe: p.metrics.observe, ObserveOrganisation: p.organisations.observe,
	})
	p.callerServer = ingress.NewServer(p.handler)
	incarnation := uint64(time.Now().UnixNano())
	p.feed = follow.NewFeed()
	if s.MemoryLimit > 0 {
		p.feed.SetLimit(s.MemoryLimit / feedDivisor)
	}
	p.mesh = mesh.New(mesh.Options{
		Self:   wire.Process{VM: s.Name, Role: wire.RoleEntry, DataCentre: s.DataCentre, Incarnation: incarnation},
		Logger: log, ServeFeed: p.feed.Respond, ServeQuery: p.gatherer.serve, CheckInterval: linkCheckInterval,
		MaxQueuedBytes: s.MemoryLimit / queuedDivisor,
	})
	p.gatherer.client = p.mesh
	p.source = follow.NewMultiSource(adapter.NewSource(&s, p.dial), p.mesh,
		follow.NewSelector(storeReader(s.Name, s.DataCentre), s.MaxConfigDelay, rand.New(rand.NewPCG(incarnation, 3))), log)
	p.follower = follow.New(follow.Options{
		Source: p.source, Feed: p.feed,
		Scheduler: follow.NewScheduler(follow.SchedulerOptions{
			Wait: watchTimeout, MinCoalesce: minWatchCoalesce, MaxCoalesce: maxCoalesce(s.MaxConfigDelay),
			ProbeWait: probeTimeout, MinBackoff: storeMinBackoff, MaxBackoff: storeMaxBackoff, MaxInitialBackoff: storeMaxInitialBackoff,
			Rand: rand.New(rand.NewPCG(incarnation, 1)),
		}),
		Catalog: catalog.NewState(catalog.StateOptions{
			DeregisteredGrace: time.Duration(deregisteredGraceFraction * float64(s.DrainGrace)), OutageGrace: outageGrace, MaxNoticeDelay: time.Duration(maxNoticeFraction * float64(s.DrainGrace)), ColdAfterEvacuation: coldAfterEvacuation,
			EvacuationHold: evacuationHold, DepartedHold: departedHold, DepartedMemory: departedMemory,
		}),
		Logger: log, Publish: p.publish, TickInterval: 250 * time.Millisecond,
	})
	return p
}

// maxCoalesce returns the longest pause between watches while changes arrive.
// Changes must be in force within maxDelay.
func maxCoalesce(maxDelay time.Duration) time.Duration {
	return max(maxWatchCoalesce, time.Duration(coalesceFraction*float64(maxDelay)))
}

// storeReader describes a process that may read the store for its peers.
func storeReader(name, dataCentre string) follow.Process {
	return follow.Process{Name: name, DataCentre: dataCentre, Rank: xxhash.Sum64String(name)}
}

// connectionEvent counts and logs an event of a connection to a target.
func (p *process) connectionEvent(ev upstream.Event) {
	p.metrics.observeConnection(ev.Message)
	attrs := []any{"target", ev.TargetID, "service", ev.Service, "id", ev.RequestID}
	if ev.Err != nil {
		attrs = append(attrs, "error", ev.Err)
	}
	p.log.Info(ev.Message, append(attrs, ev.Details...)...)
}

// publish puts a new view in force.
func (p *process) publish(v *catalog.View) {
	before := p.view.Load()
	p.view.Store(v)
	p.pool.Update(v)
	p.organisationsChanged(before, v)
	p.quotas.publish(v)
	p.engine.SetView(v)
	if !before.Configured() && v.Configured() {
		p.log.Info("ready", "version", v.Version, "routes", v.RouteCount(), "services", v.ServiceCount(), "after", time.Since(p.startedAt))
	}
}

func (p *process) start() error {
	s := &p.settings
	callers, err := listen("callers", s.CallerListen)
	if err != nil {
		return err
	}
	ready, err := listen("readiness checks", s.ReadyListen)
	if err != nil {
		return err
	}
	if err := p.startPeers(); err != nil {
		return err
	}
	p.readinessServer = &http.Server{Handler: p.readinessHandler(), ReadHeaderTimeout: defaultTimeout}
	p.tomb.Go(func() error {
		err := p.callerServer.Serve(callers)
		if p.stopping.Load() && errors.Is(err, net.ErrClosed) {
			return nil // stop closed the listener
		}
		return serveError(err, "callers")
	})
	p.tomb.Go(func() error { return serveError(p.readinessServer.Serve(ready), "readiness checks") })
	p.startMetrics()
	p.follower.Start()
	p.tomb.Go(p.runMaintenance)
	p.tomb.Go(p.pollSettings)
	p.tomb.Go(func() error { return p.quotas.run(p.tomb.Dying(), p.updateQuotaFleet) })
	p.log.Info("started", "data_centre", s.DataCentre, "callers", s.CallerListen, "ready", s.ReadyListen,
		"peers", s.PeerListen, "seeds", s.Seeds, "store", s.StoreAddress)
	return nil
}

func listen(what, address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	return l, errors.Annotatef(err, "listen for %s on %s", what, address)
}

// serveError annotates the error with which a server ended. It returns nil if the
// server was closed.
func serveError(err error, what string) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotatef(err, "serve %s", what)
}

func (p *process) startPeers() error {
	s := &p.settings
	if s.PeerListen == "" {
		return nil
	}
	now := time.Now()
	state := peers.New(now, peers.Options{
		Self: peers.Member{
			Name: s.Name, Address: s.PeerListen, Started: now.UnixNano(),
			DataCentre: s.DataCentre, Capacity: s.Capacity, ConfigSchema: catalog.ConfigSchema,
		},
		Seeds: s.Seeds, Interval: gossipInterval, Fanout: gossipFanout, MaxMembers: gossipMaxMembers,
		ForgetAfter: gossipForgetAfter, AssumedFleetSize: assumedFleetSize, SettleTime: gossipSettleTime,
		Rand: rand.New(rand.NewPCG(uint64(now.UnixNano()), 2)),
	})
	node, err := peers.Listen(s.PeerListen, state, gossipInterval/4, p.log, p.guard, func(f share.Fleet) {
		p.pool.SetFleet(f)
		p.engine.SetFleet(time.Now(), f)
	})
	if err != nil {
		return err
	}
	p.peers = node
	p.quotas.node.Store(node)
	node.SetQuotaReceiver(p.quotas)
	node.Start()
	l, err := listen("peer links", s.PeerListen)
	if err != nil {
		return err
	}
	mux := goji.NewMux()
	mux.Handle(pat.Get(link.Path), p.mesh)
	p.linkServer = &http.Server{Handler: mux, ReadHeaderTimeout: defaultTimeout}
	p.tomb.Go(func() error { return serveError(p.linkServer.Serve(l), "peer links") })
	return nil
}

// updatePeers passes the live peers to the mesh and the source.
func (p *process) updatePeers() {
	if p.peers == nil {
		return
	}
	alive := p.peers.Alive(aliveWithin)
	addresses := make(map[string]string, len(alive))
	readers := make([]follow.Process, 0, len(alive))
	for _, m := range alive {
		addresses[m.Name] = m.Address
		reader := storeReader(m.Name, m.DataCentre)
		reader.FormerSchema = m.ConfigSchema < catalog.ConfigSchema
		readers = append(readers, reader)
	}
	p.mesh.SetPeers(addresses, p.gatherer.update(alive, p.lastPath != reach.Open))
	p.source.SetPeers(readers)
	p.shareLoad(time.Now())
}

// shareLoad tells the other processes the load of this one, and divides the limits that
// targets name by the loads of all.
func (p *process) shareLoad(now time.Time) {
	s := &p.settings
	sharded, single := p.engine.Requests()
	p.loadMeter.Add(now, sharded, single)
	p.peers.SetLoad(peers.NewLoad(p.loadMeter.Load()))
	processes := []share.Process{{Name: s.Name, DataCentre: s.DataCentre, Load: p.loadMeter.Shared(now)}}
	for _, m := range p.peers.Members() {
		processes = append(processes, share.Process{Name: m.Name, DataCentre: m.DataCentre, Load: m.Load.Share()})
	}
	p.pool.SetProcesses(processes)
}

func (p *process) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if p.stopping.Load() || !p.view.Load().Configured() || !p.quotas.ready(time.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// runMaintenance periodically closes idle, slow and unresponsive connections,
// updates the live peers, and evicts unused state of the engine.
func (p *process) runMaintenance() error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	var lastPeerUpdate time.Time
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		p.gatherer.pauses.tick(now)
		p.checkPath(now)
		if now.Sub(lastPeerUpdate) >= peerUpdateInterval {
			lastPeerUpdate = now
			p.updatePeers()
			p.engine.EvictIdle(now)
			p.gatherer.forgetUnhelped(now)
		}
		p.pool.CloseExpired(now)
		var limits catalog.Limits
		if v := p.view.Load(); v.Configured() {
			limits = v.Limits
		}
		if limits.IdleTimeout > 0 {
			p.callerServer.CloseIdle(now.Add(-limits.IdleTimeout))
		}
		p.callerServer.CloseSlow(now, limits.HeaderTimeout)
	}
}

// keepAlive detects connections to unresponsive hosts within seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func (p *process) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if p.adapter.Dial != nil {
		return p.adapter.Dial(ctx, network, address)
	}
	d := net.Dialer{KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, network, address)
}

// traffic returns the bytes exchanged by purpose; "remote" is with other data centres.
func (p *process) traffic() map[string]any {
	linksLocal, linksRemote := p.mesh.BytesSent()
	out := map[string]any{"targets": p.pool.Traffic(), "links_sent_local": linksLocal, "links_sent_remote": linksRemote}
	if p.peers != nil {
		out["gossip_sent_local"], out["gossip_sent_remote"] = p.peers.BytesSent()
		out["quota_sent"] = p.peers.QuotaBytesSent()
	}
	return out
}

// state returns the content of the state page for operators.
func (p *process) state() any {
	v := p.view.Load()
	out := map[string]any{
		"process": p.settings.Name, "uptime_s": int(time.Since(p.startedAt).Seconds()),
		"stopping": p.stopping.Load(), "ready": v.Configured() && !p.stopping.Load(),
		"upstream": p.pool.Stats(), "path": p.pathState(), "pushback": p.pool.Pushback(time.Now()), "capacity": p.pool.Capacities(time.Now()), "quarantine": p.guard.States(time.Now()), "retry_budget": p.engine.BudgetState(time.Now()), "admission": p.engine.AdmissionState(), "active_requests": p.handler.Active(), "caller_connections": p.callerServer.OpenConnections(),
		"bytes": p.traffic(), "gathering": p.gatherer.state(), "quotas": p.quotas.state(), "store_calls": p.follower.Calls() - p.source.PeerRequests(), "peer_asks": p.source.PeerRequests(), "links": p.mesh.LinkCount(),
	}
	if v.Configured() {
		out["organisations"] = p.organisations.state(v.Organisations())
		out["version"] = v.Version
		out["store_era"] = v.Era
		out["picture_age_ms"] = time.Since(p.follower.ConfirmedAt()).Milliseconds()
	}
	if p.peers != nil {
		out["peers"] = p.peers.Members()
	}
	return out
}
