package upstream

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/pushback"
)

// start begins n attempts with the IDs "1" to "n" and returns how many found a target.
func start(p *Pool, n int, results chan *Result) (started int) {
	for i := range n {
		call := &Call{ID: fmt.Sprint(i + 1), Method: "GET", URI: "/x", Host: "h", Deadline: time.Now().Add(5 * time.Second)}
		p.Prepare(call)
		if a, _ := p.Start(call, 0, AttemptOptions{Service: "s1", Deadline: call.Deadline}, results); a != nil {
			started++
		}
	}
	return started
}

// Guards against attempts that wait for a connection and are sent after the target has
// asked for a pause.
func TestWaitingAttemptsEndWhenTargetAsksForPause(t *testing.T) {
	var conns, requests atomic.Int32
	p := poolWith(t, serve(t, &conns, func(nc net.Conn, r *http.Request) bool {
		requests.Add(1)
		time.Sleep(50 * time.Millisecond)
		_, err := fmt.Fprintf(nc, "HTTP/1.1 503 Busy\r\nTest-Id: %s\r\nTest-Not-Run: 1\r\nTest-Pause: 60\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Test-Id"))
		return err == nil
	}))
	const attempts = 10
	results := make(chan *Result, attempts)
	if n := start(p, attempts, results); n != attempts {
		t.Fatalf("%d attempts found a target, want %d", n, attempts)
	}
	outcomes := map[Outcome]int{}
	for range attempts {
		select {
		case r := <-results:
			outcomes[r.Outcome]++
		case <-time.After(3 * time.Second):
			t.Fatalf("no further result after 3 s, outcomes so far %v", outcomes)
		}
	}
	if n := int(requests.Load()); n > minConnections || outcomes[NotSent] < attempts-minConnections {
		t.Errorf("%d requests reached the target, outcomes %v; want those on its %d connections only", n, outcomes, minConnections)
	}
	if n := start(p, 1, results); n != 0 {
		t.Error("an attempt was started in the pause that the target asked for")
	}
}

// Guards against a target that has said that it is leaving, and is used again because its
// entry has expired and is registered again, or its address has changed.
func TestLeavingIsRememberedUntilTargetRestarts(t *testing.T) {
	var conns atomic.Int32
	p := poolWith(t, serve(t, &conns, func(net.Conn, *http.Request) bool { return false }))
	target := func(incarnation int64, address string) *catalog.View {
		s := catalog.NewState(catalog.StateOptions{})
		s.Apply(time.Now(), []catalog.Item{
			{Kind: catalog.KindConfig, Revision: 1, Config: &catalog.Config{Version: 1, Services: []*catalog.Service{{Name: "s1", MaxConnections: 25}}}},
			{Kind: catalog.KindTarget, Name: "t1", Revision: 2, Target: &catalog.Target{
				ID: "t1", Service: "s1", Address: address, DataCentre: "dc1", Slots: 2, Incarnation: incarnation,
			}},
		})
		return s.View()
	}
	p.Update(target(7, "127.0.0.1:1"))
	p.targets["t1"].pushback.Observe(time.Now().Add(-time.Minute), time.Now(), pushback.Notice{Leaving: true})
	results := make(chan *Result, 1)
	for name, views := range map[string][]*catalog.View{
		"same entry":       {target(7, "127.0.0.1:1")},
		"other address":    {target(7, "127.0.0.1:2")},
		"registered again": {catalog.NewState(catalog.StateOptions{}).View(), target(7, "127.0.0.1:1")},
	} {
		for _, v := range views {
			p.Update(v)
		}
		if n := start(p, 1, results); n != 0 {
			t.Errorf("%s: an attempt was started at a target that left", name)
		}
	}
	p.Update(target(8, "127.0.0.1:1"))
	if n := start(p, 1, results); n != 1 {
		t.Error("no attempt was started at a target that has started again")
	}
}

// Guards against a target whose entry expires while it answers its last requests: what it
// asks for in those responses must hold once it is registered again.
func TestNoticeOfRemovedTargetIsRemembered(t *testing.T) {
	var conns atomic.Int32
	proceed := make(chan struct{})
	address := serve(t, &conns, func(nc net.Conn, r *http.Request) bool {
		<-proceed
		_, err := fmt.Fprintf(nc, "HTTP/1.1 503 Busy\r\nTest-Id: %s\r\nTest-Not-Run: 1\r\nTest-Pause: 60\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Test-Id"))
		return err == nil
	})
	for name, returned := range map[string]bool{"registered after the response": false, "registered before the response": true} {
		p := poolWith(t, address)
		view := p.view
		results := make(chan *Result, 2)
		if n := start(p, 1, results); n != 1 {
			t.Fatal("no target")
		}
		for conns.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond) // the request has arrived
		p.Update(catalog.NewState(catalog.StateOptions{}).View())
		if returned {
			p.Update(view)
		}
		proceed <- struct{}{}
		if r := <-results; r.Outcome != Refused {
			t.Fatalf("%s: outcome %v, want %v", name, r.Outcome, Refused)
		}
		p.Update(view)
		if n := start(p, 1, results); n != 0 {
			t.Errorf("%s: an attempt was started in the pause that the target asked for", name)
		}
		conns.Store(0)
	}
}
