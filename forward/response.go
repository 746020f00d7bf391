package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/plan"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// ReasonCallerDisconnected is the reason of an answer that nobody waits for.
const ReasonCallerDisconnected = "the caller left"

// Statuses of answers of the system's own.
const (
	// statusCallerDisconnected is logged for a caller that left; it is never sent.
	statusCallerDisconnected = 499
)

// respond makes the final respond.
func (r *run) respond(now time.Time, v plan.Decision) Response {
	var a Response
	switch v {
	case plan.Complete, plan.Partial:
		a = r.successResponse()
	case plan.NotRun:
		a = Response{Status: http.StatusServiceUnavailable, RetryAfter: r.retryAfter(now), Reason: "no target took the request"}
	default:
		a = r.failureResponse(v)
	}
	r.logResponse(now, v, &a)
	return a
}

func (r *run) successResponse() Response {
	if !r.req.Route.Sharded() {
		res := &r.responses[0]
		return Response{Status: res.Status, Header: res.Header, Signature: res.Signature, Body: res.Body}
	}
	a := Response{Status: http.StatusOK, Sharded: true, Missing: len(r.services) - r.plan.Responses()}
	bodies := make([][]byte, 0, len(r.responses))
	for i := range r.responses {
		if r.plan.Missing(i) {
			continue
		}
		a.Signatures = append(a.Signatures, r.responses[i].Signature)
		bodies = append(bodies, r.responses[i].Body)
	}
	a.Body = mergeTop(bodies, r.req.Route.TopK)
	return a
}

// failureResponse passes a target's own failureResponse on, or tells that of the system.
func (r *run) failureResponse(v plan.Decision) Response {
	if !r.req.Route.Sharded() && r.lastFailure.Outcome == upstream.Responded && r.lastFailure.Status >= 500 {
		return Response{Status: r.lastFailure.Status, Header: r.lastFailure.Header, Signature: r.lastFailure.Signature, Body: r.lastFailure.Body, Reason: "the target failed"}
	}
	if v == plan.Expired {
		return Response{Status: http.StatusGatewayTimeout, Reason: "the deadline passed"}
	}
	return Response{Status: http.StatusBadGateway, Reason: "too many targets failed"}
}

// retryAfter is a part of the time that the caller has left.
func (r *run) retryAfter(now time.Time) time.Duration {
	return max(r.req.Call.Deadline.Sub(now)/20, minRetryAfter)
}

// callerDisconnected records that the caller is gone.
func (r *run) callerDisconnected(now time.Time) Response {
	a := Response{Status: statusCallerDisconnected, Reason: ReasonCallerDisconnected}
	r.logResponse(now, plan.Failed, &a)
	return a
}

// logResponse tells of each answer that is not what the caller hoped for.
func (r *run) logResponse(now time.Time, v plan.Decision, a *Response) {
	took := now.Sub(r.req.ReceivedAt)
	late := r.req.Route.LatencyObjective > 0 && took > r.req.Route.LatencyObjective
	if v == plan.Complete && !late && a.Status < 500 {
		return
	}
	r.engine.opts.Logger.Info("request answered",
		"id", r.req.Call.ID, "route", r.req.Route.Name, "version", r.req.Version,
		"picture_age", r.req.ReceivedAt.Sub(r.req.ConfirmedAt),
		"status", a.Status, "reason", a.Reason, "took", took, "late", late,
		"shards", len(r.services), "in", r.plan.Responses(), "missing", r.missingShards(),
		"attempts", len(r.attempts), "extra", r.extraAttempts, "denied_by_budget", r.denied,
		"refused", r.failures[upstream.Refused], "broken", r.failures[upstream.Broken],
		"not_sent", r.failures[upstream.NotSent], "misdirected", r.failures[upstream.Misdirected])
}

// missingShards names shards that are not in, each with the targets that were asked.
func (r *run) missingShards() []string {
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

// maxLoggedShards bounds the names in one log line.
const maxLoggedShards = 4
