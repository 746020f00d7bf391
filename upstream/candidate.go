package upstream

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
)

// Reasons why a target is no candidate for an attempt, besides those of Target.unusable.
const (
	excludedNotAsked = "not among the targets that may be chosen"
	excludedCold     = "cold, and its rate of requests is used up"
	excludedLimited  = "its limit is used up, or it has asked for a pause"
)

// candidate returns a target as a candidate for an attempt, or why it is none. If that is
// excludedLimited, it returns when the target may be one. Start and Explain both use it. mu
// must be held.
func (p *Pool) candidate(now time.Time, svc *service, t *Target, opts *AttemptOptions) (c balance.Candidate, excluded string, availableAt time.Time) {
	tried := 0
	for _, id := range opts.Tried {
		if id == t.ID {
			tried++
		}
	}
	if reason := t.unusable(now, p.opts.DrainGrace); reason != "" {
		return c, reason, time.Time{}
	}
	if opts.Only != nil && !slices.Contains(opts.Only, t.ID) {
		return c, excludedNotAsked, time.Time{}
	}
	cold := t.isCold(now)
	coldLimited := cold && svc.limitsCold()
	if coldLimited && !p.allowsCold(now, t) {
		return c, excludedCold, time.Time{}
	}
	if at := t.pushback.Available(now, opts.Extra); at.After(now) {
		return c, excludedLimited, at
	}
	return balance.Candidate{
		Stats: &t.stats, Slots: t.entry.Slots, Remote: t.remote, NeedsConnection: len(t.idle) == 0,
		Cold: cold, ColdLimited: coldLimited, LastResort: t.lastResort(), PriorAttempts: tried,
	}, "", time.Time{}
}
