// Package upstream maintains the connections to targets and sends the attempts of
// requests over them.
package upstream

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/pushback"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/juju/errors"
)

// Call is a request as it is sent to targets. It is the same for all attempts.
type Call struct {
	// ID is the request ID that the caller set.
	ID string
	// Method, URI and Host are forwarded as the caller sent them.
	Method string
	URI    string
	Host   string
	// Header holds the header fields to forward, without hop-by-hop fields.
	Header http.Header
	Body   []byte
	// HasBody is true if the caller sent a body, even an empty one.
	HasBody bool
	// Organisation is the name of the caller's organisation, which targets are told; empty if
	// none is known.
	Organisation string
	// Caller identifies who sent the request.
	Caller string
	// Keys identify the request across its repeats, which have IDs of their own.
	Keys quarantine.Keys
	// Deadline is when the caller stops waiting or the timeout of the route expires,
	// whichever is earlier.
	Deadline time.Time

	// Sharded is true if the call is sent to many services.
	Sharded bool

	prefix []byte // request line and headers that all attempts share, encoded
	// completed is true once a target has completed the call.
	completed atomic.Bool
}

// Quarantine returns the call at a service as package quarantine knows it.
func (c *Call) Quarantine(service string) *quarantine.Request {
	return &quarantine.Request{Keys: c.Keys, ID: c.ID, Caller: c.Caller, Path: c.Path(), Service: service, Sharded: c.Sharded}
}

// Path returns the path of the request without its query.
func (c *Call) Path() string {
	path, _, _ := strings.Cut(c.URI, "?")
	return path
}

// Codec encodes requests for targets and decodes the headers of their responses.
type Codec interface {
	// AppendCall appends the request line and the headers that all attempts share.
	AppendCall(buf []byte, c *Call) []byte
	// AppendAttempt appends the headers of one attempt and the blank line. Timeout
	// is the time that the target has; targetID is the ID of the only target that
	// may run the attempt.
	AppendAttempt(buf []byte, timeout time.Duration, targetID string) []byte
	// DecodeResponse decodes the status and headers of a response.
	DecodeResponse(h http.Header, status int) Response
}

// Response holds the decoded status and headers of a target's response.
type Response struct {
	// ID is the request ID that the target returned; empty if it returned none. NotRun and
	// Misdirected count only with an ID.
	ID string
	// Signature is the target's signature of the response.
	Signature string
	// NotRun is true if the target did not run the request.
	NotRun bool
	// Misdirected is true if another target has the address now.
	Misdirected bool
	// Notice is what the target asks of its callers.
	Notice pushback.Notice
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	Responded   Outcome = iota + 1 // received a complete response to this request
	Refused                        // the target did not run the request
	Misdirected                    // another target responded at the address
	NotSent                        // no part of the request was sent
	Broken                         // sent at least in part, and received no complete response
)

var outcomeNames = [...]string{
	Responded: "answered", Refused: "refused", Misdirected: "misdirected", NotSent: "not sent", Broken: "broken",
}

// String returns the name of the outcome for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the result of an attempt.
type Result struct {
	Attempt   *Attempt
	Outcome   Outcome
	Status    int
	Header    http.Header
	Signature string
	Body      []byte
	Err       error
	// EndedAt is when the attempt ended.
	EndedAt time.Time
}

// completes reports whether the target has completed the request. One that fails, such as
// one that gives up at its deadline, may have been about to crash.
func (r *Result) completes() bool {
	switch {
	case r.Outcome != Responded || r.Signature == "":
		return false
	case r.Status == http.StatusRequestTimeout || r.Status == http.StatusTooManyRequests:
		return false
	}
	return r.Status < http.StatusInternalServerError
}

// Attempt is one try of a call, or of one shard of it, at one target.
type Attempt struct {
	Call *Call
	// Shard is the shard number passed to Pool.Start.
	Shard  int
	Target *Target
	// StartedAt is when Pool.Start was called.
	StartedAt time.Time
	// Deadline is when the target may stop working on the attempt.
	Deadline time.Time
	// Extra is true for a hedge or a retry.
	Extra bool

	expected     time.Duration
	overdueAfter time.Duration
	results      chan<- *Result
	// The fields below are guarded by Pool.mu.
	state     attemptState
	conn      *conn
	abandoned bool
	// closeAt is when the connection of an abandoned attempt is closed if no
	// response has arrived.
	closeAt time.Time
	// sentAt is when a connection was assigned.
	sentAt time.Time
}

type attemptState int

const (
	stateQueued attemptState = iota
	stateDialing
	stateSent
	stateDone
)

// Errors of attempts.
var (
	errDeadline      = errors.New("deadline passed before the request was sent")
	errNoResponse    = errors.New("no response before the deadline")
	errTargetRemoved = errors.New("target removed or data centre evacuated")
	errPaused        = errors.New("target asked for a pause")
	errIDMismatch    = errors.New("response has the ID of another request")
	errNoID          = errors.New("response has no request ID, unlike earlier ones on its connection, or says that an unnamed request did not run")
	errTooLarge      = errors.New("response is larger than allowed")
	errBuffersFull   = errors.New("too many bytes of responses are being received")
	errUnsolicited   = errors.New("target sent data while no request was in progress")
)
