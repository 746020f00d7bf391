package target

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The search is the same in every run; flags on the command line change it.
func init() {
	for name, value := range map[string]string{"seed": "20261204", "checks": "200", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
}

// TestInterleavings searches random interleavings of faults for two holders of
// a permit and for work above a cold target's allowance.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt, rapid.Uint64().Draw(rt, "seed"), 5)
		f.lag = time.Duration(rapid.IntRange(0, 4).Draw(rt, "lag")) * time.Second
		f.loss = float64(rapid.IntRange(0, 3).Draw(rt, "loss")) / 10
		f.run(20 * time.Second)
		faults := []func(n *node){
			func(n *node) { n.paused = !n.paused },
			func(n *node) { n.side = 1 - n.side },
			func(n *node) { n.listCut = !n.listCut },
			func(n *node) { f.unlist(n) },
			func(n *node) { f.relist(n, int(n.name[2]-'0')%3) },
			func(n *node) { f.flagLeaving(n) },
			func(n *node) { f.kill(n) },
			func(*node) { f.turnCold(true) },
			func(*node) { f.turnCold(false) },
			func(*node) { f.tgt.down = !f.tgt.down },
		}
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "relay")]
			faults[rapid.IntRange(0, len(faults)-1).Draw(rt, "fault")](n)
			f.run(time.Duration(rapid.IntRange(1, 200).Draw(rt, "steps")) * step)
		}
		f.heal()
		f.waitFor(2*time.Minute, "convergence", f.allHeld)
		f.waitFor(time.Minute, "full share", f.fullShare)
	})
}

// kill stops a running relay without notice, or starts it again.
func (f *fleet) kill(n *node) {
	if n.up {
		n.up = false
		return
	}
	f.start(n)
}

func (f *fleet) heal() {
	f.loss = 0
	f.tgt.down = false
	for i, n := range f.nodes {
		n.paused, n.side, n.listCut = false, 0, false
		f.relist(n, i%3)
		if !n.up {
			f.start(n)
		}
	}
}
