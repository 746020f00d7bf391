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

const ample = time.Minute

// bench is a stand-in with a client of its admin API and of one target.
type bench struct {
	*testing.T
	ctx     context.Context
	s       *standin.Standin
	admin   *standin.AdminClient
	name    string // of the target
	shard   string
	address string
	client  *targetapi.TargetClient
	sent    int
}

func newBench(t *testing.T, o standin.Options) *bench {
	s, err := standin.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), ample)
	t.Cleanup(cancel)
	shard := s.Layout().Searches[0].Versions[0].Shards[0]
	b := &bench{T: t, ctx: ctx, s: s, admin: standin.NewAdminClient(s.AdminAddress()), name: shard.Targets[0], shard: shard.Name}
	for _, target := range s.Layout().Targets {
		if target.Name == b.name {
			b.address = target.Address
			b.client = targetapi.NewTargetClient(targetapi.TargetClientOptions{Address: target.Address, DataCentre: target.DataCentre, MaxConnections: 20})
		}
	}
	return b
}

func (b *bench) request(version string) *targetapi.TargetRequest {
	b.sent++
	return &targetapi.TargetRequest{
		ID: fmt.Sprintf("r%d", b.sent), Search: "small", Version: version, Shard: b.shard,
		Payload: wire.RawJSON(`{"limit":5}`),
	}
}

func (b *bench) do(want code.Code) targetapi.Result {
	b.Helper()
	result := b.client.Do(b.ctx, targetapi.PathSearch, b.request("v1"), time.Now().Add(ample))
	if result.Code != want {
		b.Fatalf("got %s, want %s: %v", result.Code, want, result.Err)
	}
	return result
}

func (b *bench) change(c standin.TargetChange) {
	b.Helper()
	c.Targets = []string{b.name}
	if n, err := b.admin.ChangeTargets(b.ctx, c); err != nil || n != 1 {
		b.Fatalf("changed %d targets: %v", n, err)
	}
}

func (b *bench) detail() standin.TargetDetail {
	b.Helper()
	detail, err := b.admin.Target(b.ctx, b.name)
	if err != nil {
		b.Fatal(err)
	}
	return detail
}

// holdOne starts a request that runs until the returned function stops it.
func (b *bench) holdOne() (release func() targetapi.Result) {
	ctx, cancel := context.WithCancel(b.ctx)
	done := make(chan targetapi.Result, 1)
	started := b.detail().Stats.Started
	req := b.request("v1")
	go func() { done <- b.client.Do(ctx, targetapi.PathSearch, req, time.Now().Add(ample)) }()
	for b.detail().Stats.Started == started {
		if b.ctx.Err() != nil {
			b.Fatal("the request didn't start")
		}
	}
	return func() targetapi.Result {
		cancel()
		return <-done
	}
}

var slow = standin.Service{Median: standin.Duration(time.Hour)}

func TestAnswersAreExpected(t *testing.T) {
	b := newBench(t, standin.Options{Seed: 3, Warm: true})
	result := b.do(code.OK)
	layout := b.s.Layout()
	version := layout.Searches[0].Versions[0]
	c := corpus.New(corpus.Options{Seed: 3, Search: "small", Kind: layout.Searches[0].Kind, Records: layout.Records})
	matched, top := corpus.Search(c.Shard("v1", version.ShardNames(), b.shard), targetapi.Query{Limit: 5})
	if int(result.Response.Matched) != matched || !reflect.DeepEqual(result.Response.Records, top) {
		t.Fatalf("got %+v, want %d: %+v", result.Response, matched, top)
	}
}

func TestWarmTargetShedsBeyondSlots(t *testing.T) {
	b := newBench(t, standin.Options{Warm: true, ServiceTime: slow})
	first, second := b.holdOne(), b.holdOne()
	if shed := b.do(code.Shed); shed.Run != code.NotRun {
		t.Fatalf("a shed request has run %d", shed.Run)
	}
	first()
	if canceled := second(); canceled.Code != code.Canceled || canceled.Run != code.RunUnknown {
		t.Fatalf("got %s, run %d: %v", canceled.Code, canceled.Run, canceled.Err)
	}
	if stats := b.detail().Stats; stats.Peak != 2 || stats.SlotBreaches != 1 || stats.ColdBreaches != 0 {
		t.Fatalf("got %+v", stats)
	}
}

