package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
)

// Controller decides on the requests of one gateway. It is not safe for
// concurrent use.
type Controller struct {
	opts     Options
	rng      *rand.Rand
	gateways int
	draining bool
	callers  map[string]*caller
	running  map[uint64]*runningRequest
	queued   map[uint64]*entry
	queue    queue
	limit    *limiter
	// fifo is the only callerQueue used in ModeFIFO.
	fifo  *callerQueue
	stats Stats
}

// runningRequest is a request in progress.
type runningRequest struct {
	caller    *caller
	search    string
	objective time.Duration
	// refusing is true once Refused has recorded the request.
	refusing bool
}

// Stats holds the counters of a Controller since its creation, and its state.
type Stats struct {
	Admitted    uint64
	Rejected    map[code.Code]uint64 `json:"Refused"`
	Limit       int
	Running     int
	Queued      int
	ServiceTime time.Duration // moving average of the requests' latencies
	// Guard holds the inputs of the limit in ModeGuard; nil in the other modes.
	Guard *GuardStats `json:",omitempty"`
}

// SetCallers replaces the callers' contracts. Queued requests of removed callers
// are rejected; their requests in progress continue.
func (c *Controller) SetCallers(now time.Time, callers map[string]folder.Caller) []Decision {
	for name, contract := range callers {
		k, ok := c.callers[name]
		if !ok {
			k = &caller{queue: &callerQueue{}}
			c.callers[name] = k
		}
		k.Caller = contract
		c.updatePriority(k)
	}
	var decisions []Decision
	for _, name := range slices.Sorted(maps.Keys(c.callers)) {
		if _, kept := callers[name]; !kept {
			decisions = append(decisions, c.removeCaller(c.callers[name])...)
			delete(c.callers, name)
		}
	}
	return append(decisions, c.dispatch(now)...)
}

// updatePriority moves a caller's queue to the priority of its contract.
func (c *Controller) updatePriority(k *caller) {
	priority := min(max(k.Priority, 0), numPriorities-1)
	if k.queue.priority == priority {
		return
	}
	entries := slices.Clone(k.queue.entries)
	for _, e := range entries {
		c.queue.remove(e)
	}
	k.queue.priority = priority
	k.queue.virtualTime = 0
	for _, e := range entries {
		c.queue.push(e)
	}
}

func (c *Controller) removeCaller(k *caller) []Decision {
	var decisions []Decision
	for _, id := range slices.Sorted(maps.Keys(c.queued)) {
		if c.queued[id].caller == k {
			c.dequeue(c.queued[id])
			decisions = append(decisions, c.reject(id, code.Forbidden, 0))
		}
	}
	return decisions
}

// SetGateways sets the number of live gateways, among which the callers' rates
// are divided.
func (c *Controller) SetGateways(n int) { c.gateways = max(n, 1) }

// Drain makes Submit reject all further requests with code.Stopping. Requests
// that are queued or running are still served.
func (c *Controller) Drain() { c.draining = true }

// Submit decides on a new request. The first result is the decision on this
// request; the others are decisions on requests that were queued.
func (c *Controller) Submit(now time.Time, r Request) (Decision, []Decision) {
	k, reason, wait := c.check(now, r)
	if reason != code.OK {
		c.recordRejected(r.Priority, reason)
		return c.rejectFor(r.ID, reason, wait, TooLate), nil
	}
	e := c.newEntry(now, k, r)
	var others []Decision
	if c.queue.queued >= c.opts.MaxQueue {
		candidate := c.queue.evictionCandidate(e.queue)
		if candidate == nil || c.opts.Mode == ModeFIFO {
			c.forget(k)
			return c.rejectFor(r.ID, code.Overloaded, c.queueTime(), QueueFull), nil
		}
		c.dequeue(candidate)
		c.forget(candidate.caller)
		others = append(others, c.rejectFor(candidate.id, code.Overloaded, c.queueTime(), QueueFull))
	}
	k.takeToken()
	c.queue.push(e)
	c.queued[r.ID] = e
	others = append(others, c.dispatch(now)...)
	for i, d := range others {
		if d.ID == r.ID {
			return d, slices.Delete(others, i, i+1)
		}
	}
	return Decision{ID: r.ID, Outcome: Queued}, others
}

// check returns the request's caller, or the reason to reject the request
// without queueing it and the time after which to retry.
func (c *Controller) check(now time.Time, r Request) (*caller, code.Code, time.Duration) {
	k, known := c.callers[r.Caller]
	if !known && c.opts.AnyCaller && !c.draining {
		k, known = c.addCaller(r), true
	}
	switch {
	case c.draining:
		return nil, code.Stopping, c.opts.MinRetryAfter
	case !known:
		return nil, code.Forbidden, 0
	case !now.Before(r.Deadline):
		c.forget(k)
		return nil, code.DeadlinePassed, 0
	}
	if wait, limited := k.rateLimited(now, c.gateways); limited {
		return nil, code.RateLimited, wait
	}
	if !c.canMeetDeadline(now, k, r) {
		c.forget(k)
		return nil, code.Overloaded, c.queueTime()
	}
	return k, code.OK, 0
}

