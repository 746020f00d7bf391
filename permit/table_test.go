package permit

import (
	"testing"
	"time"
)

func TestLateReadOfTheListDoesNotSuspendDuringAnOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	table, err := New(start, Options{Self: "vm0/relay"})
	if err != nil {
		t.Fatal(err)
	}
	view := VMList{Sequence: 1, Relays: relays(2, 2), AsOf: start}
	table.SetVMList(start, view)
	now := start.Add(10 * DefaultVMListMaxAge)
	table.SetVMListDown(now, true)
	for _, tt := range []struct {
		age  time.Duration
		want Mode
	}{
		{DefaultVMListMaxAge + 1, ModeWarmOnly},
		{DefaultVMListMaxAge, ModeFull},
	} {
		view.AsOf = now.Add(-tt.age)
		table.SetVMList(now, view)
		if got := table.Mode(now); got != tt.want {
			t.Errorf("a read of age %v: mode %v, want %v", tt.age, got, tt.want)
		}
	}
}
