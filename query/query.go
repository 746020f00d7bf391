// Package query holds the life of one query at a gateway as a pure state
// machine: which attempts are sent, hedged, retried and canceled, and when the
// query is answered.
//
// Events carry their time. Each event returns the attempts to send and to
// cancel. The caller serialises the use of a Machine.
package query

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/attempt"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/coverage"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Bounds of the attempts for one shard.
const (
	// maxAttempts is the number of attempts for one shard that may have run and failed.
	maxAttempts = 4
	// rerouteDelay is the time after which a shard without a usable replica is
	// looked at again; it doubles up to maxDoublings times.
	rerouteDelay = 5 * time.Millisecond
	maxDoublings = 3
	// budgetDelay is the time after which a retry that the budget denied is
	// asked for again.
	budgetDelay = 20 * time.Millisecond
)

// Outcome is how an attempt ended, for those who keep statistics.
type Outcome struct {
	Code code.Code
	// Elapsed is the time from sending to the end.
	Elapsed time.Duration
	// QueueLength is the relay's queue for the target, from the reply.
	QueueLength int
	// FirstAttempt is true for the first attempt for its shard.
	FirstAttempt bool
	// ServiceTime is the time that the target took, or for an attempt without an
	// answer the time until it was given up; zero if unknown.
	ServiceTime time.Duration
	// RetryAfter is when the target wants to be asked again; zero if unknown.
	RetryAfter time.Duration
}

// Router picks routes and learns from outcomes.
type Router interface {
	// Pick returns a route to one of the targets that is not avoided. The code
	// is code.OK if there is one.
	Pick(now time.Time, targets []string, purpose replica.Purpose, avoid []replica.Exclusion) (replica.Choice, code.Code)
	// Sent notes an attempt.
	Sent(now time.Time, r replica.Choice)
	// Done notes the end of an attempt.
	Done(now time.Time, r replica.Choice, o Outcome)
}

// Budget bounds the attempts that are not the first for their shard.
type Budget interface {
	// AddFirst notes a first attempt at a target.
	AddFirst(now time.Time, target string)
	// TryExtra takes one extra attempt at a target, or reports that there is none.
	TryExtra(now time.Time, target string) bool
}

// Shard is one shard of the pinned version.
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
	// Coverage is an empty ledger of the same shards.
	Coverage *coverage.Tracker
	// SoftDeadline is when a query with enough coverage is answered.
	SoftDeadline time.Time
	// Deadline is when the query is answered in any case.
	Deadline time.Time
	// MinCoverage is the share of shards, from 0 to 1, that is enough at Wait.
	MinCoverage float64
	// HedgeDelay returns the delay after which an attempt is hedged; false for never.
	HedgeDelay func(now time.Time) (time.Duration, bool)
	// LacksVersion tells whether a target is known not to serve the pinned version;
	// nil for never.
	LacksVersion func(now time.Time, target string) bool
	// MayRestart tells whether another version may be pinned instead if no
	// replica of a shard serves this one; nil for never.
	MayRestart func(now time.Time) bool
	// Action marks non-idempotent work.
	Action bool
	Router Router
	Budget Budget
}

// Status tells how far a query is.
type Status uint8

// Values of Status.
const (
	Running  Status = iota
	Finished        // answer from the ledger
	Restart         // no replica serves the pinned version any more; start anew on another
)

// Attempt is one sub-request as sent.
type Attempt struct {
	// ID is the attempt's number within the query, from 0.
	ID    uint32
	Shard string
	Route replica.Choice
	Extra bool
}

// Actions is what the driver has to do after an event. Its slices are valid
// until the next event.
type Actions struct {
	Send   []Attempt
	Cancel []Attempt
}

// Machine is the state of one query.
type Machine struct {
	opts     Options
	status   Status
	shards   []shard
	attempts []sub
	open     int       // shards that are not settled
	due      time.Time // no retry or hedge is due before; zero: none is
	tracker  *attempt.Tracker
	actions  Actions
}

type shard struct {
	settled   bool
	hedged    bool
	running   int
	last      int       // number of the last attempt, or noAttempt
	tries     int       // attempts that may have run and failed
	waits     int       // times that no replica was usable
	retryAt   time.Time // zero: no retry due
	extra     bool      // the retry draws on the budget
	reason    code.Code
	avoid     []replica.Exclusion
	lacking   []replica.Exclusion // replicas that don't serve the pinned version
	hedgeFrom time.Time
}

type sub struct {
	Attempt
	shard    int
	previous int // number of the shard's attempt before, or noAttempt
	sent     time.Time
	done     bool
}

// noAttempt stands for the number of an attempt where there is none.
const noAttempt = -1

// New returns the state of a query that has sent nothing.
func New(opts Options) *Machine {
	shards := make([]shard, len(opts.Shards))
	for i := range shards {
		shards[i].last = noAttempt
	}
	return &Machine{
		opts:     opts,
		shards:   shards,
		attempts: make([]sub, 0, len(opts.Shards)+len(opts.Shards)/16+1),
		open:     len(opts.Shards),
		tracker:  attempt.New(opts.Deadline, opts.Action),
	}
}

// Status returns how far the query is.
func (m *Machine) Status() Status { return m.status }

// Coverage returns the query's coverage.
func (m *Machine) Coverage() *coverage.Tracker { return m.opts.Coverage }

