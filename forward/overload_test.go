package forward

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/admission"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// The simulated targets and callers.
const (
	simShards    = 24
	simEnough    = 20
	simReplicas  = 3
	simAttempts  = 5
	simSlots     = 2
	simQueue     = 12
	simService   = 30 * time.Millisecond
	simObjective = 250 * time.Millisecond
	simTimeout   = time.Second
	simProcesses = 3
	// simCapacity is the number of requests per second that all targets serve, with their
	// noise and pauses.
	simCapacity = simReplicas * simSlots * float64(time.Second) / float64(simService) / (1 + 0.15*1.5) * (1 - 0.175/4.5)
	// The overload lasts from overloadStart to overloadEnd.
	overloadStart = 4 * time.Second
	overloadEnd   = overloadStart + 15*time.Second
	simEnd        = overloadEnd + 6*time.Second
)

// simClass is a class of callers, with its demand in multiples of the capacity.
type simClass struct {
	priority, organisations int
	demand                  func(elapsed time.Duration, organisation int) float64
}

// simOptions describes a simulation.
type simOptions struct {
	seed    uint64
	classes []simClass
	// slow is the fraction of targets that are 5 to 9 times slower for 8 s from the start of
	// the overload on, and lost the fraction that is lost then.
	slow, lost float64
	// reshard replaces the targets of one shard after another at the start of the overload. New
	// targets are slow for a second.
	reshard bool
	// retryAtOnce is true if callers do not honour Retry-After, herd if all callers that were refused
	// in a second return at its end.
	retryAtOnce, herd bool
	// restartAt is when the first process restarts; zero for never.
	restartAt time.Duration
	// uncontrolled turns admission off, for comparison.
	uncontrolled bool
}

type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

type simTarget struct {
	running     int
	queue       []*simAttempt
	noise, slow float64
	pausedUntil time.Duration
	lost        bool
	// known is the number of attempts in progress, latency the moving average of their time and
	// avoidedUntil when the target may be chosen again after it refused, by process.
	known, latency, avoidedUntil [simProcesses]time.Duration
}

type simAttempt struct {
	request *simRequest
	shard   int
	sentAt  time.Duration
}

type simRequest struct {
	class, organisation, process, retries int
	first, at, sent                       time.Duration
	responded, failed, refusedShards      int
	latency                               [simShards]time.Duration
	tries                                 [simShards]int
	done                                  bool
	id                                    uint64
}

// bySecond counts requests by the second in which they were first sent.
type bySecond [simEnd / time.Second]int

// simResult is what became of the requests of one class, by organisation and by the second in
// which they were first sent.
type simResult struct {
	sent, inTime, served, refused []bySecond // by organisation
}

type simulation struct {
	opts        simOptions
	rng         *rand.Rand
	now         time.Duration
	events      simEvents
	targets     [simShards][simReplicas]*simTarget
	controllers [simProcesses]*admission.Controller
	active      [simProcesses]map[uint64]*simRequest
	lastID      uint64
	results     []simResult
	slowestNo   time.Duration // the longest time until a refusal
	rejected    int
	waited      int // requests that were queued
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, simEvent{s.now + max(d, 0), do})
}

func (s *simulation) uniform(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Float64()*float64(b-a))
}

var simEpoch = time.Unix(1_700_000_000, 0)