// addCaller adds the caller of a request that has no contract.
func (c *Controller) addCaller(r Request) *caller {
	k := &caller{queue: &callerQueue{priority: min(max(r.Priority, 0), numPriorities-1)}}
	k.Name = r.Caller
	c.callers[r.Caller] = k
	if g := c.limit.guard; g != nil {
		g.callers[k.queue.priority]++
	}
	return k
}

// forget removes a caller without a contract if none of its requests is queued or
// running. Without it, the state would grow with the number of callers.
func (c *Controller) forget(k *caller) {
	if !c.opts.AnyCaller || k.running > 0 || len(k.queue.entries) > 0 || c.callers[k.Name] != k {
		return
	}
	delete(c.callers, k.Name)
	if g := c.limit.guard; g != nil {
		g.callers[k.queue.priority]--
	}
}

// canMeetDeadline reports whether the request is expected to finish before its
// deadline.
func (c *Controller) canMeetDeadline(now time.Time, k *caller, r Request) bool {
	if c.opts.Mode == ModeFIFO || c.nearlyIdle() || c.limit.unlimited() {
		return true
	}
	var wait time.Duration
	if room, excess, limit := c.hasRoom(k); !room {
		before := c.queue.ahead(k.queue, c.lowPriorityInterval()) + 1
		if c.hasCredit(k.queue.priority) {
			before = len(k.queue.entries) + 1
		}
		wait = c.limit.wait(before+excess, limit)
	}
	if !k.hasCapacity() {
		wait = max(wait, c.limit.wait(len(k.queue.entries)+1, k.Concurrency))
	}
	if !r.StartBy.IsZero() && wait > 0 && now.Add(wait).After(r.StartBy) {
		return false
	}
	return now.Add(wait + c.expected(r)).Before(r.usefulUntil())
}

// maxExpectedFraction bounds the expected latency in ModeGuard to a fraction of the
// objective: a request that starts at once is not rejected because most are late.
const maxExpectedFraction = 0.6

// expected returns a latency that few requests like r exceed.
func (c *Controller) expected(r Request) time.Duration {
	d := c.limit.expected(r.Search)
	if c.opts.Mode == ModeGuard {
		d = min(d, time.Duration(maxExpectedFraction*float64(r.Objective)))
	}
	return d
}

// nearlyIdle reports whether so few requests run that another one is accepted
// whatever its estimated latency. Without finished requests the estimates would
// never be corrected.
func (c *Controller) nearlyIdle() bool {
	return len(c.running) < min(c.opts.MinLimit, c.limit.value())
}

func (c *Controller) newEntry(now time.Time, k *caller, r Request) *entry {
	e := &entry{id: r.ID, caller: k, search: r.Search, objective: r.Objective, queue: k.queue}
	if c.opts.Mode == ModeFIFO {
		e.queue = c.fifo
		e.startBy = now
		return e
	}
	e.startBy = r.Deadline
	if c.nearlyIdle() || c.limit.unlimited() {
		return e
	}
	e.startBy = r.usefulUntil().Add(-c.expected(r))
	if !r.StartBy.IsZero() && r.StartBy.Before(e.startBy) {
		e.startBy = r.StartBy
	}
	return e
}

// Done is like Finish for a request without sub-requests.
func (c *Controller) Done(now time.Time, id uint64, ok bool, latency time.Duration) []Decision {
	return c.Finish(now, id, Result{OK: ok, Latency: latency})
}

// Finish records the end of an admitted request.
func (c *Controller) Finish(now time.Time, id uint64, result Result) []Decision {
	r, known := c.running[id]
	if !known {
		return nil
	}
	saturated := len(c.running) >= c.limit.value()
	c.stopRunning(id, r)
	c.limit.observe(now, r, result, saturated || c.queue.queued > 0)
	decisions := c.dispatch(now)
	c.forget(r.caller)
	return decisions
}

// Cancel removes a queued or running request whose caller has disconnected. The
// request does not affect the adaptive limit.
func (c *Controller) Cancel(now time.Time, id uint64) []Decision {
	if e, queued := c.queued[id]; queued {
		c.dequeue(e)
		c.forget(e.caller)
	}
	if r, running := c.running[id]; running {
		c.stopRunning(id, r)
		c.forget(r.caller)
	}
	return c.dispatch(now)
}

func (c *Controller) stopRunning(id uint64, r *runningRequest) {
	delete(c.running, id)
	r.caller.running--
	if g := c.limit.guard; g != nil {
		g.running[r.caller.queue.priority]--
		if r.refusing {
			g.refusing--
		}
	}
}

// Tick rejects the queued requests that can no longer meet their deadlines. It
// is due at the time that NextTick returns.
func (c *Controller) Tick(now time.Time) []Decision { return c.dispatch(now) }

