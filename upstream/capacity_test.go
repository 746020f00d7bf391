package upstream

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
)

// capacityPool returns a pool with n warm targets t0, t1 and so on of service s1.
func capacityPool(t testing.TB, n int) (*Pool, *catalog.State) {
	t.Helper()
	p := New(Options{Codec: testCodec{}, DataCentre: "dc1", Dial: (&net.Dialer{}).DialContext, DialTimeout: time.Second})
	t.Cleanup(p.Close)
	s := catalog.NewState(catalog.StateOptions{})
	items := []catalog.Item{{Kind: catalog.KindConfig, Revision: 1, Config: &catalog.Config{
		Version: 1, Services: []*catalog.Service{{Name: "s1", MaxConnections: 25}},
	}}}
	for i := range n {
		items = append(items, warmTarget(i, uint64(i+2), 1, 2))
	}
	s.Apply(time.Now(), items)
	p.Update(s.View())
	return p, s
}

func warmTarget(i int, revision uint64, incarnation int64, slots int) catalog.Item {
	id := fmt.Sprint("t", i)
	return catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: revision, Target: &catalog.Target{
		ID: id, Service: "s1", Address: fmt.Sprint("127.0.0.1:", i+1), DataCentre: "dc1", Slots: slots, Incarnation: incarnation,
	}}
}

// learn records responses of a target that take the given time.
func learn(p *Pool, id string, took time.Duration) {
	profile := balance.Profile{Expected: 20 * time.Millisecond, OverdueAfter: 100 * time.Millisecond}
	at := time.Now().Add(-time.Minute)
	p.mu.Lock()
	defer p.mu.Unlock()
	for range 20 {
		p.targets[id].stats.Started(at, profile)
		p.targets[id].stats.Responded(at.Add(took), at, profile.Expected)
		at = at.Add(time.Second)
	}
}

// capacityOf returns what the pool tells of a target.
func capacityOf(p *Pool, id string) Capacity {
	for _, c := range p.Capacities(time.Now()) {
		if c.Target == id {
			return c
		}
	}
	return Capacity{}
}

// Guards against what was learned of a target that is lost whenever its entry is rewritten, and
// against a new run of a target that is judged by the former one.
func TestLearnedCapacityBelongsToOneRunOfATarget(t *testing.T) {
	p, s := capacityPool(t, 2)
	learn(p, "t0", 20*time.Millisecond)
	learn(p, "t1", 50*time.Millisecond)
	if r := capacityOf(p, "t1").RelativeTime; r < 2.2 || r > 2.8 {
		t.Fatalf("relative time %.2f of a target that takes 2.5 times as long", r)
	}
	s.Apply(time.Now(), []catalog.Item{warmTarget(1, 10, 1, 3)})
	p.Update(s.View())
	if c := capacityOf(p, "t1"); c.RelativeTime < 2.2 || c.Slots != 3 {
		t.Errorf("%+v after the entry was rewritten, want the relative time of before", c)
	}
	s.Apply(time.Now(), []catalog.Item{warmTarget(1, 11, 2, 3)})
	p.Update(s.View())
	if c := capacityOf(p, "t1"); c.Samples != 0 {
		t.Errorf("%+v after a restart, want nothing", c)
	}
	learn(p, "t1", 40*time.Millisecond)
	if r := capacityOf(p, "t1").RelativeTime; r < 1.8 || r > 2.2 {
		t.Errorf("relative time %.2f of a new run that takes twice as long", r)
	}
}

// Guards against a target that is judged by the time that it takes while it is cold.
func TestColdTargetIsNotJudged(t *testing.T) {
	p, s := capacityPool(t, 2)
	learn(p, "t1", 50*time.Millisecond)
	cold := warmTarget(1, 10, 1, 2)
	cold.Target.WarmupRemaining = time.Minute
	s.Apply(time.Now(), []catalog.Item{cold})
	p.Update(s.View())
	p.mu.Lock()
	p.chooseTarget(time.Now(), AttemptOptions{Service: "s1"})
	p.mu.Unlock()
	if c := capacityOf(p, "t1"); c.Samples != 0 {
		t.Errorf("%+v of a cold target, want nothing", c)
	}
}

// Guards against a state page, and log lines, that grow with the number of targets.
func TestCapacitiesAreBounded(t *testing.T) {
	const targets = 300
	var events []Event
	p, _ := capacityPool(t, targets)
	p.opts.OnEvent = func(e Event) { events = append(events, e) }
	const slow = 60
	for i := range targets {
		took := 20 * time.Millisecond
		if i < slow {
			took = 100 * time.Millisecond
		}
		learn(p, fmt.Sprint("t", i), took)
	}
	all := p.Capacities(time.Now())
	if len(all) != maxCapacities {
		t.Errorf("%d targets told, want %d", len(all), maxCapacities)
	}
	for i, c := range all {
		if i < slow != (c.RelativeTime > 2) {
			t.Errorf("target %d of the list has a relative time of %.2f; want the %d slow ones first", i, c.RelativeTime, slow)
			break
		}
	}
	now := time.Now()
	for range 10 {
		p.CloseExpired(now)
		now = now.Add(capacityInterval)
	}
	if len(events) != capacityLines {
		t.Errorf("%d lines of %d slow targets within %v, want %d", len(events), slow, capacityLineInterval, capacityLines)
	}
	if s := p.CapacityStats(now); s.Learned != targets || s.Reduced != slow {
		t.Errorf("%+v, want %d learned and %d reduced", s, targets, slow)
	}
}

// Guards against a change of learned capacity that no line tells.
func TestChangesOfCapacityAreLogged(t *testing.T) {
	var messages []string
	p, _ := capacityPool(t, 3)
	p.opts.OnEvent = func(e Event) { messages = append(messages, e.TargetID+": "+e.Message) }
	now := time.Now()
	hold := func() {
		for range 6 {
			p.CloseExpired(now)
			now = now.Add(capacityInterval)
		}
	}
	learn(p, "t0", 20*time.Millisecond)
	learn(p, "t1", 20*time.Millisecond)
	learn(p, "t2", 50*time.Millisecond)
	hold()
	learn(p, "t2", 20*time.Millisecond)
	hold()
	want := []string{"t2: learned capacity of target fell to half or less", "t2: learned capacity of target recovered"}
	if fmt.Sprint(messages) != fmt.Sprint(want) {
		t.Errorf("lines %q, want %q", messages, want)
	}
}

func BenchmarkChooseTarget(b *testing.B) {
	p, _ := capacityPool(b, 3)
	opts := AttemptOptions{Service: "s1", Profile: balance.Profile{Expected: 20 * time.Millisecond, OverdueAfter: 100 * time.Millisecond}}
	b.ReportAllocs()
	now := time.Now()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.chooseTarget(now, opts)
	}
}
