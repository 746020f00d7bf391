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
	maxAnswerBytes = 4 << 20
	// patience is how long after its deadline an answer is still awaited.
	patience = 2 * time.Second
)

// clientPrefix marks the codes of failures that the generator saw itself.
const clientPrefix = "client_"

type searchBody struct {
	Query          targetapi.Query `json:"query"`
	DeadlineMillis int64           `json:"deadline_ms"`
	ID             string          `json:"id"`
}

type actionBody struct {
	ID             string           `json:"id"`
	Action         targetapi.Action `json:"action"`
	DeadlineMillis int64            `json:"deadline_ms"`
}

// SearchAnswer is a gateway's answer to a search.
type SearchAnswer struct {
	ID       string        `json:"id"`
	Search   string        `json:"search"`
	Version  string        `json:"version"`
	Complete bool          `json:"complete"`
	Coverage Coverage      `json:"coverage"`
	Matched  int           `json:"matched"`
	Records  []wire.Record `json:"records"`
}

// Coverage tells which shards an answer covers.
type Coverage struct {
	Shards   int            `json:"shards"`
	Answered int            `json:"answered"`
	Missing  []MissingShard `json:"missing"`
}

// MissingShard is a shard that an answer doesn't cover.
type MissingShard struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

// ActionAnswer is a gateway's answer to a non-idempotent request.
type ActionAnswer struct {
	ID     string `json:"id"`
	Search string `json:"search"`
	Shard  string `json:"shard"`
}

// errorBody is a gateway's answer other than 200.
type errorBody struct {
	Code    code.Code `json:"code"`
	Message string    `json:"message"`
	NotRun  notRun    `json:"not_run"`
}

// notRun is true, false or "unknown" in JSON.
type notRun struct {
	code.RunStatus
}

// UnmarshalJSON parses the three values.
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

// Outcome is what became of a request.
type Outcome struct {
	Request Request
	Gateway string
	// Latency counts from when the request was due.
	Latency time.Duration
	// Lag is how late the generator sent it.
	Lag  time.Duration
	Code code.Code
	// Run is what the system told about the work.
	Run    code.RunStatus
	Search *SearchAnswer // set for a search that was answered
	Action *ActionAnswer // set for an action that was answered
	// Malformed is true if the gateway's answer broke the API.
	Malformed bool
}

// client sends requests to gateways. It is safe for concurrent use.
type client struct {
	http http.Client
}

func newClient() *client {
	return &client{http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: DefaultInFlight}}}
}

// ready tells whether a gateway says that it takes requests.
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode == http.StatusOK
}

// send makes the request and returns its outcome without times.
func (c *client) send(ctx context.Context, gateway string, r Request) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.Stream.Deadline.Std()+patience)
	defer cancel()
	out := Outcome{Request: r, Gateway: gateway}
	status, body, err := c.post(ctx, gateway, r)
	switch {
	case err != nil:
		out.Code, out.Run = clientFailure(err)
	case status != http.StatusOK:
		out.refused(status, body)
	case r.IsAction:
		out.Action = &ActionAnswer{}
		out.answered(json.Unmarshal(body, out.Action))
	default:
		out.Search = &SearchAnswer{}
		out.answered(json.Unmarshal(body, out.Search))
	}
	return out
}

func (c *client) post(ctx context.Context, gateway string, r Request) (int, []byte, error) {
	path := pathSearch
	var value any = searchBody{Query: r.Query, DeadlineMillis: r.Stream.Deadline.Std().Milliseconds(), ID: r.ID}
	if r.IsAction {
		path = pathAction
		value = actionBody{ID: r.ID, Action: r.Action, DeadlineMillis: r.Stream.Deadline.Std().Milliseconds()}
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode, body, errors.Trace(err)
}

func (o *Outcome) answered(err error) {
	o.Code, o.Run = code.OK, code.Ran
	if err != nil {
		o.Malformed = true
		o.Search, o.Action = nil, nil
	}
}

func (o *Outcome) refused(status int, body []byte) {
	var e errorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Code == "" {
		o.Code, o.Malformed = code.Code(clientPrefix+"status_"+strconv.Itoa(status)), true
		return
	}
	o.Code, o.Run = e.Code, e.NotRun.RunStatus
}

// clientFailure classifies a request that got no answer. Without a connection
// it can't have run.
func clientFailure(err error) (code.Code, code.RunStatus) {
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return clientPrefix + code.Timeout, code.RunUnknown
	case errors.As(err, &op) && op.Op == "dial":
		return clientPrefix + code.Unreachable, code.NotRun
	default:
		return clientPrefix + code.ConnectionBroken, code.RunUnknown
	}
}
