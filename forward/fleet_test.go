package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/budget"
	"github.com/goldcrestmux/goldcrestmux/peers"
	"github.com/goldcrestmux/goldcrestmux/pushback"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// simulatedFleet runs the membership and the retry budget of n processes in
// scripted time. Each process spends all extra attempts that it is granted at once.
type simulatedFleet struct {
	t       *testing.T
	rng     *rand.Rand
	begin   time.Time
	budget  RetryBudget
	seeds   []string
	members []*simulatedProcess
	index   map[string]int // of members, by address
	// cut reports whether messages between two processes are lost; nil for none.
	cut func(a, b int) bool
	// steadyLoad is true if loads do not move between the processes.
	steadyLoad bool
	// idle is true while no process needs extra attempts or the targets with a limit.
	idle bool
	// firsts and extras are the numbers of attempts by step.
	firsts, extras []int
	// limitedSends are the numbers of requests to the targets with a limit, by step.
	limitedSends [len(simulatedLimits)][]int
}

type simulatedProcess struct {
	state  *peers.State
	engine *Engine
	// limited are targets, one for each of simulatedLimits. toldAt is when the process had
	// the first response of a target that named its limit.
	limited [len(simulatedLimits)]pushback.State
	toldAt  [len(simulatedLimits)]time.Time
	// requests is the number of requests since the start, which loads are measured from.
	requests float64
	meter    share.LoadMeter
}

// limitedResource describes the targets with a limit. They are in the first data centre, and
// their services have another target in the second one.
var limitedResource = share.Resource{DataCentre: "dc0", Targets: map[string]int{"dc0": 1, "dc1": 1}, Sharded: true}

// Loads move between the processes: each in loadGroups is busy for loadPeriod in turn.
const (
	loadGroups = 4
	loadPeriod = 12 * time.Second
	busyLoad   = 20.0 // requests per second
	quietLoad  = 0.5
)

// simulatedLimits are the limits, in requests per second, that simulated targets name.
var simulatedLimits = [...]float64{0, 1.5, 12, 60}

const (
	// limitWindow, limitFactor and limitSlack are the published rule: in any such span a
	// target gets at most the factor times what its limit allows, plus the slack, from
	// processes that it told longer than limitNotice ago.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitNotice = 500 * time.Millisecond
)

const (
	simulationStep = 250 * time.Millisecond
	stepsPerWindow = int(budget.WindowLength / simulationStep)
	// simulatedService is the service that all requests of a simulation go to.
	simulatedService = "s"
	// simulatedRate is the number of requests that all processes get per second.
	simulatedRate = 90
	// warmUp is how long a simulation runs before its faults. In it, all processes
	// find each other and have been up for longer than a window.
	warmUp = 14 * time.Second
	// wholeLimit is a limit that is shared in whole units, such as the requests per
	// second to a cold target.
	wholeLimit = 60
	// messageLoss is the fraction of messages that are lost.
	messageLoss = 0.05
	// simulatedDataCentres is the number of data centres of a simulation.
	simulatedDataCentres = 3
)

func newSimulatedFleet(t *testing.T, seed uint64, n int, b RetryBudget) *simulatedFleet {
	f := &simulatedFleet{t: t, rng: rand.New(rand.NewPCG(seed, uint64(n))), begin: time.Unix(1_700_000_000, 0), budget: b}
	f.seeds = []string{simulatedAddress(0), simulatedAddress(1), simulatedAddress(2)}
	f.members = make([]*simulatedProcess, n)
	f.index = make(map[string]int, n)
	for i := range f.members {
		f.index[simulatedAddress(i)] = i
		f.restart(i, f.begin)
	}
	return f
}

func simulatedAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/250, i%250) }

func simulatedDataCentre(i int) string { return fmt.Sprint("dc", i%simulatedDataCentres) }

// restart starts process i anew: it knows nothing of its previous incarnation.
func (f *simulatedFleet) restart(i int, now time.Time) {
	p := &simulatedProcess{
		state: peers.New(now, peers.Options{
			Self: peers.Member{
				Name: fmt.Sprint("front-", i), Address: simulatedAddress(i), Started: now.UnixNano(), DataCentre: simulatedDataCentre(i),
			},
			Seeds: f.seeds, Interval: time.Second, Fanout: 2, MaxMembers: 24, ForgetAfter: time.Minute,
			AssumedFleetSize: 16, SettleTime: 5 * time.Second, Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 1)),
		}),
		engine: New(Options{Budget: f.budget}),
	}
	f.members[i] = p
}

// run advances the time by d. Before each step it calls script with the time since
// the start of the run and the time of the step.
func (f *simulatedFleet) run(d time.Duration, script func(elapsed time.Duration, now time.Time)) {
	for elapsed := time.Duration(0); elapsed < d; elapsed += simulationStep {
		now := f.begin.Add(time.Duration(len(f.extras)) * simulationStep)
		if script != nil {
			script(elapsed, now)
		}
		f.step(now)
	}
}

