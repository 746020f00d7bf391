package targetapi

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
)

// Defaults of a TargetClient.
const (
	DefaultConnections = 4
	DefaultMaxAge      = 5 * time.Minute
	DefaultMaxIdle     = 30 * time.Second
	DefaultDialTimeout = time.Second
	DefaultGrace       = 100 * time.Millisecond
	DefaultOverdue     = 500 * time.Millisecond
	MaxAnswerBytes     = 1 << 20
)

// controlConnections are the connections, out of the client's limit, that are
// kept for cancellations and for probes: one each.
const controlConnections = 2

// requestHeaders is the number of headers of a request.
const requestHeaders = 3

// metrics counts dials, dial_failures, retired (connections), broken
// (connections), bad_answers and cancels of all target clients.
var metrics = expvar.NewMap("target_client")

// TargetOptions configures a TargetClient.
type TargetOptions struct {
	// Address is the target's host and port.
	Address string
	// DataCentre and Relay name the client to the target.
	DataCentre string
	Relay      string
	// Connections is the largest number of connections, including one for
	// cancellations and one for probes; zero means DefaultConnections. Below
	// three, those two come on top of one for requests.
	Connections int
	// MaxAge and MaxIdle are the times since its opening and since its last
	// use after which a connection takes no further request; zero means
	// DefaultMaxAge and DefaultMaxIdle.
	MaxAge  time.Duration
	MaxIdle time.Duration
	// DialTimeout bounds a dial; zero means DefaultDialTimeout.
	DialTimeout time.Duration
	// Grace is how long the target has to confirm a cancellation, and then the
	// canceled request to be answered; zero means DefaultGrace.
	Grace time.Duration
	// Overdue is how long after its deadline a request that was sent waits for
	// the target's own answer; zero means DefaultOverdue.
	Overdue time.Duration
	// Pacer limits the pace of dials.
	Pacer PacerOptions
}

func (o *TargetOptions) setDefaults() {
	o.Connections = cmp.Or(o.Connections, DefaultConnections)
	o.MaxAge = cmp.Or(o.MaxAge, DefaultMaxAge)
	o.MaxIdle = cmp.Or(o.MaxIdle, DefaultMaxIdle)
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.Grace = cmp.Or(o.Grace, DefaultGrace)
	o.Overdue = cmp.Or(o.Overdue, DefaultOverdue)
}

// Result is the outcome of a request to a target.
type Result struct {
	Code code.Code
	// Run tells whether the work ran: NotRun if no byte left or if the target
	// says so, Ran if it answered, and unknown otherwise.
	Run code.Run
	// Sent is true if a byte of the request may have left.
	Sent bool
	// Answer is set if and only if Code is code.OK.
	Answer *TargetAnswer
	// Refusal is what the target answered in place of a result, or nil.
	Refusal *TargetRefusal
	// Boot and Draining are what the target told with its answer, if any came.
	Boot     string
	Draining bool
	// Service is the time from the first byte's write to the answer's header.
	Service time.Duration
	// Err is the cause if Code isn't code.OK: a *BadAnswerError, a
	// *RefusedError, or a failure of the network.
	Err error
}

// BadAnswerError tells that a target answered what was not asked.
type BadAnswerError struct {
	Detail string
}

// Error returns what is wrong with the answer.
func (e *BadAnswerError) Error() string { return "bad answer: " + e.Detail }

// RefusedError tells that a target refused the work or stopped it.
type RefusedError struct {
	Status int
	Code   code.Code
}

// Error returns the status and code of the refusal.
func (e *RefusedError) Error() string {
	return "target answered " + strconv.Itoa(e.Status) + " " + string(e.Code)
}

// TargetClient sends requests to one target. It is safe for concurrent use.
// It never sends a request twice once a byte of it may have left.
type TargetClient struct {
	options TargetOptions
	dialer  *dialer
	once    sync.Once
	pools   atomic.Pointer[pools]

	// dataCentre and relay are header values that all requests share.
	dataCentre, relay []string
}

// pools are a client's connections, by purpose.
type pools struct {
	requests *http.Transport
	control  *http.Transport
	probes   *http.Transport
}

// NewTargetClient returns a client without connections.
func NewTargetClient(o TargetOptions) *TargetClient {
	o.setDefaults()
	c := &TargetClient{options: o, dataCentre: []string{o.DataCentre}, relay: []string{o.Relay}}
	c.dialer = newDialer(&c.options)
	return c
}

// open returns the client's pools, made at their first use: a relay has a
// client for every target but holds permits of a few only.
func (c *TargetClient) open() *pools {
	c.once.Do(func() {
		p := &pools{
			requests: newTransport(c.dialer, max(1, c.options.Connections-controlConnections)),
			control:  newTransport(c.dialer, 1),
			probes:   newTransport(c.dialer, 1),
		}
		p.probes.DisableKeepAlives = true
		c.pools.Store(p)
	})
	return c.pools.Load()
}

func newTransport(d *dialer, connections int) *http.Transport {
	return &http.Transport{
		DialContext:         d.dial,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     d.options.MaxIdle,
		DisableCompression:  true,
	}
}

// Close closes the idle connections.
func (c *TargetClient) Close() {
	p := c.pools.Load()
	if p == nil {
		return
	}
	p.requests.CloseIdleConnections()
	p.control.CloseIdleConnections()
	p.probes.CloseIdleConnections()
}

// Retire keeps all connections that are open now from taking further requests.
// It is for when some have been found silent: others of their time may be too.
func (c *TargetClient) Retire() { c.dialer.retireBefore(time.Now()) }