func simulateOverload(opts simOptions) *simulation {
	s := &simulation{opts: opts, rng: rand.New(rand.NewPCG(opts.seed, 9)), results: make([]simResult, len(opts.classes))}
	for p := range s.controllers {
		s.restart(p)
	}
	for i := range s.targets {
		for j := range s.targets[i] {
			t := &simTarget{noise: 1, slow: 1}
			s.targets[i][j] = t
			s.after(s.uniform(0, 6*time.Second), func() { s.pause(t) })
			s.after(s.uniform(0, 4*time.Second), func() { s.makeNoise(t) })
			if s.rng.Float64() < opts.slow {
				s.after(overloadStart, func() { t.slow = 5 + 4*s.rng.Float64() })
				s.after(overloadStart+8*time.Second, func() { t.slow = 1 })
			}
			if opts.reshard {
				at := overloadStart + time.Duration(i)*300*time.Millisecond
				s.after(at, func() { t.slow = 2.5 })
				s.after(at+time.Second, func() { t.slow = 1 })
			}
			if opts.lost > 0 && j == i%simReplicas && s.rng.Float64() < opts.lost*simReplicas {
				s.after(overloadStart, func() { t.lost = true })
				s.after(overloadEnd, func() { t.lost = false })
			}
		}
	}
	for c, class := range opts.classes {
		n := class.organisations
		s.results[c] = simResult{make([]bySecond, n), make([]bySecond, n), make([]bySecond, n), make([]bySecond, n)}
		for o := range class.organisations {
			s.arrive(c, o)
		}
	}
	if opts.restartAt > 0 {
		s.after(opts.restartAt, func() { s.restart(0) })
	}
	for len(s.events) > 0 && s.events[0].at < simEnd+simTimeout {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

// restart replaces a process. Its requests are lost.
func (s *simulation) restart(p int) {
	for _, r := range s.active[p] {
		r.done = true
		s.results[r.class].sent[r.organisation][r.first/time.Second]-- // not lost by admission
	}
	s.controllers[p] = newAdmissionController(rand.New(rand.NewPCG(s.opts.seed, uint64(p))))
	var priorities []int
	for _, c := range s.opts.classes {
		priorities = append(priorities, c.priority)
	}
	s.controllers[p].SetPriorities(slices.Compact(priorities))
	s.active[p] = map[uint64]*simRequest{}
}

func (s *simulation) pause(t *simTarget) {
	t.pausedUntil = s.now + s.uniform(100*time.Millisecond, 250*time.Millisecond)
	s.after(s.uniform(3*time.Second, 6*time.Second), func() { s.pause(t) })
}

func (s *simulation) makeNoise(t *simTarget) {
	t.noise = 2.5
	s.after(600*time.Millisecond, func() { t.noise = 1 })
	s.after(s.uniform(2*time.Second, 6*time.Second), func() { s.makeNoise(t) })
}

// arrive sends the requests of an organisation.
func (s *simulation) arrive(class, organisation int) {
	c := &s.opts.classes[class]
	rate := c.demand(s.now, organisation) / float64(c.organisations) * simCapacity
	s.after(time.Duration(s.rng.ExpFloat64()/max(rate, 1)*float64(time.Second)), func() {
		if s.now >= simEnd {
			return
		}
		if rate >= 1 || s.rng.Float64() < rate {
			s.results[class].sent[organisation][s.now/time.Second]++
			s.submit(&simRequest{class: class, organisation: organisation, process: s.rng.IntN(simProcesses), first: s.now})
		}
		s.arrive(class, organisation)
	})
}

func (s *simulation) submit(r *simRequest) {
	s.lastID++
	r.id, r.at = s.lastID, s.now
	s.active[r.process][r.id] = r
	if s.opts.uncontrolled {
		s.start(r)
		return
	}
	class := &s.opts.classes[r.class]
	received := simEpoch.Add(s.now)
	a := admissionRequest(&Request{
		Call: &upstream.Call{Deadline: simEpoch.Add(r.first + simTimeout)}, ReceivedAt: received,
		Route:        &catalog.Route{Name: fmt.Sprint("route-", class.priority), LatencyObjective: simObjective},
		Organisation: &catalog.Organisation{Name: fmt.Sprint(r.class, "-", r.organisation), Priority: class.priority, HasPriority: true},
	})
	a.ID = r.id
	own, others := s.controllers[r.process].Submit(received, a)
	if own.Outcome == admission.Queued {
		s.waited++
		p := r.process
		s.after(a.StartBy.Sub(received), func() { s.decide(p, s.controllers[p].Tick(simEpoch.Add(s.now))) })
	}
	s.decide(r.process, append(others, own))
}

func (s *simulation) decide(process int, decisions []admission.Decision) {
	for _, d := range decisions {
		r := s.active[process][d.ID]
		switch {
		case r == nil || d.Outcome == admission.Queued:
		case d.Outcome == admission.Admitted:
			s.start(r)
		default:
			delete(s.active[process], d.ID)
			s.rejected++
			s.slowestNo = max(s.slowestNo, s.now-r.at)
			s.comeBack(r, d.RetryAfter)
		}
	}
}

// comeBack makes a refused caller retry once.
func (s *simulation) comeBack(r *simRequest, retryAfter time.Duration) {
	if r.retries > 0 {
		s.results[r.class].refused[r.organisation][r.first/time.Second]++
		return
	}
	wait := min(retryAfter, (r.first+simTimeout-s.now)/3)
	switch {
	case s.opts.retryAtOnce:
		wait = time.Millisecond
	case s.opts.herd:
		wait = min(time.Second-s.now%time.Second, (r.first+simTimeout-s.now)/3)
	}
	s.after(wait, func() {
		s.submit(&simRequest{class: r.class, organisation: r.organisation, process: s.rng.IntN(simProcesses), first: r.first, retries: 1})
	})
}

func (s *simulation) start(r *simRequest) {
	r.sent = s.now
	for i := range simShards {
		s.send(&simAttempt{request: r, shard: i})
	}
	s.after(r.at+simObjective*9/10-s.now, func() { s.check(r, true) })
	s.after(r.at+lateFactor*simObjective-s.now, func() { s.finish(r, false) })
}

// send sends an attempt to the target that is expected to respond first.
func (s *simulation) send(a *simAttempt) {
	r := a.request
	if r.done {
		return
	}
	var best *simTarget
	cost := func(t *simTarget) time.Duration {
		return (1+t.known[r.process])*max(t.latency[r.process], 3*simService) + max(t.avoidedUntil[r.process]-s.now, 0)*100
	}
	for _, j := range s.rng.Perm(simReplicas) {
		if t := s.targets[a.shard][j]; !t.lost && (best == nil || cost(t) < cost(best)) {
			best = t
		}
	}
	switch full := best != nil && best.running >= simSlots && len(best.queue) >= simQueue; {
	case best == nil:
		s.failed(a)
	case full:
		if r.tries[a.shard]++; r.tries[a.shard] == 1 {
			r.refusedShards++
			s.controllers[r.process].Refused(simEpoch.Add(s.now), r.id, float64(r.refusedShards)/simShards)
		}
		best.avoidedUntil[r.process] = s.now + 100*time.Millisecond
		if r.tries[a.shard] >= simAttempts {
			s.failed(a)
			return
		}
		s.after(4*time.Millisecond<<r.tries[a.shard], func() { s.send(a) })
	default:
		a.sentAt = s.now
		best.known[r.process]++
		best.queue = append(best.queue, a)
		s.serve(best)
	}
}

func (s *simulation) failed(a *simAttempt) {
	a.request.failed++
	s.check(a.request, false)
}

// serve starts the queued attempts for which the target has a slot. Those whose requests have
// failed are dropped.
func (s *simulation) serve(t *simTarget) {
	for t.running < simSlots && len(t.queue) > 0 {
		a := t.queue[0]
		t.queue = t.queue[1:]
		if a.request.done && a.request.responded < simEnough && !s.opts.uncontrolled {
			t.known[a.request.process]--
			continue
		}
		t.running++
		s.after(time.Duration(float64(simService)*(0.5+s.rng.Float64())*t.noise*t.slow), func() { s.complete(t, a) })
	}
}

func (s *simulation) complete(t *simTarget, a *simAttempt) {
	if t.pausedUntil > s.now {
		s.after(t.pausedUntil-s.now, func() { s.complete(t, a) })
		return
	}
	t.running--
	r := a.request
	t.known[r.process]--
	t.latency[r.process] += (s.now - a.sentAt - t.latency[r.process]) / 5
	if !r.done && r.latency[a.shard] == 0 {
		r.responded++
		r.latency[a.shard] = s.now - r.sent
		s.check(r, false)
	}
	s.serve(t)
}

// check ends a request that is complete, has failed, or is partial at the time for it.
func (s *simulation) check(r *simRequest, partial bool) {
	switch {
	case r.responded == simShards, r.responded+r.failed == simShards && r.responded >= simEnough, partial && r.responded >= simEnough:
		s.finish(r, true)
	case r.failed > simShards-simEnough:
		s.finish(r, false)
	}
}

func (s *simulation) finish(r *simRequest, ok bool) {
	if r.done {
		return
	}
	r.done = true
	delete(s.active[r.process], r.id)
	if ok {
		s.results[r.class].served[r.organisation][r.first/time.Second]++
	}
	if ok && s.now-r.at <= simObjective {
		s.results[r.class].inTime[r.organisation][r.first/time.Second]++
	}
	for i := range r.latency {
		if r.latency[i] == 0 {
			r.latency[i] = s.now - r.sent
		}
	}
	slices.Sort(r.latency[:])
	s.decide(r.process, s.controllers[r.process].Finish(simEpoch.Add(s.now), r.id, admission.Result{
		OK: ok, Latency: s.now - r.sent, SubRequestLatency: r.latency[simShards/2], FasterLatency: r.latency[simShards/3],
		RefusedFraction: float64(r.refusedShards) / simShards, ServedFraction: float64(r.responded) / simShards,
	}))
	if !ok && s.opts.uncontrolled && r.responded == 0 {
		s.comeBack(r, minRetryAfter)
	}
}

// share returns the fraction of the requests of a class, first sent in the given time, that were
// served, and the number of those served in time.
func (s *simulation) share(class int, from, until time.Duration) (fraction float64, inTime int) {
	sent, served := 0, 0
	for o := range s.results[class].sent {
		for i := from / time.Second; i < until/time.Second; i++ {
			sent += s.results[class].sent[o][i]
			served += s.results[class].served[o][i]
			inTime += s.results[class].inTime[o][i]
		}
	}
	return float64(served) / float64(max(sent, 1)), inTime
}

// sent returns the requests of a class that were first sent during the overload.
func (s *simulation) sent(class int) (n int) {
	for _, sent := range s.results[class].sent {
		for i := overloadStart / time.Second; i < overloadEnd/time.Second; i++ {
			n += sent[i]
		}
	}
	return n
}

// goodput returns the requests served in time per second of the overload, as a fraction of the
// capacity.
func (s *simulation) goodput() float64 {
	total := 0
	for c := range s.results {
		_, n := s.share(c, overloadStart, overloadEnd)
		total += n
	}
	return float64(total) / (overloadEnd - overloadStart).Seconds() / simCapacity
}

// during returns a demand that differs while the overload lasts.
func during(usual, overload float64) func(time.Duration, int) float64 {
	return func(elapsed time.Duration, _ int) float64 {
		if elapsed >= overloadStart && elapsed < overloadEnd {
			return overload
		}
		return usual
	}
}

// usualClasses returns three classes with a usual demand of 0.6 of the capacity, and the given one
// during the overload.
func usualClasses(factor float64) []simClass {
	var out []simClass
	for i, part := range []float64{0.15, 0.4, 0.45} {
		out = append(out, simClass{priority: i * 3, organisations: 4 + 3*i, demand: during(0.6*part, factor*part)})
	}
	return out
}

// Above the capacity, admission keeps goodput, serves the most urgent class, refuses early, and
// leaves no second wave. Without it, goodput collapses: the load is one that tells.
func TestAdmissionUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		best := 0.0
		for _, factor := range []float64{0.5, 0.8, 1, 1.5, 2, 3, 5} {
			t.Run(fmt.Sprintf("seed %d factor %v", seed, factor), func(t *testing.T) {
				s := simulateOverload(simOptions{seed: seed, classes: usualClasses(factor)})
				if factor > 1 {
					s.checkOverload(t, best)
				} else if factor < 1 {
					s.checkUndisturbed(t)
				}
				best = max(best, s.goodput())
			})
		}
	}
	if off := simulateOverload(simOptions{classes: usualClasses(5), uncontrolled: true}).goodput(); off > 0.5 {
		t.Errorf("goodput %.3f of capacity without admission, want a collapse", off)
	}
}

