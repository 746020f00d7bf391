package standin

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
)

// Defaults of a target.
const (
	DefaultWarmAfter = 20                     // completed requests per slot gained
	DefaultWarmTime  = 10 * time.Minute       // after a boot
	fallTime         = 200 * time.Millisecond // between a fall and the next boot
	idleTimeout      = 2 * time.Minute        // of a connection

	// noticeTime is what a tier is granted from the first sign of a new boot
	// until all of it must respect the cold allowance.
	noticeTime = 50 * time.Millisecond
)

var (
	errCanceled = errors.New("canceled by the client")
	errStopped  = errors.New("target stopped")
)

// targetSettings are the settings that a TargetChange can change.
type targetSettings struct {
	service   Service
	faults    AnswerFaults
	claimWarm bool
	healthLag Duration
	cutOff    []string
	warmAfter int
	warmTime  Duration
}

// Target is one stand-in target. It is safe for concurrent use.
type Target struct {
	layout   TargetLayout
	search   SearchLayout
	corpus   *corpus.Corpus
	ledger   *ledger
	distance func(from, to string) time.Duration
	gate     *gate

	mu       sync.Mutex
	rng      *rand.Rand
	settings targetSettings
	versions map[string]map[string][]corpus.Entry // version, shard
	inflight map[string]context.CancelCauseFunc   // by request id
	conns    map[*targetConn]struct{}
	last     *targetapi.TargetAnswer // for crossed answers
	stats    TargetStats

	boots       int
	bootID      string
	booted      time.Time
	told        time.Time // when a client could first see this boot; zero if not yet
	sinceBoot   uint64    // requests completed in this boot
	warm        bool
	life        context.Context // ends when the target stops
	stop        context.CancelCauseFunc
	draining    bool
	refuseAfter time.Time

	health   targetapi.TargetHealth // as the endpoint last told it
	healthAt time.Time

	listener net.Listener
	held     *heldPort
	server   *http.Server
	closed   bool
}

// newTarget opens a target's listener and serves it.
func newTarget(layout TargetLayout, search SearchLayout, c *corpus.Corpus, s *Standin) (*Target, error) {
	t := &Target{
		layout: layout, search: search, corpus: c, ledger: s.ledger, distance: s.distance,
		gate: newGate(),
		rng:  rand.New(rand.NewPCG(s.options.Seed, xxhash.Sum64String(layout.Name))),
		settings: targetSettings{
			service:   s.options.ServiceTime,
			warmAfter: s.options.WarmAfter,
			warmTime:  Duration(DefaultWarmTime),
		},
		versions: make(map[string]map[string][]corpus.Entry),
		inflight: make(map[string]context.CancelCauseFunc),
		conns:    make(map[*targetConn]struct{}),
	}
	if err := t.load(FirstVersion); err != nil {
		return nil, err
	}
	t.boot()
	t.told = t.booted
	t.warm = s.options.Warm
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s", layout.Name)
	}
	t.layout.Address = listener.Addr().String()
	t.serveOn(listener)
	return t, nil
}

// boot starts a new, cold boot. The caller holds the lock.
func (t *Target) boot() {
	t.boots++
	t.bootID = fmt.Sprintf("%s-%d-%08x", t.layout.Name, t.boots, t.rng.Uint32())
	t.booted = time.Now()
	t.told = time.Time{}
	t.sinceBoot = 0
	t.warm = false
	if t.life == nil || t.life.Err() != nil {
		t.life, t.stop = context.WithCancelCause(context.Background())
	}
}

// load makes an index version available. The caller holds the lock.
func (t *Target) load(version string) error {
	i := slices.IndexFunc(t.search.Versions, func(v VersionLayout) bool { return v.Name == version })
	if i < 0 {
		return errors.NotFoundf("version %q of search %q", version, t.search.Name)
	}
	names := t.search.Versions[i].ShardNames()
	shards := make(map[string][]corpus.Entry)
	for _, s := range t.search.Versions[i].Shards {
		if slices.Contains(s.Targets, t.layout.Name) {
			shards[s.Name] = t.corpus.Shard(version, names, s.Name)
		}
	}
	t.versions[version] = shards
	return nil
}

// drain starts or ends draining. The caller holds the lock.
func (t *Target) drain(on bool, after time.Duration) {
	t.draining = on
	t.refuseAfter = time.Now().Add(after)
}

