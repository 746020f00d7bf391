package standin_test

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/standin"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

const testTimeout = time.Minute

// fixture is a stand-in with clients of its admin API and of one of its targets.
type fixture struct {
	*testing.T
	ctx     context.Context
	s       *standin.Standin
	admin   *standin.AdminClient
	name    string // of the target
	shard   string // held by the target
	address string // of the target
	client  *targetapi.TargetClient
	sent    int
}

func newFixture(t *testing.T, o standin.Options) *fixture {
	s, err := standin.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	shard := s.Layout().Searches[0].Versions[0].Shards[0]
	f := &fixture{T: t, ctx: ctx, s: s, admin: standin.NewAdminClient(s.AdminAddress()), name: shard.Targets[0], shard: shard.Name}
	for _, target := range s.Layout().Targets {
		if target.Name == f.name {
			f.address = target.Address
			f.client = targetapi.NewTargetClient(targetapi.TargetClientOptions{Address: target.Address, DataCentre: target.DataCentre, MaxConnections: 20})
		}
	}
	return f
}

func (f *fixture) request(version string) *targetapi.TargetRequest {
	f.sent++
	return &targetapi.TargetRequest{
		ID: fmt.Sprintf("r%d", f.sent), Search: "small", Version: version, Shard: f.shard,
		Payload: wire.RawJSON(`{"limit":5}`),
	}
}

func (f *fixture) do(want code.Code) targetapi.Result {
	f.Helper()
	result := f.client.Do(f.ctx, targetapi.PathSearch, f.request("v1"), time.Now().Add(testTimeout))
	if result.Code != want {
		f.Fatalf("got %s, want %s: %v", result.Code, want, result.Err)
	}
	return result
}

func (f *fixture) change(c standin.TargetChange) {
	f.Helper()
	c.Targets = []string{f.name}
	if n, err := f.admin.ChangeTargets(f.ctx, c); err != nil || n != 1 {
		f.Fatalf("changed %d targets, want 1: %v", n, err)
	}
}

func (f *fixture) detail() standin.TargetDetail {
	f.Helper()
	detail, err := f.admin.Target(f.ctx, f.name)
	if err != nil {
		f.Fatal(err)
	}
	return detail
}

// startRequest starts a request and waits until the target runs it. The returned
// function cancels the request.
func (f *fixture) startRequest() (cancelRequest func() targetapi.Result) {
	ctx, cancel := context.WithCancel(f.ctx)
	done := make(chan targetapi.Result, 1)
	started := f.detail().Stats.Started
	req := f.request("v1")
	go func() { done <- f.client.Do(ctx, targetapi.PathSearch, req, time.Now().Add(testTimeout)) }()
	for f.detail().Stats.Started == started {
		if f.ctx.Err() != nil {
			f.Fatal("the target did not start the request before the test timed out")
		}
	}
	return func() targetapi.Result {
		cancel()
		return <-done
	}
}

var slow = standin.Service{Median: standin.Duration(time.Hour)}

func TestResponseMatchesCorpus(t *testing.T) {
	f := newFixture(t, standin.Options{Seed: 3, Warm: true})
	result := f.do(code.OK)
	layout := f.s.Layout()
	version := layout.Searches[0].Versions[0]
	c := corpus.New(corpus.Options{Seed: 3, Search: "small", Kind: layout.Searches[0].Kind, Records: layout.Records})
	matched, top := corpus.Search(c.Shard("v1", version.ShardNames(), f.shard), targetapi.Query{Limit: 5})
	if int(result.Response.Matched) != matched || !reflect.DeepEqual(result.Response.Records, top) {
		t.Fatalf("got %+v, want %d: %+v", result.Response, matched, top)
	}
}

func TestWarmTargetShedsRequestsBeyondSlots(t *testing.T) {
	f := newFixture(t, standin.Options{Warm: true, ServiceTime: slow})
	cancelFirst, cancelSecond := f.startRequest(), f.startRequest()
	if shed := f.do(code.Shed); shed.Run != code.NotRun {
		t.Fatalf("shed request: run status %d, want NotRun", shed.Run)
	}
	cancelFirst()
	if canceled := cancelSecond(); canceled.Code != code.Canceled || canceled.Run != code.RunUnknown {
		t.Fatalf("canceled request: got %s, run status %d: %v", canceled.Code, canceled.Run, canceled.Err)
	}
	if stats := f.detail().Stats; stats.Peak != 2 || stats.SlotViolations != 1 || stats.ColdViolations != 0 {
		t.Fatalf("got %+v, want a peak of 2, 1 slot violation and no cold one", stats)
	}
}

