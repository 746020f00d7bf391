package quarantine

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Guard is a State that is safe for concurrent use.
//
// Lock order: mu is acquired with or without other locks held, and no other lock is
// acquired while it is held.
type Guard struct {
	logger *slog.Logger
	// news has a value if something is to be sent at once.
	news chan struct{}
	// watching is Watching of the state.
	watching atomic.Bool

	mu    sync.Mutex
	state *State
}

// NewGuard returns a Guard that knows nothing.
func NewGuard(opts Options, logger *slog.Logger) *Guard {
	return &Guard{logger: logger, news: make(chan struct{}, 1), state: New(opts)}
}

// OrNew returns the guard, or a new one that knows nothing if it is nil.
func (g *Guard) OrNew(logger *slog.Logger) *Guard {
	if g != nil {
		return g
	}
	return NewGuard(Options{StartedAt: time.Now()}, logger)
}

// News has a value when Urgent should be called.
func (g *Guard) News() <-chan struct{} { return g.news }

// Watching reports whether any request is suspected. If not, all attempts may be sent.
func (g *Guard) Watching() bool { return g.watching.Load() }

// update changes the state and logs what has come of it.
func (g *Guard) update(f func(s *State)) {
	g.mu.Lock()
	f(g.state)
	changes := g.state.TakeChanges()
	g.watching.Store(g.state.Watching())
	g.mu.Unlock()
	for i := range changes {
		g.log(&changes[i])
	}
}

func (g *Guard) log(c *Change) {
	message := "request quarantined"
	if c.Released {
		message = "request released from quarantine"
	}
	targets := make([]string, 0, len(c.Ends))
	for i := range c.Ends {
		targets = append(targets, c.Ends[i].Target)
	}
	g.logger.Warn(message, "request", c.Key, "caller", c.Caller, "path", c.Path, "ended_targets", targets,
		"for", age(c.TermMillis), "failed_trials", c.FailedTrials)
}

// notify asks for a call of Urgent.
func (g *Guard) notify() {
	select {
	case g.news <- struct{}{}:
	default: // one is due already
	}
}

// Broke records that the connection to a target ended while the target ran a request.
func (g *Guard) Broke(now time.Time, r *Request, run Run) {
	g.update(func(s *State) { s.Broke(now, r, run) })
}

// Confirm records whether the run of a target has ended.
func (g *Guard) Confirm(now time.Time, target string, incarnation int64, ended bool) {
	if !g.watching.Load() {
		return
	}
	g.update(func(s *State) { s.Confirm(now, target, incarnation, ended) })
	g.notify()
}

// Completed records that a target has completed a request. First is true for the first
// time that a target completed this repeat of it.
func (g *Guard) Completed(now time.Time, r *Request, first bool) {
	if !first && !g.watching.Load() {
		return
	}
	g.update(func(s *State) { s.Completed(now, r) })
}

// Refusal returns how long a request is refused, or zero if it may be sent.
func (g *Guard) Refusal(now time.Time, r *Request) time.Duration {
	if !g.watching.Load() {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Refusal(now, r)
}

// Blocked reports whether a request must not reach a target. A process that sends requests
// on behalf of those that decide on trials goes by it.
func (g *Guard) Blocked(now time.Time, r *Request) bool {
	if !g.watching.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Blocked(now, r)
}

// Check returns what to do with an attempt of a request of which inProgress attempts are in
// progress.
func (g *Guard) Check(now time.Time, r *Request, inProgress int) Verdict {
	if !g.watching.Load() {
		return Send
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Check(now, r, inProgress)
}

// Tick forgets what is too old to count.
func (g *Guard) Tick(now time.Time) {
	if g.watching.Load() {
		g.update(func(s *State) { s.Tick(now) })
	}
}

// Urgent returns the reports to send at once to fanout processes, if any.
func (g *Guard) Urgent(now time.Time, fanout int) []Report {
	if !g.watching.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Urgent(now, fanout)
}

// Regular returns the reports that go with a regular message, or with the first one to a
// process that has just started.
func (g *Guard) Regular(now time.Time, initial bool) []Report {
	most := maxRegularReports
	if initial {
		most = MaxInitialReports
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Regular(now, most)
}

// Receive merges the reports of another process and returns its objections to them.
func (g *Guard) Receive(now time.Time, reports []Report) (objections []Report) {
	if len(reports) == 0 {
		return nil
	}
	g.update(func(s *State) { objections = s.Receive(now, reports) })
	g.notify()
	return objections
}

// SubjectState describes a suspected request to operators.
type SubjectState struct {
	Report
	// Refused is the number of requests that this process has refused.
	Refused int `json:"refused"`
}

// maxStates bounds the requests on the state page.
const maxStates = 50

// States returns the suspected requests for operators, quarantined ones first.
func (g *Guard) States(now time.Time) []SubjectState {
	g.mu.Lock()
	defer g.mu.Unlock()
	subjects := make([]*subject, 0, len(g.state.subjects))
	for _, j := range g.state.subjects {
		subjects = append(subjects, j)
	}
	slices.SortFunc(subjects, func(a, b *subject) int { return lighter(b, a) })
	states := make([]SubjectState, 0, min(len(subjects), maxStates))
	for _, j := range subjects[:min(len(subjects), maxStates)] {
		state := SubjectState{Report: j.report(now), Refused: j.refused}
		state.Caller, state.Path = j.caller, j.path
		states = append(states, state)
	}
	return states
}
