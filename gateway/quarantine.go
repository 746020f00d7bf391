package gateway

import (
	"fmt"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
)

// queryGuard is the guard for one query. It implements query.Guard.
type queryGuard struct {
	guard   *quarantine.Guard
	request quarantine.Request
}

// newQueryGuard returns the guard for a request of a caller to a search.
func (g *Gateway) newQueryGuard(req *admittedRequest, operation string, payload []byte, shards int) *queryGuard {
	key := quarantine.KeyOf(req.caller.Name, operation, req.search.Name, string(payload))
	return &queryGuard{guard: g.opts.Guard, request: quarantine.Request{
		Keys: quarantine.Keys{Exact: key}, ID: fmt.Sprintf("%s-%d", g.opts.Self.VM, req.id),
		Caller: req.caller.Name, Path: operation + "/" + req.search.Name, Sharded: shards > 1,
	}}
}

// refusal returns the error for a request that may not be sent to any target, or nil.
func (q *queryGuard) refusal() *Error {
	wait := q.guard.Refusal(time.Now(), &q.request)
	if wait == 0 {
		return nil
	}
	return &Error{Code: code.Quarantined, Message: "targets that run this request crash", RunStatus: code.NotRun, RetryAfter: wait}
}

// at returns the request at a shard.
func (q *queryGuard) at(shard string) *quarantine.Request {
	r := q.request
	r.Service = shard
	return &r
}

// Check implements query.Guard.
func (q *queryGuard) Check(now time.Time, shard string, inProgress int) quarantine.Verdict {
	return q.guard.Check(now, q.at(shard), inProgress)
}

// Broke implements query.Guard. The relay finds out whether the target has ended.
func (q *queryGuard) Broke(now time.Time, shard, target string, sent time.Time) {
	q.guard.Broke(now, q.at(shard), quarantine.Run{Target: target, StartedAt: sent, EndedAt: now})
}

// Completed implements query.Guard.
func (q *queryGuard) Completed(now time.Time, shard string) {
	q.guard.Completed(now, q.at(shard), true)
}