// checkOverload checks what must hold under any overload. best is the best goodput at a lower
// demand; zero if it is not known.
func (s *simulation) checkOverload(t *testing.T, best float64) {
	t.Helper()
	goodput := s.goodput()
	urgent, _ := s.share(0, overloadStart, overloadEnd)
	after, refusedAfter := 1.0, 0
	for c := range s.results {
		fraction, _ := s.share(c, overloadEnd+2*time.Second, simEnd-time.Second)
		after = min(after, fraction)
		for _, refused := range s.results[c].refused {
			for _, n := range refused[(overloadEnd+2*time.Second)/time.Second:] {
				refusedAfter += n
			}
		}
	}
	t.Logf("goodput %.3f of capacity, most urgent %.4f, refused within %v, after the overload %.4f", goodput, urgent, s.slowestNo, after)
	if goodput < 0.9*best {
		t.Errorf("goodput %.3f of capacity, want at least 0.9 of %.3f", goodput, best)
	}
	if urgent < 0.98 {
		t.Errorf("%.4f of the most urgent class are served, want at least 0.98", urgent)
	}
	if s.slowestNo > simObjective/4 {
		t.Errorf("a refusal took %v, want at most %v", s.slowestNo, simObjective/4)
	}
	if refusedAfter > 0 {
		t.Errorf("%d requests are refused later than 2 s after the overload", refusedAfter)
	}
}

