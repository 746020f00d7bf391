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
	// statusGone is logged for a caller that left; it is never sent.
	statusGone = 499
)

// answer makes the final answer.
func (r *run) answer(now time.Time, v plan.Decision) Response {
	var a Response
	switch v {
	case plan.Complete, plan.Partial:
		a = r.success()
	case plan.NotRun:
		a = Response{Status: http.StatusServiceUnavailable, RetryAfter: r.retryAfter(now), Reason: "no target took the request"}
	default:
		a = r.failure(v)
	}
	r.log(now, v, &a)
	return a
}

func (r *run) success() Response {
	if !r.req.Route.Sharded() {
		res := &r.parts[0]
		return Response{Status: res.Status, Header: res.Header, Signature: res.Signature, Body: res.Body}
	}
	a := Response{Status: http.StatusOK, Sharded: true, Missing: len(r.services) - r.plan.Responses()}
	bodies := make([][]byte, 0, len(r.parts))
	for i := range r.parts {
		if r.plan.Missing(i) {
			continue
		}
		a.Signatures = append(a.Signatures, r.parts[i].Signature)
		bodies = append(bodies, r.parts[i].Body)
	}
	a.Body = greatest(bodies, r.req.Route.TopK)
	return a
}

// failure passes a target's own failure on, or tells that of the system.
func (r *run) failure(v plan.Decision) Response {
	if !r.req.Route.Sharded() && r.last.Outcome == upstream.Responded && r.last.Status >= 500 {
		return Response{Status: r.last.Status, Header: r.last.Header, Signature: r.last.Signature, Body: r.last.Body, Reason: "the target failed"}
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

// left records that the caller is gone.
func (r *run) left(now time.Time) Response {
	a := Response{Status: statusGone, Reason: ReasonCallerDisconnected}
	r.log(now, plan.Failed, &a)
	return a
}

// log tells of each answer that is not what the caller hoped for.
func (r *run) log(now time.Time, v plan.Decision, a *Response) {
	took := now.Sub(r.req.ReceivedAt)
	late := r.req.Route.LatencyObjective > 0 && took > r.req.Route.LatencyObjective
	if v == plan.Complete && !late && a.Status < 500 {
		return
	}
	r.engine.opts.Logger.Info("request answered",
		"id", r.req.Call.ID, "route", r.req.Route.Name, "version", r.req.Version,
		"picture_age", r.req.ReceivedAt.Sub(r.req.ConfirmedAt),
		"status", a.Status, "reason", a.Reason, "took", took, "late", late,
		"shards", len(r.services), "in", r.plan.Responses(), "missing", r.missing(),
		"attempts", len(r.attempts), "extra", r.hedges, "denied_by_budget", r.denied,
		"refused", r.failures[upstream.Refused], "broken", r.failures[upstream.Broken],
		"not_sent", r.failures[upstream.NotSent], "misdirected", r.failures[upstream.Misdirected])
}

// missing names shards that are not in, each with the targets that were asked.
func (r *run) missing() []string {
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
