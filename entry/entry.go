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
	"github.com/goldcrestmux/goldcrestmux/share"
	"github.com/goldcrestmux/goldcrestmux/upstream"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"
)

// Adapter is what the process needs to speak with the world outside.
type Adapter struct {
	// LoadSettings reads the settings, at the start and when they change.
	LoadSettings func() (Settings, error)
	NewSource    func(s *Settings, dial DialFunc) follow.Source
	Codec        upstream.Codec
	HeaderCodec  ingress.HeaderCodec
	// DroppedLogLines returns the number of log lines that were left out.
	DroppedLogLines func() int64
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Entry is the process.
type Entry struct {
	adapter  Adapter
	settings Settings
	log      *slog.Logger
	tomb     tomb.Tomb
	started  time.Time

	view     atomic.Pointer[catalog.View]
	stopping atomic.Bool
	pool     *upstream.Pool
	engine   *forward.Engine
	follower *follow.Follower
	peers    *peers.Node
	mesh     *mesh.Mesh
	links    *http.Server
	source   *follow.MultiSource
	replica  *follow.Replica
	handler  *ingress.Handler
	callers  *ingress.Server
	ready    *http.Server
	metrics  *metrics

	// reloading guards latest, the settings as they were last read.
	reloading sync.Mutex
	latest    Settings
}

// Run runs the process until a signal stops it, and returns its exit code.
func Run(adapter Adapter, log *slog.Logger) int {
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return RunUntil(adapter, log, signals)
}

// memoryShare is the part of the allowed memory that the heap may take before
// garbage is collected more often.
const memoryShare = 0.6

// RunUntil runs the process until a signal stops it that comes from the channel.
func RunUntil(adapter Adapter, log *slog.Logger, signals <-chan os.Signal) int {
	s, err := adapter.LoadSettings()
	if err != nil {
		log.Error("can't start", "error", err)
		return exitFailure
	}
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimit)))
	}
	log = log.With("process", s.Name)
	e := newEntry(adapter, s, log)
	if err := e.start(); err != nil {
		log.Error("can't start", "error", err)
		return exitFailure
	}
	return e.supervise(signals)
}

// gcPercent trades memory for processor time.
const gcPercent = 100

func newEntry(adapter Adapter, s Settings, log *slog.Logger) *Entry {
	e := &Entry{adapter: adapter, settings: s, log: log, started: time.Now(), metrics: newMetrics(), latest: s}
	e.pool = upstream.New(upstream.Options{
		Codec: adapter.Codec, DataCentre: s.DataCentre, Dial: e.dial, DialTimeout: dialTimeout,
		DrainGrace: s.DrainGrace / 3, Cold: s.Cold, OnEvent: e.connectionEvent,
	})
	e.engine = forward.New(forward.Options{Pool: e.pool, Budget: s.RetryBudget, Logger: log, Hedge: hedging, SingleHedge: singleHedging})
	e.handler = ingress.New(ingress.Options{
		HeaderCodec: adapter.HeaderCodec, Engine: e.engine, View: e.view.Load, Confirmed: func() time.Time { return e.follower.ConfirmedAt() },
		StaleAfter: staleAfter, DefaultTimeout: defaultWait, Logger: log, Observe: e.metrics.observe,
	})
	e.callers = ingress.NewServer(e.handler)
	seed := uint64(time.Now().UnixNano())
	e.replica = follow.NewReplica()
	e.mesh = mesh.New(mesh.Options{
		Self:   wire.Process{VM: s.Name, Role: wire.RoleEntry, DataCentre: s.DataCentre, Incarnation: seed},
		Logger: log, ServeFeed: e.replica.Respond, CheckInterval: linkCheck,
	})
	e.source = follow.NewMultiSource(adapter.NewSource(&s, e.dial), e.mesh,
		follow.NewSelector(reader(s.Name, s.DataCentre), s.MaxConfigDelay, rand.New(rand.NewPCG(seed, 3))), log)
	e.follower = follow.New(follow.Options{
		Source: e.source, Replica: e.replica,
		Scheduler: follow.NewScheduler(follow.SchedulerOptions{
			Wait: watchWait, MinCoalesce: minWatchGather, MaxCoalesce: maxGather(s.MaxConfigDelay),
			ProbeWait: probeWait, MinBackoff: storeMinBackoff, MaxBackoff: storeMaxBackoff, MaxInitialBackoff: storeFirstBackoff,
			Rand: rand.New(rand.NewPCG(seed, 1)),
		}),
		Catalog: catalog.NewState(catalog.StateOptions{
			DeregisteredGrace: time.Duration(lapseShare * float64(s.DrainGrace)), OutageGrace: unsteadyHold, ColdAfterEvacuation: restoreCold,
		}),
		Logger: log, Publish: e.publish, TickInterval: 250 * time.Millisecond,
	})
	return e
}

// maxGather returns the longest pause between watches while changes come in,
// where changes must be in force within a time.
func maxGather(apply time.Duration) time.Duration {
	return max(maxWatchGather, time.Duration(gatherShare*float64(apply)))
}

// reader describes a process as one that may read the store for others.
func reader(name, dataCentre string) follow.Process {
	return follow.Process{Name: name, DataCentre: dataCentre, Rank: xxhash.Sum64String(name)}
}

