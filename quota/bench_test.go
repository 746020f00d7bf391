package quota

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

const (
	manyOrganisations = 10_000
	manyProcesses     = 460
)

// newLargeLimiter returns a limiter in a fleet of 460 processes.
func newLargeLimiter() *Limiter {
	l := New(Options{
		Self: "front-0", Incarnation: 1, StartedAt: epoch, Bounds: DefaultBounds, AssumedSize: 200,
		Limits: func(ID) (Limit, bool) { return large, true }, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	f := Fleet{Size: manyProcesses}
	for i := 1; i < manyProcesses; i++ {
		f.Members = append(f.Members, Member{Name: fmt.Sprint("front-", i), Alive: true})
	}
	l.SetFleet(epoch, f)
	return l
}

// heapBytes returns the bytes in use.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkAccountMemory measures the memory of an organisation at a process that admits its
// requests.
func BenchmarkAccountMemory(b *testing.B) {
	for b.Loop() {
		l := newLargeLimiter()
		before := heapBytes()
		for i := range manyOrganisations {
			l.Admit(epoch.Add(10*time.Second), fmt.Sprint("organisation-", i), large)
		}
		for range 10 {
			l.Tick(epoch.Add(11 * time.Second))
			l.Outgoing()
		}
		b.ReportMetric(float64(heapBytes()-before)/manyOrganisations, "B/organisation")
		runtime.KeepAlive(l)
	}
}

// BenchmarkUserMemory measures the memory of a process that reports to a coordinator.
func BenchmarkUserMemory(b *testing.B) {
	const organisations = 2 * manyOrganisations / manyProcesses
	for b.Loop() {
		l := newLargeLimiter()
		before := heapBytes()
		for i := range organisations {
			for j := 1; j < manyProcesses; j++ {
				h := Header{Name: fmt.Sprint("front-", j), Incarnation: uint64(j)}
				l.coord.receive(epoch.Add(10*time.Second), &h, &report{id: ID(i), total: 1, window: 1})
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/(organisations*(manyProcesses-1)), "B/user")
		runtime.KeepAlive(l)
	}
}

// BenchmarkAdmit measures the decision about a request in open mode.
func BenchmarkAdmit(b *testing.B) {
	l := newLargeLimiter()
	now := epoch.Add(10 * time.Second)
	l.Admit(now, "x", large)
	a := l.accounts[IDOf("x")]
	a.allowance, a.allowedAt = 1<<60, now
	b.ReportAllocs()
	for b.Loop() {
		l.Admit(now, "x", large)
	}
}

// BenchmarkExchange measures a question to the coordinator and its answer, both ends.
func BenchmarkExchange(b *testing.B) {
	l, now := newLargeLimiter(), epoch.Add(10*time.Second)
	h := Header{Name: "front-1", Incarnation: 7}
	bytes := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		buf := appendEntry(appendHeader(nil, &h), &entry{kind: kindReport, report: report{id: 5, serial: uint64(i), total: uint64(i), window: 1, settled: uint64(i), ask: uint64(i + 1), n: 1}})
		now = now.Add(100 * time.Millisecond)
		if _, err := l.Receive(now, buf); err != nil {
			b.Fatal(err)
		}
		bytes += len(buf)
		for _, o := range l.Outgoing() {
			bytes += len(o.Data)
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/exchange")
}
