package relay

import (
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/budget"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// The relay limits the extra attempts of all gateways at a target to a fraction of the
// first attempts that it sends to the target. It never refuses a first attempt because
// of that limit.
func TestExtraAttemptsAreBoundedPerTarget(t *testing.T) {
	const gateways, firsts = 9, 400
	e := &targetEntry{
		relay:       &Relay{opts: Options{QueuePerTarget: DefaultQueuePerTarget}},
		machine:     target.New(target.Options{Name: "t", Contract: target.Contract{Slots: 2, ColdSlots: 1, WarmAfter: 1}}),
		running:     make(map[jobID]*job),
		retryBudget: budget.NewWindow(budget.MaxFraction, 0),
	}
	now := time.Unix(1_700_000_000, 0)
	e.machine.SetAdminState(now, true, "")
	e.machine.SetPermits(now, target.Permits{Held: 2, HoldsZero: true})
	submit := func(id uint64, extra bool) code.Code {
		j := &job{
			id: jobID{id: id}, index: -1, deadline: now.Add(time.Second),
			batch: &wire.Batch{}, sub: wire.SubRequest{ID: id, Extra: extra},
		}
		refusal := e.checkSubmit(now, j)
		if refusal != code.OK {
			return refusal
		}
		e.queue.add(j)
		for _, ready := range e.takeReady(now) {
			delete(e.running, ready.job.id)
			e.machine.Done(now, target.Outcome{Kind: target.OK, Epoch: ready.epoch, BootID: "b"})
		}
		return code.OK
	}
	extras := 0
	for i := range uint64(firsts) {
		now = now.Add(10 * time.Millisecond)
		if c := submit(i*(gateways+1), false); c != code.OK {
			t.Fatalf("first attempt %d: %s", i, c)
		}
		for g := range uint64(gateways) {
			switch c := submit(i*(gateways+1)+1+g, true); c {
			case code.OK:
				extras++
			case code.OverBudget:
			default:
				t.Fatalf("extra attempt: %s", c)
			}
		}
	}
	if limit := int(budget.MaxFraction * firsts); extras > limit || extras < limit*9/10 {
		t.Errorf("%d extra attempts for %d first attempts, want about %d", extras, firsts, limit)
	}
}

// Jobs of a higher priority come first, even if others have earlier deadlines.
func TestJobQueueOrdersByPriority(t *testing.T) {
	var q jobQueue
	now := time.Unix(1_700_000_000, 0)
	for id, priority := range []uint8{5, 5, 0, 9} {
		q.add(&job{
			id: jobID{id: uint64(id)}, deadline: now.Add(time.Duration(3-id) * time.Second),
			batch: &wire.Batch{Priority: priority},
		})
	}
	for i, want := range []uint64{2, 1, 0, 3} {
		if got := q.next().id.id; got != want {
			t.Errorf("position %d: job %d, want %d", i, got, want)
		}
	}
}
