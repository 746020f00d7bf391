package gateway

import (
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

func TestPickAvoidsUnresponsiveRelays(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRoutes(1, hedge.Options{}, replica.Options{DataCentre: "dc1"})
	c := testContracts()
	r.setContracts(now, c, newContractIndex(c).versions)
	grants := []wire.Grant{{Target: "t0", State: wire.TargetWarm, Limit: 1}}
	r.setGrants("vm1/relay", grants)
	r.setGrants("vm2/relay", grants)
	r.setUnresponsive("vm1/relay", true)
	for range 50 {
		choice, got := r.pick(now, []string{"t0"}, replica.FirstAttempt, nil)
		if got != code.OK || choice.Relay != "vm2/relay" {
			t.Fatalf("picked %+v (%s), want vm2/relay, which is responsive", choice, got)
		}
	}
	r.setUnresponsive("vm2/relay", true)
	if _, got := r.pick(now, []string{"t0"}, replica.FirstAttempt, nil); got != code.OK {
		t.Fatalf("no route (%s), want one through an unresponsive relay", got)
	}
	r.setUnresponsive("vm1/relay", false)
	if choice, _ := r.pick(now, []string{"t0"}, replica.FirstAttempt, nil); choice.Relay != "vm1/relay" {
		t.Fatalf("picked %+v, want vm1/relay, which is responsive again", choice)
	}
}
