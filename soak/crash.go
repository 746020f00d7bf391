package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platform/platformtest"
)

// Requests that crash the targets that run them, and a sound one that is often in progress
// when targets crash.
const (
	crashPath   = "/all/crash"
	popularPath = "/all/popular"
	// crashDelay is how long a target runs a request until it crashes, and crashDowntime
	// how long it is away.
	crashDelay    = 10 * time.Millisecond
	crashDowntime = 700 * time.Millisecond
	// contactTime is the published time after the third crash from which the request may
	// reach targets at most lateArrivals times more.
	contactTime  = 4 * time.Second
	lateArrivals = 3
	// crashRepeatInterval is the mean time between two repeats of the request.
	crashRepeatInterval = 200 * time.Millisecond
)

// crashLog records when requests for crashPath reached targets, and when these crashed.
type crashLog struct {
	mu                sync.Mutex
	arrivals, crashes []time.Time
}

// crashTargets makes all targets crash on requests whose path begins with crashPath.
func (c *checker) crashTargets() {
	for _, t := range c.testbed.targets {
		t.SetCrash(func(r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, crashPath) {
				return false
			}
			now := time.Now()
			c.crashLog.mu.Lock()
			c.crashLog.arrivals = append(c.crashLog.arrivals, now)
			c.crashLog.mu.Unlock()
			time.Sleep(crashDelay)
			if t.proxy.Crash(crashDowntime) {
				c.crashLog.mu.Lock()
				c.crashLog.crashes = append(c.crashLog.crashes, now)
				c.crashLog.mu.Unlock()
			}
			return true
		})
	}
}

// repeatCrash sends a request that crashes targets to VMs at random for a while.
func (c *checker) repeatCrash(rng *rand.Rand, path string, duration time.Duration) {
	client := &http.Client{Timeout: 3 * time.Second}
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		id := fmt.Sprint("crash-", rng.Uint64(), "-", i)
		req, err := http.NewRequest(http.MethodGet, "http://"+c.testbed.vms[rng.IntN(len(c.testbed.vms))].callerAddress+path, nil)
		if err != nil {
			c.addViolation("request %s: %v", id, err)
			return
		}
		req.Host = platformtest.Host
		platformtest.SetRequestHeaders(req.Header, id, callerTimeout)
		c.mu.Lock()
		c.sent[id], c.sentAt[id] = path, time.Now()
		c.mu.Unlock()
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				c.addViolation("%s: a request that no target completes got status 200", id)
			}
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * crashRepeatInterval))))
	}
}

// crashRequest sends a request that crashes targets, of its own, for a while.
func (inj *injector) crashRequest(_ *vm, t *target, span time.Duration) {
	rng := rand.New(rand.NewPCG(uint64(span), 7))
	inj.checker.repeatCrash(rng, fmt.Sprint(crashPath, "/", t.ID, "/", span.Milliseconds()), span)
}

// restoreSeeds gives all VMs seeds that are up. After a reload a VM has none but itself; if
// all processes are killed then, it cannot find the others, nor they it.
func (inj *injector) restoreSeeds() {
	for _, v := range inj.testbed.vms {
		if err := v.writeSettings(inj.testbed.seeds()); err != nil {
			inj.checker.addViolation("write settings of %s: %v", v.name, err)
		}
		v.signal(syscall.SIGHUP)
	}
	time.Sleep(contactTime)
}

// checkCrashes checks that a request that crashes targets reaches them at most lateArrivals
// times once all VMs must know it. It must run while there are no faults.
func (inj *injector) checkCrashes() {
	c := inj.checker
	rng := rand.New(rand.NewPCG(inj.rng.Uint64(), 8))
	inj.restoreSeeds()
	c.crashLog.mu.Lock()
	c.crashLog.arrivals, c.crashLog.crashes = nil, nil
	c.crashLog.mu.Unlock()
	c.repeatCrash(rng, crashPath+"/last", contactTime+6*time.Second)
	c.crashLog.mu.Lock()
	defer c.crashLog.mu.Unlock()
	if len(c.crashLog.crashes) < 3 {
		c.addViolation("only %d targets crashed under a request that crashes each target that runs it", len(c.crashLog.crashes))
		return
	}
	late := 0
	for _, at := range c.crashLog.arrivals {
		if at.After(c.crashLog.crashes[2].Add(contactTime)) {
			late++
		}
	}
	if late > lateArrivals {
		c.addViolation("a request that had crashed three targets reached targets %d times later than %v after that, allowed %d", late, contactTime, lateArrivals)
	}
}
