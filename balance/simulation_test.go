package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simTarget is a simulated target with two slots and a queue of 12 that refuses when full.
type simTarget struct {
	slowdown   float64 // ratio of its service time to the usual one
	contention float64 // by how much each further running attempt lengthens all
	pause      time.Duration
	period     time.Duration
	phase      time.Duration
	noisy      bool
	noiseEnd   time.Time
	work       []*simAttempt // the first two run, the others wait
}

const (
	simSlots = 2
	simQueue = 12
	simTick  = 500 * time.Microsecond
	simBase  = 20 * time.Millisecond
)

type simRequest struct {
	at       time.Time
	process  *simProcess
	attempts []*simAttempt
	done     bool
}

type simAttempt struct {
	request  *simRequest
	target   int
	sent     time.Time
	expected time.Duration
	left     time.Duration
}

// simProcess sends requests, and knows only its own attempts.
type simProcess struct {
	group     *Group
	stats     []*Stats
	turn      uint64
	latencies []time.Duration // of the last requests
	profile   Profile
	// hedges is the number of hedges that the process may send: 5% of its requests, and some at once.
	hedges float64
}

// simChoice is one choice of a target.
type simChoice struct {
	at     time.Time
	target int
	extra  bool
	// waits is true if the attempt had to wait while another target that was not in a pause, and not
	// tried before, was idle.
	waits bool
}

// simulation runs processes against the targets of one service.
type simulation struct {
	rand      *rand.Rand
	now       time.Time
	targets   []*simTarget
	processes []*simProcess
	rate      float64 // requests per second of all processes
	open      []*simRequest
	choices   []simChoice
	latencies []time.Duration
	refused   int
}

// newSimulation returns a simulation of targets with the given slowdowns. Without learning, the
// processes choose as before capacities were learned.
func newSimulation(seed uint64, processes int, learning bool, slowdowns ...float64) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	for _, slowdown := range slowdowns {
		s.targets = append(s.targets, &simTarget{slowdown: slowdown})
	}
	for range processes {
		p := &simProcess{group: &Group{}, profile: Profile{Expected: simBase, OverdueAfter: 5 * simBase}}
		for range slowdowns {
			stats := &Stats{}
			if learning {
				stats.Join(p.group, simSlots)
			}
			p.stats = append(p.stats, stats)
		}
		s.processes = append(s.processes, p)
	}
	return s
}

// disturb adds pauses and noise to all targets.
func (s *simulation) disturb(pause, period time.Duration, noise bool) {
	for _, t := range s.targets {
		t.pause, t.period, t.noisy = pause, period, noise
		t.phase = time.Duration(s.rand.Float64() * float64(period))
	}
}

func (t *simTarget) paused(now time.Time) bool {
	return t.pause > 0 && (now.Sub(epoch)+t.phase)%t.period < t.pause
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simTick) {
		if s.rand.Float64() < s.rate*simTick.Seconds() {
			p := s.processes[s.rand.IntN(len(s.processes))]
			r := &simRequest{at: s.now, process: p}
			s.open = append(s.open, r)
			p.hedges = min(p.hedges+0.05, 10)
			s.send(r, false)
		}
		for i, t := range s.targets {
			s.step(i, t)
		}
		for _, r := range s.open {
			if len(r.attempts) == 1 && s.now.Sub(r.at) > r.process.profile.OverdueAfter && r.process.hedges >= 1 {
				r.process.hedges--
				s.send(r, true)
			}
		}
		s.open = slices.DeleteFunc(s.open, func(r *simRequest) bool { return r.done })
	}
}

// step advances the attempts at a target by one tick.
func (s *simulation) step(i int, t *simTarget) {
	if t.noisy && s.now.After(t.noiseEnd) && s.rand.Float64() < 0.15/0.85*simTick.Seconds()/0.6 {
		t.noiseEnd = s.now.Add(600 * time.Millisecond)
	}
	if t.paused(s.now) {
		return
	}
	running := min(len(t.work), simSlots)
	speed := 1 / (t.slowdown * (1 + t.contention*float64(max(running-1, 0))))
	if s.now.Before(t.noiseEnd) {
		speed /= 2.5
	}
	for _, a := range t.work[:running] {
		a.left -= time.Duration(speed * float64(simTick))
		if a.left <= 0 {
			s.end(i, a)
		}
	}
	t.work = slices.DeleteFunc(t.work, func(a *simAttempt) bool { return a.left <= 0 })
}

// end ends an attempt with a response.
func (s *simulation) end(i int, a *simAttempt) {
	r, p := a.request, a.request.process
	p.stats[i].Responded(s.now, a.sent, a.expected)
	if r.done {
		return
	}
	r.done = true
	latency := s.now.Sub(r.at)
	s.latencies = append(s.latencies, latency)
	p.latencies = append(p.latencies, latency)
	if n := len(p.latencies); n%20 == 0 {
		recent := slices.Clone(p.latencies[max(n-400, 0):])
		p.profile.Expected = quantile(recent, 0.5)
		p.profile.OverdueAfter = min(quantile(recent, 0.985), 5*p.profile.Expected)
	}
}

