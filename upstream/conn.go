package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Buffer sizes of a connection.
const (
	readBufferBytes = 2 << 10
	// maxResponseBytes bounds the size of a response body, which is held in memory.
	maxResponseBytes = 8 << 20
	// maxHeadBytes bounds the status line and headers of a response, with those of
	// the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxPreallocatedBytes is the largest Content-Length for which the body is
	// allocated before it is received. A faulty target may send any length.
	maxPreallocatedBytes = 64 << 10
	// maxTrailerBytes bounds what may follow the chunks of a body, and the sizes of
	// the chunks.
	maxTrailerBytes = 64 << 10
)

// conn is one connection to a target. It carries one request at a time. The
// goroutine that reads from it runs until it is closed.
type conn struct {
	pool    *Pool
	target  *Target
	netConn net.Conn
	reader  *bufio.Reader
	// source is what reader reads from. Only the reading goroutine uses it.
	source *boundedReader
	// echoesID is true once a response on this connection has named its request. One
	// that names none is then no response to the request in progress. Only the reading
	// goroutine uses it.
	echoesID bool
	// The fields below are guarded by Pool.mu.
	current *Attempt
	// lastID is the ID of the last request. The connection carries no second attempt
	// of that request: a late copy of the first response would pass for the second.
	lastID string
	closed bool
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
	c.pool.traffic.sent(c.target.remote).Add(int64(n))
	c.pool.putBuffer(buf)
	c.pool.writeDone(c, a, n, err)
}

// writeTimeout bounds the writing of a request. Targets read it within milliseconds.
const writeTimeout = 2 * time.Second

// boundedReader reads from a connection at most the number of bytes that is allowed.
type boundedReader struct {
	conn    net.Conn
	allowed int64
	count   *atomic.Int64 // of all bytes read
	// head receives a copy of what is read while copying is true.
	head    []byte
	copying bool
}

// Read implements io.Reader. It returns errTooLarge once no more bytes are allowed.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.allowed <= 0 {
		return 0, errTooLarge
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.allowed)])
	r.allowed -= int64(n)
	r.count.Add(int64(n))
	if r.copying {
		r.head = append(r.head, p[:n]...)
	}
	return n, err
}

func newConn(p *Pool, t *Target, nc net.Conn) *conn {
	source := &boundedReader{conn: nc, count: p.traffic.received(t.remote)}
	return &conn{
		pool: p, target: t, netConn: nc, source: source, reader: bufio.NewReaderSize(source, readBufferBytes),
		idleTimeout: defaultIdleTimeout,
	}
}

// readLoop reads responses until the connection is closed or fails.
func (c *conn) readLoop() {
	for {
		c.source.allowed = maxHeadBytes
		_, err := c.reader.Peek(1)
		a := c.pool.currentAttempt(c, err == nil)
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

// readResponse reads the response to an attempt and reports whether the connection
// stays open.
func (c *conn) readResponse(a *Attempt) bool {
	result, keep, err := c.decodeResponse(a)
	if err != nil {
		c.pool.failConn(c, a, err)
		return false
	}
	return c.pool.completeAttempt(c, result, keep, keepAliveTimeout(result.Header))
}

// decodeResponse reads and checks the response to an attempt. keep is true if the
// connection can be used again. A panic is returned as an error: whatever a target
// sends, only its attempt may fail.
func (c *conn) decodeResponse(a *Attempt) (result *Result, keep bool, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("panic while reading the response: %v", cause)
		}
	}()
	resp, err := c.readHead(a)
	if err != nil {
		return nil, false, errors.Annotate(err, "read response")
	}
	decoded := c.pool.opts.Codec.DecodeResponse(resp.Header, resp.StatusCode)
	switch {
	case decoded.ID != "" && decoded.ID != a.Call.ID:
		return nil, false, errIDMismatch
	case decoded.ID == "" && (c.echoesID || decoded.NotRun || decoded.Misdirected):
		return nil, false, errNoID // what says that the request did not run must name it
	}
	c.echoesID = c.echoesID || decoded.ID != ""
	body, err := c.readBody(resp)
	if err != nil {
		return nil, false, errors.Annotate(err, "read response body")
	}
	if !decoded.Misdirected {
		c.pool.observeNotice(c.target, a, decoded.Notice)
	}
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Result{
		Attempt: a, Outcome: outcomeOf(decoded), Status: resp.StatusCode, Header: resp.Header,
		Signature: decoded.Signature, Body: body, EndedAt: time.Now(),
	}, delimited && !resp.Close && c.reader.Buffered() == 0, nil
}

// readBody reads the body of a response of at most maxResponseBytes.
func (c *conn) readBody(resp *http.Response) ([]byte, error) {
	n := resp.ContentLength
	if n > maxResponseBytes {
		return nil, errTooLarge
	}
	c.source.allowed = maxResponseBytes + maxTrailerBytes
	if n >= 0 && n <= maxPreallocatedBytes && resp.Body != http.NoBody {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return c.readLongBody(resp.Body)
}

// readLongBody reads a body whose size is not known, or large. What exceeds
// maxPreallocatedBytes counts against Options.MaxBufferedBytes while it is read.
func (c *conn) readLongBody(r io.Reader) (body []byte, err error) {
	reserved := int64(0)
	defer func() { c.pool.buffered.Add(-reserved) }()
	body = make([]byte, 0, 512)
	for {
		if len(body) == cap(body) {
			size := 2 * cap(body)
			if more := int64(size) - maxPreallocatedBytes - reserved; more > 0 {
				if !c.pool.reserve(more) {
					return nil, errBuffersFull
				}
				reserved += more
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxResponseBytes:
			return nil, errTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// reserve counts n bytes against Options.MaxBufferedBytes and reports whether they are
// within it. If not, it counts nothing.
func (p *Pool) reserve(n int64) bool {
	for {
		used := p.buffered.Load()
		if limit := p.opts.MaxBufferedBytes; limit > 0 && used+n > limit {
			return false
		}
		if p.buffered.CompareAndSwap(used, used+n) {
			return true
		}
	}
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
