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

// admissions drives the admission controller. Its lock is a leaf lock.
type admissions struct {
	tomb tomb.Tomb
	wake chan struct{}

	mu         sync.Mutex
	controller *admission.Controller
	next       uint64
	waiters    map[uint64]chan admission.Decision
}

func newAdmissions(opts admission.Options, rng *rand.Rand) *admissions {
	a := &admissions{
		wake:       make(chan struct{}, 1),
		controller: admission.New(opts, rng),
		waiters:    make(map[uint64]chan admission.Decision),
	}
	a.tomb.Go(a.loop)
	return a
}

func (a *admissions) close() {
	a.tomb.Kill(nil)
	_ = a.tomb.Wait()
}

// loop drops waiting requests when they can no longer be met.
func (a *admissions) loop() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-a.tomb.Dying():
			return nil
		case <-a.wake:
		case <-timer.C:
			a.event(func(now time.Time, c *admission.Controller) []admission.Decision { return c.Tick(now) })
		}
		timer.Reset(a.untilTick())
	}
}

func (a *admissions) untilTick() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.controller.NextTick(); ok {
		return time.Until(at)
	}
	return time.Hour
}

// event applies an event and tells those who wait what was decided.
func (a *admissions) event(apply func(now time.Time, c *admission.Controller) []admission.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(apply(time.Now(), a.controller))
}

// settle tells waiters what was decided. Admissions.mu is held.
func (a *admissions) settle(actions []admission.Decision) {
	for _, action := range actions {
		if w := a.waiters[action.ID]; w != nil {
			delete(a.waiters, action.ID)
			w <- action
		}
	}
}

// admit asks for admission and waits for the decision. A nil error means that
// the request may run; the caller then calls finish with the returned number.
func (a *admissions) admit(caller, search string, deadline time.Time, gone <-chan struct{}) (uint64, *Error) {
	a.mu.Lock()
	a.next++
	id := a.next
	first, others := a.controller.Submit(time.Now(), admission.Request{
		ID: id, Caller: caller, Search: search, Deadline: deadline,
	})
	a.settle(others)
	decided := make(chan admission.Decision, 1)
	if first.Outcome == admission.Queued {
		a.waiters[id] = decided
	}
	a.mu.Unlock()
	if first.Outcome != admission.Queued {
		return id, refused(first)
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case action := <-decided:
		return id, refused(action)
	case <-gone:
		a.withdraw(id)
		return id, refusal(code.Canceled, "the caller has gone")
	}
}

func refused(a admission.Decision) *Error {
	if a.Outcome == admission.Admitted {
		return nil
	}
	return &Error{Code: a.Code, Message: "the request was not admitted", RunStatus: code.NotRun, RetryAfter: a.RetryAfter}
}

func (a *admissions) withdraw(id uint64) {
	a.event(func(now time.Time, c *admission.Controller) []admission.Decision {
		delete(a.waiters, id)
		return c.Cancel(now, id)
	})
}

// finish tells that an admitted request has ended.
func (a *admissions) finish(id uint64, result admission.Result) {
	a.event(func(now time.Time, c *admission.Controller) []admission.Decision { return c.Finish(now, id, result) })
}

func (a *admissions) setCallers(now time.Time, callers map[string]folder.Caller) {
	a.event(func(time.Time, *admission.Controller) []admission.Decision {
		return a.controller.SetCallers(now, callers)
	})
}

func (a *admissions) setGateways(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetGateways(n)
}

// waiting returns the number of requests that wait for admission.
func (a *admissions) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiters)
}

func (a *admissions) stats() admission.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Stats()
}
