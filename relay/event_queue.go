package relay

import "sync"

// eventQueue is a queue of events that one goroutine runs in order. It has no bound:
// the events come from ticks, reads of the VM list and control messages of other
// relays, whose rates are limited at their sources.
type eventQueue struct {
	mu       sync.Mutex
	nonEmpty sync.Cond
	events   []func()
	closed   bool
}

func newEventQueue() *eventQueue {
	q := &eventQueue{}
	q.nonEmpty.L = &q.mu
	return q
}

// put appends an event.
func (q *eventQueue) put(event func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.events = append(q.events, event)
	q.nonEmpty.Signal()
}

// run runs events until the queue is closed.
func (q *eventQueue) run() error {
	for {
		event, ok := q.next()
		if !ok {
			return nil
		}
		event()
	}
}

// next waits for an event; ok is false once the queue is closed.
func (q *eventQueue) next() (event func(), ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.events) == 0 && !q.closed {
		q.nonEmpty.Wait()
	}
	if q.closed {
		return nil, false
	}
	event = q.events[0]
	q.events = q.events[1:]
	return event, true
}

// close ends run. Queued events are dropped.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.nonEmpty.Broadcast()
}