// NextTick returns the time at which Tick is due; ok is false if it is not due at
// any time.
func (c *Controller) NextTick() (at time.Time, ok bool) {
	if c.opts.Mode == ModeFIFO {
		return time.Time{}, false
	}
	e := c.queue.earliest()
	if e == nil {
		return time.Time{}, false
	}
	return e.startBy, true
}

// dispatch rejects the queued requests that can no longer meet their deadlines
// and admits those that may run.
func (c *Controller) dispatch(now time.Time) []Decision {
	decisions := c.rejectExpired(now)
	for {
		e := c.nextToRun()
		if e == nil {
			break
		}
		delete(c.queued, e.id)
		c.running[e.id] = &runningRequest{caller: e.caller, search: e.search, objective: e.objective}
		e.caller.running++
		if g := c.limit.guard; g != nil {
			g.running[e.queue.priority]++
		}
		c.addCredit(e.queue.priority)
		c.stats.Admitted++
		decisions = append(decisions, Decision{ID: e.id, Outcome: Admitted, Code: code.OK})
	}
	return decisions
}

// nextToRun removes and returns the queued request that may run, or nil if there is none.
func (c *Controller) nextToRun() *entry {
	switch {
	case c.opts.Mode == ModeGuard:
		return c.nextGuarded()
	case len(c.running) < c.limit.value():
		return c.queue.next(c.lowPriorityInterval())
	}
	return nil
}

func (c *Controller) rejectExpired(now time.Time) []Decision {
	if c.opts.Mode == ModeFIFO {
		return nil
	}
	var decisions []Decision
	for {
		e := c.queue.earliest()
		if e == nil || now.Before(e.startBy) {
			return decisions
		}
		c.dequeue(e)
		c.forget(e.caller)
		c.recordRejected(e.queue.priority, code.Overloaded)
		decisions = append(decisions, c.rejectFor(e.id, code.Overloaded, c.queueTime(), Waited))
	}
}

func (c *Controller) lowPriorityInterval() uint64 {
	return max(uint64(1/c.opts.LowPriorityFraction), 2)
}

func (c *Controller) dequeue(e *entry) {
	c.queue.remove(e)
	delete(c.queued, e.id)
}

// queueTime estimates how long it takes to serve the queued requests and one
// more. It returns at least MinRetryAfter.
func (c *Controller) queueTime() time.Duration {
	return max(c.limit.wait(c.queue.queued+1, c.limit.value()), c.opts.MinRetryAfter)
}

// reject returns a rejection. If wait is positive, it is first limited to
// MaxRetryAfter, and RetryAfter is a random time from wait to twice wait, so that
// rejected callers do not retry at the same time.
func (c *Controller) reject(id uint64, reason code.Code, wait time.Duration) Decision {
	if c.stats.Rejected == nil {
		c.stats.Rejected = map[code.Code]uint64{}
	}
	c.stats.Rejected[reason]++
	if wait > 0 {
		wait = min(wait, c.opts.MaxRetryAfter)
		wait += time.Duration(c.rng.Float64() * float64(wait))
	}
	return Decision{ID: id, Outcome: Rejected, Code: reason, RetryAfter: wait}
}

// rejectFor is like reject. The cause is that of a rejection with code.Overloaded.
func (c *Controller) rejectFor(id uint64, reason code.Code, wait time.Duration, cause Cause) Decision {
	d := c.reject(id, reason, wait)
	if reason == code.Overloaded {
		d.Cause = cause
	}
	return d
}

// Overloaded reports whether ModeGuard limits requests, and the mean fraction of
// sub-requests that full targets refused in the last window.
func (c *Controller) Overloaded() (limited bool, refusedFraction float64) {
	if g := c.limit.guard; g != nil {
		return g.engaged, g.refused
	}
	return false, 0
}

// MayBeOverloaded reports whether ModeGuard limits requests, or has seen signs of overload that
// may lead to a limit within a few windows.
func (c *Controller) MayBeOverloaded() bool {
	g := c.limit.guard
	return g != nil && (g.engaged || g.score > 0 || g.refusing >= minGuardSamples)
}

// recordRejected records that a request of a priority was rejected.
func (c *Controller) recordRejected(priority int, reason code.Code) {
	if g := c.limit.guard; g != nil && reason == code.Overloaded && len(g.priorities) > 0 && priority <= g.priorities[0] {
		g.urgentRefused = true
	}
}

// SetMaxLimit sets the largest limit on requests in progress.
func (c *Controller) SetMaxLimit(n int) { c.limit.opts.MaxLimit = max(n, 1) }

// Stats returns the counters and the current state.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Rejected = maps.Clone(s.Rejected)
	s.Limit = c.limit.value()
	s.Running = len(c.running)
	s.Queued = c.queue.queued
	s.ServiceTime = time.Duration(c.limit.meanLatency)
	if g := c.limit.guard; g != nil {
		s.Guard = g.stats()
	}
	return s
}
