package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/pushback"
)

// testCodec uses its own header names, so that the tests do not depend on a platform.
type testCodec struct{}

func (testCodec) AppendCall(buf []byte, c *Call) []byte {
	return fmt.Appendf(buf, "%s %s HTTP/1.1\r\nHost: %s\r\nTest-Id: %s\r\n", c.Method, c.URI, c.Host, c.ID)
}

func (testCodec) AppendAttempt(buf []byte, timeout time.Duration, targetID string) []byte {
	return fmt.Appendf(buf, "Test-Left: %d\r\nTest-Target: %s\r\n\r\n", timeout.Milliseconds(), targetID)
}

func (testCodec) DecodeResponse(h http.Header, _ int) Response {
	seconds, _ := strconv.Atoi(h.Get("Test-Pause"))
	return Response{
		ID: h.Get("Test-Id"), Signature: h.Get("Test-Seal"), NotRun: h.Get("Test-Not-Run") != "",
		Notice: pushback.Notice{Pause: time.Duration(seconds) * time.Second},
	}
}

// serve listens and calls respond for each request. It closes the connection if
// respond returns false, and counts connections in conns. It returns the address.
func serve(t *testing.T, conns *atomic.Int32, respond func(nc net.Conn, r *http.Request) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer nc.Close()
				read := bufio.NewReader(nc)
				for {
					r, err := http.ReadRequest(read)
					if err != nil || !respond(nc, r) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func poolWith(t *testing.T, address string) *Pool {
	t.Helper()
	var d net.Dialer
	p := New(Options{Codec: testCodec{}, DataCentre: "dc1", Dial: d.DialContext, DialTimeout: time.Second, DrainGrace: time.Second})
	t.Cleanup(p.Close)
	s := catalog.NewState(catalog.StateOptions{})
	s.Apply(time.Now(), []catalog.Item{
		{Kind: catalog.KindConfig, Revision: 1, Config: &catalog.Config{Version: 1, Services: []*catalog.Service{{Name: "s1", MaxConnections: 25}}}},
		{Kind: catalog.KindTarget, Name: "t1", Revision: 2, Target: &catalog.Target{ID: "t1", Service: "s1", Address: address, DataCentre: "dc1", Slots: 2}},
	})
	p.Update(s.View())
	return p
}

// send sends one request whose deadline is after timeout, and returns its result.
func send(t *testing.T, p *Pool, id string, timeout time.Duration) Result {
	t.Helper()
	return sendCall(t, p, &Call{ID: id, Method: "GET", URI: "/x", Host: "h", Deadline: time.Now().Add(timeout)})
}

// sendCall sends a call and returns its result.
func sendCall(t *testing.T, p *Pool, call *Call) Result {
	t.Helper()
	p.Prepare(call)
	results := make(chan *Result, 1)
	a, _ := p.Start(call, 0, AttemptOptions{
		Service: "s1", Deadline: call.Deadline,
		Profile: balance.Profile{Expected: 10 * time.Millisecond, OverdueAfter: 50 * time.Millisecond},
	}, results)
	if a == nil {
		t.Fatal("no target")
	}
	giveUp := time.After(5 * time.Second)
	for {
		select {
		case r := <-results:
			return *r
		case now := <-time.After(20 * time.Millisecond):
			p.CloseExpired(now)
		case <-giveUp:
			t.Fatal("no result")
		}
	}
}

// writeResponse writes a response with the request ID, followed by extra bytes. It
// reports whether it succeeded.
func writeResponse(nc net.Conn, id, extra string) bool {
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: 2\r\n\r\nok%s", id, extra)
	return err == nil
}

func TestConnectionIsReused(t *testing.T) {
	var conns atomic.Int32
	p := poolWith(t, serve(t, &conns, func(nc net.Conn, r *http.Request) bool {
		return writeResponse(nc, r.Header.Get("Test-Id"), "")
	}))
	for i := range 5 {
		if r := send(t, p, fmt.Sprint(i), time.Second); r.Outcome != Responded || string(r.Body) != "ok" || r.Signature != "s" {
			t.Fatalf("result %+v", r)
		}
	}
	if n := conns.Load(); n != 1 {
		t.Fatalf("%d connections for five consecutive requests, want 1", n)
	}
}

// Guards against responses being matched to the wrong request: a target sends a
// second complete response after the first, which looks like the response to the
// next request on the connection.
func TestUnsolicitedResponseIsDiscarded(t *testing.T) {
	var conns atomic.Int32
	p := poolWith(t, serve(t, &conns, func(nc net.Conn, r *http.Request) bool {
		id := r.Header.Get("Test-Id")
		return writeResponse(nc, id, "HTTP/1.1 200 OK\r\nTest-Id: "+id+"\r\nContent-Length: 5\r\n\r\nextra")
	}))
	for i := range 3 {
		if r := send(t, p, fmt.Sprint(i), time.Second); r.Outcome != Responded || string(r.Body) != "ok" {
			t.Fatalf("result %+v", r)
		}
	}
	if n := conns.Load(); n != 3 {
		t.Fatalf("%d connections, want a new one after each unsolicited response", n)
	}
}

// Guards against a second run of a request that is not idempotent: a target that
// sends no valid response may have run the request, so the outcome must not say
// that it was refused or not sent.
func TestInvalidResponseIsBroken(t *testing.T) {
	for name, respond := range map[string]func(nc net.Conn, r *http.Request) bool{
		"another ID": func(nc net.Conn, r *http.Request) bool { return writeResponse(nc, "other", "") },
		"not HTTP": func(nc net.Conn, r *http.Request) bool {
			_, err := nc.Write([]byte("garbage\r\n\r\n"))
			return err == nil
		},
		"truncated body": func(nc net.Conn, r *http.Request) bool {
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 10\r\n\r\nok")
			return false
		},
		"conflicting lengths": func(nc net.Conn, r *http.Request) bool {
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nok")
			return true
		},
		"connection closed": func(net.Conn, *http.Request) bool { return false },
		"no response":       func(net.Conn, *http.Request) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			var conns atomic.Int32
			p := poolWith(t, serve(t, &conns, respond))
			if r := send(t, p, "1", 300*time.Millisecond); r.Outcome != Broken {
				t.Fatalf("outcome %v, error %v, want broken", r.Outcome, r.Err)
			}
		})
	}
}

