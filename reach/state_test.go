package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	tick  = 100 * time.Millisecond
	usual = 30 * time.Millisecond
	// dialTimeout is the time after which a probe fails that nobody answers.
	dialTimeout = 200 * time.Millisecond
	// detectTime is far below the published time after which callers must be served as
	// well as others, which is 4 s on the smallest deployments.
	detectTime = time.Second
)

// process drives a State against targets that scripts take away.
type process struct {
	State
	now     time.Time
	targets []string
	// hangs reports whether nothing reaches a target, refuses whether connections to it
	// are refused.
	hangs, refuses func(target string) bool
	probes         []probe // in progress
	probed         int
}

type probe struct {
	target  string
	endsAt  time.Time
	success bool
}

func never(string) bool { return false }

func all(string) bool { return true }

func newProcess(targets int) *process {
	p := &process{now: epoch, hangs: never, refuses: never}
	for i := range targets {
		p.targets = append(p.targets, fmt.Sprint("t", i))
	}
	return p
}

// request sends an attempt to a target over an open connection. A target that is not cut off
// responds at once.
func (p *process) request(target string) {
	p.Sent(p.now, target, usual)
	if !p.hangs(target) {
		p.Heard()
	}
}

// dial opens a connection to a target.
func (p *process) dial(target string) {
	if p.hangs(target) || p.refuses(target) {
		p.Unreachable(p.now, target)
		return
	}
	p.Connected(p.now)
}

// run advances the time. It calls script once in each tick.
func (p *process) run(d time.Duration, rng *rand.Rand, script func()) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(tick) {
		var waiting []probe
		for _, pr := range p.probes {
			if pr.endsAt.After(p.now) {
				waiting = append(waiting, pr)
				continue
			}
			p.Probed(p.now, pr.success)
		}
		p.probes = waiting
		if script != nil {
			script()
		}
		for range p.Tick(p.now) {
			target := p.targets[rng.IntN(len(p.targets))]
			pr := probe{target: target, endsAt: p.now.Add(time.Millisecond), success: !p.hangs(target) && !p.refuses(target)}
			if p.hangs(target) {
				pr.endsAt = p.now.Add(dialTimeout)
			}
			p.Probing()
			p.probed++
			p.probes = append(p.probes, pr)
		}
	}
}

