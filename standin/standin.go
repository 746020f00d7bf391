// Package standin simulates the external systems that gateways and relays use: the
// platform's configuration service, its VM list, in which changes appear after a
// lag, and the targets. Each can be made to fail in the ways that the system must
// tolerate. A ledger of all executions at the targets is the reference against which
// tests check what ran.
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

// loopback is a loopback address with a port that the operating system chooses.
const loopback = "127.0.0.1:0"

// Defaults of a stand-in.
const (
	DefaultNetworkDelay = time.Millisecond     // one way, between two data centres
	DefaultServiceTime  = 2 * time.Millisecond // median service time of a target
)

// Options configures a Standin.
type Options struct {
	// Seed determines the records and all random choices.
	Seed uint64
	// Setups selects the searches, targets and callers; empty means SetupSmall.
	Setups []Setup
	// Records is the number of records of each search; zero means corpus.DefaultRecords.
	Records int
	// ServiceTime is the distribution of the service times of all targets; a zero
	// median means DefaultServiceTime.
	ServiceTime Service
	// WarmAfter is the number of completed requests after which a cold target has
	// one more slot; zero means DefaultWarmAfter.
	WarmAfter int
	// NetworkDelay is the one-way network delay between two data centres; zero
	// means DefaultNetworkDelay, a negative value means none.
	NetworkDelay time.Duration
	// Warm makes the targets warm from the start.
	Warm bool
	// AdminAddress is the address of the admin API; empty means a port on loopback
	// that the operating system chooses.
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

// Standin is a running stand-in. Methods are safe for concurrent use.
type Standin struct {
	options    Options
	layout     Layout
	ledger     *ledger
	config     *configService
	vms        *vmService
	forwarders *forwarders
	targets    []*Target
	admin      net.Listener
	platform   net.Listener
	servers    []*http.Server
}

// New starts a stand-in. It runs until Close.
func New(o Options) (*Standin, error) {
	o.setDefaults()
	layout, err := NewLayout(o.Seed, o.Records, o.Setups...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Standin{options: o, layout: layout, ledger: newLedger(), config: newConfigService()}
	s.forwarders = newForwarders(s.networkDelay)
	s.vms = &vmService{forwarders: s.forwarders, list: platformapi.VMList{VMs: []platformapi.VM{}}}
	if err := s.open(); err != nil {
		s.Close()
		return nil, errors.Trace(err)
	}
	return s, nil
}

// open starts the targets, the platform's services and the admin API.
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
	s.config.replace(FolderFiles(s.layout, s.options.WarmAfter))
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

// PlatformAddress returns the host and port of the configuration service and the VM
// list.
func (s *Standin) PlatformAddress() string { return s.platform.Addr().String() }

// Layout returns the layout with the addresses of the targets.
func (s *Standin) Layout() Layout { return s.layout }

// Close stops all listeners and ends all requests in progress.
func (s *Standin) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.forwarders.close()
	for _, t := range s.targets {
		t.close()
	}
}

// networkDelay returns the one-way network delay between two data centres. It is
// zero if from is unknown.
func (s *Standin) networkDelay(from, to string) time.Duration {
	if from == "" || from == to || s.options.NetworkDelay < 0 {
		return 0
	}
	return s.options.NetworkDelay
}

// summary returns the summary of the ledger, with StartedSince counted from since.
func (s *Standin) summary(since time.Time) Summary {
	sum := Summary{Now: time.Now(), Config: s.config.stats()}
	for _, t := range s.targets {
		stats := t.currentStats()
		sum.Targets = append(sum.Targets, stats)
		sum.Started += stats.Started
		sum.Completed += stats.Completed
		sum.ColdViolations += stats.ColdViolations
		sum.UndetectableColdViolations += stats.UndetectableColdViolations
		sum.SlotViolations += stats.SlotViolations
		sum.ConnectionViolations += stats.ConnectionViolations
		sum.RequestsAfterGracePeriod += stats.RequestsAfterGracePeriod
	}
	s.ledger.fillSummary(&sum, since)
	return sum
}

// change applies a change and returns the number of targets that it selects.
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