func TestColdTargetCrashesBeyondCapacityAndWarmsUp(t *testing.T) {
	f := newFixture(t, standin.Options{ServiceTime: slow, WarmAfter: 1})
	cancelRequest := f.startRequest()
	boot := f.detail().Stats.Boot
	f.do(code.ConnectionBroken)
	cancelRequest()
	for f.detail().Stats.Boot == boot {
		if f.ctx.Err() != nil {
			t.Fatal("the target did not restart after its crash")
		}
	}
	if stats := f.detail().Stats; stats.ColdViolations != 1 || stats.UndetectableColdViolations != 0 || stats.Warm {
		t.Fatalf("got %+v, want 1 detectable cold violation and a cold target", stats)
	}
	f.change(standin.TargetChange{ServiceTime: &standin.Service{}})
	f.do(code.OK)
	if !f.detail().Stats.Warm {
		t.Fatal("the target is not warm after WarmAfter completed requests")
	}
	f.change(standin.TargetChange{TurnCold: true, ServiceTime: &slow})
	f.startRequest()
	f.do(code.ConnectionBroken)
	if stats := f.detail().Stats; stats.ColdViolations != 2 || stats.UndetectableColdViolations != 1 {
		t.Fatalf("got %+v, want 2 cold violations, 1 of them undetectable", stats)
	}
}

func TestResponseFaults(t *testing.T) {
	f := newFixture(t, standin.Options{Warm: true})
	f.do(code.OK)
	for _, faults := range []standin.AnswerFaults{{Mismatched: 1}, {Truncated: 1}, {Malformed: 1}} {
		f.change(standin.TargetChange{Faults: &faults})
		f.do(code.BadResponse)
	}
	f.change(standin.TargetChange{Faults: &standin.AnswerFaults{}})
	f.do(code.OK)
}

func TestTargetStateChanges(t *testing.T) {
	f := newFixture(t, standin.Options{Warm: true})
	yes, no := true, false
	f.change(standin.TargetChange{Drain: &yes, DrainGracePeriod: standin.Duration(testTimeout)})
	if !f.do(code.OK).Draining {
		t.Fatal("the response of a draining target has no draining header")
	}
	f.change(standin.TargetChange{Drain: &yes})
	f.do(code.TargetOutOfService)
	f.change(standin.TargetChange{Drain: &no, Drop: []string{"v1"}, Load: []string{"v2"}})
	if gone := f.do(code.VersionNotLoaded); !reflect.DeepEqual(gone.Refusal.Versions, []string{"v2"}) {
		t.Fatalf("loaded versions %v, want v2 only", gone.Refusal.Versions)
	}
	f.change(standin.TargetChange{Load: []string{"v1"}, Crash: true})
	f.client.Close() // its idle connections may not have received the resets yet
	if refused := f.do(code.Unreachable); refused.Sent {
		t.Fatal("part of a request was sent to a crashed target")
	}
	f.change(standin.TargetChange{Restart: true})
	f.do(code.OK)
	f.change(standin.TargetChange{SilentFraction: 1})
	if result := f.client.Do(f.ctx, targetapi.PathSearch, f.request("v1"), time.Now().Add(500*time.Millisecond)); result.Code != code.Timeout {
		t.Fatalf("request on a silent connection: got %s, want a timeout", result.Code)
	}
	f.do(code.OK)
	// A silent connection discards the request, so that it does not run.
	if n := len(f.detail().Executions); n != 3 {
		t.Fatalf("the ledger has %d executions, want 3", n)
	}
}

func TestHealthAndVMListAreStale(t *testing.T) {
	f := newFixture(t, standin.Options{})
	yes, hour := true, standin.Duration(time.Hour)
	f.change(standin.TargetChange{ClaimWarm: &yes, HealthLag: &hour})
	first, err := f.client.Probe(f.ctx)
	if err != nil || !first.Reported.Warm || f.detail().Stats.Warm {
		t.Fatalf("got %+v, %v, want a false report that the target is warm", first, err)
	}
	f.change(standin.TargetChange{TurnCold: true})
	second, err := f.client.Probe(f.ctx)
	if err != nil || second.Reported.BootID != first.BootID || second.BootID == first.BootID {
		t.Fatalf("got %+v after %+v, %v, want a new boot ID in the header only", second, first, err)
	}

	vms := platformapi.NewVMListClient(platformapi.ClientOptions{Address: f.s.PlatformAddress()})
	for _, lag := range []standin.Duration{0, hour} {
		if err := f.admin.SetVMs(f.ctx, standin.VMsChange{Lag: &lag, VMs: []platformapi.VM{{Name: "vm-" + lag.Std().String()}}}); err != nil {
			t.Fatal(err)
		}
		list, err := vms.List(f.ctx)
		if err != nil || len(list.VMs) != 1 || list.VMs[0].Name != "vm-0s" {
			t.Fatalf("VM list with lag %v: got %+v, %v, want vm-0s only", lag.Std(), list, err)
		}
	}
}

