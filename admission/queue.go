package admission

import (
	"container/heap"
	"slices"
	"time"
)

// numPriorities is the number of priorities. Priority 0 is the highest.
const numPriorities = 10

// entry is a queued request.
type entry struct {
	id     uint64
	caller *caller
	search string
	// objective is Request.Objective.
	objective time.Duration
	// startBy is the time before which the request must start to meet its
	// deadline, or in ModeFIFO the time of its arrival. Entries of a callerQueue
	// are ordered by it.
	startBy time.Time
	queue   *callerQueue
	index   int
}

// callerQueue is a heap of the queued requests of one caller, ordered by
// startBy. In ModeFIFO, one callerQueue holds the requests of all callers.
type callerQueue struct {
	priority int
	entries  []*entry
	// virtualTime orders the queues of one priority. It increases with each
	// request served.
	virtualTime int
}

func (cq *callerQueue) Len() int { return len(cq.entries) }
func (cq *callerQueue) Less(i, j int) bool {
	return cq.entries[i].startBy.Before(cq.entries[j].startBy)
}

func (cq *callerQueue) Swap(i, j int) {
	cq.entries[i], cq.entries[j] = cq.entries[j], cq.entries[i]
	cq.entries[i].index = i
	cq.entries[j].index = j
}

// Push implements heap.Interface.
func (cq *callerQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(cq.entries)
	cq.entries = append(cq.entries, e)
}

// Pop implements heap.Interface.
func (cq *callerQueue) Pop() any {
	last := len(cq.entries) - 1
	e := cq.entries[last]
	cq.entries[last] = nil
	cq.entries = cq.entries[:last]
	return e
}

// priorityClass holds the non-empty queues of one priority. The queue with the
// lowest virtual time is served next. A queue that becomes non-empty starts at
// least at the virtual time of the class, so that a caller that rarely has queued
// requests is served before one that always has some, but gains nothing from the
// time during which it had none.
type priorityClass struct {
	active []*callerQueue
	queued int
	// virtualTime is the highest virtual time of a queue when it was served.
	virtualTime int
	// servedAt is the value of queue.served when the class was last served.
	servedAt uint64
}

// queue holds all queued requests.
type queue struct {
	classes [numPriorities]priorityClass
	queued  int
	served  uint64
	// contested counts the requests served while more than one priority could
	// be served.
	contested uint64
}

func (q *queue) push(e *entry) {
	c := &q.classes[e.queue.priority]
	if len(e.queue.entries) == 0 {
		e.queue.virtualTime = c.nextVirtualTime(e.queue)
		c.active = append(c.active, e.queue)
	}
	heap.Push(e.queue, e)
	c.queued++
	q.queued++
}

func (q *queue) remove(e *entry) {
	c := &q.classes[e.queue.priority]
	heap.Remove(e.queue, e.index)
	c.queued--
	q.queued--
	if len(e.queue.entries) == 0 {
		c.active = slices.DeleteFunc(c.active, func(cq *callerQueue) bool { return cq == e.queue })
	}
}

// nextVirtualTime returns the virtual time at which the first request of the
// queue is served.
func (c *priorityClass) nextVirtualTime(cq *callerQueue) int {
	if len(cq.entries) > 0 {
		return cq.virtualTime
	}
	return max(cq.virtualTime, c.virtualTime)
}

// nextQueue returns the queue to serve next among those whose first request may
// run, or nil if there is none.
func (c *priorityClass) nextQueue() *callerQueue {
	var next *callerQueue
	for _, cq := range c.active {
		if cq.entries[0].caller.hasCapacity() && (next == nil || cq.virtualTime < next.virtualTime) {
			next = cq
		}
	}
	return next
}

// next removes and returns the request to admit, or nil if none may run. It
// serves the highest priority that is ready. Of the calls with more than one
// priority ready, each lowPriorityInterval-th serves a lower one instead; the
// lower priorities take turns.
func (q *queue) next(lowPriorityInterval uint64) *entry {
	top, low := q.readyClasses()
	if top < 0 {
		return nil
	}
	chosen := top
	if low >= 0 {
		q.contested++
		if q.contested%lowPriorityInterval == 0 {
			chosen = low
		}
	}
	return q.serve(&q.classes[chosen])
}

// readyClasses returns the index of the highest priority that may be served, and
// among the others that may be served the least recently served. An index of -1
// means none.
func (q *queue) readyClasses() (top, low int) {
	top, low = -1, -1
	for i := range q.classes {
		c := &q.classes[i]
		if c.queued == 0 || c.nextQueue() == nil {
			continue
		}
		switch {
		case top < 0:
			top = i
		case low < 0 || c.servedAt < q.classes[low].servedAt:
			low = i
		}
	}
	return top, low
}

// serve removes and returns the first request of the class's next queue.
func (q *queue) serve(c *priorityClass) *entry { return q.serveFrom(c.nextQueue()) }

// serveFrom removes and returns the first request of a queue.
func (q *queue) serveFrom(cq *callerQueue) *entry {
	c, e := &q.classes[cq.priority], cq.entries[0]
	c.virtualTime = max(c.virtualTime, cq.virtualTime)
	cq.virtualTime = c.virtualTime + 1
	q.remove(e)
	q.served++
	c.servedAt = q.served
	return e
}

// ahead estimates how many queued requests are served before a new request of
// the queue: those before it within its priority, and all of higher priorities,
// limited by the fraction of admissions that lower priorities are guaranteed.
func (q *queue) ahead(cq *callerQueue, lowPriorityInterval uint64) int {
	c := &q.classes[cq.priority]
	inClass := len(cq.entries)
	virtualTime := c.nextVirtualTime(cq) + inClass
	for _, other := range c.active {
		if other != cq && other.virtualTime <= virtualTime {
			inClass += min(len(other.entries), virtualTime-other.virtualTime+1)
		}
	}
	higher := 0
	for i := range cq.priority {
		higher += q.classes[i].queued
	}
	return min(inClass+higher, (inClass+1)*int(lowPriorityInterval))
}

// evictionCandidate returns the request to reject in favour of a new request of
// cq when the queue is full: the last of the longest caller queue of the lowest
// priority that has queued requests. It returns nil if the new request is the
// one to reject.
func (q *queue) evictionCandidate(cq *callerQueue) *entry {
	for i := numPriorities - 1; i >= cq.priority; i-- {
		longest := q.classes[i].longest()
		if longest == nil {
			continue
		}
		if i == cq.priority && len(longest.entries) <= len(cq.entries)+1 {
			return nil
		}
		return longest.last()
	}
	return nil
}

func (c *priorityClass) longest() *callerQueue {
	var longest *callerQueue
	for _, cq := range c.active {
		if longest == nil || len(cq.entries) > len(longest.entries) {
			longest = cq
		}
	}
	return longest
}

// last returns the entry with the latest startBy.
func (cq *callerQueue) last() *entry {
	return slices.MaxFunc(cq.entries, func(a, b *entry) int { return a.startBy.Compare(b.startBy) })
}

// earliest returns the queued request with the earliest startBy, or nil if none
// is queued.
func (q *queue) earliest() *entry {
	var first *entry
	for i := range q.classes {
		for _, cq := range q.classes[i].active {
			if head := cq.entries[0]; first == nil || head.startBy.Before(first.startBy) {
				first = head
			}
		}
	}
	return first
}
