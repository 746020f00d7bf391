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
	// responseMargin is the time reserved for merging and writing the response.
	responseMargin = 2 * time.Millisecond
	// failedRetryAfter is the delay after which a failed request may be retried.
	failedRetryAfter = 500 * time.Millisecond
)

// requestBody is the body of a search or an action.
type requestBody interface {
	// validate fills in defaults and returns an error if the body is invalid or the
	// caller may not send it.
	validate(folder.Caller) *Error
	// deadlineMillis returns how long the caller waits, in milliseconds; 0 means
	// the search's configured deadline.
	deadlineMillis() int64
}

// admittedRequest is a request that was admitted.
type admittedRequest struct {
	id         uint64
	caller     folder.Caller
	search     folder.Search
	deadline   time.Time // when the response must be written
	admittedAt time.Time
}

// admitRequest authenticates, authorizes, reads and admits a request. If it
// succeeds, finishRequest must be called when the request ends.
func (g *Gateway) admitRequest(r *http.Request, b requestBody) (*admittedRequest, *Error) {
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
	if err := b.validate(caller); err != nil {
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
	return &admittedRequest{id: id, caller: caller, search: search, deadline: deadline, admittedAt: time.Now()}, nil
}

// finishRequest reports the end of an admitted request to the admission
// controller.
func (g *Gateway) finishRequest(r *admittedRequest, err *Error) {
	g.admission.finish(r.id, admission.Result{
		OK:                succeeded(err),
		Latency:           time.Since(r.admittedAt),
		SubRequestLatency: g.routes.medianLatency(time.Now(), r.search.Name),
	})
}

// succeeded reports whether a request counts as a success for the admission limit.
func succeeded(err *Error) bool {
	return err == nil || err.Code == code.BadRequest || err.Code == code.UnknownSearch
}

// deadlineOf returns when the response must be written.
func deadlineOf(start time.Time, millis int64, s folder.Search) (time.Time, *Error) {
	if millis < 0 {
		return time.Time{}, notRunError(code.DeadlinePassed, "deadline_ms is negative: the deadline has passed")
	}
	allowed := s.Deadline
	if requested := time.Duration(millis) * time.Millisecond; millis > 0 && requested < allowed {
		allowed = requested
	}
	return start.Add(allowed - responseMargin), nil
}
