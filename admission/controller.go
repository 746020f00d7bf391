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
	caller *caller
	search string
}

// Stats holds the counters of a Controller since its creation, and its state.
type Stats struct {
	Admitted    uint64
	Rejected    map[code.Code]uint64 `json:"Refused"`
	Limit       int
	Running     int
	Queued      int
	ServiceTime time.Duration // moving average of the requests' latencies
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
		return c.reject(r.ID, reason, wait), nil
	}
	e := c.newEntry(now, k, r)
	var others []Decision
	if c.queue.queued >= c.opts.MaxQueue {
		candidate := c.queue.evictionCandidate(e.queue)
		if candidate == nil || c.opts.Mode == ModeFIFO {
			return c.reject(r.ID, code.Overloaded, c.queueTime()), nil
		}
		c.dequeue(candidate)
		others = append(others, c.reject(candidate.id, code.Overloaded, c.queueTime()))
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
	switch {
	case c.draining:
		return nil, code.Stopping, c.opts.MinRetryAfter
	case !known:
		return nil, code.Forbidden, 0
	case !now.Before(r.Deadline):
		return nil, code.DeadlinePassed, 0
	}
	if wait, limited := k.rateLimited(now, c.gateways); limited {
		return nil, code.RateLimited, wait
	}
	if !c.canMeetDeadline(now, k, r) {
		return nil, code.Overloaded, c.queueTime()
	}
	return k, code.OK, 0
}

// canMeetDeadline reports whether the request is expected to finish before its
// deadline.
func (c *Controller) canMeetDeadline(now time.Time, k *caller, r Request) bool {
	if c.opts.Mode == ModeFIFO || c.nearlyIdle() {
		return true
	}
	var wait time.Duration
	if len(c.running) >= c.limit.value() {
		wait = c.limit.wait(c.queue.ahead(k.queue, c.lowPriorityInterval())+1, c.limit.value())
	}
	if !k.hasCapacity() {
		wait = max(wait, c.limit.wait(len(k.queue.entries)+1, k.Concurrency))
	}
	return now.Add(wait + c.limit.expected(r.Search)).Before(r.Deadline)
}

// nearlyIdle reports whether so few requests run that another one is accepted
// whatever its estimated latency. Without finished requests the estimates would
// never be corrected.
func (c *Controller) nearlyIdle() bool {
	return len(c.running) < min(c.opts.MinLimit, c.limit.value())
}

func (c *Controller) newEntry(now time.Time, k *caller, r Request) *entry {
	e := &entry{id: r.ID, caller: k, search: r.Search, queue: k.queue}
	if c.opts.Mode == ModeFIFO {
		e.queue = c.fifo
		e.startBy = now
		return e
	}
	e.startBy = r.Deadline
	if !c.nearlyIdle() {
		e.startBy = r.Deadline.Add(-c.limit.expected(r.Search))
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
	delete(c.running, id)
	r.caller.running--
	c.limit.observe(now, r.search, result, saturated)
	return c.dispatch(now)
}

// Cancel removes a queued or running request whose caller has disconnected. The
// request does not affect the adaptive limit.
func (c *Controller) Cancel(now time.Time, id uint64) []Decision {
	if e, queued := c.queued[id]; queued {
		c.dequeue(e)
	}
	if r, running := c.running[id]; running {
		delete(c.running, id)
		r.caller.running--
	}
	return c.dispatch(now)
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
	for len(c.running) < c.limit.value() {
		e := c.queue.next(c.lowPriorityInterval())
		if e == nil {
			break
		}
		delete(c.queued, e.id)
		c.running[e.id] = &runningRequest{caller: e.caller, search: e.search}
		e.caller.running++
		c.stats.Admitted++
		decisions = append(decisions, Decision{ID: e.id, Outcome: Admitted, Code: code.OK})
	}
	return decisions
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
		decisions = append(decisions, c.reject(e.id, code.Overloaded, c.queueTime()))
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

// Stats returns the counters and the current state.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Rejected = maps.Clone(s.Rejected)
	s.Limit = c.limit.value()
	s.Running = len(c.running)
	s.Queued = c.queue.queued
	s.ServiceTime = time.Duration(c.limit.meanLatency)
	return s
}
