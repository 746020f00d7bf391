package soak

import (
	"cmp"
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

// Sizes and limits of a testbed.
const (
	recordBytes      = 16
	recordsPerShard  = 6
	topK             = 10
	minShardFraction = 0.75
	stopTimeoutSecs  = 3
	serviceTime      = 5 * time.Millisecond
	probeMaxAttempts = 1 // of the targets of one service
	// One of largeEvery VMs is large: in a large fleet it gathers for small ones.
	largeEvery   = 8
	largeVMShare = 0.8
	smallVMShare = 0.2
	retryRatio   = 0.2
)

// retrySlack returns the slack of the retry budget for a number of VMs. It is small, so
// that the budget binds.
func retrySlack(vms int) int { return 12 + 2*vms }

// vm is an entry process with its proxy to the store.
type vm struct {
	name          string
	storeProxy    *Proxy
	callerAddress string
	readyAddress  string
	peerAddress   string
	settingsPath  string
	// program is the executable of the next start, upgrade that of the starts after it.
	program, upgrade string
	retrySlack       int
	graceSecs        int
	cpuShare         float64

	mu      sync.Mutex
	process *proc.Process
	// lastFault is when the process was last killed, paused, resumed or started.
	lastFault time.Time
	starts    int
	paused    bool
}

// target is one stand-in target behind a proxy.
type target struct {
	*platformtest.Target
	proxy *Proxy
}

// testbed holds the processes and stand-ins of a run.
type testbed struct {
	store       *platformtest.Store
	vms         []*vm
	targets     []*target
	byID        map[string]*target
	shards      []string
	version     int
	publishedAt map[int]time.Time // by version
	versionMu   sync.Mutex        // guards version and publishedAt
}

// records returns the records of a shard. All its targets return the same ones.
func records(shard int) [][]byte {
	out := make([][]byte, recordsPerShard)
	for i := range out {
		out[i] = make([]byte, recordBytes)
		binary.BigEndian.PutUint64(out[i], uint64(shard*7919+i*104729)*2654435761)
		out[i][15] = byte(shard)
	}
	return out
}

func newTestbed(o *Options, dir string) (*testbed, error) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store.PageSize = 20
	store.SetEra(1)
	b := &testbed{store: store, byID: map[string]*target{}, publishedAt: map[int]time.Time{}}
	services := []string{"single", "probe0", "probe1"}
	for i := range o.Shards {
		b.shards = append(b.shards, fmt.Sprint("shard", i))
	}
	for n, service := range append(services, b.shards...) {
		for _, replica := range []string{"a", "b"} {
			t, err := platformtest.NewTarget("127.0.0.1:0", service, service+"-"+replica)
			if err != nil {
				return nil, err
			}
			t.SetServiceTime(serviceTime)
			if n >= len(services) {
				t.SetRecords(records(n - len(services))...)
			}
			proxy, err := NewProxy(t.Address())
			if err != nil {
				return nil, err
			}
			proxied := &target{Target: t, proxy: proxy}
			b.targets = append(b.targets, proxied)
			b.byID[t.ID] = proxied
			b.publish(proxied, platformtest.Ready)
		}
	}
	b.configure()
	return b, b.addVMs(o, dir)
}

