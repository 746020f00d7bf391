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

func relays(n, dataCentres int) []Relay {
	var rs []Relay
	for i := range n {
		rs = append(rs, Relay{Name: fmt.Sprintf("vm%d/relay", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres)})
	}
	return rs
}

func TestRankingIsBalancedSpreadAndStable(t *testing.T) {
	const groups, permits = 3000, 3
	for _, tt := range []struct{ relays, dataCentres int }{{9, 3}, {7, 3}, {460, 10}} {
		rs := relays(tt.relays, tt.dataCentres)
		before, after := newRanking(rs, nil), newRanking(rs[1:], nil)
		load, moved := map[string]int{}, 0
		for k := range keys(groups, permits) {
			owner := before.owner(k, nil)
			next := after.owner(k, nil)
			load[owner]++
			if next != owner {
				moved++
			}
			if got := before.owner(k, map[string]bool{rs[0].Name: true}); got != next {
				t.Fatalf("%v: owner with a relay skipped is %s, owner by the list without that relay is %s", k, got, next)
			}
			if first := before.dataCentre(xxhash.Sum64String(k.Group), 0, nil); k.Index > 0 && first.has(owner) {
				t.Fatalf("%v and permit 0 of the group are in the same data centre", k)
			}
		}
		mean := float64(groups*permits) / float64(tt.relays)
		for name, n := range load {
			// With data centres of unequal size, the load cannot be balanced while each
			// group uses all of them.
			if tt.relays%tt.dataCentres == 0 && math.Abs(float64(n)-mean) > 5*math.Sqrt(mean) {
				t.Errorf("%d relays: %s owns %d permits, mean %.0f", tt.relays, name, n, mean)
			}
		}
		if limit := 3 * mean; float64(moved) > limit {
			t.Errorf("%d relays: %d permits moved when one relay left, limit %.0f", tt.relays, moved, limit)
		}
		t.Logf("%d relays in %d data centres: mean %.1f, moved %d", tt.relays, tt.dataCentres, mean, moved)
	}
}

func keys(groups, permits int) iter.Seq[Key] {
	return func(yield func(Key) bool) {
		for i := range groups * permits {
			yield(Key{Group: fmt.Sprint("leaf", i/permits), Index: i % permits})
		}
	}
}

func (c *dataCentre) has(relay string) bool {
	return slices.ContainsFunc(c.relays, func(r rankedRelay) bool { return r.name == relay })
}

func TestValidateRejectsOptionsThatViolateFencing(t *testing.T) {
	opts := Options{Self: "a", FencingDelay: DefaultVMListLag + DefaultVMListMaxAge}
	if err := opts.withDefaults().Validate(); !errors.Is(err, ErrInvalidOptions) {
		t.Fatalf("Validate returned %v, want %v", err, ErrInvalidOptions)
	}
}
