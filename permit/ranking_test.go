package permit

import (
	"fmt"
	"math"
	"testing"

	"github.com/juju/errors"
)

func relays(n, centres int) []Relay {
	var rs []Relay
	for i := range n {
		rs = append(rs, Relay{Name: fmt.Sprintf("vm%d/relay", i), DataCentre: fmt.Sprintf("dc%d", i%centres)})
	}
	return rs
}

func TestRankingBalancesSpreadsAndMovesLittle(t *testing.T) {
	const groups, slots = 3000, 3
	for _, tt := range []struct{ relays, centres int }{{9, 3}, {7, 3}, {460, 10}} {
		rs := relays(tt.relays, tt.centres)
		centreOf := map[string]string{}
		for _, r := range rs {
			centreOf[r.Name] = r.DataCentre
		}
		before, after := newRanking(rs, nil), newRanking(rs[1:], nil)
		load := map[string]int{}
		moved := 0
		for g := range groups {
			centres := map[string]bool{}
			for i := range slots {
				k := Key{Group: fmt.Sprintf("leaf%d", g), Index: i}
				owner := before.owner(k, nil)
				load[owner]++
				centres[centreOf[owner]] = true
				if after.owner(k, nil) != owner {
					moved++
				}
				if got := before.owner(k, map[string]bool{rs[0].Name: true}); got != after.owner(k, nil) {
					t.Fatalf("%v: owner without a relay is %s, by the view without it %s", k, got, after.owner(k, nil))
				}
			}
			if len(centres) != slots {
				t.Fatalf("group %d of %d relays: permits in %d data centres", g, tt.relays, len(centres))
			}
		}
		mean := float64(groups*slots) / float64(tt.relays)
		for name, n := range load {
			// Unequal data centres can't be both balanced and all used by each group.
			if uneven := tt.relays%tt.centres != 0; !uneven && math.Abs(float64(n)-mean) > 5*math.Sqrt(mean) {
				t.Errorf("%d relays: %s owns %d permits, mean %.0f", tt.relays, name, n, mean)
			}
		}
		if limit := 3 * mean; float64(moved) > limit {
			t.Errorf("%d relays: %d permits move when one relay leaves, limit %.0f", tt.relays, moved, limit)
		}
		t.Logf("%d relays in %d data centres: mean %.1f, moved %d", tt.relays, tt.centres, mean, moved)
	}
}

func TestOptionsThatBreakTheFencingConditionsAreRefused(t *testing.T) {
	opts := Options{Self: "a", FencingDelay: DefaultListLag + DefaultViewMaxAge}
	if err := opts.withDefaults().Check(); !errors.Is(err, ErrOptions) {
		t.Fatalf("got %v", err)
	}
}
