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

// maxRestarts is the maximum number of restarts of a query on another version.
const maxRestarts = 3

// search serves POST /v1/search/:search.
func (g *Gateway) search(r *http.Request) (any, *Error) {
	var b SearchRequest
	req, err := g.admitRequest(r, &b)
	if err != nil {
		return nil, err
	}
	response, err := g.runSearch(r.Context(), req, &b)
	g.finishRequest(req, err)
	return response, err
}

// validate implements requestBody.
func (b *SearchRequest) validate(folder.Caller) *Error {
	if b.Query.Limit == 0 {
		b.Query.Limit = DefaultLimit
	}
	if b.Query.Limit < 0 || b.Query.Limit > MaxLimit {
		return notRunError(code.BadRequest, fmt.Sprintf("query.limit must be from 1 to %d", MaxLimit))
	}
	return nil
}

// deadlineMillis implements requestBody.
func (b *SearchRequest) deadlineMillis() int64 { return b.DeadlineMillis }

// runSearch runs an admitted search. It restarts the search on another version if
// the pinned version is no longer served.
func (g *Gateway) runSearch(ctx context.Context, req *admittedRequest, b *SearchRequest) (*SearchResponse, *Error) {
	payload, err := json.Marshal(b.Query)
	if err != nil {
		return nil, &Error{Code: code.Internal, Message: err.Error(), RunStatus: code.NotRun}
	}
	now := time.Now()
	pinned := g.routes.choose(now, req.search.Name)
	if pinned == nil {
		return nil, noVersionError()
	}
	t := &task{
		search: req.search, payload: payload, deadline: req.deadline,
		softDeadline: earliest(now.Add(req.search.StragglerWait), req.deadline), priority: req.caller.Priority,
		guard: g.newQueryGuard(req, "search", payload, len(pinned.shards)),
	}
	if err := t.guard.refusal(); err != nil {
		return nil, err
	}
	runStatus := code.NotRun
	for restarts := 0; ; restarts++ {
		t.version = pinned.version
		t.shards = pinned.shards
		t.coverage = coverage.NewTracker(pinned.shardNames)
		out := g.execute(ctx, t)
		runStatus = combineRunStatus(runStatus, out.runStatus)
		if out.status == query.Finished {
			return g.searchResponse(req.search, b, t.version, out, runStatus)
		}
		pinned = g.routes.chooseOther(time.Now(), req.search.Name, t.version)
		if pinned == nil || restarts == maxRestarts {
			return g.searchResponse(req.search, b, t.version, out, runStatus)
		}
		metrics.restarts.Add(1)
	}
}

// noVersionError returns the error for a search without a usable index version.
func noVersionError() *Error {
	return &Error{
		Code: code.NoReplica, Message: "no index version is usable", RunStatus: code.NotRun, RetryAfter: failedRetryAfter,
	}
}

// searchResponse builds the response to a search, or returns an error if the
// coverage is too low.
func (g *Gateway) searchResponse(search folder.Search, body *SearchRequest, version string, out outcome, runStatus code.RunStatus) (*SearchResponse, *Error) {
	if out.coverage.Responded() == 0 || out.coverage.Fraction() < search.MinCoverage {
		return nil, &Error{
			Code: code.LowCoverage, Message: lowCoverageMessage(out.coverage.Report()), RunStatus: runStatus, RetryAfter: failedRetryAfter,
		}
	}
	merged := out.coverage.Merge(body.Query.Limit)
	response := &SearchResponse{
		ID:       body.ID,
		Search:   search.Name,
		Version:  version,
		Complete: out.coverage.Complete(),
		Coverage: newCoverage(out.coverage.Report()),
		Matched:  merged.Matched,
		Records:  merged.Records,
	}
	if !response.Complete {
		metrics.partialResponses.Add(1)
	}
	for _, m := range response.Coverage.Missing {
		metrics.missingShards.Add(string(m.Reason), 1)
	}
	return response, nil
}

// combineRunStatus returns the run status of two executions taken together: Ran if
// either ran, NotRun only if neither ran.
func combineRunStatus(a, b code.RunStatus) code.RunStatus {
	if a == code.Ran || b == code.Ran {
		return code.Ran
	}
	if a == code.RunUnknown || b == code.RunUnknown {
		return code.RunUnknown
	}
	return code.NotRun
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// lowCoverageMessage returns the message of the error for too low a coverage. It
// names at most maxListed missing shards.
func lowCoverageMessage(r coverage.Report) string {
	const maxListed = 5
	parts := make([]string, 0, maxListed)
	for _, m := range r.Missing[:min(maxListed, len(r.Missing))] {
		parts = append(parts, fmt.Sprintf("%s (%s)", m.Shard, m.Reason))
	}
	return fmt.Sprintf("%d of %d shards answered, which is too few; missing: %s",
		r.Responded, r.Shards, strings.Join(parts, ", "))
}
