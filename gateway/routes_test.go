package gateway

import (
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

func TestNewWorkAvoidsQuietRelaysIfItCan(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRoutes(1, hedge.Options{}, replica.Options{DataCentre: "dc1"})
	c := testContracts()
	r.setContracts(now, c, newCallerIndex(c).versions)
	held := []wire.Grant{{Target: "t0", State: wire.TargetWarm, Limit: 1}}
	r.setHoldings("vm1/relay", held)
	r.setHoldings("vm2/relay", held)
	r.setQuiet("vm1/relay", true)
	for range 50 {
		choice, got := r.pick(now, []string{"t0"}, replica.FirstAttempt, nil)
		if got != code.OK || choice.Relay != "vm2/relay" {
			t.Fatalf("picked %+v (%s), want the relay that is heard", choice, got)
		}
	}
	r.setQuiet("vm2/relay", true)
	if _, got := r.pick(now, []string{"t0"}, replica.FirstAttempt, nil); got != code.OK {
		t.Fatalf("no route (%s) although quiet relays hold the target", got)
	}
	r.setQuiet("vm1/relay", false)
	if choice, _ := r.pick(now, []string{"t0"}, replica.FirstAttempt, nil); choice.Relay != "vm1/relay" {
		t.Fatalf("picked %+v, want the relay that is heard again", choice)
	}
}
