package soak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/forward"
)

// The published rules for planned stops, as fractions of the grace where they depend on it.
const (
	// lossSlack is how long after its last byte a request may still cross the close of its
	// connection if it was not passed on, and how long before a signal its last byte was sent
	// if it was read before the signal.
	lossSlack = 200 * time.Millisecond
	// A request whose last byte was sent up to excusedSent after SIGTERM, and at which a target was still
	// at work at excusedWork, need not be answered.
	excusedSent = 1.0 / 2
	excusedWork = 5.0 / 6
	// stopWindow is how long after the end of the grace a stop still counts.
	stopWindow = time.Second
	// promptEnd is a point of the grace that is well before its end.
	promptEnd = 0.75
)

// check checks all requests and counts them.
func (s *stopRun) check() {
	for _, q := range s.requests {
		runs := s.runs[q.id]
		stop := s.stopOf(q)
		result := fmt.Sprint(q.status)
		switch {
		case errors.Is(q.err, errClosedAfterResponse):
			result = "after close"
		case q.status == 0 && q.ended.Sub(q.begun) >= q.timeout:
			result = "timeout"
		case q.status == 0 && len(runs) == 0:
			result = "closed, not run"
		case q.status == 0:
			result = "closed"
		}
		phase := "calm "
		if stop != nil {
			phase = "stop "
		}
		s.counts[phase+q.route+" "+result]++
		if s.lost(q, stop, runs) {
			s.violations = append(s.violations, "LOST: "+s.describe(q, stop, runs))
			fmt.Fprintln(s.out, s.row(q, stop, runs))
		}
		s.checkRuns(q, stop, runs)
		s.checkSuccess(q, stop, runs)
	}
}

// stopOf returns the stop of the request's process around which it ended, or nil.
func (s *stopRun) stopOf(q *stopRequest) *plannedStop {
	for i := range s.stops {
		stop := &s.stops[i]
		if stop.vm == q.vm && !q.ended.Before(stop.at) && !q.begun.After(stop.exited) && q.ended.Before(stop.at.Add(s.grace+stopWindow)) {
			return stop
		}
	}
	return nil
}

func (s *stopRun) fraction(f float64) time.Duration { return time.Duration(f * float64(s.grace)) }

// lost reports whether a request was lost: a process had read it, and its connection ended
// without a complete response.
func (s *stopRun) lost(q *stopRequest, stop *plannedStop, runs []*run) bool {
	if q.status != 0 || q.ended.Sub(q.begun) >= q.timeout {
		return false
	}
	read := len(runs) > 0 || (!q.sent.IsZero() && !errors.Is(q.err, errClosedAfterResponse) && q.ended.Sub(q.sent) > lossSlack)
	return read && (stop == nil || !s.excused(q, stop, runs))
}

// excused reports whether a request that was sent early in a stop had a target at work late
// in the stop.
func (s *stopRun) excused(q *stopRequest, stop *plannedStop, runs []*run) bool {
	late := stop.at.Add(s.fraction(excusedWork))
	working := false
	for _, r := range runs {
		if r.complete && r.end.Before(late) {
			return false
		}
		working = working || r.end.IsZero() || !r.end.Before(late)
	}
	return working && !q.sent.IsZero() && !q.sent.After(stop.at.Add(s.fraction(excusedSent)))
}

// notRun are the statuses that promise that a request was not run and never will be.
var notRun = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
}

// checkRuns checks that a non-idempotent request ran at most once, and not at all if the
// response promises it.
func (s *stopRun) checkRuns(q *stopRequest, stop *plannedStop, runs []*run) {
	if q.route != "once" {
		return
	}
	if len(runs) > 1 {
		s.violations = append(s.violations, "TWICE: "+s.describe(q, stop, runs))
	}
	if len(runs) > 0 && q.refused() {
		s.violations = append(s.violations, "REFUSED: "+s.describe(q, stop, runs))
	}
}

// checkSuccess checks that a request is answered with success if it was read before the
// signal and could end well before the end of the grace, or if its process was not stopped.
// A refusal for the load of the targets is allowed, and so is a request that waits until its
// deadline, or that was sent at once with another one and waits for it.
func (s *stopRun) checkSuccess(q *stopRequest, stop *plannedStop, runs []*run) {
	if q.sent.IsZero() || q.behind || q.status == http.StatusOK {
		return
	}
	if q.ended.Sub(q.begun) >= q.timeout-lossSlack || slices.Contains(loadReasons, strings.TrimSpace(q.reason)) {
		return
	}
	if stop != nil && (q.sent.Add(lossSlack).After(stop.at) || !s.couldEnd(q, stop, runs)) {
		return
	}
	if stop == nil && s.fresh(q) {
		return
	}
	s.violations = append(s.violations, "FAILED: "+s.describe(q, stop, runs))
}

// couldEnd reports whether a target could have completed the request well before the end of
// the grace: one that began with it, or any if it was refused before that.
func (s *stopRun) couldEnd(q *stopRequest, stop *plannedStop, runs []*run) bool {
	prompt := stop.at.Add(s.fraction(promptEnd))
	if len(runs) == 0 {
		return !q.ended.Add(q.service).After(prompt)
	}
	return slices.ContainsFunc(runs, func(r *run) bool { return !r.start.Add(q.service).After(prompt) })
}

// loadReasons are the reasons of refusals for the load of the targets.
var loadReasons = []string{forward.ReasonLimited, forward.ReasonOverloaded}

// fresh reports whether the request's process was started shortly before it.
func (s *stopRun) fresh(q *stopRequest) bool {
	return slices.ContainsFunc(s.stops, func(stop plannedStop) bool {
		return stop.vm == q.vm && q.ended.After(stop.at) && q.begun.Before(stop.exited.Add(startupTime))
	})
}

// describe describes a request, with times since the SIGTERM of its process.
func (s *stopRun) describe(q *stopRequest, stop *plannedStop, runs []*run) string {
	since := q.begun
	if stop != nil {
		since = stop.at
	}
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%+.2fs", t.Sub(since).Seconds())
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s first=%t service %v timeout %v: begun %s sent %s ended %s status %d %q (%v)", q.id, q.use, q.route, q.first, q.service.Round(time.Millisecond), q.timeout.Round(time.Millisecond), at(q.begun), at(q.sent), at(q.ended), q.status, q.reason, q.err)
	for _, r := range runs {
		fmt.Fprintf(&b, " [%s %s..%s complete=%t]", r.target, at(r.start), at(r.end), r.complete)
	}
	return b.String()
}

// row returns a line of a table of lost requests: when it was sent and cut, how, and whether
// a target had completed it.
func (s *stopRun) row(q *stopRequest, stop *plannedStop, runs []*run) string {
	complete := slices.ContainsFunc(runs, func(r *run) bool { return r.complete })
	if stop == nil {
		return fmt.Sprintf("lost | calm | %s | %s | complete %t", q.use, q.route, complete)
	}
	return fmt.Sprintf("lost | sent %+.2f | cut %+.2f of the grace | service %.2f | %s | first %t | %s | run %t, complete %t",
		q.begun.Sub(stop.at).Seconds()/s.grace.Seconds(), q.ended.Sub(stop.at).Seconds()/s.grace.Seconds(),
		q.service.Seconds()/s.grace.Seconds(), q.use, q.first, q.route, len(runs) > 0, complete)
}
