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
	DefaultWarmAfter = 20                     // completed requests per additional slot
	DefaultWarmTime  = 10 * time.Minute       // after a boot
	restartDelay     = 200 * time.Millisecond // between a crash and the next boot
	idleTimeout      = 2 * time.Minute        // of a connection

	// coldGracePeriod is the time from the first evidence of a new boot until all
	// gateways and relays must respect the limit of a cold target.
	coldGracePeriod = 50 * time.Millisecond
)

var (
	errCanceled      = errors.New("canceled by the client")
	errTargetStopped = errors.New("target stopped")
)

// targetSettings holds the settings that a TargetChange can change.
type targetSettings struct {
	serviceTime            Service
	faults                 AnswerFaults
	claimWarm              bool
	healthLag              Duration
	crashText              string
	partitionedDataCentres []string
	cutVMs, resetVMs       []string
	warmAfter              int
	warmTime               Duration
}

// Target is one stand-in target. Methods are safe for concurrent use.
type Target struct {
	layout       TargetLayout
	search       SearchLayout
	corpus       *corpus.Corpus
	ledger       *ledger
	networkDelay func(from, to string) time.Duration
	gate         *gate

	mu           sync.Mutex
	rng          *rand.Rand
	settings     targetSettings
	versions     map[string]map[string][]corpus.Entry // by version and shard
	inProgress   map[string]context.CancelCauseFunc   // by request ID
	conns        map[*targetConn]struct{}
	lastResponse *targetapi.TargetAnswer // for mismatched responses
	stats        TargetStats

	boots              int
	bootID             string
	bootTime           time.Time
	bootAnnounced      time.Time // when clients could first know this boot; zero if they cannot yet
	completedSinceBoot uint64    // requests
	warm               bool
	ctx                context.Context // ends when the target stops
	stop               context.CancelCauseFunc
	draining           bool
	refuseAfter        time.Time

	health     targetapi.TargetHealth // last report of the health endpoint
	healthTime time.Time

	listener net.Listener
	reserved *reservedPort // keeps the port while the target is down; nil otherwise
	server   *http.Server
	closed   bool
}

// newTarget starts a target.
func newTarget(layout TargetLayout, search SearchLayout, c *corpus.Corpus, s *Standin) (*Target, error) {
	t := &Target{
		layout: layout, search: search, corpus: c, ledger: s.ledger, networkDelay: s.networkDelay,
		gate: newGate(),
		rng:  rand.New(rand.NewPCG(s.options.Seed, xxhash.Sum64String(layout.Name))),
		settings: targetSettings{
			serviceTime: s.options.ServiceTime,
			warmAfter:   s.options.WarmAfter,
			warmTime:    Duration(DefaultWarmTime),
		},
		versions:   make(map[string]map[string][]corpus.Entry),
		inProgress: make(map[string]context.CancelCauseFunc),
		conns:      make(map[*targetConn]struct{}),
	}
	if err := t.load(FirstVersion); err != nil {
		return nil, err
	}
	t.boot()
	t.bootAnnounced = t.bootTime
	t.warm = s.options.Warm
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s", layout.Name)
	}
	t.layout.Address = listener.Addr().String()
	t.serveOn(listener)
	return t, nil
}

// boot starts a new, cold boot. t.mu must be held.
func (t *Target) boot() {
	t.boots++
	t.bootID = fmt.Sprintf("%s-%d-%08x", t.layout.Name, t.boots, t.rng.Uint32())
	t.bootTime = time.Now()
	t.bootAnnounced = time.Time{}
	t.completedSinceBoot = 0
	t.warm = false
	if t.ctx == nil || t.ctx.Err() != nil {
		t.ctx, t.stop = context.WithCancelCause(context.Background())
	}
}

// load makes an index version available. t.mu must be held.
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

// drain starts or ends draining. t.mu must be held.
func (t *Target) drain(draining bool, gracePeriod time.Duration) {
	t.draining = draining
	t.refuseAfter = time.Now().Add(gracePeriod)
}

// capacity returns the number of requests that the target can run at a time now. It
// sets t.warm when the target has warmed up. t.mu must be held.
func (t *Target) capacity() int {
	added := 0
	if t.settings.warmAfter > 0 {
		added = int(t.completedSinceBoot) / t.settings.warmAfter
	}
	capacity := t.layout.ColdSlots + added
	if capacity >= t.layout.Slots || time.Since(t.bootTime) >= t.settings.warmTime.Std() {
		t.warm = true
	}
	if t.warm {
		return t.layout.Slots
	}
	return capacity
}

