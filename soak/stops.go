package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platform/platformtest"
)

// Sizes and times of a run of planned stops.
const (
	// stopConcurrency is what a target announces, more than the callers can use: no request
	// waits for another.
	stopConcurrency = 200
	// stopPayload is the size of the longest response, in bytes. It exceeds the buffers of
	// net/http.
	stopPayload = 96 << 10
	// stopPause is the longest pause between two stops of a series.
	stopPause = 1500 * time.Millisecond
	// signalTime is longer than a process takes until it handles signals. SIGHUP ends a
	// program that does not handle it yet.
	signalTime = 500 * time.Millisecond
)

// run is one run of a request at a target. A run that was broken off is not complete.
type run struct {
	target     string
	start, end time.Time
	complete   bool
}

// plannedStop is one SIGTERM to a process, until its exit.
type plannedStop struct {
	vm         string
	at, exited time.Time
	exitCode   int
}

// stopRun is a run of planned stops: its testbed, and what callers, targets and
// processes did.
type stopRun struct {
	*testbed
	grace time.Duration
	out   io.Writer
	rng   *rand.Rand

	mu         sync.Mutex
	requests   []*stopRequest
	runs       map[string][]*run // by request ID
	stops      []plannedStop
	violations []string
	counts     map[string]int
}

// RunStops runs entry processes against stand-ins, without any fault: it stops processes
// by SIGTERM, one at a time and several together, for o.FaultDuration, starts them again,
// and sends SIGHUP and publishes configuration versions meanwhile. It returns the requests
// that were lost, and other violations. It fails if the processes cannot be started.
func RunStops(o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "gcmux-stops")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	b, err := newTestbed(&o, dir)
	if err != nil {
		return nil, err
	}
	defer b.close()
	s := &stopRun{
		testbed: b, grace: time.Duration(b.vms[0].graceSecs) * time.Second, out: o.Out,
		rng: rand.New(rand.NewPCG(o.Seed, 11)), runs: map[string][]*run{}, counts: map[string]int{},
	}
	s.prepare()
	time.Sleep(startupTime)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for _, v := range b.vms {
		for n := range o.Callers {
			callers.Go(func() { s.newCaller(v, o.Seed, n).run(done) })
		}
	}
	var planned sync.WaitGroup
	planned.Go(func() { s.change(rand.New(rand.NewPCG(o.Seed, 12)), done) })
	s.stopInSeries(o.FaultDuration)
	close(done)
	planned.Wait()
	callers.Wait()
	s.violations = append(s.violations, b.stoppedProcesses()...)
	s.check()
	return &Report{Violations: s.violations, Counts: s.counts, Faults: map[string]int{"stop": len(s.stops)}}, nil
}

func (s *stopRun) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// prepare makes the targets run each request as long as its path says, and publishes the
// routes.
func (s *stopRun) prepare() {
	for _, t := range s.targets {
		shard := slices.Index(s.shards, t.Service)
		t.SetHandler(func(w http.ResponseWriter, r *http.Request) bool { return s.serve(t, shard, w, r) })
		entry := t.Entry("dc1", platformtest.Ready)
		entry["address"], entry["max_concurrency"] = t.proxy.Address(), stopConcurrency
		s.store.Put(t.Key(), entry)
	}
	s.publishRoutes()
}

// publishRoutes publishes the next configuration version. Its routes are always the same.
func (s *stopRun) publishRoutes() {
	s.versionMu.Lock()
	defer s.versionMu.Unlock()
	s.version++
	route := func(prefix string) platformtest.Route {
		return platformtest.Route{Prefix: prefix, Timeout: 2 * s.grace, LatencyObjective: s.grace}
	}
	all, once, single := route("/all/"), route("/once/"), route("/single/")
	all.Shards, all.TopK, all.MinShardFraction = s.shards, topK, minShardFraction
	once.Service, once.NonIdempotent = "single", true
	single.Service = "single"
	services := append([]string{"single"}, s.shards...)
	s.store.Put(platformtest.KeyConfig, platformtest.Config(s.version, []platformtest.Route{all, once, single}, services, 64<<10))
}

