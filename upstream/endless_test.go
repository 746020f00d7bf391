package upstream

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// flood writes text until the other end closes the connection or 5 s have passed, and
// adds the bytes written to written.
func flood(nc net.Conn, text string, written *atomic.Int64) {
	_ = nc.SetWriteDeadline(time.Now().Add(5 * time.Second))
	for {
		n, err := nc.Write([]byte(text))
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Bytes that are no response may come without end. They must end the attempt soon, as one
// that the target may have run, and must not be held in memory.
func TestEndlessResponseIsBrokenOff(t *testing.T) {
	const (
		timeout = 3 * time.Second
		// socketBytes is more than the kernel buffers of a connection hold.
		socketBytes = 16 << 20
	)
	filler := strings.Repeat("a", 64<<10)
	for name, c := range map[string]struct{ start, more string }{
		"status line":        {"HTTP/1.1 200 ", filler},
		"not HTTP":           {"", filler},
		"one header":         {"HTTP/1.1 200 OK\r\nTest-Big: ", filler},
		"many headers":       {"HTTP/1.1 200 OK\r\n", strings.Repeat("Test-More: a\r\n", 4000)},
		"interim responses":  {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2000)},
		"body to the end":    {"HTTP/1.1 200 OK\r\nTest-Seal: s\r\n\r\n", filler},
		"chunked body":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n"},
		"chunk extension":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", filler},
		"trailer of a chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("Test-More: a\r\n", 4000)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var conns atomic.Int32
			var written atomic.Int64
			p := poolWith(t, serve(t, &conns, func(nc net.Conn, _ *http.Request) bool {
				fmt.Fprint(nc, c.start)
				flood(nc, c.more, &written)
				return false
			}))
			startedAt := time.Now()
			r := send(t, p, "id", timeout)
			if r.Outcome != Broken {
				t.Errorf("outcome %v, want %v: the target may have run the request", r.Outcome, Broken)
			}
			if took := time.Since(startedAt); took > timeout/2 {
				t.Errorf("the attempt ended after %v, want it broken off before its deadline", took)
			}
			if n := written.Load(); n > maxResponseBytes+socketBytes {
				t.Errorf("%d bytes were taken from the target", n)
			}
		})
	}
}

// Many endless bodies at the same time must not exceed the memory for responses, and
// other requests must be served meanwhile.
func TestEndlessBodiesShareMemory(t *testing.T) {
	const limit = 4 << 20
	var conns atomic.Int32
	p := poolWith(t, serve(t, &conns, func(nc net.Conn, r *http.Request) bool {
		if r.Header.Get("Test-Id") == "good" {
			return writeResponse(nc, "good", "")
		}
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTest-Seal: s\r\nContent-Length: 8000000\r\n\r\n")
		chunk := make([]byte, 256<<10)
		for range 30 { // 7.5 MB, then silence
			if _, err := nc.Write(chunk); err != nil {
				return false
			}
		}
		time.Sleep(2 * time.Second)
		return false
	}))
	p.opts.MaxBufferedBytes = limit
	var wg sync.WaitGroup
	var peak atomic.Int64
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				peak.Store(max(peak.Load(), p.buffered.Load()))
			}
		}
	}()
	for i := range 8 {
		wg.Go(func() {
			if r := send(t, p, fmt.Sprint("bad", i), time.Second); r.Outcome != Broken {
				t.Errorf("outcome %v, want %v", r.Outcome, Broken)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	startedAt := time.Now()
	if r := send(t, p, "good", time.Second); r.Outcome != Responded {
		t.Errorf("outcome of another request %v, want %v", r.Outcome, Responded)
	}
	if took := time.Since(startedAt); took > 500*time.Millisecond {
		t.Errorf("another request took %v", took)
	}
	wg.Wait()
	close(done)
	if n := peak.Load(); n > limit {
		t.Errorf("%d bytes of responses were buffered, want at most %d", n, limit)
	}
	if n := p.buffered.Load(); n != 0 {
		t.Errorf("%d bytes count as buffered after all attempts have ended", n)
	}
}

// A body that arrives byte by byte ends with the deadline of its attempt.
func TestTricklingBodyEndsAtDeadline(t *testing.T) {
	var conns atomic.Int32
	p := poolWith(t, serve(t, &conns, func(nc net.Conn, _ *http.Request) bool {
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTest-Seal: s\r\nContent-Length: 1000\r\n\r\n")
		for range 100 {
			if _, err := nc.Write([]byte("a")); err != nil {
				return false
			}
			time.Sleep(30 * time.Millisecond)
		}
		return false
	}))
	startedAt := time.Now()
	if r := send(t, p, "id", 600*time.Millisecond); r.Outcome != Broken {
		t.Fatalf("outcome %v, want %v", r.Outcome, Broken)
	}
	if took := time.Since(startedAt); took > time.Second {
		t.Fatalf("the attempt ended after %v, its deadline was at 600ms", took)
	}
}