// silenceConns makes a fraction of the open connections silent. t.mu must be held.
func (t *Target) silenceConns(fraction float64) {
	conns := make([]*targetConn, 0, len(t.conns))
	for c := range t.conns {
		if !c.silent.Load() {
			conns = append(conns, c)
		}
	}
	slices.SortFunc(conns, func(a, b *targetConn) int { return a.accepted.Compare(b.accepted) })
	t.rng.Shuffle(len(conns), func(i, j int) { conns[i], conns[j] = conns[j], conns[i] })
	for _, c := range conns[:int(fraction*float64(len(conns))+0.5)] {
		c.silent.Store(true)
	}
}

// crash stops the target and restarts it after restartDelay. t.mu must be held.
func (t *Target) crash() {
	t.stopListening()
	time.AfterFunc(restartDelay, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if err := t.restart(); err != nil {
			log.Printf("stand-in: target %s failed to restart and stays down: %v", t.layout.Name, err)
		}
	})
}

// crashOn crashes the target if it is configured to crash on the query. It reports whether
// it did.
func (t *Target) crashOn(q *targetapi.Query) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.settings.crashText == "" || q.Text != t.settings.crashText {
		return false
	}
	if t.listener != nil {
		t.ledger.countCrash()
		t.crash()
	}
	return true
}

// stopListening ends all requests in progress, resets all connections and refuses
// new ones. t.mu must be held.
func (t *Target) stopListening() {
	if t.listener == nil {
		return
	}
	address := t.listener.Addr().(*net.TCPAddr)
	_ = t.listener.Close()
	t.listener = nil
	if port, err := reservePort(address); err == nil {
		t.reserved = port
	}
	t.stop(errTargetStopped)
	for c := range t.conns {
		if !c.silent.Load() {
			reset(c.Conn)
		}
	}
	clear(t.conns)
	t.stats.Connections = 0
	go t.server.Close()
}

// restart starts a new boot on the target's address, unless the target is listening
// or closed. t.mu must be held.
func (t *Target) restart() error {
	if t.listener != nil || t.closed {
		return nil
	}
	listener, err := t.reopen()
	if err != nil {
		return err
	}
	t.boot()
	t.bootAnnounced = t.bootTime // clients know from the reset connections
	t.serveOn(listener)
	return nil
}

// reopen returns a listener on the target's address.
func (t *Target) reopen() (net.Listener, error) {
	if t.reserved == nil {
		listener, err := net.Listen("tcp", t.layout.Address)
		return listener, errors.Trace(err)
	}
	port := t.reserved
	t.reserved = nil
	return port.listen()
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

// close stops the target permanently.
func (t *Target) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.gate.set(true)
	t.stopListening()
	if t.reserved != nil {
		t.reserved.close()
	}
}

// addConn registers a new connection. It reports false if the target has reached its
// limit or is not listening.
func (t *Target) addConn(raw net.Conn) (*targetConn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener == nil {
		return nil, false
	}
	if len(t.conns) >= t.layout.Connections {
		t.stats.ConnectionViolations++
		return nil, false
	}
	c := &targetConn{Conn: raw, t: t, accepted: time.Now()}
	t.conns[c] = struct{}{}
	t.stats.AcceptedTotal++
	t.stats.Connections = len(t.conns)
	t.stats.PeakConnections = max(t.stats.PeakConnections, len(t.conns))
	return c, true
}

func (t *Target) removeConn(c *targetConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.stats.Connections = len(t.conns)
}

// currentStats returns the target's counters and state.
func (t *Target) currentStats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity()
	s := t.stats
	s.Target, s.Search, s.DataCentre = t.layout.Name, t.layout.Search, t.layout.DataCentre
	s.Boot, s.Warm = t.bootID, t.warm
	return s
}

// reportedHealth returns what the health endpoint reports: the state of up to
// healthLag ago.
func (t *Target) reportedHealth() targetapi.TargetHealth {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.healthTime.IsZero() || time.Since(t.healthTime) >= t.settings.healthLag.Std() {
		t.capacity()
		t.healthTime = time.Now()
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
