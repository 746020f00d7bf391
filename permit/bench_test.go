package permit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTable is a relay of a fleet of 460 with 1,500 groups of 2 permits.
func BenchmarkTable(b *testing.B) {
	const relays, groups, slots = 460, 1500, 2
	now := time.Unix(1000, 0)
	view := VMList{Sequence: 1}
	for i := range relays {
		view.Relays = append(view.Relays, Relay{Name: fmt.Sprintf("vm%03d/relay", i), DataCentre: fmt.Sprintf("dc%d", i%10)})
	}
	contracts := make(map[string]int)
	for i := range groups {
		contracts[fmt.Sprintf("group-%04d", i)] = slots
	}
	table := func(b *testing.B) *Table {
		t, err := New(now, Options{Self: view.Relays[0].Name})
		if err != nil {
			b.Fatal(err)
		}
		t.SetGroups(now, contracts)
		t.SetVMList(now, view)
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
	b.Run("changed view", func(b *testing.B) {
		t, v, at := table(b), view, now
		b.ReportAllocs()
		for b.Loop() {
			at = at.Add(time.Second)
			v.Sequence++
			v.Relays = view.Relays[:relays-int(v.Sequence%2)]
			_ = t.SetVMList(at, v)
		}
	})
}
