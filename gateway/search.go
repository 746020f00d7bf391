package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/coverage"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/query"
)

// maxRestarts is the number of times that a query is restarted on another version.
const maxRestarts = 3

// search serves POST /v1/search/:search.
func (g *Gateway) search(r *http.Request) (any, *Error) {
	var b SearchRequest
	req, err := g.open(r, &b)
	if err != nil {
		return nil, err
	}
	answer, err := g.runSearch(r.Context(), req, &b)
	g.close(req, err)
	return answer, err
}

// check implements body.
func (b *SearchRequest) check(folder.Caller) *Error {
	if b.Query.Limit == 0 {
		b.Query.Limit = DefaultLimit
	}
	if b.Query.Limit < 0 || b.Query.Limit > MaxLimit {
		return refusal(code.BadRequest, fmt.Sprintf("query.limit must be from 1 to %d", MaxLimit))
	}
	return nil
}

// deadlineMillis implements body.
func (b *SearchRequest) deadlineMillis() int64 { return b.DeadlineMillis }

// runSearch runs an admitted search, anew on another version if the pinned one
// vanishes.
func (g *Gateway) runSearch(ctx context.Context, req *request, b *SearchRequest) (*SearchAnswer, *Error) {
	payload, err := json.Marshal(b.Query)
	if err != nil {
		return nil, &Error{Code: code.Internal, Message: err.Error(), Run: code.NotRun}
	}
	now := time.Now()
	pinned := g.routes.choose(now, req.search.Name)
	if pinned == nil {
		return nil, noVersion()
	}
	t := &task{
		search: req.search, payload: payload, deadline: req.deadline,
		wait: earlier(now.Add(req.search.StragglerWait), req.deadline), priority: req.caller.Priority,
	}
	run := code.NotRun
	for restarts := 0; ; restarts++ {
		t.version = pinned.version
		t.shards = pinned.shards
		t.ledger = coverage.NewTracker(pinned.names)
		out := g.execute(ctx, t)
		run = worse(run, out.run)
		if out.status == query.Finished {
			return g.answer(req.search, b, t.version, out, run)
		}
		pinned = g.routes.restart(time.Now(), req.search.Name, t.version)
		if pinned == nil || restarts == maxRestarts {
			return g.answer(req.search, b, t.version, out, run)
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
	if out.ledger.Responded() == 0 || out.ledger.Fraction() < search.MinCoverage {
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
		r.Responded, r.Shards, strings.Join(parts, ", "))
}
