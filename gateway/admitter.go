package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/admission"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"gopkg.in/tomb.v2"
)

// admitter runs the admission controller. Its methods are safe for concurrent
// use. mu is a leaf lock.
type admitter struct {
	tomb tomb.Tomb
	wake chan struct{}

	mu         sync.Mutex
	controller *admission.Controller
	lastID     uint64
	waiters    map[uint64]chan admission.Decision
}

func newAdmitter(opts admission.Options, rng *rand.Rand) *admitter {
	a := &admitter{
		wake:       make(chan struct{}, 1),
		controller: admission.New(opts, rng),
		waiters:    make(map[uint64]chan admission.Decision),
	}
	a.tomb.Go(a.loop)
	return a
}

func (a *admitter) close() {
	a.tomb.Kill(nil)
	_ = a.tomb.Wait()
}

// loop calls the controller's Tick when it is due, which rejects queued requests
// that can no longer be served in time.
func (a *admitter) loop() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-a.tomb.Dying():
			return nil
		case <-a.wake:
		case <-timer.C:
			a.apply(func(now time.Time, c *admission.Controller) []admission.Decision { return c.Tick(now) })
		}
		timer.Reset(a.untilTick())
	}
}

func (a *admitter) untilTick() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.controller.NextTick(); ok {
		return time.Until(at)
	}
	return time.Hour
}

// apply passes an event to the controller and delivers its decisions.
func (a *admitter) apply(event func(now time.Time, c *admission.Controller) []admission.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(event(time.Now(), a.controller))
}

// deliver passes decisions to the requests that wait for them. a.mu must be
// held.
func (a *admitter) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		if w := a.waiters[d.ID]; w != nil {
			delete(a.waiters, d.ID)
			w <- d
		}
	}
}

// admit submits a request and waits until it is admitted or rejected. A nil error
// means that the request may run; finish must then be called with the returned
// ID.
func (a *admitter) admit(caller, search string, deadline time.Time, disconnected <-chan struct{}) (uint64, *Error) {
	a.mu.Lock()
	a.lastID++
	id := a.lastID
	decision, others := a.controller.Submit(time.Now(), admission.Request{
		ID: id, Caller: caller, Search: search, Deadline: deadline,
	})
	a.deliver(others)
	decided := make(chan admission.Decision, 1)
	if decision.Outcome == admission.Queued {
		a.waiters[id] = decided
	}
	a.mu.Unlock()
	if decision.Outcome != admission.Queued {
		return id, rejection(decision)
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case d := <-decided:
		return id, rejection(d)
	case <-disconnected:
		a.cancel(id)
		return id, notRunError(code.Canceled, "the caller has gone")
	}
}

// rejection returns the error for a rejected request, or nil for an admitted one.
func rejection(d admission.Decision) *Error {
	if d.Outcome == admission.Admitted {
		return nil
	}
	return &Error{Code: d.Code, Message: "the request was not admitted", RunStatus: code.NotRun, RetryAfter: d.RetryAfter}
}

func (a *admitter) cancel(id uint64) {
	a.apply(func(now time.Time, c *admission.Controller) []admission.Decision {
		delete(a.waiters, id)
		return c.Cancel(now, id)
	})
}

// finish records the end of an admitted request.
func (a *admitter) finish(id uint64, result admission.Result) {
	a.apply(func(now time.Time, c *admission.Controller) []admission.Decision { return c.Finish(now, id, result) })
}

func (a *admitter) setCallers(now time.Time, callers map[string]folder.Caller) {
	a.apply(func(time.Time, *admission.Controller) []admission.Decision {
		return a.controller.SetCallers(now, callers)
	})
}

func (a *admitter) setGateways(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetGateways(n)
}

// queued returns the number of requests that are queued for admission.
func (a *admitter) queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiters)
}

func (a *admitter) stats() admission.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Stats()
}
