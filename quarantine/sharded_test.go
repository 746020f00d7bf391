package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a sharded request that has ended the targets of all shards going on to their
// other targets: its repeat is tried at one, once the others know.
func TestShardedRequestEndsWithItsTargets(t *testing.T) {
	p, r := newProcess("a"), request("c", "/x")
	r.Sharded = true
	p.crashTogether(r, minEnds-1)
	if p.Check(p.now, r, 0) != Send {
		t.Error("given up after few ends")
	}
	p = newProcess("a")
	p.crashTogether(r, 20)
	if p.Check(p.now, r, 0) != Refuse {
		t.Error("sent on after the targets of many shards have ended and none has completed it")
	}
	repeat := *r
	repeat.ID = "r2"
	if p.refused(&repeat) || p.Check(p.now, &repeat, 0) != Send || p.Check(p.now, &repeat, 1) != Wait {
		t.Error("a repeat is to be sent to one target at a time")
	}
}

// Guards against a sharded request ending a second target of a shard before the first targets
// of the others have ended: it is sent to no more targets until one of them responds.
func TestShardedRequestIsHeldAfterOneEnd(t *testing.T) {
	p, r := newProcess("a"), request("c", "/x")
	r.Sharded = true
	p.Broke(p.now, r, Run{Target: "t1", StartedAt: p.now.Add(-30 * time.Millisecond), EndedAt: p.now})
	if p.Check(p.now, r, 19) != Wait {
		t.Error("sent on while its other targets are running it")
	}
	other := request("c", "/x")
	other.Service = "s2"
	other.Sharded = true
	p.wait(time.Millisecond)
	p.Completed(p.now, other)
	if p.Check(p.now, r, 18) != Send {
		t.Error("held back although a target has completed it")
	}
	single := request("c", "/y")
	p.Broke(p.now, single, Run{Target: "t1", StartedAt: p.now.Add(-30 * time.Millisecond), EndedAt: p.now})
	if p.Check(p.now, single, 1) != Send {
		t.Error("a request to one service is held back after one end")
	}
}

// Guards against a request that has ended the first targets of all shards ending the others as
// well: its caller repeats it at once, from another address.
func TestRepeatOfOtherCallerIsSentToOneTargetAtATime(t *testing.T) {
	p, first, repeat := newProcess("a"), request("c", "/x"), request("d", "/x")
	first.Sharded, repeat.Sharded = true, true
	p.crashTogether(first, 20)
	if p.refused(repeat) || p.Check(p.now, repeat, 1) != Wait {
		t.Error("the repeat is to be sent to one target at a time")
	}
	var turns int
	for i := range 20 {
		other := newProcess(fmt.Sprint("p", i))
		other.crashTogether(first, 20)
		if other.Check(other.now, repeat, 0) == Send {
			turns++
		}
		other.wait(turnSpread)
		if other.Check(other.now, repeat, 0) != Send {
			t.Error("the repeat has no turn")
		}
	}
	if turns > 2 {
		t.Errorf("%d of 20 processes send the repeat at once, want them to take turns", turns)
	}
	if other := request("d", "/y"); p.Check(p.now, other, 1) != Send {
		t.Error("another request is held back")
	}
	p.Completed(p.now.Add(time.Millisecond), repeat)
	p.wait(2 * time.Millisecond)
	if p.Check(p.now, repeat, 1) != Send {
		t.Error("the repeat is held back after a target has completed it")
	}
}

// Guards against the news of a verdict waiting behind what was told of the many other requests
// that the same targets were running when they ended.
func TestVerdictIsToldDespiteManyBystanders(t *testing.T) {
	const fanout = 6
	p := newProcess("a")
	for i := range 200 {
		p.crashTogether(request(fmt.Sprint("c", i), fmt.Sprint("/bystander/", i)), 1)
		p.Urgent(p.now, fanout)
	}
	culprit := request("c", "/x")
	p.crashTogether(culprit, 20)
	p.wait(time.Millisecond)
	p.crash(culprit)
	var told bool
	for _, r := range p.Urgent(p.now, fanout) {
		told = told || (r.Quarantined && r.Key == culprit.Keys.Exact)
	}
	if !told {
		t.Error("the verdict is not told at once")
	}
}

// Guards against the news of a verdict waiting behind the same news of each of the many ends
// that came before it.
func TestVerdictIsToldAfterManyEnds(t *testing.T) {
	const fanout = 6
	p, r := newProcess("a"), request("c", "/x")
	started := p.now
	for i := range 40 {
		p.now = started.Add(time.Duration(30+i) * time.Millisecond)
		target := fmt.Sprint("first-", i)
		p.Broke(p.now, r, Run{Target: target, StartedAt: started, EndedAt: p.now})
		p.Confirm(p.now, target, 0, true)
		p.Urgent(p.now, fanout)
	}
	p.wait(time.Millisecond)
	p.crash(r)
	if reports := p.Urgent(p.now, fanout); len(reports) == 0 || !reports[0].Quarantined {
		t.Errorf("told at once: %+v, want the verdict", reports)
	}
}
