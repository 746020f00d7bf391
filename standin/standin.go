// Package standin plays the outside systems that the query tier meets: the
// platform's configuration service, its lagging list of VMs, and the targets.
// Each can be made to fail in the ways that the tier must survive. A ledger of
// all executions at the targets is the oracle of the tests.
package standin

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"

	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
)

// loopback lets the system choose a port.
const loopback = "127.0.0.1:0"

// Defaults of a stand-in.
const (
	DefaultNetworkDelay = time.Millisecond     // one way between two data centres
	DefaultServiceTime  = 2 * time.Millisecond // median
)

// Options configures a stand-in.
type Options struct {
	// Seed selects the records and all random choices.
	Seed uint64
	// Setups names the sets of targets; none means SetupSmall.
	Setups []Setup
	// Records is the number of records of each search; zero means corpus.DefaultRecords.
	Records int
	// ServiceTime describes the work of all targets; a zero median means DefaultService.
	ServiceTime Service
	// WarmAfter is the number of completed requests after which a cold target
	// bears one more; zero means DefaultWarmAfter.
	WarmAfter int
	// NetworkDelay is the time one way between two data centres; zero means
	// DefaultDistance, below zero none.
	NetworkDelay time.Duration
	// Warm starts the targets warm.
	Warm bool
	// AdminAddress is where the admin API listens; empty lets the system
	// choose a port on loopback.
	AdminAddress string
}

func (o *Options) setDefaults() {
	o.Records = cmp.Or(o.Records, corpus.DefaultRecords)
	o.ServiceTime.Median = cmp.Or(o.ServiceTime.Median, Duration(DefaultServiceTime))
	o.WarmAfter = cmp.Or(o.WarmAfter, DefaultWarmAfter)
	o.NetworkDelay = cmp.Or(o.NetworkDelay, DefaultNetworkDelay)
	o.AdminAddress = cmp.Or(o.AdminAddress, loopback)
	if len(o.Setups) == 0 {
		o.Setups = []Setup{SetupSmall}
	}
}

// Standin is a running stand-in. It is safe for concurrent use.
type Standin struct {
	options  Options
	layout   Layout
	ledger   *ledger
	config   *configService
	vms      *vmService
	cables   *cables
	targets  []*Target
	admin    net.Listener
	platform net.Listener
	servers  []*http.Server
}

// New opens the listeners and serves them. Close stops it.
func New(o Options) (*Standin, error) {
	o.setDefaults()
	layout, err := NewLayout(o.Seed, o.Records, o.Setups...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Standin{options: o, layout: layout, ledger: newLedger(), config: newConfigService()}
	s.cables = newCables(s.distance)
	s.vms = &vmService{cables: s.cables, list: platformapi.VMList{VMs: []platformapi.VM{}}}
	if err := s.open(); err != nil {
		s.Close()
		return nil, errors.Trace(err)
	}
	return s, nil
}

func (s *Standin) open() error {
	for i, layout := range s.layout.Targets {
		search, _ := s.layout.search(layout.Search)
		c := corpus.New(corpus.Options{Seed: s.options.Seed, Search: search.Name, Kind: search.Kind, Records: s.options.Records})
		if i > 0 && s.layout.Targets[i-1].Search == layout.Search {
			c = s.targets[i-1].corpus
		}
		t, err := newTarget(layout, search, c, s)
		if err != nil {
			return err
		}
		s.targets = append(s.targets, t)
		s.layout.Targets[i].Address = t.layout.Address
	}
	s.config.set(FolderFiles(s.layout, s.options.WarmAfter))
	var err error
	if s.platform, err = s.serve(loopback, s.platformHandler()); err != nil {
		return err
	}
	s.admin, err = s.serve(s.options.AdminAddress, s.adminHandler())
	return err
}

func (s *Standin) platformHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(platformapi.PathVMs), s.vms.serve)
	mux.Handle(pat.New("/*"), s.config.handler())
	return mux
}

func (s *Standin) serve(address string, handler http.Handler) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go server.Serve(listener)
	return listener, nil
}

// AdminAddress returns the host and port of the admin API.
func (s *Standin) AdminAddress() string { return s.admin.Addr().String() }

// PlatformAddress returns the host and port of the configuration service and
// of the list of VMs.
func (s *Standin) PlatformAddress() string { return s.platform.Addr().String() }

// Layout returns what the stand-in serves.
func (s *Standin) Layout() Layout { return s.layout }

// Close stops all listeners and work.
func (s *Standin) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.cables.close()
	for _, t := range s.targets {
		t.close()
	}
}

// distance returns the time one way between two data centres. An unknown
// data centre is at no distance.
func (s *Standin) distance(from, to string) time.Duration {
	if from == "" || from == to || s.options.NetworkDelay < 0 {
		return 0
	}
	return s.options.NetworkDelay
}

// summary returns the ledger in short.
func (s *Standin) summary(since time.Time) Summary {
	sum := Summary{Now: time.Now(), Config: s.config.stats()}
	for _, t := range s.targets {
		stats := t.snapshot()
		sum.Targets = append(sum.Targets, stats)
		sum.Started += stats.Started
		sum.Completed += stats.Completed
		sum.ColdBreaches += stats.ColdBreaches
		sum.UnavoidableColdBreaches += stats.UnavoidableColdBreaches
		sum.SlotBreaches += stats.SlotBreaches
		sum.ConnectionBreaches += stats.ConnectionBreaches
		sum.AfterDrainGracePeriod += stats.AfterDrainGracePeriod
	}
	s.ledger.summarise(&sum, since)
	return sum
}

// change applies a change and returns the number of targets that it selected.
func (s *Standin) change(c *TargetChange) (int, error) {
	changed := 0
	for _, t := range s.targets {
		if !c.selects(t.layout) {
			continue
		}
		changed++
		if err := t.apply(c); err != nil {
			return changed, errors.Trace(err)
		}
	}
	for _, name := range c.Targets {
		if !slices.ContainsFunc(s.targets, func(t *Target) bool { return t.layout.Name == name }) {
			return changed, errors.NotFoundf("target %q", name)
		}
	}
	return changed, nil
}
