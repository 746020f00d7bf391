package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/pushback"
	"github.com/goldcrestmux/goldcrestmux/share"
)

var explainProfile = balance.Profile{Expected: 20 * time.Millisecond, OverdueAfter: 50 * time.Millisecond, RemotePenalty: 15 * time.Millisecond}

// explainPool returns a pool with targets in all states that an explanation tells, none of
// which needs a connection to be opened.
func explainPool(t *testing.T, now time.Time) *Pool {
	t.Helper()
	p := New(Options{Codec: testCodec{}, DataCentre: "dc1", DrainGrace: time.Second, Cold: ColdBound{Overshoot: 1, Slack: 1}, StartedAt: now.Add(-time.Minute)})
	s := catalog.NewState(catalog.StateOptions{DeregisteredGrace: time.Second})
	items := []catalog.Item{
		{Kind: catalog.KindConfig, Revision: 1, Config: &catalog.Config{Version: 1, Services: []*catalog.Service{{Name: "s1", MaxConnections: 25, WarmupRate: 2}}}},
		{Kind: catalog.KindEvacuation, Name: "dc3", Revision: 2},
	}
	for i, name := range []string{"avoided", "busy", "cold", "draining", "evacuated", "free", "limited", "paused", "remote", "slow"} {
		target := &catalog.Target{ID: name, Service: "s1", Address: "10.0.0.1:1", DataCentre: "dc1", Slots: 2}
		switch name {
		case "cold":
			target.WarmupRemaining = time.Minute
		case "draining":
			target.Draining = true
		case "evacuated":
			target.DataCentre = "dc3"
		case "remote":
			target.DataCentre = "dc2"
		}
		items = append(items, catalog.Item{Kind: catalog.KindTarget, Name: name, Revision: uint64(3 + i), Target: target})
	}
	s.Apply(now.Add(-2*time.Second), items)
	p.SetFleet(share.Fleet{Self: "a", Members: []string{"a"}})
	p.Update(s.View())
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range p.targets {
		target.idle = []*conn{{target: target}}
		target.openConns = 1
	}
	p.targets["avoided"].stats.Avoid(now, true)
	for range 3 {
		p.targets["busy"].stats.Sent(now.Add(-time.Millisecond), time.Second)
	}
	p.targets["slow"].stats.Sent(now.Add(-time.Second), time.Millisecond)
	p.targets["slow"].stats.Failed(now, now)
	p.targets["limited"].pushback.Observe(now, now, pushback.Notice{Limited: true, Limit: 0.2})
	p.targets["paused"].pushback.Observe(now, now, pushback.Notice{Pause: time.Second})
	return p
}

// dump returns all state of a pool that a choice could change.
func dump(p *Pool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := fmt.Sprintf("turn %d busy %d reach %+v removed %+v lost %v\n", p.turn, len(p.busy), p.reach, p.removed, p.lost)
	for _, t := range p.services["s1"].targets {
		out += fmt.Sprintf("%+v\n", *t)
	}
	return out
}

// Guards against an explanation that takes a turn or a credit, fills a credit or lets an
// average decay: it would change what the next request does.
func TestExplainChangesNothing(t *testing.T) {
	now := time.Now()
	p := explainPool(t, now)
	before := dump(p)
	for i := range 50 {
		p.Explain(now.Add(time.Duration(i)*20*time.Millisecond), []string{"s1"}, []string{"s1", "none"}, explainProfile)
	}
	if after := dump(p); after != before {
		t.Errorf("state after 50 explanations:\n%s\nwant\n%s", after, before)
	}
}

// The explanation must name what Start does: the same target first, and the others in the
// order in which Start takes them when the earlier ones may not be chosen.
func TestExplainTellsOrderOfChoice(t *testing.T) {
	now := time.Now()
	p := explainPool(t, now)
	_, views := p.Explain(now, []string{"s1"}, []string{"s1"}, explainProfile)
	if len(views) != 1 || len(views[0].Targets) != 10 {
		t.Fatalf("views %+v, want ten targets", views)
	}
	var allowed []string
	excluded := map[string]string{}
	for _, v := range views[0].Targets {
		if v.Excluded != "" {
			excluded[v.ID] = v.Excluded
			continue
		}
		allowed = append(allowed, v.ID)
	}
	want := map[string]string{"draining": "draining", "evacuated": "its data centre is evacuated", "limited": excludedLimited, "paused": excludedLimited}
	if fmt.Sprint(excluded) != fmt.Sprint(want) {
		t.Errorf("ruled out %v, want %v", excluded, want)
	}
	if len(allowed) != 6 || allowed[0] != "free" {
		t.Errorf("order %v, want six targets, the free one first", allowed)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, id := range allowed {
		if got, _ := p.chooseTarget(now, AttemptOptions{Service: "s1", Profile: explainProfile, Only: allowed[i:]}); got == nil || got.ID != id {
			t.Errorf("choice among %v is %+v, want %s", allowed[i:], got, id)
		}
	}
}

// A cold target whose rate is used up is no candidate, and the reason must say so.
func TestExplainTellsThatColdRateIsUsedUp(t *testing.T) {
	now := time.Now()
	p := explainPool(t, now)
	p.mu.Lock()
	for range 5 {
		p.targets["cold"].coldRate.Add(now)
	}
	p.mu.Unlock()
	_, views := p.Explain(now, nil, []string{"s1"}, explainProfile)
	for _, v := range views[0].Targets {
		if v.ID == "cold" && (v.Excluded != excludedCold || !v.ColdLimited) {
			t.Errorf("cold target %+v, want it ruled out", v)
		}
	}
}
