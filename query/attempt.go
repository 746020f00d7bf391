package query

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/attempt"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// sendNext sends an attempt for a shard that has none in progress.
func (m *Machine) sendNext(now time.Time, i int) {
	s := &m.shards[i]
	s.retryAt = time.Time{}
	switch m.check(now, i) {
	case quarantine.Wait:
		s.retryAt = now.Add(quarantineRecheck)
		m.wakeBy(s.retryAt)
		return
	case quarantine.Refuse:
		m.settleMissing(i, code.Quarantined)
		m.finishIfSettled(now)
		return
	}
	route, c := m.opts.Router.Pick(now, m.opts.Shards[i].Replicas, replica.FirstAttempt, s.excluded)
	if c != code.OK {
		m.retryRouteLater(now, s, c)
		return
	}
	if s.extra && !m.opts.Budget.TryExtra(now, route.Target) {
		s.retryAt = now.Add(budgetRetryDelay)
		m.wakeBy(s.retryAt)
		return
	}
	if !s.extra && !s.counted {
		m.opts.Budget.AddFirst(now, route.Target)
		s.counted = true
	}
	s.hedgeFrom = now
	if c := m.send(now, i, route, false); c != code.OK {
		m.settleMissing(i, c)
	}
}

// check returns what the guard says of an attempt for a shard.
func (m *Machine) check(now time.Time, i int) quarantine.Verdict {
	if m.opts.Guard == nil {
		return quarantine.Send
	}
	return m.opts.Guard.Check(now, m.opts.Shards[i].Name, m.inProgress)
}

// retryRouteLater schedules another search for a route. Replicas that failed
// before may be tried again then, except those that lack the pinned version.
func (m *Machine) retryRouteLater(now time.Time, s *shardState, reason code.Code) {
	s.excluded = append(s.excluded[:0], s.withoutVersion...)
	s.retryAt = now.Add(routeRetryDelay << min(s.routeRetries, maxRouteRetryDoublings))
	m.wakeBy(s.retryAt)
	s.routeRetries++
	if s.reason == "" {
		s.reason = reason
	}
}

// hedge sends a second attempt for a shard whose first one is still in progress.
func (m *Machine) hedge(now time.Time, i int) {
	s := &m.shards[i]
	s.hedged = true
	if m.check(now, i) != quarantine.Send {
		return
	}
	exclude := m.excludeInProgress(i, s.excluded)
	route, c := m.opts.Router.Pick(now, m.opts.Shards[i].Replicas, replica.ExtraAttempt, exclude)
	if c != code.OK || !m.opts.Budget.TryExtra(now, route.Target) {
		return
	}
	m.send(now, i, route, true)
}

// hedgeByOtherRoute repeats a hedge that a relay refused. It uses another route,
// if there is one, because each relay has its own retry budget for a target. The
// refused attempt has already drawn on the gateway's budget.
func (m *Machine) hedgeByOtherRoute(now time.Time, a *attemptState) {
	s := &m.shards[a.shard]
	s.excluded = append(s.excluded, exclusionAfter(a.Route, code.OverBudget))
	exclude := m.excludeInProgress(a.shard, s.excluded)
	route, c := m.opts.Router.Pick(now, m.opts.Shards[a.shard].Replicas, replica.ExtraAttempt, exclude)
	if c == code.OK {
		m.send(now, a.shard, route, true)
	}
}

// excludeInProgress returns a copy of exclude with the targets at which attempts
// for a shard are in progress added.
func (m *Machine) excludeInProgress(i int, exclude []replica.Exclusion) []replica.Exclusion {
	out := slices.Clone(exclude)
	for j := m.shards[i].lastAttempt; j != noAttempt; j = m.attempts[j].previous {
		if a := &m.attempts[j]; !a.done {
			out = append(out, replica.Exclusion{Target: a.Route.Target})
		}
	}
	return out
}