// send sends an attempt to the target that the process chooses.
func (s *simulation) send(r *simRequest, extra bool) {
	p := r.process
	profile := p.profile
	profile.Extra = extra
	for range len(s.targets) {
		candidates := make([]Candidate, len(s.targets))
		for i := range candidates {
			candidates[i] = Candidate{Stats: p.stats[i], Slots: simSlots}
			for _, a := range r.attempts {
				if a.target == i {
					candidates[i].PriorAttempts++
				}
			}
		}
		p.turn++
		i := Choose(s.now, profile, candidates, p.turn)
		t := s.targets[i]
		idle := false
		for j, o := range s.targets {
			idle = idle || len(o.work) == 0 && candidates[j].PriorAttempts == 0 && !o.paused(s.now)
		}
		s.choices = append(s.choices, simChoice{s.now, i, extra, idle && !t.paused(s.now) && len(t.work) >= simSlots})
		sent := s.now.Add(time.Duration(len(r.attempts))) // attempts are told apart by it
		p.stats[i].Started(sent, profile)
		a := &simAttempt{request: r, target: i, sent: sent, expected: profile.Expected, left: time.Duration(float64(simBase) * (0.6 + 0.8*s.rand.Float64()))}
		r.attempts = append(r.attempts, a)
		if len(t.work) < simSlots+simQueue {
			t.work = append(t.work, a)
			return
		}
		p.stats[i].Failed(s.now, sent)
		s.refused++
		extra = true
		profile.Extra = true
	}
	r.done = true // refused by all
	s.latencies = append(s.latencies, time.Second)
}

// share returns the share of first attempts since a time that went to a target.
func (s *simulation) share(target int, from, to time.Time) float64 {
	n, all := 0, 0
	for _, c := range s.choices {
		if c.extra || c.at.Before(from) || !c.at.Before(to) {
			continue
		}
		all++
		if c.target == target {
			n++
		}
	}
	return float64(n) / float64(max(all, 1))
}

// onTime returns the share of the latencies that are at most the limit.
func onTime(latencies []time.Duration, limit time.Duration) float64 {
	n := 0
	for _, l := range latencies {
		if l <= limit {
			n++
		}
	}
	return float64(n) / float64(max(len(latencies), 1))
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[min(int(math.Ceil(q*float64(len(d)))), len(d)-1)]
}

// deployments are the pauses of the targets of three deployments.
var deployments = []struct {
	name          string
	pause, period time.Duration
}{
	{"100ms", 100 * time.Millisecond, 2400 * time.Millisecond},
	{"250ms", 250 * time.Millisecond, 6 * time.Second},
	{"150ms", 150 * time.Millisecond, 3600 * time.Millisecond},
}

// capacity returns the requests per second that the targets can serve with pauses and noise.
func (s *simulation) capacity() (rate float64) {
	for _, t := range s.targets {
		r := simSlots / simBase.Seconds() / t.slowdown
		if t.pause > 0 {
			r *= 1 - t.pause.Seconds()/t.period.Seconds()
		}
		if t.noisy {
			r /= 0.85 + 0.15*2.5
		}
		rate += r
	}
	return rate
}

// Guards against a target that has become slower and is sent as much as before, or nothing more:
// with two fast targets and one that is 2.5 times slower, a sixth is its part.
func TestSlowTargetGetsFairShareWithinTwoSeconds(t *testing.T) {
	const fair, seeds = 1.0 / 6, 16
	for _, processes := range []int{1, 4} {
		for _, use := range []float64{0.1, 0.4, 0.85} {
			share := 0.0
			for seed := range uint64(seeds) {
				s := newSimulation(seed, processes, true, 1, 1, 1)
				s.disturb(100*time.Millisecond, 2400*time.Millisecond, true)
				s.rate = use * s.capacity()
				s.run(8 * time.Second)
				s.targets[2].slowdown = 2.5
				s.rate = use * s.capacity()
				s.run(2 * time.Second)
				from := s.now
				s.run(3 * time.Second)
				share += s.share(2, from, s.now) / seeds
			}
			t.Logf("%d processes, %.2f of capacity: share %.3f", processes, use, share)
			if share > fair*1.25 {
				t.Errorf("%d processes, %.2f of capacity: share %.3f of a slow target after 2 s, want at most %.3f", processes, use, share, fair*1.25)
			}
			low := 0.01 // it is only tried now and then while the others have free slots
			if use > 0.8 {
				low = fair / 2
			}
			if share < low {
				t.Errorf("%d processes, %.2f of capacity: share %.3f of a slow target after 2 s, want at least %.3f", processes, use, share, low)
			}
		}
	}
}

