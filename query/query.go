// Package query implements the processing of one query at a gateway as a state
// machine without I/O: which attempts are sent, hedged, retried and canceled,
// and when the query ends.
//
// Each event carries its time and returns the attempts to send and to cancel.
package query

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/attempt"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/coverage"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Bounds of the attempts for one shard.
const (
	// maxFailures is the number of attempts for one shard that may have run and
	// failed; the shard is then given up.
	maxFailures = 4
	// routeRetryDelay is the time until the next search for a route for a shard
	// without a usable replica; it doubles up to maxRouteRetryDoublings times.
	routeRetryDelay        = 5 * time.Millisecond
	maxRouteRetryDoublings = 3
	// quarantineRecheck is the time between two questions whether an attempt may be sent
	// that waits for what others tell of its request.
	quarantineRecheck = 5 * time.Millisecond
	// budgetRetryDelay is the time until a retry that the budget denied is
	// requested again.
	budgetRetryDelay = 20 * time.Millisecond
)

// Outcome describes how an attempt ended, for statistics.
type Outcome struct {
	Code code.Code
	// Elapsed is the time from sending to the end of the attempt.
	Elapsed time.Duration
	// QueueLength is the number of sub-requests that waited or ran for the target
	// at the relay, as the response reports it.
	QueueLength int
	// FirstAttempt is true if the attempt did not draw on the retry budget.
	FirstAttempt bool
	// ServiceTime is the time that the target took, or for an attempt that was
	// canceled or timed out the time until then; zero if unknown.
	ServiceTime time.Duration
	// RetryAfter is the delay that the target requests before the next attempt;
	// zero if it requests none.
	RetryAfter time.Duration
}

// Router picks routes and takes the outcomes of attempts into account.
type Router interface {
	// Pick returns a route to one of the targets that is not excluded. The code
	// is code.OK if there is one, and otherwise the reason why there is none.
	Pick(now time.Time, targets []string, purpose replica.Purpose, exclude []replica.Exclusion) (replica.Choice, code.Code)
	// Sent records that an attempt is sent.
	Sent(now time.Time, r replica.Choice)
	// Done records the end of an attempt.
	Done(now time.Time, r replica.Choice, o Outcome)
}

// Budget bounds the extra attempts, which are hedges and retries.
type Budget interface {
	// AddFirst records the first attempt for a shard, at a target.
	AddFirst(now time.Time, target string)
	// TryExtra takes one extra attempt at a target from the budget. It reports
	// whether the budget allowed it.
	TryExtra(now time.Time, target string) bool
}

// Shard is one shard of the pinned version, with the targets that hold it.
type Shard struct {
	Name     string
	Replicas []string
}

// Options configures a Machine.
type Options struct {
	// Version is the pinned index version.
	Version string
	// Shards is the pinned shard map.
	Shards []Shard
	// Coverage tracks the same shards; none of them has responded yet.
	Coverage *coverage.Tracker
	// SoftDeadline is the time at which a query whose coverage is at least
	// MinCoverage ends without the shards that have not responded.
	SoftDeadline time.Time
	// Deadline is the time at which the query ends in any case.
	Deadline time.Time
	// MinCoverage is the fraction of shards, from 0 to 1, that must have responded
	// for the query to end at SoftDeadline.
	MinCoverage float64
	// HedgeDelay returns the delay after which an attempt is hedged, and whether
	// attempts are hedged at now. If HedgeDelay is nil, no attempt is hedged.
	HedgeDelay func(now time.Time) (time.Duration, bool)
	// LacksVersion reports whether a target is known not to serve the pinned
	// version. If nil, every target is assumed to serve it.
	LacksVersion func(now time.Time, target string) bool
	// MayRestart reports whether another version may be pinned if no replica of a
	// shard serves this one. If nil, the query does not restart.
	MayRestart func(now time.Time) bool
	// Action marks non-idempotent work.
	Action bool
	Router Router
	Budget Budget
	// Guard may be nil.
	Guard Guard
}

// Guard decides whether a request that may crash the targets that run it is sent.
type Guard interface {
	// Check returns what to do with an attempt for a shard while inProgress attempts of
	// the query are in progress.
	Check(now time.Time, shard string, inProgress int) quarantine.Verdict
	// Broke records that the connection to a target ended while it ran an attempt that
	// was sent at the given time.
	Broke(now time.Time, shard, target string, sent time.Time)
	// Completed records that a target completed an attempt for a shard.
	Completed(now time.Time, shard string)
}

