package admission

import (
	"container/heap"
	"slices"
	"time"
)

// priorities is the number of priorities, of which 0 is the most urgent.
const priorities = 10

// entry is a waiting request.
type entry struct {
	id     uint64
	caller *caller
	search string
	// startBy is the time before which the request must start to be answered in
	// time. It orders a lane.
	startBy time.Time
	lane    *lane
	index   int
}

// lane is the queue of one caller, ordered by startBy.
type lane struct {
	priority int
	entries  []*entry
	// turn is the lane's place in the order of service within its priority; it
	// grows with each request served.
	turn int
}

func (l *lane) Len() int           { return len(l.entries) }
func (l *lane) Less(i, j int) bool { return l.entries[i].startBy.Before(l.entries[j].startBy) }

func (l *lane) Swap(i, j int) {
	l.entries[i], l.entries[j] = l.entries[j], l.entries[i]
	l.entries[i].index = i
	l.entries[j].index = j
}

// Push is part of heap.Interface.
func (l *lane) Push(x any) {
	e := x.(*entry)
	e.index = len(l.entries)
	l.entries = append(l.entries, e)
}

// Pop is part of heap.Interface.
func (l *lane) Pop() any {
	last := len(l.entries) - 1
	e := l.entries[last]
	l.entries[last] = nil
	l.entries = l.entries[:last]
	return e
}

// class holds the lanes of one priority that aren't empty. The lane with the
// lowest turn is served next. A lane that joins takes the class's turn, so that a caller who rarely waits is served before one who
// always does, and gains nothing from the time that it was away.
type class struct {
	active []*lane
	queued int
	// turn is the highest of the lanes served so far.
	turn int
	// servedAt is the count of admissions when the class was last served.
	servedAt uint64
}

// queue holds all waiting requests.
type queue struct {
	classes [priorities]class
	queued  int
	served  uint64
	// contested counts admissions while more than one priority could be served.
	contested uint64
}

func (q *queue) push(e *entry) {
	c := &q.classes[e.lane.priority]
	if len(e.lane.entries) == 0 {
		e.lane.turn = c.nextTurn(e.lane)
		c.active = append(c.active, e.lane)
	}
	heap.Push(e.lane, e)
	c.queued++
	q.queued++
}

func (q *queue) remove(e *entry) {
	c := &q.classes[e.lane.priority]
	heap.Remove(e.lane, e.index)
	c.queued--
	q.queued--
	if len(e.lane.entries) == 0 {
		c.active = slices.DeleteFunc(c.active, func(l *lane) bool { return l == e.lane })
	}
}

// nextTurn returns the turn at which the lane's first request is served.
func (c *class) nextTurn(l *lane) int {
	if len(l.entries) > 0 {
		return l.turn
	}
	return max(l.turn, c.turn)
}

// ready returns the class's next lane whose head may run; nil if there is none.
func (c *class) ready() *lane {
	var next *lane
	for _, l := range c.active {
		if l.entries[0].caller.hasRoom() && (next == nil || l.turn < next.turn) {
			next = l
		}
	}
	return next
}

// next removes and returns the request to admit, or nil if none may run. It is
// the most urgent one, but every lowEvery admissions with more than one
// priority ready it is one of the less urgent, served in turn.
func (q *queue) next(lowEvery uint64) *entry {
	top, low := q.readyClasses()
	if top < 0 {
		return nil
	}
	chosen := top
	if low >= 0 {
		q.contested++
		if q.contested%lowEvery == 0 {
			chosen = low
		}
	}
	return q.serve(&q.classes[chosen])
}

// readyClasses returns the most urgent class that may be served, and of the
// others the one served the longest ago; -1 stands for none.
func (q *queue) readyClasses() (top, low int) {
	top, low = -1, -1
	for i := range q.classes {
		c := &q.classes[i]
		if c.queued == 0 || c.ready() == nil {
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

// serve removes the head of the class's next lane.
func (q *queue) serve(c *class) *entry {
	l := c.ready()
	e := l.entries[0]
	c.turn = max(c.turn, l.turn)
	l.turn = c.turn + 1
	q.remove(e)
	q.served++
	c.servedAt = q.served
	return e
}

// ahead returns about how many waiting requests are served before a new one of
// the lane: the callers' turns within its priority and all that are more
// urgent, but no more than its guaranteed share of admissions lets pass.
func (q *queue) ahead(l *lane, lowEvery uint64) int {
	c := &q.classes[l.priority]
	turns := len(l.entries)
	turn := c.nextTurn(l) + turns
	for _, other := range c.active {
		if other != l && other.turn <= turn {
			turns += min(len(other.entries), turn-other.turn+1)
		}
	}
	urgent := 0
	for i := range l.priority {
		urgent += q.classes[i].queued
	}
	return min(turns+urgent, (turns+1)*int(lowEvery))
}

// victim returns the request to drop in favour of a new one of the lane when
// the queue is full: the last of the longest lane of the least urgent
// priority. It is nil if the new one would be the victim itself.
func (q *queue) victim(l *lane) *entry {
	for i := priorities - 1; i >= l.priority; i-- {
		longest := q.classes[i].longest()
		if longest == nil {
			continue
		}
		if i == l.priority && len(longest.entries) <= len(l.entries)+1 {
			return nil
		}
		return longest.last()
	}
	return nil
}

func (c *class) longest() *lane {
	var longest *lane
	for _, l := range c.active {
		if longest == nil || len(l.entries) > len(longest.entries) {
			longest = l
		}
	}
	return longest
}

// last returns the entry with the latest startBy.
func (l *lane) last() *entry {
	return slices.MaxFunc(l.entries, func(a, b *entry) int { return a.startBy.Compare(b.startBy) })
}

// earliest returns the waiting request that must start first; nil if none waits.
func (q *queue) earliest() *entry {
	var first *entry
	for i := range q.classes {
		for _, l := range q.classes[i].active {
			if head := l.entries[0]; first == nil || head.startBy.Before(first.startBy) {
				first = head
			}
		}
	}
	return first
}
