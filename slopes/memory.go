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

// Numbers of links, requests and queries whose memory is measured.
var (
	linkCounts    = []int{100, 200, 400}
	requestCounts = []int{100, 200, 400}
	queryCounts   = []int{50, 100, 200}
)

// settleTime is the time that background work gets to finish before a reading.
const settleTime = 300 * time.Millisecond

// measureMemory measures the memory that the components of a process use.
func measureMemory() ([]measurement, error) {
	kinds := []struct {
		name  string
		per   string
		sizes []int
		setup func(n int) (teardown func(), err error)
	}{
		{"link, one end", "link", linkCounts, setupLinks},
		{"members", "member (2 per VM)", doubled(vmCounts), setupMembers},
		{"relay, targets not held", "target", targetCounts, setupRelay},
		{"gateway, contracts", "target", targetCounts, setupGateway},
		{"gateway, routes", "target", targetCounts, setupRoutes},
		{"relay, request at a target", "request in flight", requestCounts, setupRequests},
		{fmt.Sprintf("gateway, query of %d shards", fleetShards), "query in flight", queryCounts, setupQueries},
	}
	var measurements []measurement
	for _, k := range kinds {
		var points []point
		for _, n := range k.sizes {
			bytes, err := memoryOf(n, k.setup)
			if err != nil {
				return nil, errors.Annotate(err, k.name)
			}
			points = append(points, point{float64(n), bytes / 1024})
		}
		measurements = append(measurements, newMeasurement("memory: "+k.name, "KB", k.per, points))
	}
	return measurements, nil
}

func doubled(sizes []int) []int {
	out := make([]int, len(sizes))
	for i, n := range sizes {
		out[i] = 2 * n
	}
	return out
}

// memoryOf returns the bytes of memory that are in use after setup(n) and were
// not before.
func memoryOf(n int, setup func(n int) (func(), error)) (float64, error) {
	before := memoryInUse()
	teardown, err := setup(n)
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	used := memoryInUse() - before
	teardown()
	return used, nil
}

// setupLinks opens n/2 links, both ends of which are in this process.
func setupLinks(n int) (func(), error) {
	pair, err := newLinkPair(0)
	if err != nil {
		return nil, err
	}
	peers := make([]*link.Pool, n/2)
	established := make(chan *link.Link, n)
	for i := range peers {
		e := newEchoHandler(0)
		e.established = established
		peers[i] = link.NewPool(link.Options{
			Self: wire.Process{VM: vmName(i), Role: wire.RoleGateway, Incarnation: 1}, Handler: e, Logger: discardLogger,
		})
		peers[i].SetPeers(map[string]link.Peer{"vm1/relay": {Address: pair.server.Listener.Addr().String(), Persistent: true}})
	}
	teardown := func() {
		for _, p := range peers {
			p.Close()
		}
		pair.close()
	}
	for range peers {
		select {
		case <-established:
		case <-time.After(exchangeTimeout):
			teardown()
			return nil, errors.Timeoutf("setup of links")
		}
	}
	return teardown, nil
}

// setupPools creates the n/2 pools of setupLinks without links.
func setupPools(n int) (func(), error) {
	pools := make([]*link.Pool, n/2)
	for i := range pools {
		pools[i] = link.NewPool(link.Options{
			Self: wire.Process{VM: vmName(i), Role: wire.RoleGateway, Incarnation: 1}, Handler: newEchoHandler(0), Logger: discardLogger,
		})
	}
	return func() {
		for _, p := range pools {
			p.Close()
		}
	}, nil
}

func setupMembers(n int) (func(), error) {
	s := newMembership(n / 2)
	return func() { runtime.KeepAlive(s) }, nil
}

// newMembership returns the membership of the first process of a fleet.
func newMembership(vms int) *member.State {
	s := member.New(member.Options{
		Self:   wire.Process{VM: vmName(0), Role: wire.RoleRelay, DataCentre: dataCentreName(0), Incarnation: 1},
		Region: regionName(0),
	})
	var entries []member.Entry
	for _, vm := range vmList(1, vms).VMs {
		for role := range vm.Links {
			entries = append(entries, member.Entry{
				Name: wire.Process{VM: vm.Name, Role: role}.Name(), DataCentre: vm.DataCentre, Region: vm.Region,
			})
		}
	}
	s.SetVMList(startTime, entries)
	return s
}

