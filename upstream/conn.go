package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Buffer sizes of a connection.
const (
	readBufferBytes = 2 << 10
	// maxResponseBytes bounds the size of a response body, which is held in memory.
	maxResponseBytes = 8 << 20
	// maxPreallocatedBytes is the largest Content-Length for which the body is
	// allocated before it is received. A faulty target may send any length.
	maxPreallocatedBytes = 64 << 10
)

// conn is one connection to a target. It carries one request at a time. The
// goroutine that reads from it runs until it is closed.
type conn struct {
	pool    *Pool
	target  *Target
	netConn net.Conn
	reader  *bufio.Reader
	// The fields below are guarded by Pool.mu.
	current *Attempt
	closed  bool
	// writing is true while a request is being written.
	writing bool
	// respondedEarly is true if the response arrived before the request was
	// completely written.
	respondedEarly bool
	// idleSince is when the last request ended.
	idleSince time.Time
	// idleTimeout is how long the target keeps the connection open while it is
	// idle.
	idleTimeout time.Duration
}

// send writes the request of an attempt to which the connection is assigned.
func (c *conn) send(a *Attempt) {
	now := time.Now()
	timeout := a.Deadline.Sub(now)
	if timeout <= 0 {
		c.pool.failUnsent(c, a, errDeadline)
		return
	}
	buf := c.pool.getBuffer()
	buf = append(buf, a.Call.prefix...)
	buf = c.pool.opts.Codec.AppendAttempt(buf, timeout, a.Target.ID)
	buf = append(buf, a.Call.Body...)
	_ = c.netConn.SetWriteDeadline(now.Add(min(timeout, writeTimeout))) // fails only on a closed connection, and then Write fails too
	n, err := c.netConn.Write(buf)
	c.pool.putBuffer(buf)
	c.pool.writeDone(c, a, n, err)
}

// writeTimeout bounds the writing of a request. Targets read it within milliseconds.
const writeTimeout = 2 * time.Second

// readLoop reads responses until the connection is closed or fails.
func (c *conn) readLoop() {
	for {
		_, err := c.reader.Peek(1)
		a := c.pool.currentAttempt(c)
		if err != nil {
			c.pool.failConn(c, a, errors.Trace(err))
			return
		}
		if a == nil {
			c.pool.failConn(c, nil, errUnsolicited)
			return
		}
		if !c.readResponse(a) {
			return
		}
	}
}

// readResponse reads one response and reports whether the connection stays open.
func (c *conn) readResponse(a *Attempt) bool {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: a.Call.Method})
	if err != nil {
		c.pool.failConn(c, a, errors.Annotate(err, "read response"))
		return false
	}
	if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
		return true // an interim response
	}
	body, err := readBody(resp)
	if err != nil {
		c.pool.failConn(c, a, errors.Annotate(err, "read response body"))
		return false
	}
	if len(body) > maxResponseBytes {
		c.pool.failConn(c, a, errors.Errorf("response body is larger than %d bytes", maxResponseBytes))
		return false
	}
	decoded := c.pool.opts.Codec.DecodeResponse(resp.Header, resp.StatusCode)
	if decoded.ID != "" && decoded.ID != a.Call.ID {
		c.pool.failConn(c, a, errIDMismatch)
		return false
	}
	result := &Result{
		Attempt: a, Outcome: outcomeOf(decoded), Status: resp.StatusCode, Header: resp.Header,
		Signature: decoded.Signature, Body: body, EndedAt: time.Now(),
	}
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	keep := delimited && !resp.Close && c.reader.Buffered() == 0
	return c.pool.completeAttempt(c, result, keep, keepAliveTimeout(resp.Header))
}

// readBody reads the body of a response, at most maxResponseBytes and one byte
// more, which shows that it is too long.
func readBody(resp *http.Response) ([]byte, error) {
	if n := resp.ContentLength; n >= 0 && n <= maxPreallocatedBytes && resp.Body != http.NoBody {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
}

func outcomeOf(r Response) Outcome {
	switch {
	case r.Misdirected:
		return Misdirected
	case r.NotRun:
		return Refused
	}
	return Responded
}

// keepAliveTimeout returns the idle timeout in a response's Keep-Alive header, or 0.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if secs, err := strconv.Atoi(value); err == nil && secs > 0 {
			return time.Duration(secs) * time.Second
		}
	}
	return 0
}