// overloads returns the loads under which classes are compared.
func overloads() map[string]simOptions {
	burst := func(demands ...float64) []simClass {
		classes := usualClasses(0.6)
		for i, demand := range demands {
			if demand > 0 {
				classes[i].demand = during(classes[i].demand(0, 0), demand)
			}
		}
		return classes
	}
	return map[string]simOptions{
		"burst of the urgent class":  {classes: burst(1.5)},
		"burst of the other class":   {classes: burst(0, 0, 3)},
		"burst of both":              {classes: burst(1, 0, 2)},
		"slow shards":                {classes: usualClasses(1.5), slow: 0.15},
		"a third of targets lost":    {classes: usualClasses(1), lost: 1.0 / 3},
		"reshard":                    {classes: usualClasses(1.2), reshard: true},
		"herd of returning callers":  {classes: usualClasses(2), herd: true},
		"callers that retry at once": {classes: usualClasses(2), retryAtOnce: true},
		"restart under the overload": {classes: usualClasses(2), restartAt: overloadStart + 5*time.Second},
		"cold start in the overload": {classes: usualClasses(3), restartAt: overloadStart + time.Second},
	}
}

// served returns the fraction of the requests of each class that were served during the overload.
func (s *simulation) served() (out []float64) {
	for c := range s.results {
		fraction, _ := s.share(c, overloadStart, overloadEnd)
		out = append(out, fraction)
	}
	return out
}

