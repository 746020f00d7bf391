package query

import (
	"flag"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/coverage"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"pgregory.net/rapid"
)

// Property tests run the same cases each time.
var _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "500")

// fakeRoutes is a Router and Budget: it picks the first replica that is not
// excluded, by relay "r" and then "q", and allows a fixed number of extra
// attempts.
type fakeRoutes struct {
	extraBudget    int
	firstAttempts  int
	withoutVersion map[string]bool
	mayRestart     bool
}

func (s *fakeRoutes) Pick(_ time.Time, targets []string, _ replica.Purpose, exclude []replica.Exclusion) (replica.Choice, code.Code) {
	for _, target := range targets {
		for _, relay := range []string{"r", "q"} {
			if !excluded(exclude, relay, target) {
				return replica.Choice{Relay: relay, Target: target}, code.OK
			}
		}
	}
	return replica.Choice{}, code.NoReplica
}

func excluded(exclude []replica.Exclusion, relay, target string) bool {
	for _, e := range exclude {
		if (e.Relay == "" || e.Relay == relay) && (e.Target == "" || e.Target == target) {
			return true
		}
	}
	return false
}

func (s *fakeRoutes) Sent(time.Time, replica.Choice)          {}
func (s *fakeRoutes) Done(time.Time, replica.Choice, Outcome) {}
func (s *fakeRoutes) AddFirst(time.Time, string)              { s.firstAttempts++ }

func (s *fakeRoutes) TryExtra(time.Time, string) bool {
	s.extraBudget--
	return s.extraBudget >= 0
}

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newMachine(s *fakeRoutes, action bool) *Machine {
	return New(Options{
		Version:      "v1",
		Shards:       []Shard{{Name: "s0", Replicas: []string{"a0", "b0"}}, {Name: "s1", Replicas: []string{"a1", "b1"}}},
		Coverage:     coverage.New([]string{"s0", "s1"}),
		SoftDeadline: at(100),
		Deadline:     at(200),
		HedgeDelay:   func(time.Time) (time.Duration, bool) { return 10 * time.Millisecond, true },
		Action:       action,
		Router:       s,
		Budget:       s,

		LacksVersion: func(_ time.Time, target string) bool { return s.withoutVersion[target] },
		MayRestart:   func(time.Time) bool { return s.mayRestart },
	})
}

func responseTo(a Attempt, c code.Code, run code.RunStatus) *wire.SubResponse {
	return &wire.SubResponse{Shard: a.Shard, Target: a.Route.Target, Version: "v1", Code: c, Run: run}
}

func TestQueryFinishesWhenEveryShardResponds(t *testing.T) {
	m := newMachine(&fakeRoutes{}, false)
	sent := append([]Attempt(nil), m.Start(at(0)).Send...)
	for _, a := range sent {
		m.Responded(at(5), a.ID, responseTo(a, code.OK, code.Ran))
	}
	if m.Status() != Finished || !m.Coverage().Complete() {
		t.Fatalf("status %v, complete %v; want finished and complete", m.Status(), m.Coverage().Complete())
	}
}

func TestResponseToAnotherRequestIsDiscarded(t *testing.T) {
	m := newMachine(&fakeRoutes{}, false)
	sent := append([]Attempt(nil), m.Start(at(0)).Send...)
	crossed := responseTo(sent[1], code.OK, code.Ran)
	m.Responded(at(1), sent[0].ID, crossed)
	other := responseTo(sent[1], code.OK, code.Ran)
	other.Version = "v2"
	m.Responded(at(1), sent[1].ID, other)
	if n := m.Coverage().Responded(); n != 0 {
		t.Fatalf("%d shards settled by responses to other requests, want 0", n)
	}
}

func TestLateShardIsHedgedOnceWithinBudget(t *testing.T) {
	s := &fakeRoutes{extraBudget: 1}
	m := newMachine(s, false)
	first := append([]Attempt(nil), m.Start(at(0)).Send...)
	hedges := append([]Attempt(nil), m.Tick(at(10)).Send...)
	if len(hedges) != 1 || !hedges[0].Extra || hedges[0].Route.Target != "b0" {
		t.Fatalf("hedges %+v, want one to b0", hedges)
	}
	canceled := m.Responded(at(12), hedges[0].ID, responseTo(hedges[0], code.OK, code.Ran)).Cancel
	if len(canceled) != 1 || canceled[0].ID != first[0].ID {
		t.Fatalf("canceled %+v, want the first attempt", canceled)
	}
	if more := m.Tick(at(50)).Send; len(more) != 0 {
		t.Fatalf("sent %+v beyond the budget", more)
	}
}

