package target

import (
	"testing"
	"time"
)

// BenchmarkRequest is the part of a warm target's machine that each request
// passes: the limit, the start and the outcome.
func BenchmarkRequest(b *testing.B) {
	now := time.Unix(1000, 0)
	m := New(Options{Self: "vm1/relay", Name: "judges-01-a", Contract: Contract{Slots: 2, ColdSlots: 1, WarmAfter: 20}})
	m.SetAdminState(now, true, "")
	m.SetPermits(now, Permits{Held: 2, HoldsZero: true})
	b.ReportAllocs()
	for b.Loop() {
		if m.Inflight() >= m.Limit() {
			b.Fatalf("%d of %d in flight", m.Inflight(), m.Limit())
		}
		ticket := m.Start(now)
		m.Done(now, Outcome{Kind: OK, Epoch: ticket, BootID: "b1", ServiceTime: 2 * time.Millisecond})
		now = now.Add(time.Millisecond)
	}
}