func TestColdTargetFallsOverAndWarmsByWork(t *testing.T) {
	b := newBench(t, standin.Options{ServiceTime: slow, WarmAfter: 1})
	release := b.holdOne()
	boot := b.detail().Stats.Boot
	b.do(code.Broken)
	release()
	for b.detail().Stats.Boot == boot {
		if b.ctx.Err() != nil {
			t.Fatal("the target didn't start again")
		}
	}
	if stats := b.detail().Stats; stats.ColdBreaches != 1 || stats.UnavoidableColdBreaches != 0 || stats.Warm {
		t.Fatalf("got %+v", stats)
	}
	b.change(standin.TargetChange{ServiceTime: &standin.Service{}})
	b.do(code.OK)
	if !b.detail().Stats.Warm {
		t.Fatal("the target isn't warm after its work")
	}
	b.change(standin.TargetChange{TurnCold: true, ServiceTime: &slow})
	b.holdOne()
	b.do(code.Broken)
	if stats := b.detail().Stats; stats.ColdBreaches != 2 || stats.UnavoidableColdBreaches != 1 {
		t.Fatalf("got %+v", stats)
	}
}

func TestFaultyAnswers(t *testing.T) {
	b := newBench(t, standin.Options{Warm: true})
	b.do(code.OK)
	for _, faults := range []standin.AnswerFaults{{Mismatched: 1}, {Truncated: 1}, {Malformed: 1}} {
		b.change(standin.TargetChange{Faults: &faults})
		b.do(code.BadAnswer)
	}
	b.change(standin.TargetChange{Faults: &standin.AnswerFaults{}})
	b.do(code.OK)
}

func TestTargetStates(t *testing.T) {
	b := newBench(t, standin.Options{Warm: true})
	yes, no := true, false
	b.change(standin.TargetChange{Drain: &yes, DrainGracePeriod: standin.Duration(ample)})
	if !b.do(code.OK).Draining {
		t.Fatal("the answer doesn't tell that the target drains")
	}
	b.change(standin.TargetChange{Drain: &yes})
	b.do(code.TargetOut)
	b.change(standin.TargetChange{Drain: &no, Drop: []string{"v1"}, Load: []string{"v2"}})
	if gone := b.do(code.VersionNotLoaded); !reflect.DeepEqual(gone.Refusal.Versions, []string{"v2"}) {
		t.Fatalf("versions %v", gone.Refusal.Versions)
	}
	b.change(standin.TargetChange{Load: []string{"v1"}, Crash: true})
	b.client.Close() // it may not have seen the resets yet
	if refused := b.do(code.Unreachable); refused.Sent {
		t.Fatal("a byte left for a crashed target")
	}
	b.change(standin.TargetChange{Restart: true})
	b.do(code.OK)
	b.change(standin.TargetChange{SilentFraction: 1})
	if result := b.client.Do(b.ctx, targetapi.PathSearch, b.request("v1"), time.Now().Add(500*time.Millisecond)); result.Code != code.Timeout {
		t.Fatalf("a silent connection gave %s", result.Code)
	}
	b.do(code.OK)
	// A silent connection swallows the request, so that it doesn't run.
	if n := len(b.detail().Executions); n != 3 {
		t.Fatalf("the ledger has %d executions", n)
	}
}

