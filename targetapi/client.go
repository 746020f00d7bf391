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

// Defaults and limits of a TargetClient.
const (
	DefaultMaxConnections      = 4
	DefaultMaxAge              = 5 * time.Minute
	DefaultMaxIdle             = 30 * time.Second
	DefaultDialTimeout         = time.Second
	DefaultCancelGracePeriod   = 100 * time.Millisecond
	DefaultDeadlineGracePeriod = 500 * time.Millisecond
	MaxResponseBytes           = 1 << 20
)

// controlConnections is the number of connections within the client's limit that
// are reserved for cancellations and for probes: one each.
const controlConnections = 2

// requestHeaderCount is the number of headers of a request.
const requestHeaderCount = 3

// metrics holds counters over all target clients: dials, dial_failures, retired
// (connections), broken (connections), bad_answers (bad responses) and cancels.
var metrics = expvar.NewMap("target_client")

// TargetClientOptions configures a TargetClient.
type TargetClientOptions struct {
	// Address is the target's host and port.
	Address string
	// DataCentre and Relay identify the client to the target.
	DataCentre string
	Relay      string
	// MaxConnections is the maximum number of connections, including one for
	// cancellations and one for probes; zero means DefaultMaxConnections. Below
	// three, the client uses those two and one for requests.
	MaxConnections int
	// MaxAge and MaxIdle bound the age of a connection and the time since its last
	// use. Beyond either it takes no further request. Zero means DefaultMaxAge and
	// DefaultMaxIdle.
	MaxAge  time.Duration
	MaxIdle time.Duration
	// DialTimeout bounds a dial; zero means DefaultDialTimeout.
	DialTimeout time.Duration
	// CancelGracePeriod is how long the target has to confirm a cancellation, and
	// then again to respond to the canceled request; zero means
	// DefaultCancelGracePeriod.
	CancelGracePeriod time.Duration
	// DeadlineGracePeriod is how long after its deadline a request that was sent
	// waits for the target's own response; zero means DefaultDeadlineGracePeriod.
	DeadlineGracePeriod time.Duration
	// Pacer limits the rate of dials.
	Pacer PacerOptions
}

func (o *TargetClientOptions) setDefaults() {
	o.MaxConnections = cmp.Or(o.MaxConnections, DefaultMaxConnections)
	o.MaxAge = cmp.Or(o.MaxAge, DefaultMaxAge)
	o.MaxIdle = cmp.Or(o.MaxIdle, DefaultMaxIdle)
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.CancelGracePeriod = cmp.Or(o.CancelGracePeriod, DefaultCancelGracePeriod)
	o.DeadlineGracePeriod = cmp.Or(o.DeadlineGracePeriod, DefaultDeadlineGracePeriod)
}

// Result is the outcome of a request to a target.
type Result struct {
	Code code.Code
	// Run is NotRun if no byte of the request left or if the target says that it
	// did not run the request, Ran if the target returned a result, and
	// RunUnknown otherwise.
	Run code.RunStatus
	// Sent is true if a byte of the request may have left.
	Sent bool
	// Response is set if and only if Code is code.OK.
	Response *TargetAnswer
	// Refusal is the target's refusal, or nil if there is none.
	Refusal *TargetRefusal
	// BootID and Draining come from the headers of the response, if there is one.
	BootID   string
	Draining bool
	// ServiceTime is the time from the write of the request's first byte to the
	// header of the response.
	ServiceTime time.Duration
	// Err is the cause if Code is not code.OK: a *BadResponseError, a
	// *RefusedError, or another error.
	Err error
}

// BadResponseError means that a response is malformed or does not match its
// request.
type BadResponseError struct {
	Detail string
}

// Error returns what is wrong with the response.
func (e *BadResponseError) Error() string { return "bad answer: " + e.Detail }

// RefusedError means that a target refused a request or stopped running it.
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
	options TargetClientOptions
	dialer  *dialer
	once    sync.Once
	pools   atomic.Pointer[pools]

	// dataCentre and relay are header values common to all requests.
	dataCentre, relay []string
}

// pools holds a client's connections by purpose.
type pools struct {
	requests *http.Transport
	control  *http.Transport
	probes   *http.Transport
}

// NewTargetClient returns a client. It opens connections when they are needed.
func NewTargetClient(o TargetClientOptions) *TargetClient {
	o.setDefaults()
	c := &TargetClient{options: o, dataCentre: []string{o.DataCentre}, relay: []string{o.Relay}}
	c.dialer = newDialer(&c.options)
	return c
}

