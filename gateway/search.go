package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/admission"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/coverage"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/query"
	"goji.io/pat"
)

const (
	// answerMargin is the time kept for merging and writing the answer.
	answerMargin = 2 * time.Millisecond
	// maxRestarts is the number of times that a query is restarted on another version.
	maxRestarts = 3
	// failedRetryAfter is when a caller whose query failed may come back.
	failedRetryAfter = 500 * time.Millisecond
)

// search serves POST /v1/search/:search.
func (g *Gateway) search(r *http.Request) (any, *Error) {
	start := time.Now()
	index, caller, err := g.authenticate(r)
	if err != nil {
		return nil, err
	}
	search, err := index.authorize(caller, pat.Param(r, "search"))
	if err != nil {
		return nil, err
	}
	var body SearchRequest
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	if err := checkLimit(&body); err != nil {
		return nil, err
	}
	deadline, err := deadlineOf(start, body.DeadlineMillis, search)
	if err != nil {
		return nil, err
	}
	id, err := g.admission.admit(caller.Name, search.Name, deadline, r.Context().Done())
	if err != nil {
		return nil, err
	}
	admitted := time.Now()
	answer, err := g.runSearch(r, caller, search, &body, deadline)
	g.finish(id, search.Name, err, time.Since(admitted))
	return answer, err
}

// authenticate returns the contracts in force and the caller.
func (g *Gateway) authenticate(r *http.Request) (*callerIndex, folder.Caller, *Error) {
	index := g.contracts.Load()
	if index == nil {
		return nil, folder.Caller{}, &Error{
			Code: code.NotReady, Message: "no configuration is in force yet", Run: code.NotRun, RetryAfter: failedRetryAfter,
		}
	}
	caller, err := index.authenticate(r)
	return index, caller, err
}

// finish tells admission how an admitted request ended.
func (g *Gateway) finish(id uint64, search string, err *Error, took time.Duration) {
	g.admission.finish(id, admission.Result{
		OK:      succeeded(err),
		Took:    took,
		Typical: g.routes.typical(time.Now(), search),
	})
}

// succeeded reports whether a request counts as served for the admission limit.
func succeeded(err *Error) bool {
	return err == nil || err.Code == code.BadRequest || err.Code == code.UnknownSearch
}

func checkLimit(body *SearchRequest) *Error {
	if body.Query.Limit == 0 {
		body.Query.Limit = DefaultLimit
	}
	if body.Query.Limit < 0 || body.Query.Limit > MaxLimit {
		return refusal(code.BadRequest, "query.limit must be from 1 to 1000")
	}
	return nil
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

// runSearch runs an admitted search, anew on another version if the pinned one
// vanishes.
func (g *Gateway) runSearch(r *http.Request, caller folder.Caller, search folder.Search, body *SearchRequest, deadline time.Time) (*SearchAnswer, *Error) {
	payload, err := json.Marshal(body.Query)
	if err != nil {
		return nil, &Error{Code: code.Internal, Message: err.Error(), Run: code.NotRun}
	}
	now := time.Now()
	pinned := g.routes.choose(now, search.Name)
	if pinned == nil {
		return nil, noVersion()
	}
	t := &task{
		search: search, payload: payload, deadline: deadline,
		wait: earlier(now.Add(search.Wait), deadline), priority: caller.Priority,
	}
	run := code.NotRun
	for restarts := 0; ; restarts++ {
		t.version = pinned.version
		t.shards = pinned.shards
		t.ledger = coverage.NewLedger(pinned.names)
		out := g.execute(r.Context(), t)
		run = worse(run, out.run)
		if out.status == query.Finished {
			return g.answer(search, body, t.version, out, run)
		}
		pinned = g.routes.restart(time.Now(), search.Name, t.version)
		if pinned == nil || restarts == maxRestarts {
			return g.answer(search, body, t.version, out, run)
		}
		metrics.restarts.Add(1)
	}
}

// noVersion returns the error for a search of which no index version is known.
func noVersion() *Error {
	return &Error{
		Code: code.NoReplica, Message: "no index version is usable", Run: code.NotRun, RetryAfter: failedRetryAfter,
	}
}

// answer makes the answer from a ledger, or an error if coverage is too low.
func (g *Gateway) answer(search folder.Search, body *SearchRequest, version string, out outcome, run code.Run) (*SearchAnswer, *Error) {
	if out.ledger.Answered() == 0 || out.ledger.Share() < search.MinCoverage {
		return nil, &Error{
			Code: code.LowCoverage, Message: coverageMessage(out.ledger.Report()), Run: run, RetryAfter: failedRetryAfter,
		}
	}
	merged := out.ledger.Merge(body.Query.Limit)
	answer := &SearchAnswer{
		ID:       body.ID,
		Search:   search.Name,
		Version:  version,
		Complete: out.ledger.Complete(),
		Coverage: newCoverage(out.ledger.Report()),
		Matched:  merged.Matched,
		Records:  merged.Records,
	}
	if !answer.Complete {
		metrics.partial.Add(1)
	}
	for _, m := range answer.Coverage.Missing {
		metrics.missing.Add(string(m.Reason), 1)
	}
	return answer, nil
}

// worse returns what is known of two pieces of work together.
func worse(a, b code.Run) code.Run {
	if a == code.Ran || b == code.Ran {
		return code.Ran
	}
	if a == code.RunUnknown || b == code.RunUnknown {
		return code.RunUnknown
	}
	return code.NotRun
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// coverageMessage names the shards that are missing, at most a few.
func coverageMessage(r coverage.Report) string {
	const most = 5
	parts := make([]string, 0, most)
	for _, m := range r.Missing[:min(most, len(r.Missing))] {
		parts = append(parts, fmt.Sprintf("%s (%s)", m.Shard, m.Reason))
	}
	return fmt.Sprintf("%d of %d shards answered, which is too few; missing: %s",
		r.Answered, r.Shards, strings.Join(parts, ", "))
}