// Status is the state of a query.
type Status uint8

// States of a query.
const (
	Running  Status = iota
	Finished        // the response is built from the shards that have responded
	Restart         // no replica of a shard serves the pinned version; start again on another
)

// Attempt is one sub-request as sent.
type Attempt struct {
	// ID is the attempt's number within the query, starting at 0.
	ID    uint32
	Shard string
	Route replica.Choice
	// Extra marks an attempt that draws on the retry budget.
	Extra bool
}

// Actions lists the attempts to send and to cancel after an event. The slices
// are valid until the next event.
type Actions struct {
	Send   []Attempt
	Cancel []Attempt
}

// Machine is the state machine of one query. It is not safe for concurrent use.
type Machine struct {
	opts     Options
	status   Status
	shards   []shardState
	attempts []attemptState
	pending  int // number of shards that are not settled
	// inProgress is the number of attempts in progress.
	inProgress int
	due        time.Time // no retry or hedge is due earlier; zero if none is scheduled
	tracker    *attempt.Tracker
	actions    Actions
}

type shardState struct {
	settled        bool
	hedged         bool
	inProgress     int       // number of attempts in progress
	lastAttempt    int       // ID of the last attempt, or noAttempt
	failures       int       // number of attempts that may have run and failed
	routeRetries   int       // number of times that no replica was usable
	retryAt        time.Time // zero if no retry is scheduled
	extra          bool      // retries draw on the budget
	counted        bool      // the budget has counted the first attempt
	reason         code.Code
	excluded       []replica.Exclusion
	withoutVersion []replica.Exclusion // replicas that do not serve the pinned version
	hedgeFrom      time.Time
}

type attemptState struct {
	Attempt
	shard    int
	previous int // ID of the shard's previous attempt, or noAttempt
	sent     time.Time
	done     bool
}

// noAttempt stands for an attempt ID where there is no attempt.
const noAttempt = -1

// New returns the state machine of a query that has sent no attempts.
func New(opts Options) *Machine {
	shards := make([]shardState, len(opts.Shards))
	for i := range shards {
		shards[i].lastAttempt = noAttempt
	}
	return &Machine{
		opts:     opts,
		shards:   shards,
		attempts: make([]attemptState, 0, len(opts.Shards)+len(opts.Shards)/16+1),
		pending:  len(opts.Shards),
		tracker:  attempt.New(opts.Deadline, opts.Action),
	}
}

// Status returns the state of the query.
func (m *Machine) Status() Status { return m.status }

// Coverage returns the query's coverage.
func (m *Machine) Coverage() *coverage.Tracker { return m.opts.Coverage }

// Start sends the first attempt for each shard.
func (m *Machine) Start(now time.Time) Actions {
	m.resetActions()
	for i := range m.shards {
		if m.status == Running && !m.shards[i].settled {
			m.sendFirst(now, i)
		}
	}
	m.finishIfSettled(now)
	m.schedule(now)
	return m.actions
}

// sendFirst sends the first attempt for a shard to a replica that is not known
// to lack the pinned version.
func (m *Machine) sendFirst(now time.Time, i int) {
	if m.opts.LacksVersion != nil {
		for _, target := range m.opts.Shards[i].Replicas {
			if m.opts.LacksVersion(now, target) {
				m.excludeWithoutVersion(i, target)
			}
		}
	}
	if m.noReplicaHasVersion(i) {
		m.restartOrSettleMissing(now, i, code.VersionNotLoaded)
		return
	}
	m.sendNext(now, i)
}

// Tick sends the retries and hedges that are due at now, and ends the query if
// its time is over.
func (m *Machine) Tick(now time.Time) Actions {
	m.resetActions()
	if m.status != Running {
		return m.actions
	}
	if m.ended(now) {
		m.finish(now)
		return m.actions
	}
	m.sendDueRetries(now)
	m.sendDueHedges(now)
	m.finishIfSettled(now)
	m.schedule(now)
	return m.actions
}

// sendDueRetries sends the retries that are due. They precede hedges so that a
// hedge for a slow shard does not take the budget that a failed shard needs.
func (m *Machine) sendDueRetries(now time.Time) {
	for i := range m.shards {
		s := &m.shards[i]
		if !s.settled && !s.retryAt.IsZero() && !now.Before(s.retryAt) {
			m.sendNext(now, i)
		}
	}
}