// connectionPools returns the client's pools. It creates them at their first use,
// because a relay has a client for every target but holds permits of only a few.
func (c *TargetClient) connectionPools() *pools {
	c.once.Do(func() {
		p := &pools{
			requests: newTransport(c.dialer, max(1, c.options.MaxConnections-controlConnections)),
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

// RetireConnections prevents all connections that are open now from taking
// further requests. It is used when some of them have been found silent, because
// others that are as old may be silent too.
func (c *TargetClient) RetireConnections() { c.dialer.retireBefore(time.Now()) }

// OpenConnections returns the number of open connections.
func (c *TargetClient) OpenConnections() int { return int(c.dialer.open.Load()) }

// Do sends a request to the path, PathSearch or PathAction, and returns its
// outcome. It returns when the target is known to have ended the request,
// CancelGracePeriod after the target has confirmed a cancellation, or
// DeadlineGracePeriod after the deadline: until then the request may occupy one
// of the target's slots. If ctx is done, a request that was sent is canceled at
// the target.
func (c *TargetClient) Do(ctx context.Context, path string, req *TargetRequest, deadline time.Time) Result {
	body, err := json.Marshal(req)
	if err != nil {
		return Result{Code: code.Internal, Run: code.NotRun, Err: errors.Trace(err)}
	}
	// Each stale connection of the pool can fail once before a byte is written.
	for range c.options.MaxConnections {
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
	stopWithdraw := context.AfterFunc(ctx, func() { c.withdraw(e, req.ID, abort) })
	defer stopWithdraw()

	resp, err := c.connectionPools().requests.RoundTrip(c.newRequest(callCtx, e, path, body))
	if err != nil {
		return failedResult(e, callCtx, err)
	}
	defer resp.Body.Close()
	return c.receive(e, callCtx, req, resp)
}

// newRequest builds the request without http.NewRequest: parsing the same URL
// and headers for each request costs more than the rest of it. GetBody stays nil,
// which prevents the transport from sending the request again.
func (c *TargetClient) newRequest(ctx context.Context, e *exchange, path string, body []byte) *http.Request {
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: c.options.Address, Path: path},
		Host:          c.options.Address,
		Header:        make(http.Header, requestHeaderCount),
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	c.setHeaders(req)
	return req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// GotConn is called before the header is written.
		GotConn: func(info httptrace.GotConnInfo) {
			req.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(e.deadline).Microseconds(), 10))
			if conn, ok := info.Conn.(*clientConn); ok {
				conn.assign(e, info.Reused || info.WasIdle)
			}
		},
	}))
}

func (c *TargetClient) setHeaders(req *http.Request) {
	req.Header[platformapi.HeaderDataCentre] = c.dataCentre
	req.Header[HeaderRelay] = c.relay
}

// expire aborts a request at its deadline if it has not been sent. Otherwise it
// aborts it DeadlineGracePeriod later, to receive the target's own response.
func (c *TargetClient) expire(e *exchange, abort context.CancelCauseFunc) {
	if e.withdraw() {
		abort(errDeadline)
		return
	}
	time.AfterFunc(c.options.DeadlineGracePeriod, func() { abort(context.DeadlineExceeded) })
}

// withdraw cancels a request, at the target if it was sent. A request that was
// sent then waits for the target's own response: for CancelGracePeriod once the
// target has confirmed the cancellation, and until it expires otherwise, because
// until then it may occupy a slot.
func (c *TargetClient) withdraw(e *exchange, id string, abort context.CancelCauseFunc) {
	if e.withdraw() {
		abort(context.Canceled)
		return
	}
	for time.Now().Before(e.deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), c.options.CancelGracePeriod)
		err := c.Cancel(ctx, id)
		cancel()
		if err == nil {
			time.AfterFunc(c.options.CancelGracePeriod, func() { abort(context.Canceled) })
			return
		}
		time.Sleep(cancelRetryInterval)
	}
}

// cancelRetryInterval is the time between two attempts to cancel a request.
const cancelRetryInterval = 5 * time.Millisecond

// Cancel tells the target to stop a request. It uses the connection reserved for
// cancellations.
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
	resp, err := c.connectionPools().control.RoundTrip(req)
	if err != nil {
		return errors.Annotate(err, "cancel request at target")
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, MaxResponseBytes))
	return resp.Body.Close()
}

// Health is the result of a probe.
type Health struct {
	Reported TargetHealth
	// BootID and Draining come from the headers of the response, which are
	// current.
	BootID   string
	Draining bool
}

// Probe requests the target's health over a new connection. If the status is not
// 200, the error comes with the header fields of the response.
func (c *TargetClient) Probe(ctx context.Context) (Health, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.options.Address+PathHealth, nil)
	if err != nil {
		return Health{}, errors.Trace(err)
	}
	c.setHeaders(req)
	resp, err := c.connectionPools().probes.RoundTrip(req)
	if err != nil {
		return Health{}, errors.Annotate(err, "probe target")
	}
	defer resp.Body.Close()
	health := Health{BootID: resp.Header.Get(HeaderBootID), Draining: resp.Header.Get(HeaderDraining) == "true"}
	if resp.StatusCode != http.StatusOK {
		return health, errors.Errorf("probe target: got status %d, want 200", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, MaxResponseBytes)).Decode(&health.Reported)
	return health, errors.Annotate(err, "probe target")
}