// send records an attempt and adds it to the attempts to send, or returns why
// it must not be sent.
func (m *Machine) send(now time.Time, i int, route replica.Choice, hedge bool) code.Code {
	id := uint32(len(m.attempts))
	if c := m.track(now, id); c != code.OK {
		return c
	}
	s := &m.shards[i]
	s.inProgress++
	m.inProgress++
	a := attemptState{
		Attempt: Attempt{
			ID:    id,
			Shard: m.opts.Shards[i].Name,
			Route: route,
			Extra: hedge || s.extra,
		},
		shard:    i,
		previous: s.lastAttempt,
		sent:     now,
	}
	s.lastAttempt = len(m.attempts)
	m.attempts = append(m.attempts, a)
	m.opts.Router.Sent(now, route)
	m.actions.Send = append(m.actions.Send, a.Attempt)
	return code.OK
}

// track records an attempt that is about to be sent. It returns why the attempt
// must not be sent: the deadline has passed, or an earlier attempt of an action
// may have run.
func (m *Machine) track(now time.Time, id uint32) code.Code {
	if !m.tracker.Add(uint64(id)) {
		return code.OutcomeUnknown
	}
	return m.tracker.Send(now, uint64(id))
}

// attemptInProgress returns the attempt with the given ID, or nil if it has
// ended or does not exist.
func (m *Machine) attemptInProgress(id uint32) *attemptState {
	if int(id) >= len(m.attempts) || m.attempts[id].done {
		return nil
	}
	return &m.attempts[id]
}

// matches reports whether a response has the shard, target and version that the
// attempt requested.
func (m *Machine) matches(a *attemptState, r *wire.SubResponse) bool {
	return r.Shard == a.Shard && r.Target == a.Route.Target && r.Version == m.opts.Version
}

// NotSent records that an attempt was never written to the link.
func (m *Machine) NotSent(now time.Time, id uint32, reason code.Code) Actions {
	m.resetActions()
	if a := m.attemptInProgress(id); a != nil {
		m.endAttempt(now, a, &wire.SubResponse{Code: reason, Run: code.NotRun})
	}
	return m.actions
}

// LinkLost records that the link to a relay broke. The attempts in progress on
// that link may have run.
func (m *Machine) LinkLost(now time.Time, relay string) Actions {
	m.resetActions()
	for i := range m.attempts {
		if a := &m.attempts[i]; !a.done && a.Route.Relay == relay {
			m.endAttempt(now, a, &wire.SubResponse{Code: code.ConnectionBroken})
		}
	}
	return m.actions
}

// endAttempt records the end of an attempt and settles, hedges or retries its
// shard.
func (m *Machine) endAttempt(now time.Time, a *attemptState, r *wire.SubResponse) {
	m.recordOutcome(now, a, r)
	s := &m.shards[a.shard]
	if s.settled || m.status != Running {
		return
	}
	if r.Code == code.OK {
		m.acceptResponse(now, a.shard, r)
		return
	}
	if r.Code == code.OverBudget && s.inProgress > 0 {
		m.hedgeByOtherRoute(now, a)
		return
	}
	s.reason = r.Code
	if s.inProgress > 0 {
		return
	}
	m.retry(now, a, r)
}

// recordOutcome marks an attempt as done and reports its outcome to the router.
func (m *Machine) recordOutcome(now time.Time, a *attemptState, r *wire.SubResponse) {
	a.done = true
	m.tracker.Set(uint64(a.ID), attempt.StateOf(r.Run))
	m.shards[a.shard].inProgress--
	m.inProgress--
	m.tellGuard(now, a, r)
	o := Outcome{
		Code:         r.Code,
		Elapsed:      now.Sub(a.sent),
		QueueLength:  int(r.QueueLength),
		FirstAttempt: !a.Extra,
		ServiceTime:  time.Duration(r.ServiceMicros) * time.Microsecond,
		RetryAfter:   time.Duration(r.RetryAfterMillis) * time.Millisecond,
	}
	if r.Code == code.Canceled || r.Code == code.Timeout {
		o.ServiceTime = o.Elapsed
	}
	m.opts.Router.Done(now, a.Route, o)
}

// tellGuard tells the guard how the target fared that ran an attempt.
func (m *Machine) tellGuard(now time.Time, a *attemptState, r *wire.SubResponse) {
	switch {
	case m.opts.Guard == nil:
	case r.Code == code.OK:
		m.opts.Guard.Completed(now, a.Shard)
	case r.Code == code.ConnectionBroken && r.Target != "":
		m.opts.Guard.Broke(now, a.Shard, a.Route.Target, a.sent)
	}
}