// serve runs one request at a target for as long as its path says, at most until its
// deadline, and records the run. Paths are /route/milliseconds/bytes/ID.
func (s *stopRun) serve(t *target, shard int, w http.ResponseWriter, r *http.Request) bool {
	parts := strings.Split(r.URL.Path, "/")
	if len(parts) != 5 {
		return false
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return true // not run: the body is not complete
	}
	id := parts[4]
	serviceMs, _ := strconv.Atoi(parts[2])
	size, _ := strconv.Atoi(parts[3])
	service, timeout := time.Duration(serviceMs)*time.Millisecond, platformtest.RequestTimeout(r.Header)
	this := &run{target: t.ID, start: time.Now()}
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], this)
	s.mu.Unlock()
	complete := false
	select {
	case <-time.After(min(service, timeout)):
		complete = service <= timeout
	case <-r.Context().Done():
	}
	s.mu.Lock()
	this.end, this.complete = time.Now(), complete
	s.mu.Unlock()
	platformtest.SetSignature(w.Header(), t.Signature(id))
	switch {
	case !complete:
		w.WriteHeader(http.StatusGatewayTimeout)
	case shard < 0:
		_, _ = w.Write(make([]byte, size)) // the process may have closed the connection
	default:
		for _, record := range records(shard) {
			_, _ = w.Write(record)
		}
	}
	return true
}

// change sends SIGHUP and publishes configuration versions at random times.
func (s *stopRun) change(rng *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(100+rng.IntN(900)) * time.Millisecond):
		}
		if rng.IntN(2) == 0 {
			s.publishRoutes()
			continue
		}
		v := s.vms[rng.IntN(len(s.vms))]
		if err := v.writeSettings(s.seeds()); err != nil {
			s.addViolation("write settings of %s: %v", v.name, err)
		}
		if v.faultFreeFor(signalTime) {
			v.signal(syscall.SIGHUP)
		}
	}
}

// stopInSeries stops processes for a duration: in turn one, or up to half of them at
// different moments of the same grace.
func (s *stopRun) stopInSeries(duration time.Duration) {
	order := s.rng.Perm(len(s.vms))
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		together := 1
		if n%2 == 1 {
			together = 1 + s.rng.IntN(max(1, len(s.vms)/2))
		}
		var stops sync.WaitGroup
		for range together {
			v := s.vms[order[0]]
			order = append(order[1:], order[0])
			lag := time.Duration(s.rng.Int64N(int64(s.grace)))
			stops.Go(func() {
				if together > 1 {
					time.Sleep(lag)
				}
				s.stop(v)
			})
		}
		stops.Wait()
		time.Sleep(time.Duration(s.rng.Int64N(int64(stopPause))))
	}
}

// stop stops the process of a VM by SIGTERM and starts it again. The platform kills a process
// that has not exited after the grace.
func (s *stopRun) stop(v *vm) {
	v.mu.Lock()
	p := v.process
	v.mu.Unlock()
	this := plannedStop{vm: v.name, at: time.Now()}
	var err error
	if this.exitCode, err = p.Terminate(s.grace); err != nil {
		p.Kill()
		s.addViolation("%s was killed: %v", v.name, err)
	}
	this.exited = time.Now()
	fmt.Fprintf(s.out, "stop: %s exit code %d after %v; last lines: %s\n", v.name, this.exitCode, this.exited.Sub(this.at), strings.Join(p.Tail(), "; "))
	s.mu.Lock()
	s.stops = append(s.stops, this)
	s.mu.Unlock()
	if err := v.start(); err != nil {
		s.addViolation("start of %s: %v", v.name, err)
	}
}

var errClosedAfterResponse = errors.New("the response before it says that the connection is closed")
