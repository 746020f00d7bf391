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
	// Program is the path of the executable of an entry process.
	Program string
	// Former is the path of the executable of an earlier build that each VM runs until its
	// first restart; empty for none.
	Former string
	// Seed selects the faults and requests.
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// VMs is the number of entry processes, Shards the number of shards with two
	// targets each, and Callers the number of callers that send requests
	// concurrently.
	VMs, Shards, Callers int
	// GraceSecs is the time in seconds that a process has to stop; stopTimeoutSecs if zero.
	GraceSecs int
	// Out receives a line for each fault when it is injected.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Violations []string
	Counts     map[string]int // requests by kind and result
	Faults     map[string]int // injected faults by name
}

// Phases of a run, and the check at its end.
const (
	startupTime        = 3 * time.Second
	recoveryTime       = 8 * time.Second
	finalRequests      = 100
	minSuccessFraction = 0.95 // of the final requests
)

// Run starts the processes and stand-ins, injects the faults that the seed selects,
// and returns the violations of guarantees. It fails if the processes cannot be started.
func Run(o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "gcmux-soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	b, err := newTestbed(&o, dir)
	if err != nil {
		return nil, err
	}
	defer b.close()
	c := newChecker(b)
	c.crashTargets()
	time.Sleep(startupTime)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { c.runCaller(o.Seed, n, stop) })
	}
	inj := &injector{testbed: b, checker: c, rng: rand.New(rand.NewPCG(o.Seed, 1)), out: o.Out, counts: map[string]int{}}
	inj.inject(o.FaultDuration)
	time.Sleep(recoveryTime)
	inj.checkWithoutFaults()
	inj.checkCrashes()
	inj.checkPushback()
	close(stop)
	callers.Wait()
	stopped := b.stoppedProcesses()
	c.checkRecovery()
	c.checkExecutions()
	c.checkBudgets(retrySlack(o.VMs))
	return &Report{Violations: append(stopped, c.violations...), Counts: c.counts, Faults: inj.counts}, nil
}

// runCaller sends requests over persistent connections until stop is closed.
func (c *checker) runCaller(seed uint64, n int, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(n)+100))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}, Timeout: 3 * time.Second}
	kinds := []string{"all", "all", "once", "probe", "popular"}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+rng.IntN(40)) * time.Millisecond):
		}
		c.send(client, c.testbed.vms[rng.IntN(len(c.testbed.vms))], kinds[rng.IntN(len(kinds))], fmt.Sprintf("c%d-%d", n, i))
	}
}

// checkRecovery checks that requests succeed once all faults have ended.
func (c *checker) checkRecovery() {
	client := &http.Client{Timeout: 3 * time.Second}
	succeeded := 0
	for i := range finalRequests {
		if c.send(client, c.testbed.vms[i%len(c.testbed.vms)], "all", fmt.Sprint("final-", i)) == http.StatusOK {
			succeeded++
		}
	}
	if float64(succeeded) < minSuccessFraction*finalRequests {
		c.addViolation("%d of %d requests succeeded after the recovery", succeeded, finalRequests)
	}
}

// injector injects random faults, one after the other and overlapping.
type injector struct {
	testbed *testbed
	checker *checker
	rng     *rand.Rand
	out     io.Writer
	running sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
	// reserved holds the names of the VMs whose process has a fault at present.
	reserved map[string]bool
	// restoring is held during a restoration of the store.
	restoring sync.Mutex
}

