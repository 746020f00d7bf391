package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platform/platformtest"
)

// Options configures a run.
type Options struct {
	// Program is the path of the program of an entry process.
	Program string
	Seed    uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// VMs and Shards are the numbers of processes and of shards; Callers send
	// requests at the same time.
	VMs, Shards, Callers int
	// Out takes the summary and the faults as they are injected.
	Out io.Writer
}

// Report is the outcome of a run.
type Report struct {
	Violations []string
	Counts     map[string]int
	Faults     map[string]int
}

// Timings of a run.
const (
	warmup      = 3 * time.Second
	recovery    = 8 * time.Second
	finalAsks   = 100
	leastServed = 0.95 // of the requests after the recovery
)

// Run plays one seed.
func Run(o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "gcmux-soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s, err := newSite(&o, dir)
	if err != nil {
		return nil, err
	}
	defer s.close()
	c := newChecker(s)
	time.Sleep(warmup)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { c.call(o.Seed, n, stop) })
	}
	f := &faults{site: s, checker: c, rng: rand.New(rand.NewPCG(o.Seed, 1)), out: o.Out, counts: map[string]int{}}
	f.inject(o.FaultDuration)
	time.Sleep(recovery)
	f.checkCalm()
	close(stop)
	callers.Wait()
	c.checkRecovery()
	c.checkRuns()
	return &Report{Violations: c.breaches, Counts: c.counts, Faults: f.counts}, nil
}

// call sends requests until stop, over connections that are kept.
func (c *checker) call(seed uint64, n int, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(n)+100))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}, Timeout: 3 * time.Second}
	kinds := []string{"all", "all", "once", "probe"}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+rng.IntN(40)) * time.Millisecond):
		}
		c.ask(client, c.site.vms[rng.IntN(len(c.site.vms))], kinds[rng.IntN(len(kinds))], fmt.Sprintf("c%d-%d", n, i))
	}
}

// checkRecovery checks that requests are served once all harm is over.
func (c *checker) checkRecovery() {
	client := &http.Client{Timeout: 3 * time.Second}
	served := 0
	for i := range finalAsks {
		if c.ask(client, c.site.vms[i%len(c.site.vms)], "all", fmt.Sprint("final-", i)) == http.StatusOK {
			served++
		}
	}
	if float64(served) < leastServed*finalAsks {
		c.breach("%d of %d requests served after the recovery", served, finalAsks)
	}
}

// faults injects faults at random, in series and overlapping.
type faults struct {
	site    *site
	checker *checker
	rng     *rand.Rand
	out     io.Writer
	running sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
	busy   map[string]bool // VMs that are being stopped or started
}

// inject injects faults for a while, ends them, and waits.
func (f *faults) inject(length time.Duration) {
	f.busy = map[string]bool{}
	kinds := []struct {
		name string
		run  func(v *vm, t *target, span time.Duration)
	}{
		{"VM paused", f.pause},
		{"VM killed", func(v *vm, _ *target, _ time.Duration) { f.restart(v, syscall.SIGKILL) }},
		{"VM stopped", func(v *vm, _ *target, _ time.Duration) { f.restart(v, syscall.SIGTERM) }},
		{"settings changed", f.reload},
		{"store harmed for a VM", func(v *vm, _ *target, span time.Duration) { f.harm(v.store, span) }},
		{"store harmed for all", f.storeAway},
		{"target harmed", func(_ *vm, t *target, span time.Duration) { f.harm(t.proxy, span) }},
		{"target harmed", func(_ *vm, t *target, span time.Duration) { f.harm(t.proxy, span) }},
		{"answers lost", f.lose},
		{"answers lost", f.lose},
		{"shard lost", f.loseShard},
		{"version published", func(*vm, *target, time.Duration) { f.site.configure() }},
		{"history dropped", func(*vm, *target, time.Duration) { f.site.store.Compact() }},
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		k := kinds[f.rng.IntN(len(kinds))]
		v := f.site.vms[f.rng.IntN(len(f.site.vms))]
		t := f.site.targets[f.rng.IntN(len(f.site.targets))]
		span := time.Duration(200+f.rng.IntN(1800)) * time.Millisecond
		pause := time.Duration(50+f.rng.IntN(700)) * time.Millisecond
		f.mu.Lock()
		f.counts[k.name]++
		f.mu.Unlock()
		fmt.Fprintf(f.out, "%s: %s %s %v\n", k.name, v.name, t.ID, span)
		f.running.Go(func() { k.run(v, t, span) })
		time.Sleep(pause)
	}
	f.running.Wait()
}

// own reserves a VM for one fault of its process at a time.
func (f *faults) own(v *vm) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[v.name] {
		return false
	}
	f.busy[v.name] = true
	return true
}

func (f *faults) free(v *vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, v.name)
}

func (f *faults) pause(v *vm, _ *target, span time.Duration) {
	if !f.own(v) {
		return
	}
	defer f.free(v)
	v.touch(true)
	v.signal(syscall.SIGSTOP)
	time.Sleep(span)
	v.signal(syscall.SIGCONT)
	v.touch(false)
}

func (f *faults) restart(v *vm, sig syscall.Signal) {
	if !f.own(v) {
		return
	}
	defer f.free(v)
	if err := v.restart(sig); err != nil {
		f.checker.breach("%s did not stop and start: %v", v.name, err)
	}
}

func (f *faults) reload(v *vm, _ *target, _ time.Duration) {
	if !f.own(v) {
		return
	}
	defer f.free(v)
	if err := v.write([]string{v.peers, "127.0.0.1:1"}); err != nil {
		f.checker.breach("settings of %s: %v", v.name, err)
	}
	v.signal(syscall.SIGHUP)
}

func (f *faults) harm(p *Proxy, span time.Duration) {
	p.SetFault([]Fault{Delay, Reset, DropToServer, DropToClient, StallOpen}[int(span)%5])
	time.Sleep(span)
	p.SetFault(NoFault)
}

func (f *faults) storeAway(_ *vm, _ *target, span time.Duration) {
	for _, v := range f.site.vms {
		f.running.Go(func() { f.harm(v.store, span) })
	}
}

// lose makes a target run requests without an answer for a while; half of the
// time one whose requests must not run twice.
func (f *faults) lose(_ *vm, t *target, span time.Duration) {
	if span%2 == 0 {
		t = f.site.byID["single-a"]
	}
	t.SetLossRate(lossShare)
	time.Sleep(span)
	t.SetLossRate(0)
}

// loseShard cuts both targets of a shard off.
func (f *faults) loseShard(_ *vm, t *target, span time.Duration) {
	for _, other := range f.site.targets {
		if other.Service == t.Service {
			f.running.Go(func() {
				other.proxy.SetFault(Reset)
				time.Sleep(span)
				other.proxy.SetFault(NoFault)
			})
		}
	}
}

// lossShare is the share of answers that a target loses.
const lossShare = 0.3

// checkCalm checks what has bounds in time only while nothing is harmed: a target
// that leaves, and a version that is published after the history was dropped.
func (f *faults) checkCalm() {
	t := f.site.byID["single-b"]
	f.site.publish(t, platformtest.Draining)
	since := time.Now()
	f.site.store.Compact()
	f.site.configure()
	time.Sleep(drainUse + 2*time.Second)
	f.checker.checkDrained(t, since)
	f.site.publish(t, platformtest.Ready)
}
