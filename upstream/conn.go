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

// Sizes of a connection's buffers.
const (
	readBufferBytes = 2 << 10
	// maxResponseBytes bounds an answer that is held in memory.
	maxResponseBytes = 8 << 20
	// maxPreallocatedBytes is the length up to which memory is taken before the
	// bytes come: a faulty target may tell any length.
	maxPreallocatedBytes = 64 << 10
)

// conn is one connection to a target. It carries one request at a time; its
// reading goroutine runs until it is closed.
type conn struct {
	pool    *Pool
	target  *Target
	netConn net.Conn
	reader  *bufio.Reader
	// Guarded by the pool's lock.
	current *Attempt
	closed  bool
	// writing is true while a request is being written.
	writing bool
	// respondedEarly is true if the answer came before the request was written whole.
	respondedEarly bool
	// idleSince is when the last request ended.
	idleSince time.Time
	// idleTimeout is how long the target keeps the connection unused.
	idleTimeout time.Duration
}

// send writes an attempt that holds the connection.
func (c *conn) send(a *Attempt) {
	now := time.Now()
	left := a.Deadline.Sub(now)
	if left <= 0 {
		c.pool.failUnsent(c, a, errDeadline)
		return
	}
	buf := c.pool.getBuffer()
	buf = append(buf, a.Call.prefix...)
	buf = c.pool.opts.Codec.AppendAttempt(buf, left, a.Target.ID)
	buf = append(buf, a.Call.Body...)
	_ = c.netConn.SetWriteDeadline(now.Add(min(left, writeTimeout))) // fails only on a closed connection, and then the write does
	n, err := c.netConn.Write(buf)
	c.pool.putBuffer(buf)
	c.pool.writeDone(c, a, n, err)
}

// writeTimeout bounds the writing of a request; its target reads within milliseconds.
const writeTimeout = 2 * time.Second

// readLoop reads answers until the connection ends.
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

// readResponse reads one answer and reports whether the connection can go on.
func (c *conn) readResponse(a *Attempt) bool {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: a.Call.Method})
	if err != nil {
		c.pool.failConn(c, a, errors.Annotate(err, "read the answer"))
		return false
	}
	if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
		return true // an interim answer
	}
	body, err := readBody(resp)
	if err != nil {
		c.pool.failConn(c, a, errors.Annotate(err, "read the answer's body"))
		return false
	}
	if len(body) > maxResponseBytes {
		c.pool.failConn(c, a, errors.Errorf("the answer is larger than %d bytes", maxResponseBytes))
		return false
	}
	reply := c.pool.opts.Codec.DecodeResponse(resp.Header, resp.StatusCode)
	if reply.ID != "" && reply.ID != a.Call.ID {
		c.pool.failConn(c, a, errIDMismatch)
		return false
	}
	result := &Result{
		Attempt: a, Outcome: outcomeOf(reply), Status: resp.StatusCode, Header: resp.Header,
		Signature: reply.Signature, Body: body, EndedAt: time.Now(),
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	keep := framed && !resp.Close && c.reader.Buffered() == 0
	return c.pool.completeAttempt(c, result, keep, keepAliveTimeout(resp.Header))
}

// readBody reads an answer's body, at most one byte more than is held in memory.
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

// keepAliveTimeout returns the idle time-out that an answer tells, or 0.
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