// inject starts faults for the given duration and waits until all have ended.
func (inj *injector) inject(duration time.Duration) {
	inj.reserved = map[string]bool{}
	// A kind that is listed twice is injected twice as often.
	kinds := []struct {
		name string
		run  func(v *vm, t *target, span time.Duration)
	}{
		{"process paused", inj.pause},
		{"process killed", func(v *vm, _ *target, _ time.Duration) { inj.restart(v, syscall.SIGKILL) }},
		{"process terminated", func(v *vm, _ *target, _ time.Duration) { inj.restart(v, syscall.SIGTERM) }},
		{"process killed in series", inj.killInSeries},
		{"all processes killed", inj.killAll},
		{"settings reloaded", inj.reload},
		{"store connection fault of one VM", func(v *vm, _ *target, span time.Duration) { inj.injectProxyFault(v.storeProxy, span) }},
		{"store connection fault of all VMs", inj.disruptStore},
		{"target connection fault", func(_ *vm, t *target, span time.Duration) { inj.injectProxyFault(t.proxy, span) }},
		{"target connection fault", func(_ *vm, t *target, span time.Duration) { inj.injectProxyFault(t.proxy, span) }},
		{"responses lost", inj.loseResponses},
		{"responses lost", inj.loseResponses},
		{"requests refused", inj.refuse},
		{"requests refused", inj.refuse},
		{"limit named", inj.limit},
		{"pause asked for", inj.requestPause},
		{"request that crashes targets", inj.crashRequest},
		{"shard disconnected", inj.disconnectShard},
		{"version published", func(*vm, *target, time.Duration) { inj.testbed.configure() }},
		{"store restored from a copy", inj.restoreStore},
		{"store compacted", func(*vm, *target, time.Duration) { inj.testbed.store.Compact() }},
	}
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		k := kinds[inj.rng.IntN(len(kinds))]
		v := inj.testbed.vms[inj.rng.IntN(len(inj.testbed.vms))]
		t := inj.testbed.targets[inj.rng.IntN(len(inj.testbed.targets))]
		span := time.Duration(200+inj.rng.IntN(1800)) * time.Millisecond
		pause := time.Duration(50+inj.rng.IntN(700)) * time.Millisecond
		inj.mu.Lock()
		inj.counts[k.name]++
		inj.mu.Unlock()
		fmt.Fprintf(inj.out, "%s: %s %s %v\n", k.name, v.name, t.ID, span)
		inj.running.Go(func() { k.run(v, t, span) })
		time.Sleep(pause)
	}
	inj.running.Wait()
}

// reserve reserves the VM for one fault of its process. It reports whether the
// VM was not reserved already.
func (inj *injector) reserve(v *vm) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.reserved[v.name] {
		return false
	}
	inj.reserved[v.name] = true
	return true
}

func (inj *injector) release(v *vm) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	delete(inj.reserved, v.name)
}

func (inj *injector) pause(v *vm, _ *target, span time.Duration) {
	if !inj.reserve(v) {
		return
	}
	defer inj.release(v)
	v.recordFault(true)
	v.signal(syscall.SIGSTOP)
	time.Sleep(span)
	v.signal(syscall.SIGCONT)
	v.recordFault(false)
}

func (inj *injector) restart(v *vm, sig syscall.Signal) {
	if !inj.reserve(v) {
		return
	}
	defer inj.release(v)
	if err := v.restart(sig); err != nil {
		inj.checker.addViolation("restart of %s: %v", v.name, err)
	}
}

// killInSeries kills a process again and again, each time soon after its start.
func (inj *injector) killInSeries(v *vm, _ *target, span time.Duration) {
	for range 3 {
		inj.restart(v, syscall.SIGKILL)
		time.Sleep(span / 2)
	}
}

// killAll kills all processes at the same time.
func (inj *injector) killAll(*vm, *target, time.Duration) {
	for _, v := range inj.testbed.vms {
		inj.running.Go(func() { inj.restart(v, syscall.SIGKILL) })
	}
}

// restoreStore takes the store away for a moment and replaces its content by a copy that
// is some time old. What it lost is written again in any order.
func (inj *injector) restoreStore(_ *vm, _ *target, span time.Duration) {
	if !inj.restoring.TryLock() {
		return
	}
	defer inj.restoring.Unlock()
	store := inj.testbed.store
	c := store.Copy()
	time.Sleep(span)
	inj.recordStoreFault()
	store.SetMode([]platformtest.Mode{platformtest.Disconnecting, platformtest.Unresponsive}[int(span)%2])
	rewrites := store.Restore(c)
	time.Sleep(span / 4)
	store.SetMode(platformtest.Serving)
	rand.Shuffle(len(rewrites), func(i, j int) { rewrites[i], rewrites[j] = rewrites[j], rewrites[i] })
	for _, rewrite := range rewrites {
		time.Sleep(rewriteTime / time.Duration(len(rewrites)))
		rewrite()
	}
	inj.recordStoreFault()
}

