package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// coldPool returns a pool with one cold target. The target bears requests at a limited
// rate if its service is configured; otherwise its limits are unknown.
func coldPool(t *testing.T, configured bool, startedAt time.Time) (*Pool, *catalog.State) {
	t.Helper()
	p := New(Options{
		Codec: testCodec{}, DataCentre: "dc1", Dial: (&net.Dialer{}).DialContext, DialTimeout: time.Second,
		Cold: ColdBound{Overshoot: 1.5, Slack: 5}, StartedAt: startedAt,
	})
	t.Cleanup(p.Close)
	p.SetFleet(share.Fleet{Self: "a", Members: []string{"a"}})
	s := catalog.NewState(catalog.StateOptions{})
	config := &catalog.Config{Version: 1}
	if configured {
		config.Services = []*catalog.Service{{Name: "s1", MaxConnections: 25, WarmupRate: 10}}
	}
	s.Apply(time.Now(), []catalog.Item{
		{Kind: catalog.KindConfig, Revision: 1, Config: config},
		coldTarget(2, "127.0.0.1:1"),
	})
	p.Update(s.View())
	return p, s
}

func coldTarget(revision uint64, address string) catalog.Item {
	return catalog.Item{Kind: catalog.KindTarget, Name: "t1", Revision: revision, Target: &catalog.Target{
		ID: "t1", Service: "s1", Address: address, DataCentre: "dc1", Slots: 2, WarmupRemaining: time.Minute,
	}}
}

// granted returns how many of n attempts at the cold target are started.
func granted(p *Pool, n int) (count int) {
	call := &Call{ID: "1", Method: "GET", URI: "/x", Host: "h", Deadline: time.Now().Add(time.Second)}
	p.Prepare(call)
	results := make(chan *Result, n)
	for range n {
		if a, _ := p.Start(call, 0, AttemptOptions{Service: "s1", Deadline: call.Deadline}, results); a != nil {
			count++
		}
	}
	return count
}

// coldShare is the share of one process of the rate of requests to the cold target.
const coldShare = 16 // 0.8 of 1.5 times 10 and 5

// Guards against a cold target that gets the requests of a second twice: from a process
// and from the one that replaces it.
func TestColdTargetGetsNothingInFirstSecondAfterStart(t *testing.T) {
	p, _ := coldPool(t, true, time.Now())
	if n := granted(p, 2*coldShare); n != 0 {
		t.Fatalf("%d requests to a cold target right after the start, want none", n)
	}
	p, _ = coldPool(t, true, time.Now().Add(-time.Minute))
	if n := granted(p, 2*coldShare); n != coldShare {
		t.Fatalf("%d requests to a cold target in a second, want %d", n, coldShare)
	}
}

// Guards against a cold target without a limit because its service is not configured:
// targets start before the configuration that names them.
func TestColdTargetOfUnknownServiceGetsNothing(t *testing.T) {
	p, _ := coldPool(t, false, time.Now().Add(-time.Minute))
	if n := granted(p, 5); n != 0 {
		t.Fatalf("%d requests to a cold target whose limits are unknown, want none", n)
	}
}

// Guards against a cold target that gets its rate anew when its address changes.
func TestColdTargetKeepsItsRateWhenItsAddressChanges(t *testing.T) {
	p, s := coldPool(t, true, time.Now().Add(-time.Minute))
	granted(p, coldShare)
	s.Apply(time.Now(), []catalog.Item{coldTarget(3, "127.0.0.1:2")})
	p.Update(s.View())
	if n := granted(p, coldShare); n != 0 {
		t.Fatalf("%d requests to a cold target beyond its rate", n)
	}
}
