package soak

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platform/platformtest"
	"github.com/goldcrestmux/goldcrestmux/proc"
)

// Sizes of a site.
const (
	recordBytes      = 16
	recordsPerTarget = 6
	topRecords       = 10
	minShare         = 0.75
	stopBound        = 3 // seconds
)

// vm is one process of the system with what stands between it and the store.
type vm struct {
	name    string
	store   *Proxy
	caller  string // address
	ready   string
	peers   string
	path    string // of the settings
	program string

	mu      sync.Mutex
	process *proc.Process
	// harmed is when the process was last killed, paused or started.
	harmed time.Time
	starts int
	paused bool
}

// target is one stand-in target behind a proxy.
type target struct {
	*platformtest.Target
	proxy *Proxy
}

// site is all that a run consists of.
type site struct {
	store    *platformtest.Store
	vms      []*vm
	targets  []*target
	byID     map[string]*target
	shards   []string
	version  int
	probes   map[int]time.Time // when each version was published
	probesMu sync.Mutex
}

// records returns the records of a shard; all its targets answer alike.
func records(shard int) [][]byte {
	out := make([][]byte, recordsPerTarget)
	for i := range out {
		out[i] = make([]byte, recordBytes)
		binary.BigEndian.PutUint64(out[i], uint64(shard*7919+i*104729)*2654435761)
		out[i][15] = byte(shard)
	}
	return out
}

func newSite(o *Options, dir string) (*site, error) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store.PageSize = 20
	s := &site{store: store, byID: map[string]*target{}, probes: map[int]time.Time{}}
	services := []string{"single", "probe0", "probe1"}
	for i := range o.Shards {
		s.shards = append(s.shards, fmt.Sprint("shard", i))
	}
	for n, service := range append(services, s.shards...) {
		for _, copyName := range []string{"a", "b"} {
			t, err := platformtest.NewTarget("127.0.0.1:0", service, service+"-"+copyName)
			if err != nil {
				return nil, err
			}
			t.SetServiceTime(5 * time.Millisecond)
			if n >= len(services) {
				t.SetRecords(records(n - len(services))...)
			}
			proxy, err := NewProxy(t.Address())
			if err != nil {
				return nil, err
			}
			st := &target{Target: t, proxy: proxy}
			s.targets = append(s.targets, st)
			s.byID[t.ID] = st
			s.publish(st, platformtest.Ready)
		}
	}
	s.configure()
	return s, s.addVMs(o, dir)
}

func (s *site) addVMs(o *Options, dir string) error {
	for i := range o.VMs {
		v := &vm{name: fmt.Sprint("front-", i), program: o.Program, path: filepath.Join(dir, fmt.Sprint("boot", i, ".toml"))}
		var err error
		if v.store, err = NewProxy(s.store.Address()); err != nil {
			return err
		}
		for _, a := range []*string{&v.caller, &v.ready, &v.peers} {
			if *a, err = platformtest.FreeAddress(); err != nil {
				return err
			}
		}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		if err := v.write([]string{s.vms[0].peers, s.vms[1].peers}); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// publish writes a target's entry. The address is the proxy's.
func (s *site) publish(t *target, state string) {
	entry := t.Entry("dc1", state)
	entry["address"] = t.proxy.Address()
	s.store.Put(t.Key(), entry)
}

// configure publishes the next version. Its probe route moves between services.
func (s *site) configure() {
	s.probesMu.Lock()
	defer s.probesMu.Unlock()
	s.version++
	s.probes[s.version] = time.Now()
	route := func(prefix string) platformtest.Route {
		return platformtest.Route{Prefix: prefix, Timeout: 2 * time.Second, LatencyObjective: 300 * time.Millisecond}
	}
	all, once, probe := route("/all/"), route("/once/"), route("/probe/")
	all.Shards, all.TopK, all.MinShardFraction = s.shards, topRecords, minShare
	once.Service, once.NonIdempotent = "single", true
	probe.Service = fmt.Sprint("probe", s.version%2)
	var services []string
	for _, t := range s.targets {
		if strings.HasSuffix(t.ID, "-a") {
			services = append(services, t.Service)
		}
	}
	s.store.Put(platformtest.KeyConfig, platformtest.Config(s.version, []platformtest.Route{all, once, probe}, services, 64<<10))
}

// write writes the settings of a VM.
func (v *vm) write(seeds []string) error {
	settings := platformtest.Settings{
		Name: v.name, DataCentre: "dc1", Seeds: seeds, CallerAddress: v.caller, ReadyAddress: v.ready, PeerAddress: v.peers,
		StoreAddress: v.store.Address(), GraceSecs: stopBound, ConfigApplyMs: int(apply.Milliseconds()),
		DrainMs: int(drainUse.Milliseconds()), RetrySlack: 200, RetryRatio: 0.2, CPUFraction: 0.5, MemoryMB: 256,
	}
	return os.WriteFile(v.path, []byte(settings.TOML()), 0o600)
}

func (v *vm) start() error {
	p, err := proc.Start(v.name, v.program, []string{"-settings", v.path, "-log-level", "warn"})
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process, v.harmed, v.paused = p, time.Now(), false
	v.starts++
	return nil
}

// touch records that the process is harmed now.
func (v *vm) touch(paused bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.harmed, v.paused = time.Now(), paused
}

// signal sends a signal to the process, if it runs.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	p := v.process
	v.mu.Unlock()
	if p.Running() {
		_ = p.Signal(sig) // it may have ended in between
	}
}

// restart ends the process by a signal and starts it again.
func (v *vm) restart(sig syscall.Signal) error {
	v.mu.Lock()
	p := v.process
	if sig != syscall.SIGTERM {
		v.harmed = time.Now()
	}
	v.mu.Unlock()
	if sig == syscall.SIGKILL {
		p.Kill()
	} else if _, err := p.Terminate((stopBound + 2) * time.Second); err != nil {
		p.Kill()
		return err
	}
	return v.start()
}

// calm reports whether the process, and its way to the store, were unharmed for a while.
func (v *vm) calm(span time.Duration) bool {
	v.mu.Lock()
	ok := !v.paused && time.Since(v.harmed) > span
	v.mu.Unlock()
	return ok && v.store.FaultFreeFor(span)
}

// incarnation counts the starts of the process.
func (v *vm) incarnation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts
}

func (s *site) close() {
	for _, v := range s.vms {
		v.mu.Lock()
		p := v.process
		v.mu.Unlock()
		_ = p.Signal(syscall.SIGCONT) // it may be paused, or have ended
		p.Kill()
		v.store.Close()
	}
	for _, t := range s.targets {
		t.proxy.Close()
		t.Close()
	}
	s.store.Close()
}
