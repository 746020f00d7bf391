package soak

import (
	"slices"
	"strings"
	"time"
)

// retryWindow is the span over which the retry budget is published.
const retryWindow = 10 * time.Second

// checkBudgets checks what targets got beyond the first arrival of each request: in any
// window at most retryRatio of the requests for their service plus the slack, and for
// each probe no more targets that run it than its route allows.
func (c *checker) checkBudgets(slack int) {
	requests := c.requestTimes()
	for service, extras := range c.extraArrivals() {
		c.checkWindows(service, extras, requests[service], slack)
	}
	overrun := 0
	for _, targets := range c.probeTargets() {
		if len(targets) > probeMaxAttempts {
			overrun++
		}
	}
	if overrun > 0 {
		c.addViolation("%d probes ran on more targets than the %d that their route allows", overrun, probeMaxAttempts)
	}
}

// extraArrivals returns by service the times of all arrivals but the first of each request.
func (c *checker) extraArrivals() map[string][]time.Time {
	type request struct{ service, id string }
	arrivals := map[request][]time.Time{}
	for _, t := range c.testbed.targets {
		for _, a := range t.Arrivals() {
			key := request{t.Service, a.ID}
			arrivals[key] = append(arrivals[key], a.At)
		}
	}
	extras := map[string][]time.Time{}
	for key, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
		extras[key.service] = append(extras[key.service], times[1:]...)
	}
	return extras
}

// requestTimes returns by service when callers sent the requests for it.
func (c *checker) requestTimes() map[string][]time.Time {
	times := map[string][]time.Time{}
	for _, t := range c.testbed.targets {
		times[t.Service] = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, path := range c.sent {
		for service := range times {
			if serves(service, path) {
				times[service] = append(times[service], c.sentAt[id])
			}
		}
	}
	return times
}

// probeTargets returns by probe the IDs of the targets that ran it.
func (c *checker) probeTargets() map[string]map[string]bool {
	ran := map[string]map[string]bool{}
	for _, t := range c.testbed.targets {
		for _, e := range t.Executions() {
			if !strings.HasPrefix(e.URI, "/probe/") {
				continue
			}
			if ran[e.ID] == nil {
				ran[e.ID] = map[string]bool{}
			}
			ran[e.ID][t.ID] = true
		}
	}
	return ran
}

// serves reports whether requests for the path go to the service. Probes count for both
// of their services, of which the version in force names one.
func serves(service, path string) bool {
	switch {
	case strings.HasPrefix(path, "/all/"):
		return strings.HasPrefix(service, "shard")
	case strings.HasPrefix(path, "/probe/"):
		return strings.HasPrefix(service, "probe")
	}
	return service == "single"
}

// checkWindows checks the extra arrivals at a service in each window that ends with one.
// The requests are those of that window, of the window before it or of the one that ended
// half a window earlier, whichever has most.
func (c *checker) checkWindows(service string, extras, requests []time.Time, slack int) {
	slices.SortFunc(extras, time.Time.Compare)
	slices.SortFunc(requests, time.Time.Compare)
	worst, worstLimit := 0, 0.0
	for _, end := range extras {
		basis := max(inWindow(requests, end), inWindow(requests, end.Add(-retryWindow/2)), inWindow(requests, end.Add(-retryWindow)))
		limit := retryRatio*float64(basis) + float64(slack)
		if n := inWindow(extras, end); float64(n) > limit && float64(n)-limit > float64(worst)-worstLimit {
			worst, worstLimit = n, limit
		}
	}
	if worst > 0 {
		c.addViolation("%s got %d arrivals beyond the first of their request within %v, allowed %.0f", service, worst, retryWindow, worstLimit)
	}
}

// inWindow returns the number of the sorted times in the window that ends at end.
func inWindow(times []time.Time, end time.Time) int {
	after := func(t time.Time) int {
		i, _ := slices.BinarySearchFunc(times, t, func(a, b time.Time) int {
			if a.After(b) {
				return 1
			}
			return -1
		})
		return i
	}
	return after(end) - after(end.Add(-retryWindow))
}
