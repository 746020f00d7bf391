package soak

import (
	"net/http"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platform/platformtest"
)

// What targets ask of their callers.
const (
	// namedLimit is the limit that targets name, in requests per second of all processes.
	namedLimit = 10
	// limitWindow, limitFactor and limitSlack are the published rule: in any such span a
	// target gets at most the factor times what its limit allows, plus the slack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// askedPause is the pause that targets ask for, in whole seconds. Later than pauseNotice
	// after it was asked for, a process sends at most pauseSlack requests in it.
	askedPause  = 4 * time.Second
	pauseNotice = 500 * time.Millisecond
	pauseSlack  = 2
	// toldTime is longer than it takes until the processes that use the target have had a
	// response of it.
	toldTime = 2 * time.Second
	// responseTime is longer than a response of the target takes.
	responseTime = 100 * time.Millisecond
)

// nameLimit makes a target name its limit in all responses.
func nameLimit(t *target) {
	t.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		platformtest.NameLimit(w.Header(), namedLimit)
		return false
	})
}

// askForPause makes a target refuse all requests and ask for a pause.
func askForPause(t *target) {
	t.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		platformtest.AskForPause(w.Header(), askedPause)
		return platformtest.Refuse(w, r)
	})
}

// limit makes a target name a limit for a while.
func (inj *injector) limit(_ *vm, t *target, span time.Duration) {
	nameLimit(t)
	time.Sleep(span)
	t.SetHandler(nil)
}

// requestPause makes a target refuse its requests and ask for a pause, for a while.
func (inj *injector) requestPause(_ *vm, t *target, span time.Duration) {
	askForPause(t)
	time.Sleep(span)
	t.SetHandler(nil)
}

// checkPushback checks that the processes do what targets ask of them. It must run while
// there are no faults. The last target says that it is leaving for the rest of the run.
func (inj *injector) checkPushback() {
	c := inj.checker
	limited, paused, leaving := inj.testbed.byID["shard0-a"], inj.testbed.byID["shard0-b"], inj.testbed.byID["single-a"]
	nameLimit(limited)
	time.Sleep(toldTime)
	from := time.Now()
	time.Sleep(limitWindow + toldTime)
	limited.SetHandler(nil)
	c.checkLimit(limited, from, time.Now())

	askForPause(paused)
	asked := time.Now()
	time.Sleep(askedPause)
	paused.SetHandler(nil)
	allowed := pauseSlack * len(inj.testbed.vms)
	if n := arrivals(paused, asked.Add(toldTime+pauseNotice), asked.Add(askedPause)); n > allowed {
		c.addViolation("%s got %d requests in the pause that it asked for, allowed %d", paused.ID, n, allowed)
	}

	leaving.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		platformtest.TellLeaving(w.Header())
		return false
	})
	since := time.Now()
	time.Sleep(toldTime + drainPeriod + limitWindow)
	c.checkLeaving(leaving, since)
}

// checkLeaving checks that a target which has said since the given time that it is leaving
// gets no requests from VMs that it told so longer than drainPeriod ago. A VM is told by the
// response to its first request.
func (c *checker) checkLeaving(t *target, since time.Time) {
	c.mu.Lock()
	first := map[string]time.Time{} // arrival by VM
	late := 0
	for _, a := range t.Arrivals() {
		if a.At.Before(since) {
			continue
		}
		vm := c.sentTo[a.ID]
		if first[vm].IsZero() {
			first[vm] = a.At
		}
		if a.At.Sub(first[vm]) > drainPeriod+responseTime {
			late++
		}
	}
	c.mu.Unlock()
	if late > 0 {
		c.addViolation("%s got %d requests later than %v after it said that it is leaving to the VM that sent them", t.ID, late, drainPeriod)
	}
}

// checkLimit checks the arrivals at a target that names its limit.
func (c *checker) checkLimit(t *target, from, until time.Time) {
	const allowed = limitFactor*namedLimit*float64(limitWindow/time.Second) + limitSlack
	for at := from; !at.Add(limitWindow).After(until); at = at.Add(limitWindow / 20) {
		if n := arrivals(t, at, at.Add(limitWindow)); float64(n) > allowed {
			c.addViolation("%s got %d requests in %v, though it names a limit of %d a second; allowed %v", t.ID, n, limitWindow, namedLimit, allowed)
			return
		}
	}
}

// arrivals returns the number of requests that reached a target within a time.
func arrivals(t *target, from, until time.Time) (n int) {
	for _, a := range t.Arrivals() {
		if !a.At.Before(from) && a.At.Before(until) {
			n++
		}
	}
	return n
}