// Connections returns the number of open connections.
func (c *TargetClient) Connections() int { return int(c.dialer.open.Load()) }

// Do sends a request to the path, PathSearch or PathAction, and returns its
// outcome. It returns when the target is known to have ended the work, or Grace
// after it has confirmed a cancellation, or Overdue after the deadline: until
// then the work may hold one of the target's slots. When ctx is done a request
// that was sent is canceled at the target.
func (c *TargetClient) Do(ctx context.Context, path string, req *TargetRequest, deadline time.Time) Result {
	body, err := json.Marshal(req)
	if err != nil {
		return Result{Code: code.Internal, Run: code.NotRun, Err: errors.Trace(err)}
	}
	// Each stale connection of the pool can fail once before a byte is written.
	for range c.options.Connections {
		e := &exchange{deadline: deadline}
		result := c.exchange(ctx, e, path, req, body)
		_, pooled, sent, _ := e.state()
		if sent || !pooled || ctx.Err() != nil || !time.Now().Before(deadline) {
			return result
		}
		metrics.Add("retired", 1)
	}
	return Result{Code: code.Unreachable, Run: code.NotRun, Err: errors.New("no connection was usable")}
}

// exchange sends the request over one connection.
func (c *TargetClient) exchange(ctx context.Context, e *exchange, path string, req *TargetRequest, body []byte) Result {
	callCtx, abort := context.WithCancelCause(context.Background())
	defer abort(nil)
	expire := time.AfterFunc(time.Until(e.deadline), func() { c.expire(e, abort) })
	defer expire.Stop()
	stopWatch := context.AfterFunc(ctx, func() { c.withdraw(e, req.ID, abort) })
	defer stopWatch()

	resp, err := c.open().requests.RoundTrip(c.newRequest(callCtx, e, path, body))
	if err != nil {
		return failure(e, callCtx, err)
	}
	defer resp.Body.Close()
	return c.receive(e, callCtx, req, resp)
}

// newRequest builds the request by hand: parsing the same URL and headers anew
// for each request costs more than the rest of it. GetBody stays nil, which
// keeps the transport from sending the request again.
func (c *TargetClient) newRequest(ctx context.Context, e *exchange, path string, body []byte) *http.Request {
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: c.options.Address, Path: path},
		Host:          c.options.Address,
		Header:        make(http.Header, requestHeaders),
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	c.setHeaders(req)
	return req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// It runs before the header is written.
		GotConn: func(info httptrace.GotConnInfo) {
			req.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(e.deadline).Microseconds(), 10))
			if conn, ok := info.Conn.(*clientConn); ok {
				conn.carry(e, info.Reused || info.WasIdle)
			}
		},
	}))
}

func (c *TargetClient) setHeaders(req *http.Request) {
	req.Header[platformapi.HeaderDataCentre] = c.dataCentre
	req.Header[HeaderRelay] = c.relay
}

// expire gives up a request at its deadline, if it was sent after the grace
// that the target's own answer gets.
func (c *TargetClient) expire(e *exchange, abort context.CancelCauseFunc) {
	if e.withdraw() {
		abort(errDeadline)
		return
	}
	time.AfterFunc(c.options.Overdue, func() { abort(context.DeadlineExceeded) })
}

// withdraw cancels a request, at the target if it was sent. The request then
// waits for the target's own answer, for Grace once the target has confirmed the
// cancellation, and else until its deadline: until then the work may hold a slot.
func (c *TargetClient) withdraw(e *exchange, id string, abort context.CancelCauseFunc) {
	if e.withdraw() {
		abort(context.Canceled)
		return
	}
	for time.Now().Before(e.deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), c.options.Grace)
		err := c.Cancel(ctx, id)
		cancel()
		if err == nil {
			time.AfterFunc(c.options.Grace, func() { abort(context.Canceled) })
			return
		}
		time.Sleep(cancelRetry)
	}
}

// cancelRetry is the time between two attempts to cancel a request.
const cancelRetry = 5 * time.Millisecond

// Cancel asks the target, over a connection of its own, to stop a request.
func (c *TargetClient) Cancel(ctx context.Context, id string) error {
	metrics.Add("cancels", 1)
	body, err := json.Marshal(TargetCancel{ID: id})
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.options.Address+PathCancel, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	c.setHeaders(req)
	resp, err := c.open().control.RoundTrip(req)
	if err != nil {
		return errors.Annotate(err, "cancel")
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, MaxAnswerBytes))
	return resp.Body.Close()
}

// Health is the answer to a probe.
type Health struct {
	Claim TargetHealth
	// Boot and Draining come from the answer's headers, which don't lag.
	Boot     string
	Draining bool
}

// Probe reads the target's health over a new connection.
func (c *TargetClient) Probe(ctx context.Context) (Health, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.options.Address+PathHealth, nil)
	if err != nil {
		return Health{}, errors.Trace(err)
	}
	c.setHeaders(req)
	resp, err := c.open().probes.RoundTrip(req)
	if err != nil {
		return Health{}, errors.Annotate(err, "probe")
	}
	defer resp.Body.Close()
	health := Health{Boot: resp.Header.Get(HeaderBoot), Draining: resp.Header.Get(HeaderDraining) == "true"}
	if resp.StatusCode != http.StatusOK {
		return health, errors.Errorf("probe: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, MaxAnswerBytes)).Decode(&health.Claim)
	return health, errors.Annotate(err, "probe")
}
