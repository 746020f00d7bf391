package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func BenchmarkKeysOf(b *testing.B) {
	for b.Loop() {
		KeysOf("100.64.0.11", "GET", "cuny17.example", "/sego430/2b8c11?page=30&sort=new", nil)
	}
}

// The usual case: a request under which no target has ended.
func BenchmarkCompleted(b *testing.B) {
	p, r := newProcess("a"), request("c", "/x?q=1")
	for b.Loop() {
		p.Completed(p.now, r)
	}
}

func BenchmarkCheckAmongSuspects(b *testing.B) {
	p := newProcess("a")
	for i := range 2 * maxSubjects {
		p.crash(request(fmt.Sprint("c", i), fmt.Sprint("/", i)))
	}
	r := request("c", "/x?q=1")
	r.Sharded = true
	for b.Loop() {
		p.Check(p.now, r, 1)
	}
}

// Reports the memory of a State that is full.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := newProcess("a")
	for i := range maxSubjects {
		r := request(fmt.Sprint("c", i), fmt.Sprintf("/%090d", i))
		for range maxEnds {
			p.crash(r)
			p.wait(time.Millisecond)
		}
	}
	p.TakeChanges()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		_ = p.Watching()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
	runtime.KeepAlive(p)
}
