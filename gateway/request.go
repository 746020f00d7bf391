package gateway

import (
	"net/http"
	"time"

	"github.com/goldcrestmux/goldcrestmux/admission"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"goji.io/pat"
)

const (
	// answerMargin is the time kept for merging and writing the answer.
	answerMargin = 2 * time.Millisecond
	// failedRetryAfter is when a caller whose query failed may come back.
	failedRetryAfter = 500 * time.Millisecond
)

// body is what a request of either kind carries.
type body interface {
	// check returns why the caller may not send this, or nil. It fills in defaults.
	check(folder.Caller) *Error
	// deadlineMillis is how long the caller waits; 0 means the search's deadline.
	deadlineMillis() int64
}

// request is one that was admitted.
type request struct {
	id       uint64
	caller   folder.Caller
	search   folder.Search
	deadline time.Time // when the answer has to be written
	admitted time.Time
}

// open authenticates, authorizes, reads and admits a request. If it succeeds the
// caller ends the request with close.
func (g *Gateway) open(r *http.Request, b body) (*request, *Error) {
	start := time.Now()
	index := g.contracts.Load()
	if index == nil {
		return nil, &Error{
			Code: code.NotReady, Message: "no configuration is in force yet", RunStatus: code.NotRun, RetryAfter: failedRetryAfter,
		}
	}
	caller, err := index.authenticate(r)
	if err != nil {
		return nil, err
	}
	search, err := index.authorize(caller, pat.Param(r, "search"))
	if err != nil {
		return nil, err
	}
	if err := readBody(r, b); err != nil {
		return nil, err
	}
	if err := b.check(caller); err != nil {
		return nil, err
	}
	deadline, err := deadlineOf(start, b.deadlineMillis(), search)
	if err != nil {
		return nil, err
	}
	id, err := g.admission.admit(caller.Name, search.Name, deadline, r.Context().Done())
	if err != nil {
		return nil, err
	}
	return &request{id: id, caller: caller, search: search, deadline: deadline, admitted: time.Now()}, nil
}

// close tells admission how an admitted request ended.
func (g *Gateway) close(r *request, err *Error) {
	g.admission.finish(r.id, admission.Result{
		OK:                succeeded(err),
		Latency:           time.Since(r.admitted),
		SubRequestLatency: g.routes.typical(time.Now(), r.search.Name),
	})
}

// succeeded reports whether a request counts as served for the admission limit.
func succeeded(err *Error) bool {
	return err == nil || err.Code == code.BadRequest || err.Code == code.UnknownSearch
}

// deadlineOf returns when the answer has to be written.
func deadlineOf(start time.Time, millis int64, s folder.Search) (time.Time, *Error) {
	if millis < 0 {
		return time.Time{}, refusal(code.DeadlinePassed, "deadline_ms is negative: the deadline has passed")
	}
	allowed := s.Deadline
	if asked := time.Duration(millis) * time.Millisecond; millis > 0 && asked < allowed {
		allowed = asked
	}
	return start.Add(allowed - answerMargin), nil
}
