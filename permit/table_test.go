package permit

import (
	"testing"
	"time"
)

// A read of the VM list that completes late, while the list is down, must not
// end the outage: its copy is already too old, and the relay would be suspended.
func TestLateVMListReadDuringOutageDoesNotSuspend(t *testing.T) {
	start := time.Unix(1000, 0)
	table, err := New(start, Options{Self: "vm0/relay"})
	if err != nil {
		t.Fatal(err)
	}
	list := VMList{Sequence: 1, Relays: relays(2, 2), AsOf: start}
	table.SetVMList(start, list)
	now := start.Add(10 * DefaultVMListMaxAge)
	table.SetVMListDown(now, true)
	for _, tt := range []struct {
		age  time.Duration
		want Mode
	}{
		{DefaultVMListMaxAge + 1, ModeWarmOnly},
		{DefaultVMListMaxAge, ModeFull},
	} {
		list.AsOf = now.Add(-tt.age)
		table.SetVMList(now, list)
		if got := table.Mode(now); got != tt.want {
			t.Errorf("VM list of age %v: mode %v, want %v", tt.age, got, tt.want)
		}
	}
}