func rngOf(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func (p *process) mode() Mode {
	mode, _ := p.Mode()
	return mode
}

// Guards against a process that sends requests to targets which it has no path to.
func TestCutIsNoticed(t *testing.T) {
	for name, script := range map[string]func(p *process, rng *rand.Rand) func(){
		"sharded requests on open connections": func(p *process, _ *rand.Rand) func() {
			return func() {
				for _, target := range p.targets {
					p.request(target)
				}
			}
		},
		"requests to one service": func(p *process, rng *rand.Rand) func() {
			return func() { p.request(p.targets[rng.IntN(3)]) }
		},
		"new connections only": func(p *process, rng *rand.Rand) func() {
			return func() { p.dial(p.targets[rng.IntN(len(p.targets))]) }
		},
		"new connections to one target": func(p *process, _ *rand.Rand) func() {
			return func() { p.dial(p.targets[0]) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rngOf(1)
			p := newProcess(12)
			p.run(time.Second, rng, script(p, rng))
			if p.mode() != Open || p.probed > 0 {
				t.Fatalf("mode %v after %d probes without any fault", p.mode(), p.probed)
			}
			p.hangs = all
			p.run(detectTime, rng, script(p, rng))
			if p.mode() == Open {
				t.Fatalf("the cut is not noticed after %v", detectTime)
			}
			if p.Direct(p.now, false) || p.Helps(p.now) {
				t.Error("sends requests to targets, or serves those of peers, while it is cut off")
			}
		})
	}
}

// Connections that are refused while open ones live on: requests that need no new connection
// stay direct.
func TestOpenConnectionsAreUsedWhileNewOnesAreRefused(t *testing.T) {
	rng := rngOf(2)
	p := newProcess(12)
	p.refuses = all
	p.run(detectTime, rng, func() {
		p.request(p.targets[rng.IntN(len(p.targets))])
		p.dial(p.targets[rng.IntN(len(p.targets))])
	})
	if p.mode() != Narrow || !p.Direct(p.now, true) || p.Direct(p.now, false) {
		t.Errorf("mode %v, direct with a connection %v, without %v, want only the former", p.mode(), p.Direct(p.now, true), p.Direct(p.now, false))
	}
	p.hangs = all
	p.run(detectTime, rng, func() {
		p.request(p.targets[rng.IntN(len(p.targets))])
	})
	if p.mode() != Cut {
		t.Errorf("mode %v after open connections fell silent as well, want %v", p.mode(), Cut)
	}
}

// The opposite error: targets that crash, pause or fall silent, but not all, must not make
// a process believe that it is cut off.
func TestFaultsOfTargetsAreNoCut(t *testing.T) {
	for seed := range uint64(50) {
		rng := rngOf(seed)
		p := newProcess(20)
		down := map[string]bool{}
		p.hangs = func(target string) bool { return down[target] && seed%2 == 0 }
		p.refuses = func(target string) bool { return down[target] && seed%2 == 1 }
		p.run(30*time.Second, rng, func() {
			if rng.IntN(10) == 0 {
				clear(down)
				for _, target := range p.targets[:rng.IntN(len(p.targets)/2)] {
					down[target] = true
				}
			}
			for _, target := range p.targets {
				if rng.IntN(3) == 0 {
					p.request(target)
				}
			}
			p.dial(p.targets[rng.IntN(len(p.targets))])
			if p.mode() == Cut {
				t.Fatalf("seed %d: taken for cut off while %d of %d targets are down", seed, len(down), len(p.targets))
			}
		})
	}
}

// A popular service with one target, which is down, is no cut.
func TestOneTargetThatIsDownIsNoCut(t *testing.T) {
	rng := rngOf(3)
	p := newProcess(5)
	p.refuses = func(target string) bool { return target == "t0" }
	p.run(10*time.Second, rng, func() {
		for range 5 {
			p.dial("t0")
		}
		if p.mode() != Open {
			t.Fatalf("mode %v", p.mode())
		}
	})
	if perSecond := float64(p.probed) / 10; perSecond > roundProbes {
		t.Errorf("%.1f probes a second, want at most %d", perSecond, roundProbes)
	}
}

// A process that stood still finds all its attempts overdue: their responses wait for it.
func TestPauseOfProcessIsNoCut(t *testing.T) {
	rng := rngOf(4)
	p := newProcess(12)
	for _, target := range p.targets {
		p.Sent(p.now, target, usual)
	}
	p.run(tick, rng, nil)
	p.now = p.now.Add(5 * time.Second)
	p.run(tick, rng, nil)
	if p.probed > 0 || p.mode() != Open {
		t.Errorf("%d probes, mode %v right after a pause", p.probed, p.mode())
	}
}

// When the path is back, requests go to targets again soon, but not all at once.
func TestReturnOfPathIsGradual(t *testing.T) {
	rng := rngOf(5)
	p := newProcess(12)
	send := func() {
		for _, target := range p.targets {
			p.request(target)
		}
	}
	p.hangs = all
	p.run(2*maxRampTime, rng, send)
	p.hangs = never
	for range (reopenInterval + dialTimeout + 2*tick) / tick {
		if p.mode() != Open {
			p.run(tick, rng, nil)
		}
	}
	if p.mode() != Open {
		t.Fatalf("mode %v, want %v soon after the path is back", p.mode(), Open)
	}
	if p.Helps(p.now) {
		t.Error("serves requests of peers at once")
	}
	var direct [4]int
	openedAt := p.openedAt
	for p.now.Before(openedAt.Add(maxRampTime)) {
		quarter := int(4 * p.now.Sub(openedAt) / maxRampTime)
		for range 20 {
			if p.Direct(p.now, true) {
				direct[quarter]++
			}
		}
		p.run(tick, rng, nil)
	}
	if direct[0] == 0 || direct[0] > 30 || direct[3] < 70 {
		t.Errorf("%v requests of 100 are sent directly in each quarter of the time after the return, want few, then most", direct)
	}
	if !p.Direct(p.now, false) || !p.Helps(p.now) {
		t.Error("does not serve as before after the ramp")
	}
}