func (m *Machine) sendDueHedges(now time.Time) {
	delay, ok := m.hedgeDelay(now)
	if !ok {
		return
	}
	for i := range m.shards {
		s := &m.shards[i]
		if !s.settled && s.canHedge() && !now.Before(s.hedgeFrom.Add(delay)) {
			m.hedge(now, i)
		}
	}
}

// NextTick returns when Tick is due. For a hedge, it uses the hedge delay at the
// time of scheduling.
func (m *Machine) NextTick() time.Time {
	if m.due.IsZero() {
		return m.end()
	}
	return earlier(m.end(), m.due)
}

// schedule determines when the next retry or hedge is due.
func (m *Machine) schedule(now time.Time) {
	m.due = time.Time{}
	delay, mayHedge := m.hedgeDelay(now)
	for i := range m.shards {
		s := &m.shards[i]
		if s.settled {
			continue
		}
		if !s.retryAt.IsZero() {
			m.wakeBy(s.retryAt)
		}
		if mayHedge && s.canHedge() {
			m.wakeBy(s.hedgeFrom.Add(delay))
		}
	}
}

// wakeBy makes a tick due at t at the latest. An early tick does no harm, so the
// time is not moved back when the shard is settled before t.
func (m *Machine) wakeBy(t time.Time) {
	if m.due.IsZero() || t.Before(m.due) {
		m.due = t
	}
}

// end returns when the query ends if no further response arrives.
func (m *Machine) end() time.Time {
	if m.coverageReached() {
		return earlier(m.opts.SoftDeadline, m.opts.Deadline)
	}
	return m.opts.Deadline
}

func (m *Machine) ended(now time.Time) bool { return !now.Before(m.end()) }

func (m *Machine) coverageReached() bool {
	return m.opts.Coverage.Responded() > 0 && m.opts.Coverage.Fraction() >= m.opts.MinCoverage
}

func (m *Machine) hedgeDelay(now time.Time) (time.Duration, bool) {
	if m.opts.Action || m.opts.HedgeDelay == nil {
		return 0, false
	}
	return m.opts.HedgeDelay(now)
}

func (s *shardState) canHedge() bool {
	return !s.hedged && s.inProgress > 0
}

func (m *Machine) resetActions() {
	m.actions.Send = m.actions.Send[:0]
	m.actions.Cancel = m.actions.Cancel[:0]
}

// finishIfSettled ends the query if every shard is settled.
func (m *Machine) finishIfSettled(now time.Time) {
	if m.status == Running && m.pending == 0 {
		m.finish(now)
	}
}

// finish settles the remaining shards as missing and cancels the attempts in
// progress.
func (m *Machine) finish(now time.Time) {
	m.status = Finished
	for i := range m.shards {
		s := &m.shards[i]
		if s.settled {
			continue
		}
		reason := s.reason
		if s.inProgress > 0 || reason == "" {
			reason = code.Timeout
		}
		m.settleMissing(i, reason)
	}
	m.cancelInProgress(now)
}

func (m *Machine) cancelInProgress(now time.Time) {
	for i := range m.attempts {
		m.cancel(now, &m.attempts[i])
	}
}

func (m *Machine) settleMissing(i int, reason code.Code) {
	m.shards[i].settled = true
	m.pending--
	m.opts.Coverage.MarkMissing(m.opts.Shards[i].Name, reason)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// RunStatus returns whether the query was executed: code.NotRun only if no
// attempt can have run.
func (m *Machine) RunStatus() code.RunStatus { return m.tracker.RunStatus() }

// Attempts returns the number of attempts so far.
func (m *Machine) Attempts() int { return len(m.attempts) }

// Responded records the response to an attempt.
func (m *Machine) Responded(now time.Time, id uint32, r *wire.SubResponse) Actions {
	m.resetActions()
	a := m.attemptInProgress(id)
	if a == nil {
		return m.actions
	}
	if !m.matches(a, r) {
		r = &wire.SubResponse{Code: code.BadResponse}
	}
	m.endAttempt(now, a, r)
	return m.actions
}

// Abort ends the query because its caller has disconnected.
func (m *Machine) Abort(now time.Time) Actions {
	m.resetActions()
	if m.status == Running {
		m.finish(now)
	}
	return m.actions
}