func (e *Entry) connectionEvent(ev upstream.Event) {
	e.metrics.connection(ev.Message)
	e.log.Info(ev.Message, "target", ev.TargetID, "service", ev.Service, "id", ev.RequestID, "error", ev.Err)
}

// publish puts a new picture in force.
func (e *Entry) publish(v *catalog.View) {
	before := e.view.Load()
	e.view.Store(v)
	e.pool.Update(v)
	if !before.Configured() && v.Configured() {
		e.log.Info("ready", "version", v.Version, "routes", v.RouteCount(), "services", v.ServiceCount(), "after", time.Since(e.started))
	}
}

func (e *Entry) start() error {
	s := &e.settings
	callers, err := listen("callers", s.CallerListen)
	if err != nil {
		return err
	}
	ready, err := listen("the ready page", s.ReadyListen)
	if err != nil {
		return err
	}
	if err := e.startPeers(); err != nil {
		return err
	}
	e.ready = &http.Server{Handler: e.readyPage(), ReadHeaderTimeout: defaultWait}
	e.tomb.Go(func() error {
		err := e.callers.Serve(callers)
		if e.stopping.Load() && errors.Is(err, net.ErrClosed) {
			return nil // the stop closed the listener
		}
		return served(err, "callers")
	})
	e.tomb.Go(func() error { return served(e.ready.Serve(ready), "the ready page") })
	e.startMetrics()
	e.follower.Start()
	e.tomb.Go(e.keepHouse)
	e.tomb.Go(e.pollSettings)
	e.log.Info("started", "data_centre", s.DataCentre, "callers", s.CallerListen, "ready", s.ReadyListen,
		"peers", s.PeerListen, "seeds", s.Seeds, "store", s.StoreAddress)
	return nil
}

func listen(what, address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	return l, errors.Annotatef(err, "listen for %s on %s", what, address)
}

// served turns the end of a server into an error unless it was asked for.
func served(err error, what string) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotatef(err, "serve %s", what)
}

func (e *Entry) startPeers() error {
	s := &e.settings
	if s.PeerListen == "" {
		return nil
	}
	now := time.Now()
	state := peers.New(now, peers.Options{
		Self: peers.Member{
			Name: s.Name, Address: s.PeerListen, Started: now.UnixNano(),
			DataCentre: s.DataCentre,
		},
		Seeds: s.Seeds, Interval: gossipInterval, Fanout: gossipFanout, MaxMembers: gossipEntries,
		ForgetAfter: gossipForget, AssumedFleetSize: unknownPeers, SettleTime: gossipSettle,
		Rand: rand.New(rand.NewPCG(uint64(now.UnixNano()), 2)),
	})
	node, err := peers.Listen(s.PeerListen, state, gossipInterval/4, e.log, func(f share.Fleet) {
		e.pool.SetFleet(f)
		e.engine.SetFleet(f)
	})
	if err != nil {
		return err
	}
	e.peers = node
	node.Start()
	l, err := listen("links of peers", s.PeerListen)
	if err != nil {
		return err
	}
	mux := goji.NewMux()
	mux.Handle(pat.Get(link.Path), e.mesh)
	e.links = &http.Server{Handler: mux, ReadHeaderTimeout: defaultWait}
	e.tomb.Go(func() error { return served(e.links.Serve(l), "links of peers") })
	return nil
}

// meet takes the peers that are alive.
func (e *Entry) meet() {
	if e.peers == nil {
		return
	}
	alive := e.peers.Alive(aliveWithin)
	addresses := make(map[string]string, len(alive))
	readers := make([]follow.Process, 0, len(alive))
	for _, m := range alive {
		addresses[m.Name] = m.Address
		readers = append(readers, reader(m.Name, m.DataCentre))
	}
	e.mesh.SetPeers(addresses)
	e.source.SetPeers(readers)
}

func (e *Entry) readyPage() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if e.stopping.Load() || !e.view.Load().Configured() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// keepHouse closes idle and silent connections, and takes the peers that are alive.
func (e *Entry) keepHouse() error {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	var met time.Time
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(met) >= meetInterval {
			met = now
			e.meet()
			e.engine.EvictIdle(now)
		}
		e.pool.CloseExpired(now)
		var limits catalog.Limits
		if v := e.view.Load(); v.Configured() {
			limits = v.Limits
		}
		if limits.IdleTimeout > 0 {
			e.callers.CloseIdle(now.Add(-limits.IdleTimeout))
		}
		e.callers.CloseSlow(now, limits.HeaderTimeout)
	}
}

// keepAlive finds connections that went silent within seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func (e *Entry) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, network, address)
}

// dump is the process's state for operators.
func (e *Entry) dump() any {
	v := e.view.Load()
	out := map[string]any{
		"process": e.settings.Name, "uptime_s": int(time.Since(e.started).Seconds()),
		"stopping": e.stopping.Load(), "ready": v.Configured() && !e.stopping.Load(),
		"upstream": e.pool.Stats(), "active_requests": e.handler.Active(), "caller_connections": e.callers.OpenConnections(),
		"store_calls": e.follower.Calls() - e.source.PeerRequests(), "peer_asks": e.source.PeerRequests(), "links": e.mesh.LinkCount(),
	}
	if v.Configured() {
		out["version"] = v.Version
		out["picture_age_ms"] = time.Since(e.follower.ConfirmedAt()).Milliseconds()
	}
	if e.peers != nil {
		out["peers"] = e.peers.Members()
	}
	return out
}
