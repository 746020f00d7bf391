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
	"goji.io/pat"
)

// action serves POST /v1/action/:search.
func (g *Gateway) action(r *http.Request) (any, *Error) {
	start := time.Now()
	index, caller, err := g.authenticate(r)
	if err != nil {
		return nil, err
	}
	search, err := index.authorize(caller, pat.Param(r, "search"))
	if err != nil {
		return nil, err
	}
	if !caller.Actions {
		return nil, refusal(code.Forbidden, "caller "+caller.Name+" may not send actions")
	}
	var body ActionRequest
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	if body.Action.Key == "" || body.Action.ID == "" {
		return nil, refusal(code.BadRequest, "action.id and action.key must be set")
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
	answer, err := g.runAction(r, caller, search, &body, deadline)
	g.finish(id, search.Name, err, time.Since(admitted))
	return answer, err
}

// runAction runs an admitted action at the one shard that holds its key. Once
// begun it goes on if the caller goes away: its outcome would not change.
func (g *Gateway) runAction(r *http.Request, caller folder.Caller, search folder.Search, body *ActionRequest, deadline time.Time) (*ActionAnswer, *Error) {
	payload, err := json.Marshal(body.Action)
	if err != nil {
		return nil, &Error{Code: code.Internal, Message: err.Error(), Run: code.NotRun}
	}
	pinned := g.routes.choose(time.Now(), search.Name)
	if pinned == nil {
		return nil, noVersion()
	}
	shard := pinned.shardOf(body.Action.Key)
	out := g.execute(context.WithoutCancel(r.Context()), &task{
		search:   search,
		version:  pinned.version,
		shards:   []query.Shard{shard},
		ledger:   coverage.New([]string{shard.Name}),
		payload:  payload,
		wait:     deadline,
		deadline: deadline,
		action:   true,
		priority: caller.Priority,
	})
	if out.ledger.Complete() {
		return &ActionAnswer{ID: body.ID, Search: search.Name, Shard: shard.Name}, nil
	}
	reason := code.Timeout
	if missing := out.ledger.Report().Missing; len(missing) > 0 {
		reason = missing[0].Reason
	}
	if out.run == code.NotRun {
		return nil, &Error{
			Code: reason, Message: "the action did not run", Run: code.NotRun, RetryAfter: failedRetryAfter,
		}
	}
	return nil, &Error{
		Code: code.OutcomeUnknown, Message: fmt.Sprintf("the action may have run: %s", reason), Run: code.RunUnknown,
	}
}