// Under each load, more urgent classes are served at least as well as others, and the least urgent
// one gets its share.
func TestClassesAreOrderedUnderOverload(t *testing.T) {
	for name, opts := range overloads() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				opts.seed = seed
				s := simulateOverload(opts)
				served := s.served()
				t.Logf("seed %d: served by class %.4f, goodput %.3f of capacity", seed, served, s.goodput())
				for c := range len(served) - 1 {
					// Two standard errors of the difference: both may lose only what the onset costs.
					n := float64(s.sent(c))
					if noise := 2 * math.Sqrt(max(served[c]*(1-served[c]), 1/n)/n); served[c] < served[c+1]-noise {
						t.Errorf("seed %d: served by class %.4f, want the more urgent first", seed, served)
					}
				}
				_, lowest := s.share(2, overloadStart, overloadEnd)
				// A third of 5% of the admissions is kept for it.
				if least := 0.05 / 3 * s.goodput() * simCapacity * (overloadEnd - overloadStart).Seconds(); float64(lowest) < 0.9*least {
					t.Errorf("seed %d: %d requests of the least urgent class are served in time, want at least 0.9 of its share of %.0f", seed, lowest, least)
				}
			}
		})
	}
}

// Under each load in which the demand of the most urgent class fits, it is served.
func TestMostUrgentClassIsServedUnderOverload(t *testing.T) {
	for name, opts := range overloads() {
		if opts.classes[0].demand(overloadStart, 0) > 0.6 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				opts.seed = seed
				if served := simulateOverload(opts).served(); served[0] < 0.98 {
					t.Errorf("seed %d: %.4f of the most urgent class are served, want at least 0.98", seed, served[0])
				}
			}
		})
	}
}

