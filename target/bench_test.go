package target

import (
	"testing"
	"time"
)

// BenchmarkRequest measures the work of a warm target's machine for each
// request: the limit, the start and the outcome.
func BenchmarkRequest(b *testing.B) {
	now := time.Unix(1000, 0)
	m := New(Options{Self: "vm1/relay", Name: "judges-01-a", Contract: Contract{Slots: 2, ColdSlots: 1, WarmAfter: 20}})
	m.SetAdminState(now, true, "")
	m.SetPermits(now, Permits{Held: 2, HoldsZero: true})
	b.ReportAllocs()
	for b.Loop() {
		if m.Inflight() >= m.Limit() {
			b.Fatalf("%d requests in progress, limit %d", m.Inflight(), m.Limit())
		}
		epoch := m.Start(now)
		m.Done(now, Outcome{Kind: OK, Epoch: epoch, BootID: "b1", ServiceTime: 2 * time.Millisecond})
		now = now.Add(time.Millisecond)
	}
}
