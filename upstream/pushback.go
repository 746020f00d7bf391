package upstream

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/pushback"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// removedTarget is what a target that is no longer registered has asked for. It may be
// registered again: entries expire while the store is away, and a restored store lists what
// had left.
type removedTarget struct {
	incarnation int64
	pushback    pushback.State
	removedAt   time.Time
}

// removedRetention is how long what a removed target has asked for is kept.
const removedRetention = 10 * time.Minute

// remember keeps what a target that is removed has asked for. mu must be held.
func (p *Pool) remember(now time.Time, t *Target) {
	if !t.pushback.Idle(now) {
		p.removed[t.ID] = removedTarget{incarnation: t.entry.Incarnation, pushback: t.pushback, removedAt: now}
	}
}

// recall returns what an earlier registration of the same run of a target has asked for. mu
// must be held.
func (p *Pool) recall(e *catalog.Entry) pushback.State {
	r, ok := p.removed[e.ID]
	if !ok || r.incarnation != e.Incarnation {
		return pushback.State{}
	}
	delete(p.removed, e.ID)
	return r.pushback
}

// forgetRemoved deletes what was kept for removedRetention. mu must be held.
func (p *Pool) forgetRemoved(now time.Time) {
	for id, r := range p.removed {
		if now.Sub(r.removedAt) > removedRetention {
			delete(p.removed, id)
		}
	}
}

// registered returns the present record of a target, of which an attempt may have an earlier
// one: its entry has expired since, or its address has changed. mu must be held.
func (p *Pool) registered(t *Target) *Target {
	if current := p.targets[t.ID]; current != nil && current.entry.Incarnation == t.entry.Incarnation {
		return current
	}
	return t
}

// limitShare returns this process's part of the limit that a target has named. mu must be
// held.
func (p *Pool) limitShare(t *Target) pushback.Share {
	r := share.Resource{DataCentre: t.entry.DataCentre, Targets: map[string]int{}}
	if svc := p.services[t.Service]; svc != nil {
		r.Sharded = svc.sharded
		for _, other := range svc.targets {
			if !other.removed && !other.evacuated && !other.lastResort() {
				r.Targets[other.entry.DataCentre]++
			}
		}
	}
	return pushback.Share{Fraction: p.fleet.FractionOf(&r, p.processes), Phase: p.fleet.Phase(t.ID)}
}

// shareLimits sets this process's part of all limits in force. mu must be held.
func (p *Pool) shareLimits(now time.Time) {
	for _, t := range p.targets {
		if t.pushback.Limited() && !t.removed {
			t.pushback.SetShare(now, p.limitShare(t))
		}
	}
}

// observeNotice records what a target asks of its callers in the response to an attempt.
func (p *Pool) observeNotice(t *Target, a *Attempt, n pushback.Notice) {
	now := time.Now()
	p.mu.Lock()
	t = p.registered(t)
	if n.Limited && !t.pushback.Limited() {
		t.pushback.SetShare(now, p.limitShare(t))
	}
	change := t.pushback.Observe(now, a.StartedAt, n)
	sent, age := t.pushback.SinceLimit(now)
	var done []*Result
	if t.pushback.Paused(now) {
		done = p.failWaiting(t, errPaused)
	}
	if t.removed {
		p.remember(now, t)
	}
	p.mu.Unlock()
	deliver(done)
	var message string
	var details []any
	switch change {
	case pushback.Unchanged:
		return
	case pushback.LimitNamed:
		message, details = "target named a limit", []any{"limit", n.Limit}
	case pushback.LimitEnded:
		message, details = "target ended its limit", []any{"after", age, "first", sent.First, "extra", sent.Extra}
	case pushback.LeavingTold:
		message = "target is leaving"
	case pushback.Unreadable:
		message, details = "target asked for what cannot be read; ignored", []any{"value", n.Malformed}
	case pushback.PauseAsked:
		message, details = "target asked for a pause", []any{"pause", n.Pause}
	}
	p.emit(Event{Message: message, TargetID: t.ID, Service: t.Service, RequestID: a.Call.ID, Details: details})
}

// Pushback returns what the targets ask of their callers, by ID of the target.
func (p *Pool) Pushback(now time.Time) map[string]pushback.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]pushback.Report{}
	for id, t := range p.targets {
		if r, ok := t.pushback.Report(now); ok {
			out[id] = r
		}
	}
	return out
}