// An organisation that sends eight times its usual rate takes nothing from others of its priority.
func TestGreedyOrganisationHarmsNoOther(t *testing.T) {
	const organisations = 30
	classes := []simClass{
		{priority: 0, organisations: 3, demand: during(0.1, 0.1)},
		{priority: 3, organisations: organisations, demand: func(elapsed time.Duration, organisation int) float64 {
			// Demands are multiplied by the capacity and divided by the number of organisations.
			switch {
			case organisation > 0:
				return 0.4
			case elapsed >= overloadStart && elapsed < overloadEnd:
				return 8 * 0.15 * organisations
			}
			return 0.15 * organisations
		}},
	}
	// One run has 31 requests of each of the others, of which chance alone makes the worst tenth
	// differ by 0.08. The runs are taken together.
	var sent, served [organisations]float64
	for seed := range uint64(8) {
		s := simulateOverload(simOptions{seed: seed, classes: classes})
		for o := range organisations {
			for i := overloadStart / time.Second; i < overloadEnd/time.Second; i++ {
				sent[o] += float64(s.results[1].sent[o][i])
				served[o] += float64(s.results[1].served[o][i])
			}
		}
	}
	var shares []float64
	mean, worst := 0.0, 0.0
	for o := 1; o < organisations; o++ {
		shares = append(shares, served[o]/sent[o])
		mean += served[o] / sent[o] / (organisations - 1)
	}
	slices.Sort(shares)
	for _, share := range shares[:organisations/10] {
		worst += share / (organisations / 10)
	}
	t.Logf("served: mean %.4f, worst tenth %.4f, the greedy one %.4f", mean, worst, served[0]/sent[0])
	if worst < mean-0.05 {
		t.Errorf("%.4f of the requests of the worst tenth of organisations are served, want at least the mean %.4f less 0.05", worst, mean)
	}
}

// Without overload, admission delays and refuses nothing, whatever happens to single targets.
func TestAdmissionWithoutOverload(t *testing.T) {
	for name, opts := range map[string]simOptions{
		"pauses and noise": {}, "slow targets": {slow: 0.15}, "lost targets": {lost: 0.03}, "slow and lost targets": {slow: 0.15, lost: 0.03},
		"restart": {restartAt: overloadStart}, "cold start": {restartAt: time.Millisecond},
	} {
		for _, factor := range []float64{0.5, 0.8} {
			t.Run(fmt.Sprintf("%s at %v", name, factor), func(t *testing.T) {
				for seed := range uint64(3) {
					opts.seed, opts.classes = seed, usualClasses(factor)
					simulateOverload(opts).checkUndisturbed(t)
				}
			})
		}
	}
	t.Run("a third of targets lost at 0.5", func(t *testing.T) {
		simulateOverload(simOptions{classes: usualClasses(0.5), lost: 1.0 / 3}).checkUndisturbed(t)
	})
}

// checkUndisturbed checks that admission delayed and refused nothing.
func (s *simulation) checkUndisturbed(t *testing.T) {
	t.Helper()
	if s.waited > 0 || s.slowestNo > 0 || s.rejected > 0 {
		t.Errorf("%d requests were queued and %d refused without overload", s.waited, s.rejected)
	}
}
