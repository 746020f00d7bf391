// Package upstream holds the connections to targets and carries attempts of
// requests over them.
package upstream

import (
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Call is one request as it goes to targets, alike for all its attempts.
type Call struct {
	// ID is the caller's id of the request.
	ID string
	// Method, URI and Host are forwarded as the caller sent them.
	Method string
	URI    string
	Host   string
	// Header holds the fields to forward, without those of one connection.
	Header http.Header
	Body   []byte
	// HasBody is true if the caller sent a body, be it empty.
	HasBody bool
	// Deadline is when the caller stops waiting, or the route's time is over.
	Deadline time.Time

	prefix []byte // the encoded part that all attempts share
}

// Codec encodes requests for targets and reads the headers of their answers.
type Codec interface {
	// AppendCall appends the request line and the headers that all attempts share.
	AppendCall(buf []byte, c *Call) []byte
	// AppendAttempt appends the headers of one attempt and the blank line. Left
	// is the time that the target has; id names the only target that may run it.
	AppendAttempt(buf []byte, left time.Duration, id string) []byte
	// DecodeResponse reads the headers of an answer.
	DecodeResponse(h http.Header, status int) Response
}

// Response is what the headers of a target's answer say.
type Response struct {
	// ID echoes the request's id; empty if the target doesn't tell.
	ID string
	// Signature is the target's signature of the answer.
	Signature string
	// NotRun is true if the target did not run the request.
	NotRun bool
	// Misdirected is true if another target has the address now.
	Misdirected bool
}

// Outcome tells how an attempt ended.
type Outcome int

// Kinds of results.
const (
	Responded   Outcome = iota + 1 // a whole answer to this request
	Refused                        // the target did not run it
	Misdirected                    // another target answered at the address
	NotSent                        // nothing was sent
	Broken                         // it was sent, and no whole answer came
)

var outcomeNames = [...]string{
	Responded: "answered", Refused: "refused", Misdirected: "misdirected", NotSent: "not sent", Broken: "broken",
}

// String names the kind for logs.
func (k Outcome) String() string { return outcomeNames[k] }

// Result is the end of an attempt.
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

// Attempt is one try of a call at one target.
type Attempt struct {
	Call *Call
	// Shard is the caller's own number.
	Shard  int
	Target *Target
	// StartedAt is when the attempt was handed to the pool.
	StartedAt time.Time
	// Deadline is when the target may stop its work.
	Deadline time.Time

	expected time.Duration
	results  chan<- *Result
	// Guarded by the pool's lock.
	state     attemptState
	conn      *conn
	abandoned bool
	// closeAt is when the connection of an abandoned attempt is closed.
	closeAt time.Time
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
	errDeadline      = errors.New("the deadline passed before the request was sent")
	errNoResponse    = errors.New("no answer before the deadline")
	errTargetRemoved = errors.New("the target is no longer to be used")
	errIDMismatch    = errors.New("the answer belongs to another request")
	errUnsolicited   = errors.New("the target sent bytes that nothing asked for")
)
