package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/coverage"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/query"
)

// action serves POST /v1/action/:search.
func (g *Gateway) action(r *http.Request) (any, *Error) {
	var b ActionRequest
	req, err := g.admitRequest(r, &b)
	if err != nil {
		return nil, err
	}
	response, err := g.runAction(r.Context(), req, &b)
	g.finishRequest(req, err)
	return response, err
}

// validate implements requestBody.
func (b *ActionRequest) validate(caller folder.Caller) *Error {
	if !caller.Actions {
		return notRunError(code.Forbidden, "caller "+caller.Name+" may not send actions")
	}
	if b.Action.Key == "" || b.Action.ID == "" {
		return notRunError(code.BadRequest, "action.id and action.key must be set")
	}
	return nil
}

// deadlineMillis implements requestBody.
func (b *ActionRequest) deadlineMillis() int64 { return b.DeadlineMillis }

// runAction runs an admitted action at the one shard that holds its key. The
// action is not canceled when the caller disconnects, because cancellation would
// not change its outcome.
func (g *Gateway) runAction(ctx context.Context, req *admittedRequest, b *ActionRequest) (*ActionResponse, *Error) {
	payload, err := json.Marshal(b.Action)
	if err != nil {
		return nil, &Error{Code: code.Internal, Message: err.Error(), RunStatus: code.NotRun}
	}
	pinned := g.routes.choose(time.Now(), req.search.Name)
	if pinned == nil {
		return nil, noVersionError()
	}
	shard := pinned.shardOf(b.Action.Key)
	guard := g.newQueryGuard(req, "action", payload, 1)
	if err := guard.refusal(); err != nil {
		return nil, err
	}
	out := g.execute(context.WithoutCancel(ctx), &task{
		search:       req.search,
		version:      pinned.version,
		shards:       []query.Shard{shard},
		coverage:     coverage.New([]string{shard.Name}),
		payload:      payload,
		softDeadline: req.deadline,
		deadline:     req.deadline,
		action:       true,
		priority:     req.caller.Priority,
		guard:        guard,
	})
	if out.coverage.Complete() {
		return &ActionResponse{ID: b.ID, Search: req.search.Name, Shard: shard.Name}, nil
	}
	reason := code.Timeout
	if missing := out.coverage.Report().Missing; len(missing) > 0 {
		reason = missing[0].Reason
	}
	if out.runStatus == code.NotRun {
		return nil, &Error{
			Code: reason, Message: "the action did not run", RunStatus: code.NotRun, RetryAfter: failedRetryAfter,
		}
	}
	return nil, &Error{
		Code: code.OutcomeUnknown, Message: fmt.Sprintf("the action may have run: %s", reason), RunStatus: code.RunUnknown,
	}
}