func (f *simulatedFleet) step(now time.Time) {
	for i, p := range f.members {
		f.deliver(now, i, p.state.Tick(now))
	}
	firsts, extras, shares := 0, 0, 0
	for i, p := range f.members {
		e := p.engine
		fleet := p.state.Fleet(now)
		shares += fleet.Share(wholeLimit, "target")
		f.sendToLimited(now, i, fleet)
		e.SetFleet(now, fleet)
		e.mu.Lock()
		b := e.serviceBudget(now, simulatedService)
		for n := f.rng.Float64() * 2 * simulatedRate * simulationStep.Seconds() / float64(len(f.members)); n > 0; n-- {
			if f.rng.Float64() < n {
				b.AddFirst(now)
				firsts++
			}
		}
		for !f.idle {
			if _, ok := b.Take(now); !ok {
				break
			}
			extras++
		}
		e.mu.Unlock()
	}
	f.firsts, f.extras = append(f.firsts, firsts), append(f.extras, extras)
	if shares > wholeLimit {
		f.t.Fatalf("%d processes: the shares of a limit of %d add up to %d after %v",
			len(f.members), wholeLimit, shares, time.Duration(len(f.extras))*simulationStep)
	}
	f.check()
	f.checkLimits()
}

// share returns the part of a limit that process i may use.
func (f *simulatedFleet) share(now time.Time, i int, fleet *share.Fleet) pushback.Share {
	p := f.members[i]
	load := quietLoad
	busy := 0
	if !f.steadyLoad {
		busy = int(now.Sub(f.begin)/loadPeriod) % loadGroups
	}
	if busy == (i/simulatedDataCentres)%loadGroups {
		load = busyLoad
	}
	p.requests += load * simulationStep.Seconds()
	p.meter.Add(now, uint64(p.requests), 0)
	p.state.SetLoad(peers.NewLoad(p.meter.Load()))
	processes := []share.Process{{Name: fleet.Self, DataCentre: simulatedDataCentre(i), Load: p.meter.Shared(now)}}
	for _, m := range p.state.Members() {
		processes = append(processes, share.Process{Name: m.Name, DataCentre: m.DataCentre, Load: m.Load.Share()})
	}
	return pushback.Share{Fraction: fleet.FractionOf(&limitedResource, processes), Phase: fleet.Phase("target")}
}

// sendToLimited sends all requests to the limited targets that process n may send.
func (f *simulatedFleet) sendToLimited(now time.Time, n int, fleet share.Fleet) {
	p, part := f.members[n], f.share(now, n, &fleet)
	for i, limit := range simulatedLimits {
		s := &p.limited[i]
		for len(f.limitedSends[i]) <= len(f.extras) {
			f.limitedSends[i] = append(f.limitedSends[i], 0)
		}
		if p.toldAt[i].IsZero() {
			p.toldAt[i] = now
			s.SetShare(now, part)
			s.Observe(now, now, pushback.Notice{Limited: true, Limit: limit})
			continue
		}
		s.SetShare(now, part)
		for !f.idle && !s.Available(now, true).After(now) {
			s.Sent(now, false)
			if now.Sub(p.toldAt[i]) >= limitNotice {
				f.limitedSends[i][len(f.extras)]++
			}
		}
	}
}

// checkLimits checks the published rule for the window that ends now.
func (f *simulatedFleet) checkLimits() {
	steps := int(limitWindow / simulationStep)
	for i, limit := range simulatedLimits {
		sent := 0
		for _, n := range f.limitedSends[i][max(len(f.limitedSends[i])-steps, 0):] {
			sent += n
		}
		if allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack; float64(sent) > allowed {
			f.t.Fatalf("%d processes send %d requests in 4 s to a target that names a limit of %v a second, after %v; allowed %v",
				len(f.members), sent, limit, time.Duration(len(f.extras))*simulationStep, allowed)
		}
	}
}

func (f *simulatedFleet) deliver(now time.Time, from int, messages []peers.Outgoing) {
	for _, m := range messages {
		to := f.index[m.To]
		if (f.cut != nil && f.cut(from, to)) || f.rng.Float64() < messageLoss {
			continue
		}
		replies, _ := f.members[to].state.Receive(now, m.Message)
		f.deliver(now, to, replies)
	}
}

// check checks the published rule for the window that ends now. The basis is the
// number of requests in that window, in the window before it, or in the one that
// ended half a window earlier, whichever is largest.
func (f *simulatedFleet) check() {
	end := len(f.extras)
	basis := max(sum(f.firsts, end), sum(f.firsts, end-stepsPerWindow/2), sum(f.firsts, end-stepsPerWindow))
	limit := f.budget.Ratio*float64(basis) + float64(f.budget.Slack)
	if extras := sum(f.extras, end); float64(extras) > limit {
		f.t.Fatalf("%d processes: %d extra attempts in the window that ends after %v, want at most %.0f",
			len(f.members), extras, time.Duration(end)*simulationStep, limit)
	}
}

