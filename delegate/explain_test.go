package delegate

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
)

// Guards against an explanation that takes a turn or lets averages decay, and against one that
// names another peer than Choose.
func TestExplainTellsChoiceAndChangesNothing(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	profile := balance.Profile{Expected: 30 * time.Millisecond, OverdueAfter: 60 * time.Millisecond}
	c := New(Peer{Name: "self", DataCentre: "dc1", Capacity: 200})
	c.set([]Peer{{Name: "a", DataCentre: "dc1"}, {Name: "b", DataCentre: "dc1"}, {Name: "c", DataCentre: "dc1"}})
	for range 3 {
		c.Sent(now, "a", profile)
		c.Ended(now.Add(100*time.Millisecond), now, "a", Responded, profile)
	}
	reachable := func(name string) bool { return name != "b" }
	dump := func() string {
		out := fmt.Sprintf("turn %d", c.turn)
		for _, p := range c.peers {
			out += fmt.Sprintf(" %s %+v", p.Name, *c.stats[p.Name])
		}
		return out
	}
	before := dump()
	later := now.Add(500 * time.Millisecond)
	views := c.Explain(later, profile, reachable)
	if after := dump(); after != before {
		t.Errorf("state %s, want %s", after, before)
	}
	if len(views) != 3 || views[0].Name != "c" || !views[0].Usable || views[2].Name != "b" || views[2].Usable {
		t.Errorf("views %+v, want c first and b, which is not reachable, last", views)
	}
	if got := c.Choose(later, profile, reachable); got != views[0].Name {
		t.Errorf("Choose returns %s, want %s", got, views[0].Name)
	}
}