// Start sends the first attempt for each shard.
func (m *Machine) Start(now time.Time) Actions {
	m.reset()
	for i := range m.shards {
		if m.status == Running && !m.shards[i].settled {
			m.begin(now, i)
		}
	}
	m.settleFinished(now)
	m.schedule(now)
	return m.actions
}

// begin sends the first attempt for a shard to a replica that is not known to
// lack the version.
func (m *Machine) begin(now time.Time, i int) {
	if m.opts.LacksVersion != nil {
		for _, target := range m.opts.Shards[i].Replicas {
			if m.opts.LacksVersion(now, target) {
				m.noteLacking(i, target)
			}
		}
	}
	if m.allLack(i) {
		m.giveUpVersion(now, i, code.VersionNotLoaded)
		return
	}
	m.try(now, i)
}

// Tick sends what is due at now: retries, hedges, and the end of the query.
func (m *Machine) Tick(now time.Time) Actions {
	m.reset()
	if m.status != Running {
		return m.actions
	}
	if m.over(now) {
		m.finish(now)
		return m.actions
	}
	m.retryDue(now)
	m.hedgeDue(now)
	m.settleFinished(now)
	m.schedule(now)
	return m.actions
}

// retryDue sends the retries that are due. They come before hedges, so that a
// shard that failed is not left without budget by one that is merely late.
func (m *Machine) retryDue(now time.Time) {
	for i := range m.shards {
		s := &m.shards[i]
		if !s.settled && !s.retryAt.IsZero() && !now.Before(s.retryAt) {
			m.try(now, i)
		}
	}
}

func (m *Machine) hedgeDue(now time.Time) {
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

// NextTick returns when Tick is due. A hedge is due by the delay known when it
// was scheduled.
func (m *Machine) NextTick() time.Time {
	if m.due.IsZero() {
		return m.end()
	}
	return earlier(m.end(), m.due)
}

// schedule finds when the next retry or hedge is due.
func (m *Machine) schedule(now time.Time) {
	m.due = time.Time{}
	delay, hedge := m.hedgeDelay(now)
	for i := range m.shards {
		s := &m.shards[i]
		if s.settled {
			continue
		}
		if !s.retryAt.IsZero() {
			m.wakeBy(s.retryAt)
		}
		if hedge && s.canHedge() {
			m.wakeBy(s.hedgeFrom.Add(delay))
		}
	}
}

// wakeBy makes a tick due at t at the latest. A tick that comes early does no
// harm, so that a shard that is settled meanwhile need not be looked for.
func (m *Machine) wakeBy(t time.Time) {
	if m.due.IsZero() || t.Before(m.due) {
		m.due = t
	}
}

// end returns when the query is over if nothing more arrives.
func (m *Machine) end() time.Time {
	if m.enough() {
		return earlier(m.opts.SoftDeadline, m.opts.Deadline)
	}
	return m.opts.Deadline
}

func (m *Machine) over(now time.Time) bool { return !now.Before(m.end()) }

func (m *Machine) enough() bool {
	return m.opts.Coverage.Responded() > 0 && m.opts.Coverage.Fraction() >= m.opts.MinCoverage
}

func (m *Machine) hedgeDelay(now time.Time) (time.Duration, bool) {
	if m.opts.Action || m.opts.HedgeDelay == nil {
		return 0, false
	}
	return m.opts.HedgeDelay(now)
}

func (s *shard) canHedge() bool {
	return !s.hedged && s.running > 0
}

func (m *Machine) reset() {
	m.actions.Send = m.actions.Send[:0]
	m.actions.Cancel = m.actions.Cancel[:0]
}

// settleFinished ends the query once every shard is settled.
func (m *Machine) settleFinished(now time.Time) {
	if m.status == Running && m.open == 0 {
		m.finish(now)
	}
}

// finish settles what is open and cancels what still runs.
func (m *Machine) finish(now time.Time) {
	m.status = Finished
	for i := range m.shards {
		s := &m.shards[i]
		if s.settled {
			continue
		}
		reason := s.reason
		if s.running > 0 || reason == "" {
			reason = code.Timeout
		}
		m.miss(i, reason)
	}
	m.cancelRunning(now)
}

func (m *Machine) cancelRunning(now time.Time) {
	for i := range m.attempts {
		m.cancel(now, &m.attempts[i])
	}
}

func (m *Machine) miss(i int, reason code.Code) {
	m.shards[i].settled = true
	m.open--
	m.opts.Coverage.MarkMissing(m.opts.Shards[i].Name, reason)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// RunStatus tells whether the query's work ran: code.RunStatus only if no attempt
// can have run.
func (m *Machine) RunStatus() code.Run { return m.tracker.RunStatus() }

// Attempts returns the number of attempts so far.
func (m *Machine) Attempts() int { return len(m.attempts) }

// Responded notes the answer to an attempt.
func (m *Machine) Responded(now time.Time, id uint32, r *wire.SubResponse) Actions {
	m.reset()
	a := m.running(id)
	if a == nil {
		return m.actions
	}
	if !m.echoes(a, r) {
		r = &wire.SubResponse{Code: code.BadAnswer}
	}
	m.conclude(now, a, r)
	return m.actions
}

// Abort ends the query because its caller has gone.
func (m *Machine) Abort(now time.Time) Actions {
	m.reset()
	if m.status == Running {
		m.finish(now)
	}
	return m.actions
}