// acceptResponse settles a shard with a response and cancels its other attempts.
func (m *Machine) acceptResponse(now time.Time, i int, r *wire.SubResponse) {
	m.shards[i].settled = true
	m.pending--
	m.opts.Coverage.AddResponse(m.opts.Shards[i].Name, r.Records, r.Matched)
	for j := m.shards[i].lastAttempt; j != noAttempt; j = m.attempts[j].previous {
		m.cancel(now, &m.attempts[j])
	}
	m.finishIfSettled(now)
}

// cancel cancels an attempt that is in progress.
func (m *Machine) cancel(now time.Time, a *attemptState) {
	if a.done {
		return
	}
	m.recordOutcome(now, a, &wire.SubResponse{Code: code.Canceled})
	m.actions.Cancel = append(m.actions.Cancel, a.Attempt)
}

// retry sends or schedules another attempt for a shard whose last attempt
// failed, or settles the shard as missing.
func (m *Machine) retry(now time.Time, a *attemptState, r *wire.SubResponse) {
	s := &m.shards[a.shard]
	s.excluded = append(s.excluded, exclusionAfter(a.Route, r.Code))
	if r.Code == code.VersionGone || r.Code == code.VersionNotLoaded {
		m.excludeWithoutVersion(a.shard, a.Route.Target)
	}
	if m.noReplicaHasVersion(a.shard) {
		m.restartOrSettleMissing(now, a.shard, r.Code)
		return
	}
	if r.Code == code.Quarantined {
		m.settleMissing(a.shard, r.Code)
		m.finishIfSettled(now)
		return
	}
	if !m.tracker.MayRetry(!m.opts.Action) {
		m.settleMissing(a.shard, r.Code)
		m.finishIfSettled(now)
		return
	}
	if r.Run != code.NotRun {
		s.failures++
	}
	if s.failures >= maxFailures {
		m.settleMissing(a.shard, r.Code)
		m.finishIfSettled(now)
		return
	}
	s.extra = s.extra || drawsOnBudget(r)
	m.sendNext(now, a.shard)
}

// excludeWithoutVersion excludes a replica that does not serve the pinned version.
func (m *Machine) excludeWithoutVersion(i int, target string) {
	s := &m.shards[i]
	exclusion := replica.Exclusion{Target: target}
	if !slices.Contains(s.withoutVersion, exclusion) {
		s.withoutVersion = append(s.withoutVersion, exclusion)
		s.excluded = append(s.excluded, exclusion)
	}
}

// noReplicaHasVersion reports whether no replica of a shard serves the pinned
// version.
func (m *Machine) noReplicaHasVersion(i int) bool {
	return len(m.shards[i].withoutVersion) == len(m.opts.Shards[i].Replicas)
}

// restartOrSettleMissing restarts the query on another version if there is one,
// and otherwise settles the shard as missing.
func (m *Machine) restartOrSettleMissing(now time.Time, i int, reason code.Code) {
	if m.opts.MayRestart != nil && m.opts.MayRestart(now) {
		m.status = Restart
		m.cancelInProgress(now)
		return
	}
	m.settleMissing(i, reason)
	m.finishIfSettled(now)
}

// drawsOnBudget reports whether a retry after r draws on the retry budget because
// it is extra load on targets. An attempt that reached no target may be repeated
// elsewhere without budget.
func drawsOnBudget(r *wire.SubResponse) bool {
	if r.Run != code.NotRun {
		return true
	}
	return r.Code == code.Shed
}

// exclusionAfter returns what a retry excludes after a failure: the route through
// the relay if the relay refused, and otherwise the target on every route.
func exclusionAfter(r replica.Choice, c code.Code) replica.Exclusion {
	switch c {
	case code.PermitNotHeld, code.Stopping, code.NotReady, code.Overloaded, code.OverBudget, code.TargetCold:
		return replica.Exclusion{Relay: r.Relay, Target: r.Target}
	default:
		return replica.Exclusion{Target: r.Target}
	}
}
