package permit

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
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
		before, after := newRanking(rs, nil), newRanking(rs[1:], nil)
		load, moved := map[string]int{}, 0
		for k := range keys(groups, slots) {
			owner := before.owner(k, nil)
			next := after.owner(k, nil)
			load[owner]++
			if next != owner {
				moved++
			}
			if got := before.owner(k, map[string]bool{rs[0].Name: true}); got != next {
				t.Fatalf("%v: owner without a relay is %s, by the view without it %s", k, got, next)
			}
			if first := before.centre(xxhash.Sum64String(k.Group), 0, nil); k.Index > 0 && first.has(owner) {
				t.Fatalf("%v is in the data centre of permit 0", k)
			}
		}
		mean := float64(groups*slots) / float64(tt.relays)
		for name, n := range load {
			// Unequal data centres can't be both balanced and all used by each group.
			if tt.relays%tt.centres == 0 && math.Abs(float64(n)-mean) > 5*math.Sqrt(mean) {
				t.Errorf("%d relays: %s owns %d permits, mean %.0f", tt.relays, name, n, mean)
			}
		}
		if limit := 3 * mean; float64(moved) > limit {
			t.Errorf("%d relays: %d permits move when one relay leaves, limit %.0f", tt.relays, moved, limit)
		}
		t.Logf("%d relays in %d data centres: mean %.1f, moved %d", tt.relays, tt.centres, mean, moved)
	}
}

func keys(groups, slots int) iter.Seq[Key] {
	return func(yield func(Key) bool) {
		for i := range groups * slots {
			yield(Key{Group: fmt.Sprint("leaf", i/slots), Index: i % slots})
		}
	}
}

func (c *centre) has(relay string) bool {
	return slices.ContainsFunc(c.relays, func(r rankedRelay) bool { return r.name == relay })
}

func TestOptionsThatBreakTheFencingConditionsAreRefused(t *testing.T) {
	opts := Options{Self: "a", FencingDelay: DefaultVMListLag + DefaultVMListMaxAge}
	if err := opts.withDefaults().Validate(); !errors.Is(err, ErrInvalidOptions) {
		t.Fatalf("got %v", err)
	}
}
