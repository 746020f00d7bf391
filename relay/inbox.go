package relay

import "sync"

// inbox holds events for one goroutine that takes them in order. It is
// unbounded: its events come from ticks, reads of the VM list and control
// messages of other relays, whose number is bounded by their own pace.
type inbox struct {
	mu     sync.Mutex
	filled sync.Cond
	events []func()
	closed bool
}

func newInbox() *inbox {
	b := &inbox{}
	b.filled.L = &b.mu
	return b
}

// put adds an event.
func (b *inbox) put(event func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, event)
	b.filled.Signal()
}

// run carries events out until the inbox is closed.
func (b *inbox) run() error {
	for {
		event, ok := b.next()
		if !ok {
			return nil
		}
		event()
	}
}

func (b *inbox) next() (event func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.events) == 0 && !b.closed {
		b.filled.Wait()
	}
	if b.closed {
		return nil, false
	}
	event = b.events[0]
	b.events = b.events[1:]
	return event, true
}

// close ends run; events that wait are dropped.
func (b *inbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.filled.Broadcast()
}
