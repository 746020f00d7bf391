package upstream

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/pushback"
)

// observeNotice records what a target asks of its callers in the response to an attempt.
func (p *Pool) observeNotice(t *Target, a *Attempt, n pushback.Notice) {
	now := time.Now()
	p.mu.Lock()
	change := t.pushback.Observe(now, a.StartedAt, n)
	sent, age := t.pushback.SinceLimit(now)
	p.mu.Unlock()
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
