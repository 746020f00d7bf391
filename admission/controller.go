package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
)

// Controller admits the requests of one gateway. It is not locked; the caller
// serialises.
type Controller struct {
	opts     Options
	rng      *rand.Rand
	gateways int
	draining bool
	callers  map[string]*caller
	running  map[uint64]*run
	queued   map[uint64]*entry
	queue    queue
	limit    *limiter
	// fifo is the one lane of ModeFIFO.
	fifo  *lane
	stats Stats
}

// run is a request in progress.
type run struct {
	caller *caller
	search string
}

// Stats counts what a Controller has decided since its creation.
type Stats struct {
	Admitted    uint64
	Rejected    map[code.Code]uint64 `json:"Refused"`
	Limit       int
	Running     int
	Queued      int
	ServiceTime time.Duration
}

// SetCallers replaces the callers' contracts. Waiting requests of callers that
// are gone are refused; those in progress go on.
func (c *Controller) SetCallers(now time.Time, callers map[string]folder.Caller) []Decision {
	for name, contract := range callers {
		known, ok := c.callers[name]
		if !ok {
			known = &caller{lane: &lane{}}
			c.callers[name] = known
		}
		known.Caller = contract
		c.reprioritise(known)
	}
	var actions []Decision
	for _, name := range slices.Sorted(maps.Keys(c.callers)) {
		if _, stays := callers[name]; !stays {
			actions = append(actions, c.removeCaller(c.callers[name])...)
			delete(c.callers, name)
		}
	}
	return append(actions, c.dispatch(now)...)
}

// reprioritise moves a caller's lane to the class of its contract.
func (c *Controller) reprioritise(k *caller) {
	priority := min(max(k.Priority, 0), priorities-1)
	if k.lane.priority == priority {
		return
	}
	waiting := slices.Clone(k.lane.entries)
	for _, e := range waiting {
		c.queue.remove(e)
	}
	k.lane.priority = priority
	k.lane.turn = 0
	for _, e := range waiting {
		c.queue.push(e)
	}
}

func (c *Controller) removeCaller(k *caller) []Decision {
	var actions []Decision
	for _, id := range slices.Sorted(maps.Keys(c.queued)) {
		if c.queued[id].caller == k {
			c.unqueue(c.queued[id])
			actions = append(actions, c.refuse(id, code.Forbidden, 0))
		}
	}
	return actions
}

// SetGateways sets the number of live gateways, over which the tier-wide rates
// are divided.
func (c *Controller) SetGateways(n int) { c.gateways = max(n, 1) }

// Drain refuses all further offers with code.Stopping. Requests that wait or
// run are still served.
func (c *Controller) Drain() { c.draining = true }

// Submit decides about a new request. The first result settles the request or
// queues it; the others settle requests that waited before.
func (c *Controller) Submit(now time.Time, r Request) (Decision, []Decision) {
	k, reason, wait := c.check(now, r)
	if reason != code.OK {
		return c.refuse(r.ID, reason, wait), nil
	}
	e := c.newEntry(now, k, r)
	var others []Decision
	if c.queue.queued >= c.opts.MaxQueue {
		victim := c.queue.victim(e.lane)
		if victim == nil || c.opts.Mode == ModeFIFO {
			return c.refuse(r.ID, code.Overloaded, c.drainTime()), nil
		}
		c.unqueue(victim)
		others = append(others, c.refuse(victim.id, code.Overloaded, c.drainTime()))
	}
	k.take()
	c.queue.push(e)
	c.queued[r.ID] = e
	others = append(others, c.dispatch(now)...)
	for i, a := range others {
		if a.ID == r.ID {
			return a, slices.Delete(others, i, i+1)
		}
	}
	return Decision{ID: r.ID, Outcome: Queued}, others
}

// check returns the request's caller, or the reason to refuse it outright.
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
	if wait, limited := k.limited(now, c.gateways); limited {
		return nil, code.RateLimited, wait
	}
	if !c.inTime(now, k, r) {
		return nil, code.Overloaded, c.drainTime()
	}
	return k, code.OK, 0
}

