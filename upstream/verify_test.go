package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/quarantine"
)

// repeatOf is the keys of a request that tests send repeatedly.
var repeatOf = quarantine.KeysOf("caller", "GET", "h", "/x", nil)

// sendKeyed sends a repeat of a request that waits for timeout, and returns its result.
func sendKeyed(t *testing.T, p *Pool, id string, timeout time.Duration) Result {
	t.Helper()
	return sendCall(t, p, &Call{ID: id, Method: "GET", URI: "/x", Host: "h", Keys: repeatOf, Deadline: time.Now().Add(timeout)})
}

// sendRepeat sends a repeat of a request and returns how it ended.
func sendRepeat(t *testing.T, p *Pool, id string) Outcome {
	t.Helper()
	return sendKeyed(t, p, id, time.Second).Outcome
}

// refused reports whether repeats are refused once no process may object any more.
func refused(p *Pool) bool {
	r := (&Call{ID: "next", Keys: repeatOf}).Quarantine("s1")
	return p.Guard().Refusal(time.Now().Add(time.Second), r) > 0
}

// endUnder records that n targets ended under the request, one after the other.
func endUnder(p *Pool, n int) {
	r := (&Call{ID: "ended", Keys: repeatOf}).Quarantine("s1")
	for i := range n {
		at := time.Now().Add(time.Duration(i-n) * time.Millisecond)
		run := quarantine.Run{Target: fmt.Sprint("ended-", i), StartedAt: at.Add(-500 * time.Microsecond), EndedAt: at}
		p.Guard().Broke(at, r, run)
		p.Guard().Confirm(at, run.Target, 0, true)
	}
}

// Guards against a request being taken for a sound one because a target that ran it gave up
// at the deadline, or failed, and had not crashed by then.
func TestFailureOfTargetIsNoCompletion(t *testing.T) {
	for status, sound := range map[int]bool{200: true, 404: true, 408: false, 429: false, 500: false, 503: false, 504: false} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var conns atomic.Int32
			p := poolWith(t, serve(t, &conns, func(nc net.Conn, r *http.Request) bool {
				_, err := fmt.Fprintf(nc, "HTTP/1.1 %d S\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("Test-Id"))
				return err == nil
			}))
			if o := sendRepeat(t, p, "r1"); o != Responded {
				t.Fatalf("outcome %v", o)
			}
			endUnder(p, 3)
			if refused(p) == sound {
				t.Errorf("status %d of a target: refused %v after three ends", status, sound)
			}
		})
	}
}

// Guards against connections that are reset, while their target goes on, being taken for the
// end of the target.
func TestResetConnectionIsNoEndOfTarget(t *testing.T) {
	var conns atomic.Int32
	p := poolWith(t, serve(t, &conns, func(nc net.Conn, _ *http.Request) bool {
		_ = nc.(*net.TCPConn).SetLinger(0)
		return false
	}))
	endUnder(p, 2)
	for i := range 4 {
		if o := sendRepeat(t, p, fmt.Sprint("r", i)); o != Broken {
			t.Fatalf("outcome %v", o)
		}
		time.Sleep(4 * verifyDelay)
	}
	if refused(p) {
		t.Error("refused, although the target did not end")
	}
}

// Guards against the end of a target being missed because the process is too busy to learn
// in time that the target refuses connections.
func TestEndIsFoundAfterSlowDials(t *testing.T) {
	var conns atomic.Int32
	var dead atomic.Bool
	var dials atomic.Int32
	p := poolWith(t, serve(t, &conns, func(net.Conn, *http.Request) bool {
		dead.Store(true)
		return false
	}))
	dial := p.opts.Dial
	p.opts.DialTimeout = 30 * time.Millisecond
	p.opts.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if !dead.Load() {
			return dial(ctx, network, address)
		}
		if dials.Add(1) <= 2 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	endUnder(p, 2)
	if o := sendRepeat(t, p, "r1"); o != Broken {
		t.Fatalf("outcome %v", o)
	}
	for deadline := time.Now().Add(3 * time.Second); !refused(p); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not refused after three ends: the third one was not found")
		}
	}
}

// Guards against targets that lost power or cannot be reached being taken for targets that
// the request ended: their connections stay silent, and later they are reset by a host that
// is up again.
func TestSilentTargetIsNoEndOfTarget(t *testing.T) {
	var conns atomic.Int32
	var silent []net.Conn
	var mu sync.Mutex
	p := poolWith(t, serve(t, &conns, func(nc net.Conn, _ *http.Request) bool {
		mu.Lock()
		silent = append(silent, nc)
		mu.Unlock()
		time.Sleep(2 * time.Second)
		return false
	}))
	endUnder(p, 2)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			if r := sendKeyed(t, p, fmt.Sprint("silent-", i), 100*time.Millisecond); r.Outcome != Broken {
				t.Errorf("outcome %v", r.Outcome)
			}
		})
	}
	wg.Wait()
	if refused(p) {
		t.Fatal("refused after targets that were silent")
	}
	for i := range 2 {
		wg.Go(func() {
			if r := sendKeyed(t, p, fmt.Sprint("returned-", i), 3*time.Second); r.Outcome != Broken {
				t.Errorf("outcome %v", r.Outcome)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	for _, nc := range silent {
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}
	mu.Unlock()
	wg.Wait()
	time.Sleep(10 * verifyDelay)
	if refused(p) {
		t.Error("refused after a host that was away reset its connections")
	}
}