func TestRetryDrawsOnBudgetOnlyIfWorkMayHaveRun(t *testing.T) {
	s := &fakeRoutes{extraBudget: 0}
	m := newMachine(s, false)
	sent := append([]Attempt(nil), m.Start(at(0)).Send...)
	rerouted := m.Responded(at(1), sent[0].ID, responseTo(sent[0], code.PermitNotHeld, code.NotRun)).Send
	if len(rerouted) != 1 || rerouted[0].Route != (replica.Choice{Relay: "q", Target: "a0"}) {
		t.Fatalf("rerouted to %+v, want the other relay of a0", rerouted)
	}
	if retried := m.Responded(at(1), sent[1].ID, responseTo(sent[1], code.ConnectionBroken, code.RunUnknown)).Send; len(retried) != 0 {
		t.Fatalf("retried %+v without budget", retried)
	}
	s.extraBudget = 1
	if retried := m.Tick(at(30)).Send; len(retried) != 1 || retried[0].Route.Target != "b1" {
		t.Fatalf("retried %+v, want b1 once the budget allows", retried)
	}
}

// Guards against a retry budget that grows with attempts that reached no target: a
// shard counts once, however often relays refuse its attempt.
func TestRefusedAttemptsDoNotEnlargeBudget(t *testing.T) {
	s := &fakeRoutes{}
	m := newMachine(s, false)
	first := append([]Attempt(nil), m.Start(at(0)).Send...)
	rerouted := append([]Attempt(nil), m.Responded(at(1), first[0].ID, responseTo(first[0], code.PermitNotHeld, code.NotRun)).Send...)
	if len(rerouted) != 1 {
		t.Fatalf("rerouted %+v, want one attempt", rerouted)
	}
	m.Responded(at(2), rerouted[0].ID, responseTo(rerouted[0], code.PermitNotHeld, code.NotRun))
	if s.firstAttempts != 2 {
		t.Fatalf("%d first attempts for 2 shards", s.firstAttempts)
	}
}

func TestPartialResponseNamesMissingShards(t *testing.T) {
	m := newMachine(&fakeRoutes{}, false)
	sent := append([]Attempt(nil), m.Start(at(0)).Send...)
	m.Responded(at(5), sent[0].ID, responseTo(sent[0], code.OK, code.Ran))
	if next := m.NextTick(); next.After(at(100)) {
		t.Fatalf("next tick at %v, want the soft deadline %v", next, at(100))
	}
	m.Tick(at(100))
	report := m.Coverage().Report()
	if m.Status() != Finished || len(report.Missing) != 1 || report.Missing[0].Shard != "s1" || report.Missing[0].Reason != code.Timeout {
		t.Fatalf("status %v, report %+v; want finished with s1 missing because of a timeout", m.Status(), report)
	}
}

func TestQueryRestartsIfNoReplicaServesVersion(t *testing.T) {
	m := newMachine(&fakeRoutes{mayRestart: true}, false)
	sent := append([]Attempt(nil), m.Start(at(0)).Send...)
	second := append([]Attempt(nil), m.Responded(at(1), sent[0].ID, responseTo(sent[0], code.VersionGone, code.NotRun)).Send...)
	if len(second) != 1 || second[0].Route.Target != "b0" {
		t.Fatalf("sent %+v, want the other replica", second)
	}
	canceled := m.Responded(at(2), second[0].ID, responseTo(second[0], code.VersionGone, code.NotRun)).Cancel
	if m.Status() != Restart || len(canceled) != 1 {
		t.Fatalf("status %v, canceled %+v; want a restart that cancels s1", m.Status(), canceled)
	}
}

func TestActionIsRetriedOnlyIfNotRun(t *testing.T) {
	for _, tc := range []struct {
		run  code.RunStatus
		code code.Code
		want code.RunStatus
		sent int
	}{
		{run: code.NotRun, code: code.Unreachable, want: code.RunUnknown, sent: 1},
		{run: code.RunUnknown, code: code.ConnectionBroken, want: code.RunUnknown, sent: 0},
	} {
		m := newMachine(&fakeRoutes{extraBudget: 9}, true)
		sent := append([]Attempt(nil), m.Start(at(0)).Send...)
		if got := len(m.Tick(at(50)).Send); got != 0 {
			t.Fatalf("an action was hedged, want no hedge")
		}
		again := m.Responded(at(51), sent[0].ID, responseTo(sent[0], tc.code, tc.run)).Send
		if len(again) != tc.sent {
			t.Errorf("%s: %d retries, want %d", tc.code, len(again), tc.sent)
		}
		if got := m.RunStatus(); got != tc.want {
			t.Errorf("%s: run %v, want %v", tc.code, got, tc.want)
		}
	}
}

