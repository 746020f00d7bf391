package query

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/attempt"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// try sends an attempt for a shard that has none running.
func (m *Machine) try(now time.Time, i int) {
	s := &m.shards[i]
	s.retryAt = time.Time{}
	route, c := m.opts.Router.Pick(now, m.opts.Shards[i].Replicas, replica.FirstAttempt, s.avoid)
	if c != code.OK {
		m.awaitRoute(now, s, c)
		return
	}
	if s.extra && !m.opts.Budget.TryExtra(now, route.Target) {
		s.retryAt = now.Add(budgetDelay)
		m.wakeBy(s.retryAt)
		return
	}
	if !s.extra {
		m.opts.Budget.AddFirst(now, route.Target)
	}
	s.hedgeFrom = now
	if c := m.send(now, i, route, false); c != code.OK {
		m.miss(i, c)
	}
}

// awaitRoute looks again later. Replicas that failed before may be tried again
// then, but for those that lack the version.
func (m *Machine) awaitRoute(now time.Time, s *shard, why code.Code) {
	s.avoid = append(s.avoid[:0], s.lacking...)
	s.retryAt = now.Add(rerouteDelay << min(s.waits, maxDoublings))
	m.wakeBy(s.retryAt)
	s.waits++
	if s.reason == "" {
		s.reason = why
	}
}

// hedge sends a second attempt for a shard whose first one is late.
func (m *Machine) hedge(now time.Time, i int) {
	s := &m.shards[i]
	s.hedged = true
	avoid := m.withRunning(i, s.avoid)
	route, c := m.opts.Router.Pick(now, m.opts.Shards[i].Replicas, replica.ExtraAttempt, avoid)
	if c != code.OK || !m.opts.Budget.TryExtra(now, route.Target) {
		return
	}
	m.send(now, i, route, true)
}

// hedgeElsewhere sends a hedge that a relay refused by another route, if there
// is one: each relay has a budget of its own for a target. The one that did not
// run has paid for it.
func (m *Machine) hedgeElsewhere(now time.Time, a *sub) {
	s := &m.shards[a.shard]
	s.avoid = append(s.avoid, avoidAfter(a.Route, code.OverBudget))
	avoid := m.withRunning(a.shard, s.avoid)
	route, c := m.opts.Router.Pick(now, m.opts.Shards[a.shard].Replicas, replica.ExtraAttempt, avoid)
	if c == code.OK {
		m.send(now, a.shard, route, true)
	}
}

// withRunning returns avoid and the targets at which attempts for a shard run.
func (m *Machine) withRunning(i int, avoid []replica.Exclusion) []replica.Exclusion {
	out := slices.Clone(avoid)
	for j := m.shards[i].last; j != noAttempt; j = m.attempts[j].previous {
		if a := &m.attempts[j]; !a.done {
			out = append(out, replica.Exclusion{Target: a.Route.Target})
		}
	}
	return out
}

// send enters an attempt and has it sent, or returns why it must not be.
func (m *Machine) send(now time.Time, i int, route replica.Choice, hedge bool) code.Code {
	id := uint32(len(m.attempts))
	if c := m.track(now, id); c != code.OK {
		return c
	}
	s := &m.shards[i]
	s.running++
	a := sub{
		Attempt: Attempt{
			ID:    id,
			Shard: m.opts.Shards[i].Name,
			Route: route,
			Extra: hedge || s.extra,
		},
		shard:    i,
		previous: s.last,
		sent:     now,
	}
	s.last = len(m.attempts)
	m.attempts = append(m.attempts, a)
	m.opts.Router.Sent(now, route)
	m.actions.Send = append(m.actions.Send, a.Attempt)
	return code.OK
}

// track enters an attempt that is about to be sent. It returns why it must not
// be: the deadline has passed, or an earlier attempt of an action may have run.
func (m *Machine) track(now time.Time, id uint32) code.Code {
	if !m.tracker.Add(uint64(id)) {
		return code.OutcomeUnknown
	}
	return m.tracker.Send(now, uint64(id))
}

// running returns the attempt with the given number if it has not ended.
func (m *Machine) running(id uint32) *sub {
	if int(id) >= len(m.attempts) || m.attempts[id].done {
		return nil
	}
	return &m.attempts[id]
}

// echoes reports whether a reply answers what the attempt asked.
func (m *Machine) echoes(a *sub, r *wire.SubResponse) bool {
	return r.Shard == a.Shard && r.Target == a.Route.Target && r.Version == m.opts.Version
}

// NotSent notes that an attempt was never written to the link.
func (m *Machine) NotSent(now time.Time, id uint32, why code.Code) Actions {
	m.reset()
	if a := m.running(id); a != nil {
		m.conclude(now, a, &wire.SubResponse{Code: why, Run: code.NotRun})
	}
	return m.actions
}

