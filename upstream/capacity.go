package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
)

// Bounds of what is told of learned capacities.
const (
	// maxCapacities is the number of targets in Pool.Capacities, so that the state page of a
	// process with thousands of targets stays small.
	maxCapacities = 100
	// A change of a target's learned capacity is logged once the capacity is at most
	// reducedBelow, or again at least recoveredAbove, for capacityHold. Noise of targets is
	// shorter.
	reducedBelow   = 0.5
	recoveredAbove = 0.8
	capacityHold   = 2 * time.Second
	// capacityInterval is the interval at which changes are looked for.
	capacityInterval = 500 * time.Millisecond
	// At most capacityLines such lines are logged in capacityLineInterval.
	capacityLines        = 10
	capacityLineInterval = 10 * time.Second
)

// capacityChange follows the learned capacity of a target for the log.
type capacityChange struct {
	reduced bool
	since   time.Time // when the capacity first was beyond the other bound; zero if it is not
}

// capacityLog bounds the log lines of all targets.
type capacityLog struct {
	checkedAt     time.Time
	intervalStart time.Time
	lines         int
	suppressed    int
}

// group returns what the targets of a service have in common. mu must be held.
func (p *Pool) group(service string) *balance.Group {
	if svc := p.services[service]; svc != nil {
		return svc.group
	}
	return &balance.Group{}
}

// Capacity is what was learned of a target, for the state page.
type Capacity struct {
	Target       string  `json:"target"`
	Service      string  `json:"service"`
	Concurrency  float64 `json:"concurrency"`
	Slots        int     `json:"slots"`
	RelativeTime float64 `json:"relative_time"`
	// PauseMs, PausePeriodMs and PauseLeftMs are the usual length of a pause, the time from one to the
	// next, and the expected rest of the present one.
	PauseMs       int64 `json:"pause_ms"`
	PausePeriodMs int64 `json:"pause_period_ms"`
	PauseLeftMs   int64 `json:"pause_left_ms"`
	InPause       bool  `json:"in_pause"`
	Samples       int   `json:"samples"`
	capacity      float64
}

// Capacities returns what was learned of the targets whose learned capacity differs most from
// what their entries and siblings let expect.
func (p *Pool) Capacities(now time.Time) []Capacity {
	p.mu.Lock()
	all := make([]Capacity, 0, len(p.targets))
	for _, t := range p.targets {
		l := t.stats.Learned(now)
		if l.Samples == 0 {
			continue
		}
		all = append(all, Capacity{
			Target: t.ID, Service: t.Service, Concurrency: l.Concurrency, Slots: l.Slots, RelativeTime: l.RelativeTime,
			PauseMs: l.Pause.Milliseconds(), PausePeriodMs: l.PausePeriod.Milliseconds(), PauseLeftMs: l.PauseLeft.Milliseconds(),
			InPause: l.PauseLeft > 0, Samples: l.Samples, capacity: l.Capacity(),
		})
	}
	p.mu.Unlock()
	slices.SortFunc(all, func(a, b Capacity) int {
		return cmp.Or(cmp.Compare(a.capacity, b.capacity), cmp.Compare(a.Target, b.Target))
	})
	return all[:min(len(all), maxCapacities)]
}

// CapacityStats counts the targets by what was learned of them.
type CapacityStats struct {
	// Learned is the number of targets with attempts to learn from.
	Learned int `json:"learned"`
	// Reduced is the number of targets whose learned capacity is half or less.
	Reduced int `json:"reduced"`
	InPause int `json:"in_pause"`
}

// CapacityStats returns the current numbers.
func (p *Pool) CapacityStats(now time.Time) CapacityStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	var s CapacityStats
	for _, t := range p.targets {
		l := t.stats.Learned(now)
		if l.Samples > 0 {
			s.Learned++
		}
		if l.Capacity() <= reducedBelow {
			s.Reduced++
		}
		if l.PauseLeft > 0 {
			s.InPause++
		}
	}
	return s
}

// capacityEvents returns the changes of learned capacities that are to be logged. mu must be
// held.
func (p *Pool) capacityEvents(now time.Time) []Event {
	if now.Sub(p.capacityLog.checkedAt) < capacityInterval {
		return nil
	}
	p.capacityLog.checkedAt = now
	var events []Event
	for _, t := range p.targets {
		l := t.stats.Learned(now)
		if !t.capacity.update(now, l.Capacity()) {
			continue
		}
		message := "learned capacity of target recovered"
		if t.capacity.reduced {
			message = "learned capacity of target fell to half or less"
		}
		if !p.capacityLog.allow(now) {
			continue
		}
		events = append(events, Event{Message: message, TargetID: t.ID, Service: t.Service, Details: []any{
			"concurrency", l.Concurrency, "slots", l.Slots, "relative_time", l.RelativeTime,
			"pause", l.Pause, "samples", l.Samples, "suppressed", p.capacityLog.suppressed,
		}})
		p.capacityLog.suppressed = 0
	}
	return events
}

// update reports whether the capacity has become reduced, or has recovered.
func (c *capacityChange) update(now time.Time, capacity float64) (changed bool) {
	if c.reduced && capacity < recoveredAbove || !c.reduced && capacity > reducedBelow {
		c.since = time.Time{}
		return false
	}
	if c.since.IsZero() {
		c.since = now
	}
	if now.Sub(c.since) < capacityHold {
		return false
	}
	c.reduced, c.since = !c.reduced, time.Time{}
	return true
}

// allow reports whether another line may be logged, and counts those that may not.
func (l *capacityLog) allow(now time.Time) bool {
	if now.Sub(l.intervalStart) >= capacityLineInterval {
		l.intervalStart, l.lines = now, 0
	}
	if l.lines >= capacityLines {
		l.suppressed++
		return false
	}
	l.lines++
	return true
}