// Guards against a target that has recovered and stays unused, as nothing is sent that
// shows it.
func TestRecoveredTargetIsUsedWithinThreeSeconds(t *testing.T) {
	const fair, seeds = 1.0 / 3, 16
	for _, processes := range []int{1, 4} {
		for _, use := range []float64{0.1, 0.4, 0.7} {
			share := 0.0
			for seed := range uint64(seeds) {
				s := newSimulation(seed, processes, true, 1, 1, 2.5)
				s.disturb(100*time.Millisecond, 2400*time.Millisecond, true)
				s.rate = use * s.capacity()
				s.run(10 * time.Second)
				s.targets[2].slowdown = 1
				s.run(3 * time.Second)
				from := s.now
				s.run(3 * time.Second)
				share += s.share(2, from, s.now) / seeds
			}
			t.Logf("%d processes, %.2f of capacity: share %.3f", processes, use, share)
			if share < fair*0.75 {
				t.Errorf("%d processes, %.2f of capacity: share %.3f of a target 3 s after it recovered, want at least %.3f", processes, use, share, fair*0.75)
			}
		}
	}
}

// Guards against a slow target that is idle while attempts wait at its siblings.
func TestNoTargetIsIdleWhileSiblingsQueue(t *testing.T) {
	for seed, use := range []float64{0.3, 0.6, 0.9} {
		s := newSimulation(uint64(seed), 1, true, 1, 1, 2.5)
		s.disturb(0, time.Second, true)
		s.rate = use * s.capacity()
		s.run(20 * time.Second)
		waits := 0
		for _, c := range s.choices {
			if c.waits {
				waits++
			}
		}
		if waits > 0 {
			t.Errorf("%.1f of capacity: %d of %d attempts wait while another target is idle, want none", use, waits, len(s.choices))
		}
	}
}

// Guards against a target that takes longer with each attempt in progress, and is sent as many
// as its slots.
func TestConcurrencyOfTargetThatSlowsDownEarlyIsLearned(t *testing.T) {
	for _, use := range []float64{0.3, 0.5, 0.6} {
		for seed := range uint64(4) {
			s := newSimulation(seed, 1, true, 1, 1, 1)
			s.targets[2].contention = 1.5
			s.rate = use * s.capacity()
			s.run(30 * time.Second)
			stats := s.processes[0].stats
			if limit := stats[2].Learned(s.now).Concurrency; limit > 1.25 {
				t.Errorf("%.1f of capacity, seed %d: learned concurrency %.2f of a target with two slots that runs two attempts in 2.5 times the time of one, want about 1", use, seed, limit)
			}
			for _, other := range stats[:2] {
				if limit := other.Learned(s.now).Concurrency; limit < 1.75 {
					t.Errorf("%.1f of capacity, seed %d: learned concurrency %.2f of a target that handles two attempts well", use, seed, limit)
				}
			}
		}
	}
}

// Guards against learned concurrencies that make the choice worse than the slots do.
func TestLearnedConcurrencyIsNoWorseThanSlots(t *testing.T) {
	compare(t, "one slows down early", 3, func(s *simulation, use float64) {
		s.targets[2].contention = 1.5
		s.rate = use * s.capacity() * 5 / 6 // two attempts at a time are no faster there than one
	})
}

// Guards against a choice that is worse than by fixed slots and costs, with equal targets and with one that
// is slow, for the pauses of three deployments.
func TestLearningIsNoWorseThanFixedCosts(t *testing.T) {
	for _, slow := range []float64{1, 2.5} {
		compare(t, fmt.Sprintf("one takes %.1f times as long", slow), 2, func(s *simulation, use float64) {
			s.targets[2].slowdown = slow
			s.rate = use * s.capacity()
		})
	}
}

// compare plays the deployments by 1 and 4 processes at three loads, with and without learning. Set
// prepares a simulation for a use of the capacity.
func compare(t *testing.T, name string, seeds uint64, set func(s *simulation, use float64)) {
	const objective = 150 * time.Millisecond
	for _, use := range []float64{0.15, 0.4, 0.7} {
		var latencies [2][]time.Duration // without and with learning
		for _, d := range deployments {
			for _, processes := range []int{1, 4} {
				for seed := range seeds {
					for i, learning := range []bool{false, true} {
						s := newSimulation(seed, processes, learning, 1, 1, 1)
						s.disturb(d.pause, d.period, true)
						set(s, use)
						s.run(30 * time.Second)
						latencies[i] = append(latencies[i], s.latencies...)
					}
				}
			}
		}
		former, learned := onTime(latencies[0], objective), onTime(latencies[1], objective)
		formerP99, p99 := quantile(latencies[0], 0.99), quantile(latencies[1], 0.99)
		t.Logf("%s, %.2f of capacity: on time %.4f, was %.4f; p99 %v, was %v", name, use, learned, former, p99, formerP99)
		if learned < former || p99 > formerP99 {
			t.Errorf("%s, %.2f of capacity: on time %.4f, p99 %v; want at least %.4f and at most %v", name, use, learned, p99, former, formerP99)
		}
	}
}

// Guards against a change of the choice among equal targets without load.
func TestEqualTargetsAreChosenAsBefore(t *testing.T) {
	var chosen [2][]simChoice
	for i, learning := range []bool{false, true} {
		s := newSimulation(1, 2, learning, 1, 1, 1)
		s.rate = 0.1 * s.capacity()
		s.run(60 * time.Second)
		chosen[i] = s.choices
	}
	if !slices.Equal(chosen[0], chosen[1]) {
		t.Error("the choices among equal targets differ with learning")
	}
}
