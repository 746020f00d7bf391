package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platform/platformtest"
)

// How a caller uses its connections.
const (
	useKept      = "kept"      // sends each request right after the response to the one before
	usePaused    = "paused"    // pauses in between
	useNew       = "new"       // opens a connection for each request
	usePipelined = "pipelined" // sends two requests at once on a kept connection
	useSlowBody  = "slow body" // sends bodies in parts on a kept connection
)

// uses are the ways in which callers use connections, in the order of their numbers.
var uses = []string{useKept, useNew, useSlowBody, usePipelined, usePaused, useKept, useNew}

// Times of callers.
const (
	redialInterval = 20 * time.Millisecond
	longestPause   = 600 * time.Millisecond
	bodyParts      = 5
	longestPart    = 250 * time.Millisecond // between two parts of a body
	refusalPause   = 200 * time.Millisecond // longest pause after a refusal
	maxReason      = 100                    // bytes
	callerPatience = time.Second            // beyond the deadline of a request
)

// stopRequest is one request of a caller and how it ended.
type stopRequest struct {
	id, vm, route, use string
	first              bool // of its connection
	behind             bool // was sent at once with the request before
	service, timeout   time.Duration
	// begun and sent are when its first and its last byte were sent. Sent is zero if it was
	// not sent completely.
	begun, sent, ended time.Time
	status             int    // of a complete response, or zero
	reason             string // the beginning of the body of a refusal
	err                error  // why there is no complete response
}

// stopCaller sends requests to one VM over one connection at a time.
type stopCaller struct {
	stops *stopRun
	vm    *vm
	use   string
	rng   *rand.Rand
	name  string
	sent  int
}

func (s *stopRun) newCaller(v *vm, seed uint64, n int) *stopCaller {
	return &stopCaller{
		stops: s, vm: v, use: uses[n%len(uses)], name: fmt.Sprint(v.name, "-", n),
		rng: rand.New(rand.NewPCG(seed, uint64(slices.Index(s.vms, v)*1000+n))),
	}
}

// run sends requests until done is closed. It opens a new connection when the process
// has closed the one before.
func (c *stopCaller) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", c.vm.callerAddress, time.Second)
		if err != nil {
			time.Sleep(redialInterval)
			continue
		}
		last := c.useConnection(conn, done)
		_ = conn.Close() // nothing is in progress
		if last != nil && last.refused() {
			time.Sleep(time.Duration(c.rng.Int64N(int64(refusalPause))))
		}
	}
}

// useConnection sends requests until the connection ends or done is closed. It returns the
// last request that was answered, or nil.
func (c *stopCaller) useConnection(conn net.Conn, done <-chan struct{}) (last *stopRequest) {
	r := bufio.NewReader(conn)
	for first := true; ; first = false {
		select {
		case <-done:
			return last
		default:
		}
		if last != nil && last.refused() {
			time.Sleep(time.Duration(c.rng.Int64N(int64(refusalPause))))
		}
		requests := []*stopRequest{c.next(first)}
		if c.use == usePipelined {
			second := c.next(false)
			second.behind = true
			requests = append(requests, second)
		}
		c.write(conn, requests)
		open := c.read(conn, r, requests)
		c.stops.mu.Lock()
		c.stops.requests = append(c.stops.requests, requests...)
		c.stops.mu.Unlock()
		last = requests[0]
		if !open || c.use == useNew {
			return last
		}
		if c.use == usePaused {
			time.Sleep(time.Duration(c.rng.Int64N(int64(longestPause))))
		}
	}
}

// next returns the next request. Its service time is a few milliseconds, a part of the
// grace, or longer than the grace; its deadline is later.
func (c *stopCaller) next(first bool) *stopRequest {
	grace := c.stops.grace
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(c.rng.Int64N(int64(to-from)))
	}
	service := between(3*time.Millisecond, 30*time.Millisecond)
	switch draw := c.rng.IntN(100); {
	case draw < 15:
		service = between(grace*6/10, grace*3/2)
	case draw < 45:
		service = between(grace/10, grace*6/10)
	case draw < 70:
		service = between(30*time.Millisecond, 300*time.Millisecond)
	}
	c.sent++
	return &stopRequest{
		id: fmt.Sprint(c.name, "-", c.sent), vm: c.vm.name, use: c.use, first: first, service: service,
		route:   []string{"single", "single", "once", "all"}[c.rng.IntN(4)],
		timeout: between(max(grace, service+grace/4), 2*grace),
	}
}

// bytes returns a request as it is sent.
func (c *stopCaller) bytes(q *stopRequest) []byte {
	method, size := http.MethodGet, 20
	if q.route == "once" {
		method = http.MethodPost
	}
	if c.rng.IntN(8) == 0 {
		size = stopPayload
	}
	path := fmt.Sprintf("/%s/%d/%d/%s", q.route, q.service.Milliseconds(), size, q.id)
	var body []byte
	if method == http.MethodPost || c.use == useSlowBody {
		body = []byte("body of " + q.id)
	}
	req, err := http.NewRequest(method, "http://"+c.vm.callerAddress+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the path has no unusual characters
	}
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, q.id, q.timeout)
	var out bytes.Buffer
	_ = req.Write(&out) // a buffer takes all bytes
	return out.Bytes()
}

// write sends requests by a single write, or in parts if the bodies are slow.
func (c *stopCaller) write(conn net.Conn, requests []*stopRequest) {
	var all []byte
	for _, q := range requests {
		all = append(all, c.bytes(q)...)
		q.begun = time.Now()
	}
	if c.use == useSlowBody {
		body := bytes.Index(all, []byte("\r\n\r\n")) + 4
		for n := range bodyParts - 1 {
			part := all[:max(body, len(all)*n/bodyParts)]
			if n > 0 {
				part = part[:min(len(part), 2)]
			}
			if _, err := conn.Write(part); err != nil {
				return
			}
			all, body = all[len(part):], 0
			time.Sleep(time.Duration(c.rng.Int64N(int64(longestPart))))
		}
	}
	if _, err := conn.Write(all); err != nil {
		return
	}
	for _, q := range requests {
		q.sent = time.Now()
	}
}

// read reads the responses to requests. It reports whether the connection may be used
// again.
func (c *stopCaller) read(conn net.Conn, r *bufio.Reader, requests []*stopRequest) bool {
	for i, q := range requests {
		_ = conn.SetReadDeadline(q.begun.Add(q.timeout + callerPatience)) // a failure shows in the read
		resp, err := http.ReadResponse(r, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		q.ended, q.err = time.Now(), err
		if err != nil {
			for _, later := range requests[i+1:] {
				later.ended, later.err = q.ended, err
			}
			return false
		}
		if q.status = resp.StatusCode; q.status != http.StatusOK {
			q.reason = string(body[:min(len(body), maxReason)])
		}
		if resp.Close {
			for _, later := range requests[i+1:] {
				later.ended, later.err = q.ended, errClosedAfterResponse
			}
			return false
		}
	}
	return true
}

// refused reports whether the response promises that the request was not run.
func (q *stopRequest) refused() bool { return slices.Contains(notRun, q.status) }