// inTime tells whether the request can be answered before its deadline, as far
// as is known.
func (c *Controller) inTime(now time.Time, k *caller, r Request) bool {
	if c.opts.Mode == ModeFIFO || c.nearlyIdle() {
		return true
	}
	var wait time.Duration
	if len(c.running) >= c.limit.value() {
		wait = c.limit.wait(c.queue.ahead(k.lane, c.lowEvery())+1, c.limit.value())
	}
	if !k.hasRoom() {
		wait = max(wait, c.limit.wait(len(k.lane.entries)+1, k.Concurrency))
	}
	return now.Add(wait + c.limit.expected(r.Search)).Before(r.Deadline)
}

// nearlyIdle tells whether so little runs that a request is admitted whatever
// the estimates say: without answers they would never be corrected.
func (c *Controller) nearlyIdle() bool {
	return len(c.running) < min(c.opts.MinLimit, c.limit.value())
}

func (c *Controller) newEntry(now time.Time, k *caller, r Request) *entry {
	e := &entry{id: r.ID, caller: k, search: r.Search, lane: k.lane}
	if c.opts.Mode == ModeFIFO {
		e.lane = c.fifo
		e.startBy = now
		return e
	}
	e.startBy = r.Deadline
	if !c.nearlyIdle() {
		e.startBy = r.Deadline.Add(-c.limit.expected(r.Search))
	}
	return e
}

// Done reports the end of an admitted request, as Finish does.
func (c *Controller) Done(now time.Time, id uint64, ok bool, took time.Duration) []Decision {
	return c.Finish(now, id, Result{OK: ok, Latency: took})
}

// Finish reports the end of an admitted request.
func (c *Controller) Finish(now time.Time, id uint64, result Result) []Decision {
	r, known := c.running[id]
	if !known {
		return nil
	}
	full := len(c.running) >= c.limit.value()
	delete(c.running, id)
	r.caller.running--
	c.limit.observe(now, r.search, result, full)
	return c.dispatch(now)
}

// Cancel forgets a request whose caller has gone, waiting or in progress,
// without learning from it.
func (c *Controller) Cancel(now time.Time, id uint64) []Decision {
	if e, waits := c.queued[id]; waits {
		c.unqueue(e)
	}
	if r, runs := c.running[id]; runs {
		delete(c.running, id)
		r.caller.running--
	}
	return c.dispatch(now)
}

// Tick refuses the waiting requests that can't be met any more. It is due at
// NextTick.
func (c *Controller) Tick(now time.Time) []Decision { return c.dispatch(now) }

// NextTick returns when Tick is due; ok is false if nothing waits.
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

// dispatch drops what can't be met and admits what may run.
func (c *Controller) dispatch(now time.Time) []Decision {
	actions := c.dropLate(now)
	for len(c.running) < c.limit.value() {
		e := c.queue.next(c.lowEvery())
		if e == nil {
			break
		}
		delete(c.queued, e.id)
		c.running[e.id] = &run{caller: e.caller, search: e.search}
		e.caller.running++
		c.stats.Admitted++
		actions = append(actions, Decision{ID: e.id, Outcome: Admitted, Code: code.OK})
	}
	return actions
}

func (c *Controller) dropLate(now time.Time) []Decision {
	if c.opts.Mode == ModeFIFO {
		return nil
	}
	var actions []Decision
	for {
		e := c.queue.earliest()
		if e == nil || now.Before(e.startBy) {
			return actions
		}
		c.unqueue(e)
		actions = append(actions, c.refuse(e.id, code.Overloaded, c.drainTime()))
	}
}

func (c *Controller) lowEvery() uint64 {
	return max(uint64(1/c.opts.LowPriorityFraction), 2)
}

func (c *Controller) unqueue(e *entry) {
	c.queue.remove(e)
	delete(c.queued, e.id)
}

// drainTime returns how long the waiting requests take to be served.
func (c *Controller) drainTime() time.Duration {
	return max(c.limit.wait(c.queue.queued+1, c.limit.value()), c.opts.MinRetryAfter)
}

// refuse returns a final refusal. The advice when to come back is spread over
// up to twice the wait, so that refused callers don't return together.
func (c *Controller) refuse(id uint64, reason code.Code, wait time.Duration) Decision {
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

// Stats returns the counters and the state of the limit.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Rejected = maps.Clone(s.Rejected)
	s.Limit = c.limit.value()
	s.Running = len(c.running)
	s.Queued = c.queue.queued
	s.ServiceTime = time.Duration(c.limit.took)
	return s
}
