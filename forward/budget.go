package forward

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/budget"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// RetryBudget is the published bound on extra attempts.
type RetryBudget struct {
	// Ratio is the number of extra attempts per request.
	Ratio float64
	// Slack is the number of additional extra attempts in a window, for all
	// processes together.
	Slack int
}

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	*budget.Paced
	usedAt time.Time
}

// ExtraCounts counts extra attempts since the start.
type ExtraCounts struct {
	// Granted is the number of extra attempts that were sent.
	Granted uint64 `json:"granted"`
	// Denied is the number of extra attempts that the retry budget did not allow.
	Denied uint64 `json:"denied"`
}

// BudgetState describes the retry budget for operators.
type BudgetState struct {
	ExtraCounts
	// FleetKnown and FleetSize are the number of processes known, and the number
	// that the slack is divided by.
	FleetKnown int `json:"fleet_known"`
	FleetSize  int `json:"fleet_size"`
	// SlackShare is this process's share of the slack of each service.
	SlackShare float64 `json:"slack_share"`
	// Services holds the services with extra attempts in the window.
	Services map[string]ServiceBudgetState `json:"services"`
}

// ServiceBudgetState holds the numbers of first and extra attempts at a service in the
// window.
type ServiceBudgetState struct {
	Firsts int `json:"firsts"`
	Extras int `json:"extras"`
}

// BudgetState returns the state of the retry budget.
func (e *Engine) BudgetState(now time.Time) BudgetState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := BudgetState{
		ExtraCounts: e.extras, FleetKnown: len(e.fleet.Members), FleetSize: e.fleet.Size(),
		SlackShare: e.sharedLimits().Slack, Services: map[string]ServiceBudgetState{},
	}
	for name, b := range e.budgets {
		if firsts, extras := b.Counts(now); extras > 0 {
			s.Services[name] = ServiceBudgetState{Firsts: firsts, Extras: extras}
		}
	}
	return s
}

// budgetFraction is the fraction of RetryBudget.Ratio that is used. The rest is left for
// tokens that are kept from one window to the next.
const budgetFraction = 0.9

// Fractions of a process's share of the slack of the retry budget. A process that
// restarts does not know what it has used. refillFraction accrues over a window, and
// depthFraction may be kept: their sum bounds what all incarnations use in a window. It
// uses the whole slack, as a share is 0.8 of an equal part.
const (
	refillFraction = 0.25
	depthFraction  = 1.0
)

// SetFleet sets the processes that share the slack of the retry budget.
func (e *Engine) SetFleet(now time.Time, f share.Fleet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case f.Size() == 0:
		e.fleetKnownAt = time.Time{}
	case e.fleetKnownAt.IsZero():
		e.fleetKnownAt = now
	}
	e.fleet = f
	for _, b := range e.budgets {
		b.SetLimits(now, e.sharedLimits())
	}
}

// sharedLimits returns this process's shares of the slack of each service. mu must be
// held.
func (e *Engine) sharedLimits() budget.SharedLimits {
	slack := e.fleet.EvenShare(float64(e.opts.Budget.Slack))
	return budget.SharedLimits{Slack: (refillFraction + depthFraction) * slack, Refill: refillFraction * slack, Depth: depthFraction * slack}
}

// serviceBudget returns the retry budget of a service and marks it as used. mu must
// be held.
func (e *Engine) serviceBudget(now time.Time, service string) *serviceBudget {
	b := e.budgets[service]
	if b == nil {
		// Tokens accrue from when the fleet became known: the process has sent nothing to
		// this service since, or nothing for longer than a window.
		from := now
		if !e.fleetKnownAt.IsZero() {
			from = e.fleetKnownAt
		}
		b = &serviceBudget{Paced: budget.NewPaced(from, budgetFraction*e.opts.Budget.Ratio)}
		b.SetLimits(from, e.sharedLimits())
		e.budgets[service] = b
	}
	b.usedAt = now
	return b
}

// takeExtra takes an extra attempt at shard i from the retry budget. It returns false
// if the budget is used up.
func (r *activeRequest) takeExtra(now time.Time, i int) (budget.Taken, bool) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.serviceBudget(now, r.services[i])
	taken, ok := b.Take(now)
	if !ok {
		e.extras.Denied++
		e.logUsedUp(now, r.services[i], b)
		return taken, false
	}
	e.extras.Granted++
	return taken, true
}

// returnExtra returns an extra attempt that could not be made to the retry budget.
func (r *activeRequest) returnExtra(now time.Time, i int, taken budget.Taken) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extras.Granted--
	e.serviceBudget(now, r.services[i]).Return(taken)
}

// usedUpLogInterval is the shortest time between two log lines that say that a retry
// budget is used up: a failure of many targets uses up the budgets of many services.
const usedUpLogInterval = time.Second

// logUsedUp logs that the retry budget of a service is used up. mu must be held; the
// logger does not block.
func (e *Engine) logUsedUp(now time.Time, service string, b *serviceBudget) {
	if !e.usedUpLoggedAt.IsZero() && now.Sub(e.usedUpLoggedAt) < usedUpLogInterval {
		return
	}
	e.usedUpLoggedAt = now
	firsts, extras := b.Counts(now)
	e.opts.Logger.Info("retry budget used up", "service", service, "firsts", firsts, "extras", extras,
		"denied_so_far", e.extras.Denied, "slack_share", e.sharedLimits().Slack,
		"fleet_known", len(e.fleet.Members), "fleet_size", e.fleet.Size(), "fleet_known_for", now.Sub(e.fleetKnownAt))
}