func BenchmarkTargetRequest(b *testing.B) {
	s, err := standin.New(standin.Options{Warm: true, ServiceTime: standin.Service{Median: 1}})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	layout := s.Layout()
	client := targetapi.NewTargetClient(targetapi.TargetClientOptions{Address: layout.Targets[0].Address})
	req := targetapi.TargetRequest{ID: "r", Search: "small", Version: "v1", Shard: layout.Searches[0].Versions[0].Shards[0].Name, Payload: wire.RawJSON(`{"limit":10}`)}
	b.ReportAllocs()
	for b.Loop() {
		if result := client.Do(b.Context(), targetapi.PathSearch, &req, time.Now().Add(testTimeout)); result.Code != code.OK {
			b.Fatal(result.Err)
		}
	}
}

func TestDeadlineStopsRequest(t *testing.T) {
	f := newFixture(t, standin.Options{Warm: true, ServiceTime: slow})
	client := targetapi.NewTargetClient(targetapi.TargetClientOptions{Address: f.address, CancelGracePeriod: testTimeout})
	result := client.Do(f.ctx, targetapi.PathSearch, f.request("v1"), time.Now().Add(500*time.Millisecond))
	if result.Code != code.Timeout || result.Refusal == nil || result.Run != code.RunUnknown {
		t.Fatalf("got %s, refusal %v, want a timeout that the target reports: %v", result.Code, result.Refusal, result.Err)
	}
	if detail := f.detail(); detail.Stats.Running != 0 || detail.Executions[0].Code != code.Timeout {
		t.Fatalf("got %+v, want no execution in progress and a first one that timed out", detail)
	}
}

func TestFrozenOrPartitionedTargetDoesNotRespond(t *testing.T) {
	f := newFixture(t, standin.Options{Warm: true})
	yes, no := true, false
	partitioned, none := []string{"dc1"}, []string{}
	f.do(code.OK)
	for _, test := range []struct{ on, off standin.TargetChange }{
		{standin.TargetChange{Frozen: &yes}, standin.TargetChange{Frozen: &no}},
		{standin.TargetChange{PartitionedDataCentres: &partitioned}, standin.TargetChange{PartitionedDataCentres: &none}},
	} {
		f.change(test.on)
		ctx, cancel := context.WithTimeout(f.ctx, 100*time.Millisecond)
		if health, err := f.client.Probe(ctx); err == nil {
			t.Errorf("health check received %+v, want no response", health)
		}
		cancel()
		f.change(test.off)
		f.do(code.OK)
	}
}

func TestConnectionsAreLimited(t *testing.T) {
	f := newFixture(t, standin.Options{})
	limit := f.s.Layout().Targets[0].Connections
	for range limit {
		conn, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	// The excess connection may be reset during the dial or after it.
	conn, err := net.Dial("tcp", f.address)
	if err == nil {
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
	}
	if err == nil {
		t.Fatal("a connection beyond the limit was not reset")
	}
	if stats := f.detail().Stats; stats.ConnectionViolations != 1 || stats.PeakConnections != limit {
		t.Fatalf("got %+v, want 1 connection violation and a peak of %d connections", stats, limit)
	}
}

func TestActionsAreCounted(t *testing.T) {
	f := newFixture(t, standin.Options{Warm: true})
	for range 2 {
		req := f.request("v1")
		req.Payload = wire.RawJSON(`{"id":"a1","key":"C-000001","score":4}`)
		if result := f.client.Do(f.ctx, targetapi.PathAction, req, time.Now().Add(testTimeout)); result.Code != code.OK {
			t.Fatalf("got %s: %v", result.Code, result.Err)
		}
	}
	runs, err := f.admin.ActionRuns(f.ctx, []string{"a1", "a2"})
	if want := []standin.ActionRuns{{Action: "a1", Runs: 2}, {Action: "a2"}}; err != nil || !reflect.DeepEqual(runs, want) {
		t.Fatalf("got %v, %v, want %v", runs, err, want)
	}
}
