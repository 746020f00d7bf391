package permit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTable measures a relay in a fleet of 460 relays with 1,500 groups of
// 2 permits each.
func BenchmarkTable(b *testing.B) {
	const relays, groups, permits = 460, 1500, 2
	now := time.Unix(1000, 0)
	list := VMList{Sequence: 1}
	for i := range relays {
		list.Relays = append(list.Relays, Relay{Name: fmt.Sprintf("vm%03d/relay", i), DataCentre: fmt.Sprintf("dc%d", i%10)})
	}
	groupPermits := make(map[string]int)
	for i := range groups {
		groupPermits[fmt.Sprintf("group-%04d", i)] = permits
	}
	table := func(b *testing.B) *Table {
		t, err := New(now, Options{Self: list.Relays[0].Name})
		if err != nil {
			b.Fatal(err)
		}
		t.SetGroups(now, groupPermits)
		t.SetVMList(now, list)
		return t
	}
	b.Run("mode", func(b *testing.B) {
		t := table(b)
		b.ReportAllocs()
		for b.Loop() {
			_ = t.Mode(now)
		}
	})
	b.Run("tick", func(b *testing.B) {
		t := table(b)
		b.ReportAllocs()
		for b.Loop() {
			_ = t.Tick(now)
		}
	})
	b.Run("changed list", func(b *testing.B) {
		t, changed, at := table(b), list, now
		b.ReportAllocs()
		for b.Loop() {
			at = at.Add(time.Second)
			changed.Sequence++
			changed.Relays = list.Relays[:relays-int(changed.Sequence%2)]
			_ = t.SetVMList(at, changed)
		}
	})
}
