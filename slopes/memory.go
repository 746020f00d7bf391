package main

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/coverage"
	"github.com/goldcrestmux/goldcrestmux/gateway"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/member"
	"github.com/goldcrestmux/goldcrestmux/query"
	"github.com/goldcrestmux/goldcrestmux/relay"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Sizes of what is held in memory.
var (
	linkCounts    = []int{100, 200, 400}
	requestCounts = []int{100, 200, 400}
	queryCounts   = []int{50, 100, 200}
)

// settle is the time that new parts get to come to rest.
const settle = 300 * time.Millisecond

// measureMemory takes the memory that parts of a process keep.
func measureMemory() ([]slope, error) {
	kinds := []struct {
		name  string
		per   string
		sizes []int
		hold  func(n int) (release func(), err error)
	}{
		{"link, one end", "link", linkCounts, holdLinks},
		{"members", "member (2 per VM)", doubled(vmCounts), holdMembers},
		{"relay, targets not held", "target", targetCounts, holdRelay},
		{"gateway, contracts", "target", targetCounts, holdGateway},
		{"gateway, routes", "target", targetCounts, holdRoutes},
		{"relay, request at a target", "request in flight", requestCounts, holdRequests},
		{fmt.Sprintf("gateway, query of %d shards", fleetShards), "query in flight", queryCounts, holdQueries},
	}
	var slopes []slope
	for _, k := range kinds {
		var points []point
		for _, n := range k.sizes {
			bytes, err := heldBytes(n, k.hold)
			if err != nil {
				return nil, errors.Annotate(err, k.name)
			}
			points = append(points, point{float64(n), bytes / 1024})
		}
		slopes = append(slopes, newSlope("memory: "+k.name, "KB", k.per, points))
	}
	return slopes, nil
}

func doubled(sizes []int) []int {
	out := make([]int, len(sizes))
	for i, n := range sizes {
		out[i] = 2 * n
	}
	return out
}

// heldBytes returns the memory that n parts keep while they are held.
func heldBytes(n int, hold func(n int) (func(), error)) (float64, error) {
	before := memoryInUse()
	release, err := hold(n)
	if err != nil {
		return 0, err
	}
	time.Sleep(settle)
	used := memoryInUse() - before
	release()
	return used, nil
}

// holdLinks holds n/2 links, both ends of which are in this process.
func holdLinks(n int) (func(), error) {
	hub, err := newLinked(0)
	if err != nil {
		return nil, err
	}
	peers := make([]*link.Pool, n/2)
	up := make(chan *link.Link, n)
	for i := range peers {
		e := newEcho(0)
		e.up = up
		peers[i] = link.NewPool(link.Options{
			Self: wire.Process{VM: vmName(i), Role: wire.RoleGateway, Incarnation: 1}, Handler: e, Logger: quiet,
		})
		peers[i].SetPeers(map[string]link.Peer{"vm1/relay": {Address: hub.server.Listener.Addr().String(), Persistent: true}})
	}
	release := func() {
		for _, p := range peers {
			p.Close()
		}
		hub.close()
	}
	for range peers {
		select {
		case <-up:
		case <-time.After(hopTimeout):
			release()
			return nil, errors.Timeoutf("links")
		}
	}
	return release, nil
}

// holdPools holds the n/2 pools of holdLinks without links.
func holdPools(n int) (func(), error) {
	pools := make([]*link.Pool, n/2)
	for i := range pools {
		pools[i] = link.NewPool(link.Options{
			Self: wire.Process{VM: vmName(i), Role: wire.RoleGateway, Incarnation: 1}, Handler: newEcho(0), Logger: quiet,
		})
	}
	return func() {
		for _, p := range pools {
			p.Close()
		}
	}, nil
}

func holdMembers(n int) (func(), error) {
	s := newMembers(n / 2)
	return func() { runtime.KeepAlive(s) }, nil
}

// newMembers returns the membership of the first process of a fleet.
func newMembers(vms int) *member.State {
	s := member.New(member.Options{
		Self:   wire.Process{VM: vmName(0), Role: wire.RoleRelay, DataCentre: centre(0), Incarnation: 1},
		Region: region(0),
	})
	var entries []member.Entry
	for _, vm := range vmList(1, vms).VMs {
		for role := range vm.Links {
			entries = append(entries, member.Entry{
				Name: wire.Process{VM: vm.Name, Role: role}.Name(), DataCentre: vm.DataCentre, Region: vm.Region,
			})
		}
	}
	s.SetVMList(start, entries)
	return s
}

// start is the scripted time at which state machines start.
var start = time.Unix(1_000_000, 0)