func TestRunStatusIsUnknownAfterLinkLoss(t *testing.T) {
	m := newMachine(&fakeRoutes{}, true)
	m.Start(at(0))
	m.LinkLost(at(1), "r")
	if m.Status() != Finished || m.RunStatus() != code.RunUnknown {
		t.Fatalf("status %v, run %v; want finished with an unknown outcome", m.Status(), m.RunStatus())
	}
}

func TestShardIsMissingIfNoReplicaServesVersionAndQueryMayNotRestart(t *testing.T) {
	s := &fakeRoutes{withoutVersion: map[string]bool{"a0": true, "b0": true, "a1": true}}
	m := newMachine(s, false)
	sent := append([]Attempt(nil), m.Start(at(0)).Send...)
	if len(sent) != 1 || sent[0].Route.Target != "b1" {
		t.Fatalf("sent %+v, want one attempt at b1", sent)
	}
	m.Responded(at(1), sent[0].ID, responseTo(sent[0], code.OK, code.Ran))
	report := m.Coverage().Report()
	if m.Status() != Finished || len(report.Missing) != 1 || report.Missing[0].Reason != code.VersionNotLoaded {
		t.Fatalf("status %v, report %+v; want finished with s0 missing", m.Status(), report)
	}
}

// After any sequence of events, the next tick is due no later than any retry or
// hedge.
func TestNextTickIsDueByNextRetryOrHedge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(&fakeRoutes{extraBudget: rapid.IntRange(0, 3).Draw(t, "extras")}, false)
		m.Start(at(0))
		for ms := 1; ms < 60 && m.Status() == Running; ms++ {
			id := uint32(rapid.IntRange(0, 8).Draw(t, "attempt"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				m.NotSent(at(ms), id, code.Unreachable)
			case 1:
				m.LinkLost(at(ms), rapid.SampledFrom([]string{"r", "q"}).Draw(t, "relay"))
			case 2:
				if !at(ms).Before(m.NextTick()) {
					m.Tick(at(ms))
				}
			}
			checkNextTick(t, m)
		}
	})
}

func checkNextTick(t *rapid.T, m *Machine) {
	if m.Status() != Running {
		return
	}
	delay, _ := m.opts.HedgeDelay(at(0))
	for i := range m.shards {
		s := &m.shards[i]
		retry := !s.settled && !s.retryAt.IsZero() && s.retryAt.Before(m.NextTick())
		hedge := !s.settled && s.canHedge() && s.hedgeFrom.Add(delay).Before(m.NextTick())
		if retry || hedge {
			t.Fatalf("shard %d is due before the next tick: retry %v, hedge %v", i, retry, hedge)
		}
	}
}

func TestNothingIsSentAtTheDeadline(t *testing.T) {
	m := newMachine(&fakeRoutes{}, false)
	if sent := m.Start(at(200)).Send; len(sent) != 0 {
		t.Fatalf("sent %+v at the deadline", sent)
	}
	if m.Status() != Finished || m.RunStatus() != code.NotRun {
		t.Fatalf("status %v, run %v; want finished and not run", m.Status(), m.RunStatus())
	}
}

// A hedge that a relay refuses because its budget for the target is exhausted is
// sent by another relay to the same target.
func TestRefusedHedgeIsSentByAnotherRelay(t *testing.T) {
	m := newMachine(&fakeRoutes{extraBudget: 2}, false)
	m.Start(at(0))
	hedges := append([]Attempt(nil), m.Tick(at(10)).Send...)
	if len(hedges) != 2 {
		t.Fatalf("hedges %+v, want 2", hedges)
	}
	second := m.Responded(at(11), hedges[0].ID, responseTo(hedges[0], code.OverBudget, code.NotRun)).Send
	if len(second) != 1 || !second[0].Extra || second[0].Route.Relay == hedges[0].Route.Relay || second[0].Route.Target != hedges[0].Route.Target {
		t.Fatalf("after the refusal of %+v: sent %+v, want one hedge to the same target by another relay", hedges[0], second)
	}
	if third := m.Responded(at(12), second[0].ID, responseTo(second[0], code.OverBudget, code.NotRun)).Send; len(third) != 0 {
		t.Errorf("sent %+v without a route, want nothing", third)
	}
}
