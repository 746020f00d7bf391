package forward

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/goldcrestmux/goldcrestmux/plan"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// ReasonCallerDisconnected is the reason of a response that is not sent because
// the caller has disconnected.
const ReasonCallerDisconnected = "the caller left"

// ReasonUnserved is the reason of a response to a request that was refused because
// too few of its shards, or not its only service, have a registered target.
const ReasonUnserved = "too few shards have a target"

// ReasonLimited is the reason of a response to a request that was refused because the
// targets of too many shards, or of its only service, want no more requests for now.
const ReasonLimited = "the targets want no more requests for now"

// ReasonUnreached is the reason of a response to a request that was refused because this
// process reaches no target, and no peer took the request.
const ReasonUnreached = "no target can be reached, and no peer serves the request"

// Unreached returns the response to a request that was refused for ReasonUnreached.
func Unreached(id string) Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfter: spread(unservedRetryAfter, id), Reason: ReasonUnreached}
}

// ReasonQuarantined is the reason of a response to a request that was refused because the
// targets that run it crash.
const ReasonQuarantined = "targets that run this request crash"

// ReasonStopping is the reason of a response to a request that was refused because it can't be
// expected to end before the process does, and ReasonStopped that of one that did not end in
// time, and that targets may have run.
const (
	ReasonStopping = "the process is stopping"
	ReasonStopped  = "the process stopped before the targets responded"
)

// RefuseStopping returns the response to a request that was refused for ReasonStopping. Other
// processes serve it at once.
func RefuseStopping() Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfter: minRetryAfter, Reason: ReasonStopping}
}

// statusCallerDisconnected is the status that is logged if the caller
// disconnected; it is never sent.
const statusCallerDisconnected = 499

// respond returns the final response and logs it.
func (r *activeRequest) respond(now time.Time, decision plan.Decision) Response {
	var resp Response
	switch decision {
	case plan.Complete, plan.Partial:
		resp = r.successResponse()
	case plan.NotRun:
		if r.stopped {
			resp = RefuseStopping()
			break
		}
		wait, _ := r.unservable(now)
		resp = Response{Status: http.StatusServiceUnavailable, RetryAfter: max(r.retryAfter(now), wait), Reason: "no target took the request"}
		if r.failures[upstream.NotSent] > 0 && r.failures[upstream.Refused]+r.failures[upstream.Misdirected] == 0 {
			resp.Detour = &Detour{}
		}
		if wait := r.engine.quarantinedFor(now, r.req); wait > 0 {
			resp.RetryAfter, resp.Reason = delayed(wait, r.req.Call.ID), ReasonQuarantined
		}
	default:
		resp = r.failureResponse(decision)
	}
	r.logResponse(now, decision, &resp)
	return resp
}

// Refuse returns the response to a request that may not be sent to any target, because
// targets that run it crash. Refused is false if it may be sent.
func (e *Engine) Refuse(req *Request) (resp Response, refused bool) {
	now := time.Now()
	wait := e.quarantinedFor(now, req)
	if wait == 0 {
		return Response{}, false
	}
	resp = Response{Status: http.StatusServiceUnavailable, RetryAfter: delayed(wait, req.Call.ID), Reason: ReasonQuarantined}
	e.opts.Logger.Info("request finished", "id", req.Call.ID, "request", req.Call.Keys.Exact, "route", req.Route.Name, "version", req.Version,
		"status", resp.Status, "reason", resp.Reason, "retry_after", resp.RetryAfter, "attempts", 0, "for", req.For)
	return resp, true
}

// quarantinedFor returns how long a request is refused, or zero if it may be sent.
func (e *Engine) quarantinedFor(now time.Time, req *Request) time.Duration {
	return e.opts.Pool.Guard().Refusal(now, req.Call.Quarantine(""))
}

// refuse returns the response to a request that no attempt can make succeed. It has been
// sent to no target. The caller may return after wait.
func (r *activeRequest) refuse(now time.Time, wait time.Duration, reason string) Response {
	resp := Response{Status: http.StatusServiceUnavailable, RetryAfter: wait, Reason: reason}
	r.logResponse(now, plan.NotRun, &resp)
	return resp
}

// unservable returns why too few shards have a target that may get the request in time, and
// when the caller should return. The reason is empty if the request can be served.
func (r *activeRequest) unservable(now time.Time) (wait time.Duration, reason string) {
	servable, waits := r.availability(now)
	if r.plan.CanServe(servable) {
		return 0, ""
	}
	for _, wait := range waits {
		if servable++; r.plan.CanServe(servable) {
			return delayed(wait, r.req.Call.ID), ReasonLimited
		}
	}
	return spread(unservedRetryAfter, r.req.Call.ID), ReasonUnserved
}

// availability returns the number of shards of which a target may get an attempt before the
// request is refused, and for the others that have a target, in ascending order, how long
// until it may.
func (r *activeRequest) availability(now time.Time) (servable int, waits []time.Duration) {
	until := r.sendBy
	for _, at := range r.engine.opts.Pool.AvailableAt(now, r.services) {
		switch {
		case at.IsZero():
		case at.After(until):
			waits = append(waits, at.Sub(now))
		default:
			servable++
		}
	}
	slices.Sort(waits)
	return servable, waits
}

// spread returns d changed by up to a quarter either way, by a hash of the request ID,
// so that callers that are refused together do not return together.
func spread(d time.Duration, id string) time.Duration {
	fraction := float64(xxhash.Sum64String(id)>>11) / (1 << 53) // 0 to 1
	return time.Duration((0.75 + 0.5*fraction) * float64(d))
}