// sum returns the sum of the counts in the window that ends before index end.
func sum(counts []int, end int) (total int) {
	for i := max(end-stepsPerWindow, 0); i < end; i++ {
		total += counts[i]
	}
	return total
}

// fleets are the simulated numbers of processes, with the slack that is published
// for each and the number of seeds.
var fleets = []struct{ processes, slack, seeds int }{{6, 52, 3}, {9, 58, 3}, {75, 190, 3}, {150, 350, 1}}

func forEachFleet(t *testing.T, run func(f *simulatedFleet)) {
	t.Helper()
	for _, fleet := range fleets {
		for seed := range fleet.seeds {
			t.Run(fmt.Sprintf("%d-%d", fleet.processes, seed), func(t *testing.T) {
				t.Parallel()
				run(newSimulatedFleet(t, uint64(seed), fleet.processes, RetryBudget{Ratio: 0.2, Slack: fleet.slack}))
			})
		}
	}
}

// Guards against shares of a limit that exceed it together while the processes do
// not know each other yet, because all of them start at once.
func TestRetryBudgetHoldsWhenAllProcessesStartTogether(t *testing.T) {
	forEachFleet(t, func(f *simulatedFleet) { f.run(20*time.Second, nil) })
}

// Guards against processes that restart in series and spend a share of the retry
// budget with each start.
func TestRetryBudgetHoldsAfterRestartsInSeries(t *testing.T) {
	for _, period := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 11 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			t.Parallel()
			forEachFleet(t, func(f *simulatedFleet) {
				f.run(warmUp, nil)
				f.run(22*time.Second, func(elapsed time.Duration, now time.Time) {
					if elapsed%period == 0 {
						for i := range f.members {
							f.restart(i, now)
						}
					}
				})
			})
		})
	}
}

// Guards against processes that spend the budget of a whole window at once, restart,
// and go by the requests alone that they have received since.
func TestRetryBudgetHoldsWhenRestartsFollowBurst(t *testing.T) {
	forEachFleet(t, func(f *simulatedFleet) {
		f.idle = true
		f.run(2*warmUp, nil)
		f.idle = false
		f.run(simulationStep, nil)
		f.run(20*time.Second, func(elapsed time.Duration, now time.Time) {
			if elapsed == 0 || elapsed == 3*time.Second {
				for i := range f.members {
					f.restart(i, now)
				}
			}
		})
	})
}

// Guards against a process that knows only a part of the fleet and takes it for the
// whole: all processes restart while no message passes between data centres, or
// between any two processes.
func TestRetryBudgetHoldsWithPartialMembership(t *testing.T) {
	cuts := map[string]func(a, b int) bool{
		"data centres cut off": func(a, b int) bool { return a%simulatedDataCentres != b%simulatedDataCentres },
		"all cut off":          func(int, int) bool { return true },
		"half cut off":         func(a, b int) bool { return a%2 != b%2 || a%2 == 1 },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachFleet(t, func(f *simulatedFleet) {
				f.run(warmUp, nil)
				f.cut = cut
				f.run(26*time.Second, func(elapsed time.Duration, now time.Time) {
					if elapsed == 4*time.Second {
						for i := range f.members {
							f.restart(i, now)
						}
					}
				})
				f.cut = nil
				f.run(warmUp, nil)
			})
		})
	}
}

// The shares are not so small that the budget goes unused: in steady state the
// processes together may spend at least half of the slack.
func TestRetryBudgetIsUsable(t *testing.T) {
	forEachFleet(t, func(f *simulatedFleet) {
		f.run(2*warmUp, nil)
		if extras := sum(f.extras, len(f.extras)); float64(extras) < 0.5*float64(f.budget.Slack) {
			t.Fatalf("%d processes spend %d extra attempts in a window with a slack of %d", len(f.members), extras, f.budget.Slack)
		}
	})
}

// The shares of a limit are used: in steady state the processes together send a target at
// least three quarters of the limit that it names.
func TestLimitOfTargetIsUsable(t *testing.T) {
	forEachFleet(t, func(f *simulatedFleet) {
		const measured = time.Minute
		f.steadyLoad = true
		f.run(measured, nil)
		f.run(measured, nil)
		for i, limit := range simulatedLimits {
			sent := 0
			for _, n := range f.limitedSends[i][len(f.extras)-int(measured/simulationStep):] {
				sent += n
			}
			if want := 0.75 * limit * measured.Seconds(); float64(sent) < want {
				t.Errorf("%d processes send %d requests in %v to a target that names a limit of %v a second, want at least %.0f",
					len(f.members), sent, measured, limit, want)
			}
		}
	})
}
