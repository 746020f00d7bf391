package relay

import (
	"log/slog"
	"slices"
	"testing"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// The list of entries is cached between changes of the contracts. A change that does
// not invalidate the cache would leave the relay with the previous targets.
func TestContractsReplaceEntries(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	self := wire.Process{VM: "vm1", Role: wire.RoleRelay}
	pool := link.NewPool(link.Options{Self: self, Logger: log})
	defer pool.Close()
	r, err := New(Options{Self: self, Logger: log, Links: pool})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for _, want := range [][]string{{"a", "b"}, {"b", "c"}, {"c"}, {"a", "c"}} {
		c := &folder.Contracts{Targets: map[string]folder.Target{}}
		for _, name := range want {
			c.Targets[name] = folder.Target{Name: name, Group: name, Slots: 1, Connections: 4, ColdSlots: 1, State: folder.StateIn}
		}
		r.SetContracts(c)
		var got []string
		for _, e := range r.allEntries() {
			got = append(got, e.name)
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Fatalf("entries %v, want %v", got, want)
		}
	}
}