// addVMs adds the VMs and starts their entry processes.
func (b *testbed) addVMs(o *Options, dir string) error {
	for i := range o.VMs {
		v := &vm{name: fmt.Sprint("front-", i), cpuShare: smallVMShare, program: cmp.Or(o.Former, o.Program), upgrade: o.Program, retrySlack: retrySlack(o.VMs), graceSecs: cmp.Or(o.GraceSecs, stopTimeoutSecs), settingsPath: filepath.Join(dir, fmt.Sprint("boot", i, ".toml"))}
		if i%largeEvery == 0 {
			v.cpuShare = largeVMShare
		}
		var err error
		if v.storeProxy, err = NewProxy(b.store.Address()); err != nil {
			return err
		}
		for _, a := range []*string{&v.callerAddress, &v.readyAddress, &v.peerAddress} {
			if *a, err = platformtest.FreeAddress(); err != nil {
				return err
			}
		}
		b.vms = append(b.vms, v)
	}
	for _, v := range b.vms {
		if err := v.writeSettings(b.seeds()); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// seeds returns the addresses by which the processes find each other.
func (b *testbed) seeds() []string { return []string{b.vms[0].peerAddress, b.vms[1].peerAddress} }

// publish writes the target's entry, with the address of its proxy, to the store.
func (b *testbed) publish(t *target, state string) {
	entry := t.Entry("dc1", state)
	entry["address"] = t.proxy.Address()
	b.store.Put(t.Key(), entry)
}

// configure publishes the next configuration version. The probe route alternates
// between two services, which identifies the version that a probe was served with.
func (b *testbed) configure() {
	b.versionMu.Lock()
	defer b.versionMu.Unlock()
	b.version++
	b.publishedAt[b.version] = time.Now()
	route := func(prefix string) platformtest.Route {
		return platformtest.Route{Prefix: prefix, Timeout: 2 * time.Second, LatencyObjective: 300 * time.Millisecond}
	}
	all, once, probe := route("/all/"), route("/once/"), route("/probe/")
	all.Shards, all.TopK, all.MinShardFraction = b.shards, topK, minShardFraction
	once.Service, once.NonIdempotent = "single", true
	probe.Service, probe.MaxAttempts = fmt.Sprint("probe", b.version%2), probeMaxAttempts
	var services []string
	for _, t := range b.targets {
		if strings.HasSuffix(t.ID, "-a") {
			services = append(services, t.Service)
		}
	}
	b.store.Put(platformtest.KeyConfig, platformtest.Config(b.version, []platformtest.Route{all, once, probe}, services, 64<<10))
}

// writeSettings replaces the settings file of the VM at once: a process that starts meanwhile
// exits if it reads a part of the file.
func (v *vm) writeSettings(seeds []string) error {
	settings := platformtest.Settings{
		Name: v.name, DataCentre: "dc1", Seeds: seeds, CallerAddress: v.callerAddress, ReadyAddress: v.readyAddress, PeerAddress: v.peerAddress,
		StoreAddress: v.storeProxy.Address(), GraceSecs: v.graceSecs, ConfigApplyMs: int(applyTimeout.Milliseconds()),
		DrainMs: int(drainPeriod.Milliseconds()), RetrySlack: v.retrySlack, RetryRatio: retryRatio, CPUFraction: v.cpuShare, MemoryMB: 256,
	}
	next := v.settingsPath + ".next"
	if err := os.WriteFile(next, []byte(settings.TOML()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, v.settingsPath)
}

func (v *vm) start() error {
	p, err := proc.Start(v.name, v.program, []string{"-settings", v.settingsPath, "-log-level", "warn"})
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process, v.lastFault, v.paused = p, time.Now(), false
	v.program = v.upgrade
	v.starts++
	return nil
}

// recordFault records that the process is being paused or resumed now.
func (v *vm) recordFault(paused bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastFault, v.paused = time.Now(), paused
}

// signal sends a signal to the process if it is running.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	p := v.process
	v.mu.Unlock()
	if p.Running() {
		_ = p.Signal(sig) // it may have exited in the meantime
	}
}

// restart ends the process by the signal and starts it again.
func (v *vm) restart(sig syscall.Signal) error {
	v.mu.Lock()
	p := v.process
	if sig != syscall.SIGTERM {
		v.lastFault = time.Now()
	}
	v.mu.Unlock()
	if sig == syscall.SIGKILL {
		p.Kill()
	} else if _, err := p.Terminate(time.Duration(v.graceSecs+2) * time.Second); err != nil {
		p.Kill()
		return err
	}
	return v.start()
}

// faultFreeFor reports whether the process and its connection to the store have had
// no fault for longer than span.
func (v *vm) faultFreeFor(span time.Duration) bool {
	v.mu.Lock()
	ok := !v.paused && time.Since(v.lastFault) > span
	v.mu.Unlock()
	return ok && v.storeProxy.FaultFreeFor(span)
}

// incarnation returns how often the process was started.
func (v *vm) incarnation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts
}

// stoppedProcesses returns a violation for each process that does not run, though each
// one that ended was started again.
func (b *testbed) stoppedProcesses() (violations []string) {
	for _, v := range b.vms {
		v.mu.Lock()
		p := v.process
		v.mu.Unlock()
		if !p.Running() {
			violations = append(violations, fmt.Sprintf("%s does not run; its last lines: %s", v.name, strings.Join(p.Tail(), "; ")))
		}
	}
	return violations
}

func (b *testbed) close() {
	for _, v := range b.vms {
		v.mu.Lock()
		p := v.process
		v.mu.Unlock()
		_ = p.Signal(syscall.SIGCONT) // it may be paused or have exited
		p.Kill()
		v.storeProxy.Close()
	}
	for _, t := range b.targets {
		t.proxy.Close()
		t.Close()
	}
	b.store.Close()
}