// bears returns the number of requests that the target bears at once now.
// The caller holds the lock.
func (t *Target) bears() int {
	gained := 0
	if t.settings.warmAfter > 0 {
		gained = int(t.sinceBoot) / t.settings.warmAfter
	}
	bears := t.layout.ColdSlots + gained
	if bears >= t.layout.Slots || time.Since(t.booted) >= t.settings.warmTime.Std() {
		t.warm = true
	}
	if t.warm {
		return t.layout.Slots
	}
	return bears
}

// silence makes a share of the open connections silent. The caller holds the lock.
func (t *Target) silence(share float64) {
	conns := make([]*targetConn, 0, len(t.conns))
	for c := range t.conns {
		if !c.silent.Load() {
			conns = append(conns, c)
		}
	}
	slices.SortFunc(conns, func(a, b *targetConn) int { return a.accepted.Compare(b.accepted) })
	t.rng.Shuffle(len(conns), func(i, j int) { conns[i], conns[j] = conns[j], conns[i] })
	for _, c := range conns[:int(share*float64(len(conns))+0.5)] {
		c.silent.Store(true)
	}
}

// fall resets all connections, and starts a new boot after a moment. The
// caller holds the lock.
func (t *Target) fall() {
	t.stopListening()
	time.AfterFunc(fallTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if err := t.listenAgain(); err != nil {
			log.Printf("target %s can't listen again: %v", t.layout.Name, err)
		}
	})
}

// stopListening ends all work, resets all connections and refuses new ones.
// The caller holds the lock.
func (t *Target) stopListening() {
	if t.listener == nil {
		return
	}
	address := t.listener.Addr().(*net.TCPAddr)
	_ = t.listener.Close()
	t.listener = nil
	if held, err := holdPort(address); err == nil {
		t.held = held
	}
	t.stop(errStopped)
	for c := range t.conns {
		if !c.silent.Load() {
			reset(c.Conn)
		}
	}
	clear(t.conns)
	t.stats.Connections = 0
	go t.server.Close()
}

// listenAgain starts a new boot on the target's old address. The caller holds the lock.
func (t *Target) listenAgain() error {
	if t.listener != nil || t.closed {
		return nil
	}
	listener, err := t.reopen()
	if err != nil {
		return err
	}
	t.boot()
	t.told = t.booted // the connections were reset
	t.serveOn(listener)
	return nil
}

func (t *Target) reopen() (net.Listener, error) {
	if t.held == nil {
		listener, err := net.Listen("tcp", t.layout.Address)
		return listener, errors.Trace(err)
	}
	held := t.held
	t.held = nil
	return held.listen()
}

func (t *Target) serveOn(listener net.Listener) {
	t.listener = listener
	server := &http.Server{
		Handler:     t.handler(),
		IdleTimeout: idleTimeout,
		ErrorLog:    log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	t.server = server
	go server.Serve(&targetListener{Listener: listener, t: t})
}

// close stops the target for good.
func (t *Target) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.gate.set(true)
	t.stopListening()
	if t.held != nil {
		t.held.close()
	}
}

// admitConn registers a new connection, unless the target has too many.
func (t *Target) admitConn(raw net.Conn) (*targetConn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener == nil {
		return nil, false
	}
	if len(t.conns) >= t.layout.Connections {
		t.stats.ConnectionBreaches++
		return nil, false
	}
	c := &targetConn{Conn: raw, t: t, accepted: time.Now()}
	t.conns[c] = struct{}{}
	t.stats.AcceptedTotal++
	t.stats.Connections = len(t.conns)
	t.stats.PeakConnections = max(t.stats.PeakConnections, len(t.conns))
	return c, true
}

func (t *Target) dropConn(c *targetConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.stats.Connections = len(t.conns)
}

// snapshot returns the target's counters.
func (t *Target) snapshot() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bears()
	s := t.stats
	s.Target, s.Search, s.DataCentre = t.layout.Name, t.layout.Search, t.layout.DataCentre
	s.Boot, s.Warm = t.bootID, t.warm
	return s
}

// tellHealth returns what the health endpoint claims.
func (t *Target) tellHealth() targetapi.TargetHealth {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.healthAt.IsZero() || time.Since(t.healthAt) >= t.settings.healthLag.Std() {
		t.bears()
		t.healthAt = time.Now()
		t.health = targetapi.TargetHealth{
			BootID: t.bootID, Warm: t.warm, Draining: t.draining,
			Running: t.stats.Running, Slots: t.layout.Slots,
		}
		for version := range t.versions {
			t.health.Versions = append(t.health.Versions, version)
		}
		slices.Sort(t.health.Versions)
	}
	health := t.health
	health.Warm = health.Warm || t.settings.claimWarm
	return health
}