// recordStoreFault records a fault of the store that concerns all VMs.
func (inj *injector) recordStoreFault() {
	for _, v := range inj.testbed.vms {
		v.mu.Lock()
		v.lastFault = time.Now()
		v.mu.Unlock()
	}
}

// refuse makes the targets of a service, or half of the time all targets, refuse a part
// of their requests for a while, and be slow with the others.
func (inj *injector) refuse(_ *vm, t *target, span time.Duration) {
	for _, other := range inj.testbed.targets {
		if span%2 == 0 && other.Service != t.Service {
			continue
		}
		other.SetServiceTime(slowServiceTime)
		other.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
			return rand.Float64() < refusalRate && platformtest.Refuse(w, r)
		})
		defer func() {
			other.SetHandler(nil)
			other.SetServiceTime(serviceTime)
		}()
	}
	time.Sleep(span)
}

func (inj *injector) reload(v *vm, _ *target, _ time.Duration) {
	if !inj.reserve(v) {
		return
	}
	defer inj.release(v)
	if err := v.writeSettings([]string{v.peerAddress, "127.0.0.1:1"}); err != nil {
		inj.checker.addViolation("write settings of %s: %v", v.name, err)
	}
	v.signal(syscall.SIGHUP)
}

func (inj *injector) injectProxyFault(p *Proxy, span time.Duration) {
	p.SetFault([]Fault{Delay, Reset, DropToServer, DropToClient, StallOpen}[int(span)%5])
	time.Sleep(span)
	p.SetFault(NoFault)
}

func (inj *injector) disruptStore(_ *vm, _ *target, span time.Duration) {
	for _, v := range inj.testbed.vms {
		inj.running.Go(func() { inj.injectProxyFault(v.storeProxy, span) })
	}
}

// loseResponses makes a target execute requests without responding for a while; half
// of the time it is a target whose requests must not be executed twice.
func (inj *injector) loseResponses(_ *vm, t *target, span time.Duration) {
	if span%2 == 0 {
		t = inj.testbed.byID["single-a"]
	}
	t.SetLossRate(responseLossRate)
	time.Sleep(span)
	t.SetLossRate(0)
}

// disconnectShard resets the connections to all targets of a service for a while.
func (inj *injector) disconnectShard(_ *vm, t *target, span time.Duration) {
	for _, other := range inj.testbed.targets {
		if other.Service == t.Service {
			inj.running.Go(func() {
				other.proxy.SetFault(Reset)
				time.Sleep(span)
				other.proxy.SetFault(NoFault)
			})
		}
	}
}

// Faults of targets and of the store.
const (
	// responseLossRate is the fraction of responses that a target loses.
	responseLossRate = 0.3
	// refusalRate is the fraction of requests that a target refuses.
	refusalRate = 0.5
	// rewriteTime is how long it takes until everything that a restored store lost is
	// written again.
	rewriteTime = 1500 * time.Millisecond
	// followTime is longer than processes take to follow the store without faults.
	followTime = 2 * time.Second
	// slowServiceTime is long enough for hedges.
	slowServiceTime = 700 * time.Millisecond
)

// checkWithoutFaults checks guarantees whose time bounds hold only without faults:
// a draining target gets no more requests, though it says so with a revision that the
// store had given out before it was restored, and a version that is published after the
// store compacted its history takes effect.
func (inj *injector) checkWithoutFaults() {
	t := inj.testbed.byID["single-b"]
	store := inj.testbed.store
	c := store.Copy()
	for range 10 {
		inj.testbed.publish(t, platformtest.Ready)
	}
	time.Sleep(followTime)
	store.Restore(c) // it lost only entries that are followed by the next one
	time.Sleep(followTime)
	inj.testbed.publish(t, platformtest.Draining)
	since := time.Now()
	inj.testbed.store.Compact()
	inj.testbed.configure()
	time.Sleep(drainPeriod + 2*time.Second)
	inj.checker.checkDrained(t, since)
	inj.testbed.publish(t, platformtest.Ready)
}