// delayed returns d increased by up to a half, by a hash of the request ID: before d, the
// caller would be refused again.
func delayed(d time.Duration, id string) time.Duration { return spread(d, id) + d/4 }

// successResponse returns the response of the target, or the merged records of
// the shards that have responded.
func (r *activeRequest) successResponse() Response {
	if !r.req.Route.Sharded() {
		res := &r.responses[0]
		return Response{Status: res.Status, Header: res.Header, Signature: res.Signature, Body: res.Body}
	}
	resp := Response{Status: http.StatusOK, Sharded: true, Missing: len(r.services) - r.plan.Responses()}
	bodies := make([][]byte, 0, len(r.responses))
	for i := range r.responses {
		if r.plan.Missing(i) {
			continue
		}
		resp.Signatures = append(resp.Signatures, r.responses[i].Signature)
		bodies = append(bodies, r.responses[i].Body)
	}
	resp.Body = mergeTop(bodies, r.req.Route.TopK)
	return resp
}

// failureResponse returns the error response of a target to an unsharded
// request, or else a response that says how the request failed.
func (r *activeRequest) failureResponse(decision plan.Decision) Response {
	if !r.req.Route.Sharded() && r.lastFailure.Outcome == upstream.Responded && r.lastFailure.Status >= 500 && !PromisesNotRun(r.lastFailure.Status) {
		return Response{Status: r.lastFailure.Status, Header: r.lastFailure.Header, Signature: r.lastFailure.Signature, Body: r.lastFailure.Body, Reason: "the target failed"}
	}
	if r.stopped {
		return Response{Status: http.StatusGatewayTimeout, Reason: ReasonStopped}
	}
	if decision == plan.Expired {
		return Response{Status: http.StatusGatewayTimeout, Reason: "the deadline passed"}
	}
	return Response{Status: http.StatusBadGateway, Reason: "too many targets failed"}
}

// retryAfter returns a twentieth of the time until the caller's deadline, at least
// minRetryAfter.
func (r *activeRequest) retryAfter(now time.Time) time.Duration {
	return max(r.req.Call.Deadline.Sub(now)/20, minRetryAfter)
}

// pathLost ends a request whose targets can no longer be reached. It returns false if the
// request may not run again: its attempts may yet respond if the path comes back.
func (r *activeRequest) pathLost(now time.Time) (resp Response, ended bool) {
	if !r.req.Route.Idempotent && !r.req.Route.Sharded() {
		return Response{}, false
	}
	reached := make([]map[string]bool, len(r.services))
	detour := &Detour{PathLost: true, MaxTargets: r.maxTargets}
	for _, a := range r.attempts {
		if !r.engine.opts.Pool.Withdraw(a) {
			continue
		}
		if reached[a.Shard] == nil {
			reached[a.Shard] = map[string]bool{}
		}
		reached[a.Shard][a.Target.ID] = true
		detour.Repeat = true
		detour.MaxTargets = min(detour.MaxTargets, r.maxTargets-len(reached[a.Shard]))
	}
	resp = Response{Status: http.StatusBadGateway, Reason: "the path to the targets was lost"}
	if !detour.Repeat {
		resp = Unreached(r.req.Call.ID)
	}
	if detour.MaxTargets > 0 {
		resp.Detour = detour
	}
	r.logResponse(now, plan.Failed, &resp)
	return resp, true
}

// callerDisconnected returns and logs the response to a caller that has
// disconnected. It is not sent.
func (r *activeRequest) callerDisconnected(now time.Time) Response {
	resp := Response{Status: statusCallerDisconnected, Reason: ReasonCallerDisconnected}
	r.logResponse(now, plan.Failed, &resp)
	return resp
}

// logResponse logs a response that is partial, late or a failure.
func (r *activeRequest) logResponse(now time.Time, decision plan.Decision, resp *Response) {
	took := now.Sub(r.req.ReceivedAt)
	late := r.req.Route.LatencyObjective > 0 && took > r.req.Route.LatencyObjective
	if decision == plan.Complete && !late && resp.Status < 500 {
		return
	}
	r.engine.opts.Logger.Info("request finished",
		"id", r.req.Call.ID, "request", r.req.Call.Keys.Exact, "route", r.req.Route.Name, "version", r.req.Version,
		"picture_age", r.req.ReceivedAt.Sub(r.req.ConfirmedAt),
		"status", resp.Status, "reason", resp.Reason, "took", took, "late", late,
		"shards", len(r.services), "in", r.plan.Responses(), "missing", r.missingShards(),
		"attempts", len(r.attempts), "extra", r.extraAttempts, "denied_by_budget", r.denied,
		"refused", r.failures[upstream.Refused], "broken", r.failures[upstream.Broken],
		"not_sent", r.failures[upstream.NotSent], "misdirected", r.failures[upstream.Misdirected], "quarantined", r.quarantined, "for", r.req.For)
}

// missingShards returns the services of shards that have not responded, each
// with the IDs of the targets that attempts were sent to. It returns at most
// maxLoggedShards of them.
func (r *activeRequest) missingShards() []string {
	var out []string
	for i, service := range r.services {
		if !r.plan.Missing(i) {
			continue
		}
		if len(out) == maxLoggedShards {
			return append(out, "and others")
		}
		out = append(out, service+": "+strings.Join(r.tried[i], " "))
	}
	return out
}

// maxLoggedShards bounds the number of shards in one log line.
const maxLoggedShards = 4