func holdRelay(n int) (func(), error) {
	r, release, err := newRelay(n, fleetVMs)
	runtime.KeepAlive(r)
	return release, err
}

// newRelay returns a relay of a fleet, which reaches no other process.
func newRelay(targets, vms int) (*relay.Relay, func(), error) {
	self := wire.Process{VM: vmName(0), Role: wire.RoleRelay, DataCentre: centre(0), Incarnation: 1}
	pool := link.NewPool(link.Options{Self: self, Handler: newEcho(0), Logger: quiet})
	r, err := relay.New(relay.Options{Self: self, Logger: quiet, Links: pool})
	if err != nil {
		pool.Close()
		return nil, nil, err
	}
	r.SetContracts(contracts(targets))
	r.SetVMList(vmList(1, vms), time.Now())
	return r, func() { r.Close(); pool.Close() }, nil
}

// holdGateway holds a gateway with contracts.
func holdGateway(n int) (func(), error) {
	self := wire.Process{VM: vmName(0), Role: wire.RoleGateway, DataCentre: centre(0), Incarnation: 1}
	pool := link.NewPool(link.Options{Self: self, Handler: newEcho(0), Logger: quiet})
	g := gateway.New(gateway.Options{Self: self, Logger: quiet, Links: pool, Ready: func() (bool, string) { return true, "" }})
	g.SetContracts(contracts(n))
	return func() { g.Close(); pool.Close() }, nil
}

// holdRoutes holds a gateway's table of which relays may use each target.
func holdRoutes(n int) (func(), error) {
	t := replica.New(replica.Options{DataCentre: centre(0)})
	for i := range n {
		t.SetTarget(targetName(i), centre(i/groupTargets), true)
		for k := range targetSlots {
			holder := wire.Process{VM: vmName((i/groupTargets + 7*k) % fleetVMs), Role: wire.RoleRelay}
			t.SetGrants(holder.Name(), []wire.Grant{{Target: targetName(i), State: wire.TargetWarm, Limit: 1}})
		}
	}
	return func() { runtime.KeepAlive(t) }, nil
}

// holdRequests holds requests that wait for the answer of a target that takes
// connections and never answers. The target's ends of them are in this process.
func holdRequests(n int) (func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	accepted := make(chan net.Conn, n)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	client := targetapi.NewTargetClient(targetapi.TargetClientOptions{
		Address: listener.Addr().String(), MaxConnections: n + 2, Pacer: targetapi.PacerOptions{MaxDials: n, MinInterval: time.Nanosecond},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, n)
	for i := range n {
		go func() {
			request := &targetapi.TargetRequest{ID: fmt.Sprint(i), Search: "all", Version: "v1", Shard: "s000", Payload: wire.RawJSON(`{}`)}
			client.Do(ctx, targetapi.PathSearch, request, time.Now().Add(time.Minute))
			done <- struct{}{}
		}()
	}
	conns := make([]net.Conn, 0, n)
	for range n {
		conns = append(conns, <-accepted)
	}
	return func() {
		cancel()
		_ = listener.Close()
		for _, c := range conns {
			_ = c.Close()
		}
		for range n {
			<-done
		}
		client.Close()
	}, nil
}

// granting is a router and budget that picks the first replica.
type granting struct{}

func (granting) Pick(_ time.Time, targets []string, _ replica.Purpose, _ []replica.Exclusion) (replica.Choice, code.Code) {
	return replica.Choice{Relay: "vm1/relay", Target: targets[0]}, code.OK
}
func (granting) Sent(time.Time, replica.Choice)                {}
func (granting) Done(time.Time, replica.Choice, query.Outcome) {}
func (granting) AddFirst(time.Time, string)                    {}
func (granting) TryExtra(time.Time, string) bool               { return true }

// holdQueries holds queries that wait for all their shards.
func holdQueries(n int) (func(), error) {
	version := contracts(fleetTargets).Searches["all"].Versions["v1"]
	names := version.SortedShards()
	prepared := coverage.NewShards(names)
	var shards []query.Shard
	for _, name := range names {
		shards = append(shards, query.Shard{Name: name, Replicas: version.Shards[name]})
	}
	queries := make([]*query.Machine, n)
	for i := range queries {
		queries[i] = query.New(query.Options{
			Version: "v1", Shards: shards, Coverage: coverage.NewTracker(prepared),
			SoftDeadline: start.Add(time.Second), Deadline: start.Add(time.Second), Router: granting{}, Budget: granting{},
		})
		queries[i].Start(start)
	}
	return func() { runtime.KeepAlive(queries) }, nil
}
