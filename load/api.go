package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Paths of the gateway's caller API.
const (
	pathSearch = "/v1/search/"
	pathAction = "/v1/action/"
	pathReady  = "/ready"
)

const (
	maxResponseBytes = 4 << 20
	// responseGracePeriod is how long after its deadline a response is still awaited.
	responseGracePeriod = 2 * time.Second
)

// clientCodePrefix marks codes of failures that the generator detected itself.
const clientCodePrefix = "client_"

type searchRequest struct {
	Query          targetapi.Query `json:"query"`
	DeadlineMillis int64           `json:"deadline_ms"`
	ID             string          `json:"id"`
}

type actionRequest struct {
	ID             string           `json:"id"`
	Action         targetapi.Action `json:"action"`
	DeadlineMillis int64            `json:"deadline_ms"`
}

// SearchResponse is a gateway's response to a search.
type SearchResponse struct {
	ID       string        `json:"id"`
	Search   string        `json:"search"`
	Version  string        `json:"version"`
	Complete bool          `json:"complete"`
	Coverage Coverage      `json:"coverage"`
	Matched  int           `json:"matched"`
	Records  []wire.Record `json:"records"`
}

// Coverage describes which shards a response covers.
type Coverage struct {
	Shards    int            `json:"shards"`
	Responded int            `json:"answered"`
	Missing   []MissingShard `json:"missing"`
}

// MissingShard is a shard that a response does not cover.
type MissingShard struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

// ActionResponse is a gateway's response to a non-idempotent request.
type ActionResponse struct {
	ID     string `json:"id"`
	Search string `json:"search"`
	Shard  string `json:"shard"`
}

// errorResponse is a gateway's response with a status other than 200.
type errorResponse struct {
	Code    code.Code `json:"code"`
	Message string    `json:"message"`
	NotRun  notRun    `json:"not_run"`
}

// notRun is the run status of a request. In JSON it is true if the request was not
// run, false if it was, or "unknown".
type notRun struct {
	code.RunStatus
}

// UnmarshalJSON parses true, false or "unknown".
func (n *notRun) UnmarshalJSON(data []byte) error {
	switch string(data) {
	case "true":
		n.RunStatus = code.NotRun
	case "false":
		n.RunStatus = code.Ran
	case `"unknown"`:
		n.RunStatus = code.RunUnknown
	default:
		return errors.NotValidf("not_run %s", data)
	}
	return nil
}

// Outcome describes how a request ended.
type Outcome struct {
	Request Request
	Gateway string
	// Latency is measured from the time at which the request was due.
	Latency time.Duration
	// Lag is the time from when the request was due until the generator sent it.
	Lag  time.Duration
	Code code.Code
	// RunStatus is whether the request was run, according to the gateway's response or,
	// without one, to the kind of failure.
	RunStatus code.RunStatus
	Search    *SearchResponse // set for a search that succeeded
	Action    *ActionResponse // set for an action that succeeded
	// Malformed is true if the gateway's response does not conform to the API.
	Malformed bool
}

// client sends requests to gateways. It is safe for concurrent use.
type client struct {
	http http.Client
}

func newClient() *client {
	return &client{http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: DefaultMaxInProgress}}}
}

// ready reports whether a gateway responds that it is ready for requests.
func (c *client) ready(ctx context.Context, gateway string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway+pathReady, nil)
	if err != nil {
		return false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode == http.StatusOK
}

// send sends the request and returns its outcome without Latency and Lag.
func (c *client) send(ctx context.Context, gateway string, r Request) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.Stream.Deadline.Std()+responseGracePeriod)
	defer cancel()
	out := Outcome{Request: r, Gateway: gateway}
	status, body, err := c.post(ctx, gateway, r)
	switch {
	case err != nil:
		out.Code, out.RunStatus = clientFailure(err)
	case status != http.StatusOK:
		out.failed(status, body)
	case r.IsAction:
		out.Action = &ActionResponse{}
		out.succeeded(json.Unmarshal(body, out.Action))
	default:
		out.Search = &SearchResponse{}
		out.succeeded(json.Unmarshal(body, out.Search))
	}
	return out
}

func (c *client) post(ctx context.Context, gateway string, r Request) (int, []byte, error) {
	path := pathSearch
	var value any = searchRequest{Query: r.Query, DeadlineMillis: r.Stream.Deadline.Std().Milliseconds(), ID: r.ID}
	if r.IsAction {
		path = pathAction
		value = actionRequest{ID: r.ID, Action: r.Action, DeadlineMillis: r.Stream.Deadline.Std().Milliseconds()}
	}
	data, err := json.Marshal(value)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+path+r.Stream.Search, bytes.NewReader(data))
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+r.Stream.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, body, errors.Trace(err)
}

// succeeded sets the outcome of a response with status 200. err is the error of
// decoding its body.
func (o *Outcome) succeeded(err error) {
	o.Code, o.RunStatus = code.OK, code.Ran
	if err != nil {
		o.Malformed = true
		o.Search, o.Action = nil, nil
	}
}

// failed sets the outcome of a response with another status.
func (o *Outcome) failed(status int, body []byte) {
	var e errorResponse
	if err := json.Unmarshal(body, &e); err != nil || e.Code == "" {
		o.Code, o.Malformed = code.Code(clientCodePrefix+"status_"+strconv.Itoa(status)), true
		return
	}
	o.Code, o.RunStatus = e.Code, e.NotRun.RunStatus
}

// clientFailure classifies a request that got no response. Without a connection it
// cannot have run.
func clientFailure(err error) (code.Code, code.RunStatus) {
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return clientCodePrefix + code.Timeout, code.RunUnknown
	case errors.As(err, &op) && op.Op == "dial":
		return clientCodePrefix + code.Unreachable, code.NotRun
	default:
		return clientCodePrefix + code.ConnectionBroken, code.RunUnknown
	}
}