// startTime is the simulated time at which state machines start.
var startTime = time.Unix(1_000_000, 0)

func setupRelay(n int) (func(), error) {
	r, teardown, err := newRelay(n, fleetVMs)
	runtime.KeepAlive(r)
	return teardown, err
}

// newRelay returns a relay of a fleet of the given size. It has no link to any
// other process.
func newRelay(targets, vms int) (*relay.Relay, func(), error) {
	self := wire.Process{VM: vmName(0), Role: wire.RoleRelay, DataCentre: dataCentreName(0), Incarnation: 1}
	pool := link.NewPool(link.Options{Self: self, Handler: newEchoHandler(0), Logger: discardLogger})
	r, err := relay.New(relay.Options{Self: self, Logger: discardLogger, Links: pool})
	if err != nil {
		pool.Close()
		return nil, nil, err
	}
	r.SetContracts(contracts(targets))
	r.SetVMList(vmList(1, vms), time.Now())
	return r, func() { r.Close(); pool.Close() }, nil
}

// setupGateway starts a gateway with contracts for n targets.
func setupGateway(n int) (func(), error) {
	self := wire.Process{VM: vmName(0), Role: wire.RoleGateway, DataCentre: dataCentreName(0), Incarnation: 1}
	pool := link.NewPool(link.Options{Self: self, Handler: newEchoHandler(0), Logger: discardLogger})
	g := gateway.New(gateway.Options{Self: self, Logger: discardLogger, Links: pool, Ready: func() (bool, string) { return true, "" }})
	g.SetContracts(contracts(n))
	return func() { g.Close(); pool.Close() }, nil
}

// setupRoutes creates a gateway's routing table with the relays that have a grant
// for each of n targets.
func setupRoutes(n int) (func(), error) {
	t := replica.New(replica.Options{DataCentre: dataCentreName(0)})
	for i := range n {
		t.SetTarget(targetName(i), dataCentreName(i/targetsPerGroup), true)
		for k := range targetSlots {
			holder := wire.Process{VM: vmName((i/targetsPerGroup + 7*k) % fleetVMs), Role: wire.RoleRelay}
			t.SetGrants(holder.Name(), []wire.Grant{{Target: targetName(i), State: wire.TargetWarm, Limit: 1}})
		}
	}
	return func() { runtime.KeepAlive(t) }, nil
}

// setupRequests starts n requests to a target that accepts connections and never
// responds. The target's ends of the connections are in this process.
func setupRequests(n int) (func(), error) {
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

// stubRouter is a router that always picks the first replica, and a retry budget
// that allows every extra attempt.
type stubRouter struct{}

func (stubRouter) Pick(_ time.Time, targets []string, _ replica.Purpose, _ []replica.Exclusion) (replica.Choice, code.Code) {
	return replica.Choice{Relay: "vm1/relay", Target: targets[0]}, code.OK
}
func (stubRouter) Sent(time.Time, replica.Choice)                {}
func (stubRouter) Done(time.Time, replica.Choice, query.Outcome) {}
func (stubRouter) AddFirst(time.Time, string)                    {}
func (stubRouter) TryExtra(time.Time, string) bool               { return true }

// setupQueries starts n queries of which no shard has responded.
func setupQueries(n int) (func(), error) {
	version := contracts(fleetTargets).Searches["all"].Versions["v1"]
	names := version.SortedShards()
	shardNames := coverage.NewShards(names)
	var shards []query.Shard
	for _, name := range names {
		shards = append(shards, query.Shard{Name: name, Replicas: version.Shards[name]})
	}
	queries := make([]*query.Machine, n)
	for i := range queries {
		queries[i] = query.New(query.Options{
			Version: "v1", Shards: shards, Coverage: coverage.NewTracker(shardNames),
			SoftDeadline: startTime.Add(time.Second), Deadline: startTime.Add(time.Second), Router: stubRouter{}, Budget: stubRouter{},
		})
		queries[i].Start(startTime)
	}
	return func() { runtime.KeepAlive(queries) }, nil
}