func TestHealthMisleadsAndListLags(t *testing.T) {
	b := newBench(t, standin.Options{})
	yes, hour := true, standin.Duration(time.Hour)
	b.change(standin.TargetChange{ClaimWarm: &yes, HealthLag: &hour})
	old, err := b.client.Probe(b.ctx)
	if err != nil || !old.Reported.Warm || b.detail().Stats.Warm {
		t.Fatalf("health %+v, %v", old, err)
	}
	b.change(standin.TargetChange{TurnCold: true})
	now, err := b.client.Probe(b.ctx)
	if err != nil || now.Reported.BootID != old.BootID || now.BootID == old.BootID {
		t.Fatalf("health %+v after %+v, %v", now, old, err)
	}

	vms := platformapi.NewVMListClient(platformapi.ClientOptions{Address: b.s.PlatformAddress()})
	for _, lag := range []standin.Duration{0, hour} {
		if err := b.admin.SetVMs(b.ctx, standin.VMsChange{Lag: &lag, VMs: []platformapi.VM{{Name: "vm-" + lag.Std().String()}}}); err != nil {
			t.Fatal(err)
		}
		list, err := vms.List(b.ctx)
		if err != nil || len(list.VMs) != 1 || list.VMs[0].Name != "vm-0s" {
			t.Fatalf("with lag %v: %+v, %v", lag.Std(), list, err)
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
		if result := client.Do(b.Context(), targetapi.PathSearch, &req, time.Now().Add(ample)); result.Code != code.OK {
			b.Fatal(result.Err)
		}
	}
}

func TestDeadlineStopsWork(t *testing.T) {
	b := newBench(t, standin.Options{Warm: true, ServiceTime: slow})
	patient := targetapi.NewTargetClient(targetapi.TargetClientOptions{Address: b.address, CancelGracePeriod: ample})
	result := patient.Do(b.ctx, targetapi.PathSearch, b.request("v1"), time.Now().Add(500*time.Millisecond))
	if result.Code != code.Timeout || result.Refusal == nil || result.Run != code.RunUnknown {
		t.Fatalf("got %s, refusal %v: %v", result.Code, result.Refusal, result.Err)
	}
	if detail := b.detail(); detail.Stats.Running != 0 || detail.Executions[0].Code != code.Timeout {
		t.Fatalf("got %+v", detail)
	}
}

func TestTargetGoesDeaf(t *testing.T) {
	b := newBench(t, standin.Options{Warm: true})
	yes, no := true, false
	cut, none := []string{"dc1"}, []string{}
	b.do(code.OK)
	for _, test := range []struct{ on, off standin.TargetChange }{
		{standin.TargetChange{Frozen: &yes}, standin.TargetChange{Frozen: &no}},
		{standin.TargetChange{PartitionedDataCentres: &cut}, standin.TargetChange{PartitionedDataCentres: &none}},
	} {
		b.change(test.on)
		short, cancel := context.WithTimeout(b.ctx, 100*time.Millisecond)
		if health, err := b.client.Probe(short); err == nil {
			t.Errorf("a deaf target answered %+v", health)
		}
		cancel()
		b.change(test.off)
		b.do(code.OK)
	}
}

func TestConnectionsAreLimited(t *testing.T) {
	b := newBench(t, standin.Options{})
	limit := b.s.Layout().Targets[0].Connections
	for range limit {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	// The reset of the excess connection may come during the dial or after it.
	conn, err := net.Dial("tcp", b.address)
	if err == nil {
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
	}
	if err == nil {
		t.Fatal("a connection beyond the limit was served")
	}
	if stats := b.detail().Stats; stats.ConnectionBreaches != 1 || stats.PeakConnections != limit {
		t.Fatalf("got %+v", stats)
	}
}

func TestActionsAreCounted(t *testing.T) {
	b := newBench(t, standin.Options{Warm: true})
	for range 2 {
		req := b.request("v1")
		req.Payload = wire.RawJSON(`{"id":"a1","key":"C-000001","score":4}`)
		if result := b.client.Do(b.ctx, targetapi.PathAction, req, time.Now().Add(ample)); result.Code != code.OK {
			t.Fatalf("got %s: %v", result.Code, result.Err)
		}
	}
	runs, err := b.admin.ActionRuns(b.ctx, []string{"a1", "a2"})
	if want := []standin.ActionRuns{{Action: "a1", Runs: 2}, {Action: "a2"}}; err != nil || !reflect.DeepEqual(runs, want) {
		t.Fatalf("got %v, %v", runs, err)
	}
}