// LinkLost notes that the link to a relay broke: what was sent there may have run.
func (m *Machine) LinkLost(now time.Time, relay string) Actions {
	m.reset()
	for i := range m.attempts {
		if a := &m.attempts[i]; !a.done && a.Route.Relay == relay {
			m.conclude(now, a, &wire.SubResponse{Code: code.Broken})
		}
	}
	return m.actions
}

// conclude ends an attempt and decides what follows for its shard.
func (m *Machine) conclude(now time.Time, a *sub, r *wire.SubResponse) {
	m.close(now, a, r)
	s := &m.shards[a.shard]
	if s.settled || m.status != Running {
		return
	}
	if r.Code == code.OK {
		m.answer(now, a.shard, r)
		return
	}
	if r.Code == code.OverBudget && s.running > 0 {
		m.hedgeElsewhere(now, a)
		return
	}
	s.reason = r.Code
	if s.running > 0 {
		return
	}
	m.retry(now, a, r)
}

func (m *Machine) close(now time.Time, a *sub, r *wire.SubResponse) {
	a.done = true
	m.tracker.Set(uint64(a.ID), attempt.StateOf(r.Run))
	m.shards[a.shard].running--
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

func (m *Machine) answer(now time.Time, i int, r *wire.SubResponse) {
	m.shards[i].settled = true
	m.open--
	m.opts.Coverage.AddResponse(m.opts.Shards[i].Name, r.Records, r.Matched)
	for j := m.shards[i].last; j != noAttempt; j = m.attempts[j].previous {
		m.cancel(now, &m.attempts[j])
	}
	m.settleFinished(now)
}

// cancel withdraws an attempt that still runs.
func (m *Machine) cancel(now time.Time, a *sub) {
	if a.done {
		return
	}
	m.close(now, a, &wire.SubResponse{Code: code.Canceled})
	m.actions.Cancel = append(m.actions.Cancel, a.Attempt)
}

// retry decides whether and when a shard whose last attempt failed is tried again.
func (m *Machine) retry(now time.Time, a *sub, r *wire.SubResponse) {
	s := &m.shards[a.shard]
	s.avoid = append(s.avoid, avoidAfter(a.Route, r.Code))
	if r.Code == code.VersionGone || r.Code == code.VersionNotLoaded {
		m.noteLacking(a.shard, a.Route.Target)
	}
	if m.allLack(a.shard) {
		m.giveUpVersion(now, a.shard, r.Code)
		return
	}
	if !m.tracker.MayRetry(!m.opts.Action) {
		m.miss(a.shard, r.Code)
		m.settleFinished(now)
		return
	}
	if r.Run != code.NotRun {
		s.tries++
	}
	if s.tries >= maxAttempts {
		m.miss(a.shard, r.Code)
		m.settleFinished(now)
		return
	}
	s.extra = s.extra || drawsBudget(r)
	m.try(now, a.shard)
}

// noteLacking notes that a replica does not serve the pinned version.
func (m *Machine) noteLacking(i int, target string) {
	s := &m.shards[i]
	lacking := replica.Exclusion{Target: target}
	if !slices.Contains(s.lacking, lacking) {
		s.lacking = append(s.lacking, lacking)
		s.avoid = append(s.avoid, lacking)
	}
}

// allLack reports whether no replica of a shard serves the pinned version.
func (m *Machine) allLack(i int) bool {
	return len(m.shards[i].lacking) == len(m.opts.Shards[i].Replicas)
}

// giveUpVersion restarts the query on another version if there is one, and
// else goes on without the shard.
func (m *Machine) giveUpVersion(now time.Time, i int, reason code.Code) {
	if m.opts.MayRestart != nil && m.opts.MayRestart(now) {
		m.status = Restart
		m.cancelRunning(now)
		return
	}
	m.miss(i, reason)
	m.settleFinished(now)
}

// drawsBudget reports whether a retry after r is extra load on targets. Work
// that reached no target may go elsewhere freely.
func drawsBudget(r *wire.SubResponse) bool {
	if r.Run != code.NotRun {
		return true
	}
	return r.Code == code.Shed
}

// avoidAfter returns what a retry avoids after a failure: the way through the relay
// if the relay refused, and else the target.
func avoidAfter(r replica.Choice, c code.Code) replica.Exclusion {
	switch c {
	case code.NotHeld, code.Stopping, code.NotReady, code.Overloaded, code.OverBudget, code.TargetCold:
		return replica.Exclusion{Relay: r.Relay, Target: r.Target}
	default:
		return replica.Exclusion{Target: r.Target}
	}
}