// Guards against an attempt without a result: the connection fails when its reader
// has just found no attempt in progress, and an attempt is assigned before the
// connection is closed.
func TestAttemptAssignedToFailingConnectionIsReported(t *testing.T) {
	p := poolWith(t, "127.0.0.1:1")
	near, far := net.Pipe()
	defer far.Close()
	results := make(chan *Result, 1)
	target := p.targets["t1"]
	target.openConns++
	c := &conn{pool: p, target: target, netConn: near} // no reader; the test calls failConn instead
	a := &Attempt{Call: &Call{ID: "1"}, Target: target, StartedAt: time.Now(), Deadline: time.Now().Add(time.Minute), results: results}
	p.mu.Lock()
	p.assign(c, a)
	p.mu.Unlock()
	p.failConn(c, nil, errUnsolicited)
	select {
	case r := <-results:
		if r.Outcome != Broken {
			t.Fatalf("outcome %v, want broken", r.Outcome)
		}
	case <-time.After(time.Second):
		t.Fatal("no result within 1 s")
	}
}

func TestUnreachableIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	if r := send(t, poolWith(t, address), "1", time.Second); r.Outcome != NotSent {
		t.Fatalf("outcome %v, want not sent", r.Outcome)
	}
}

// Guards against a connection leak: the target does not respond to an attempt that
// was abandoned.
func TestConnectionOfAbandonedAttemptIsClosed(t *testing.T) {
	var conns atomic.Int32
	closed := make(chan struct{})
	p := poolWith(t, serve(t, &conns, func(nc net.Conn, _ *http.Request) bool {
		_, _ = nc.Read(make([]byte, 1)) // until the pool closes the connection
		close(closed)
		return false
	}))
	call := &Call{ID: "1", Method: "GET", URI: "/x", Host: "h", Deadline: time.Now().Add(10 * time.Second)}
	p.Prepare(call)
	results := make(chan *Result, 1)
	a, _ := p.Start(call, 0, AttemptOptions{Service: "s1", Deadline: call.Deadline}, results)
	time.Sleep(50 * time.Millisecond)
	p.Abandon(a, 100*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for {
		select {
		case <-closed:
			if len(results) > 0 {
				t.Fatal("an abandoned attempt sent a result")
			}
			return
		case now := <-time.After(20 * time.Millisecond):
			p.CloseExpired(now)
		case <-ctx.Done():
			t.Fatal("connection is still open after 3 s")
		}
	}
}

// Guards against requests that reach a target after their attempts have ended: the
// bytes wait in the send queue while the target or the path to it is stalled, and
// arrive together when it recovers.
func TestUndeliveredRequestIsDiscardedWhenItsConnectionIsClosed(t *testing.T) {
	const bodyBytes = 256 << 10 // more than the target's receive buffer
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) }); cerr != nil {
			return cerr
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := poolWith(t, l.Addr().String())
	call := &Call{
		ID: "1", Method: "POST", URI: "/x", Host: "h", Body: make([]byte, bodyBytes), HasBody: true, Deadline: time.Now().Add(10 * time.Second),
	}
	p.Prepare(call)
	a, _ := p.Start(call, 0, AttemptOptions{Service: "s1", Deadline: call.Deadline}, make(chan *Result, 1))
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	for !isWritten(p, a) {
		time.Sleep(time.Millisecond)
	}
	p.Abandon(a, 0)
	for p.Stats().Connections > 0 {
		p.CloseExpired(time.Now().Add(minResponseTimeout))
		time.Sleep(time.Millisecond)
	}
	if err := nc.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, nc)
	if err == nil || n >= bodyBytes {
		t.Fatalf("the target reads %d bytes of a request whose connection was closed, and then %v; want a reset", n, err)
	}
}

// isWritten reports whether the request of an attempt was written to the socket.
func isWritten(p *Pool, a *Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.conn != nil && !a.conn.writing
}
