package standin

import (
	"slices"

	"github.com/juju/errors"
)

// Service describes how long a target works on a request.
type Service struct {
	Median Duration `json:"median"`
	// StragglerFraction is the share of requests, from 0 to 1, that take
	// StragglerFactor times as long.
	StragglerFraction float64 `json:"straggler_share"`
	StragglerFactor   float64 `json:"straggler_factor"`
}

// AnswerFaults gives the shares of answers, from 0 to 1, that are faulty.
type AnswerFaults struct {
	Late       float64  `json:"late"` // sent LateBy after they were ready, whatever the deadline
	LateBy     Duration `json:"late_by"`
	Mismatched float64  `json:"crossed"` // the answer to another request
	Truncated  float64  `json:"short"`   // records are missing
	Malformed  float64  `json:"garbage"` // not JSON
}

// TargetChange changes the targets that it selects. Unset fields change nothing.
type TargetChange struct {
	// Targets, DataCentre, Search and Group select the targets; empty ones
	// select all, and several narrow the selection.
	Targets    []string `json:"targets,omitempty"`
	DataCentre string   `json:"data_centre,omitempty"`
	Search     string   `json:"search,omitempty"`
	Group      string   `json:"group,omitempty"`

	ServiceTime *Service      `json:"service,omitempty"`
	Faults      *AnswerFaults `json:"faults,omitempty"`
	// Drain starts draining: the header at once, refusals after DrainFor.
	// Drain false ends it.
	Drain            *bool    `json:"drain,omitempty"`
	DrainGracePeriod Duration `json:"drain_for,omitempty"`
	Frozen           *bool    `json:"frozen,omitempty"`
	// ClaimWarm makes the health endpoint claim that the target is warm.
	ClaimWarm *bool     `json:"claim_warm,omitempty"`
	HealthLag *Duration `json:"health_lag,omitempty"`
	// PartitionedDataCentres names the data centres whose requests are swallowed.
	PartitionedDataCentres *[]string `json:"cut_off,omitempty"`
	// WarmAfter and WarmTime say when a cold target is warm: each WarmAfter
	// completed requests add one slot, and WarmTime since the boot gives all.
	WarmAfter *int      `json:"warm_after,omitempty"`
	WarmTime  *Duration `json:"warm_time,omitempty"`
	Load      []string  `json:"load,omitempty"` // index versions
	Drop      []string  `json:"drop,omitempty"` // index versions
	// TurnCold starts a new, cold boot; running work goes on.
	TurnCold bool `json:"turn_cold,omitempty"`
	TurnWarm bool `json:"turn_warm,omitempty"`
	// Crash resets the connections and refuses new ones until Return, which
	// starts a new, cold boot.
	Crash   bool `json:"crash,omitempty"`
	Restart bool `json:"return,omitempty"`
	// SilentFraction is the share of the open connections, from 0 to 1, that go
	// silent for good.
	SilentFraction float64 `json:"silence,omitempty"`
}

func (c *TargetChange) selects(t TargetLayout) bool {
	if len(c.Targets) > 0 && !slices.Contains(c.Targets, t.Name) {
		return false
	}
	return (c.DataCentre == "" || c.DataCentre == t.DataCentre) &&
		(c.Search == "" || c.Search == t.Search) &&
		(c.Group == "" || c.Group == t.Group)
}

// apply makes the change to one target.
func (t *Target) apply(c *TargetChange) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applySettings(c)
	for _, version := range c.Load {
		if err := t.load(version); err != nil {
			return err
		}
	}
	for _, version := range c.Drop {
		delete(t.versions, version)
	}
	if c.SilentFraction > 0 {
		t.silence(c.SilentFraction)
	}
	if c.TurnCold {
		t.boot()
	}
	if c.TurnWarm {
		t.warm = true
	}
	if c.Frozen != nil {
		t.gate.set(!*c.Frozen)
	}
	return t.applyRun(c)
}

func (t *Target) applySettings(c *TargetChange) {
	s := &t.settings
	setIf(&s.service, c.ServiceTime)
	setIf(&s.faults, c.Faults)
	setIf(&s.claimWarm, c.ClaimWarm)
	setIf(&s.healthLag, c.HealthLag)
	setIf(&s.cutOff, c.PartitionedDataCentres)
	setIf(&s.warmAfter, c.WarmAfter)
	setIf(&s.warmTime, c.WarmTime)
	if c.Drain != nil {
		t.drain(*c.Drain, c.DrainGracePeriod.Std())
	}
}

func (t *Target) applyRun(c *TargetChange) error {
	if c.Crash {
		t.stopListening()
	}
	if c.Restart {
		if err := t.listenAgain(); err != nil {
			return errors.Annotatef(err, "return %s", t.layout.Name)
		}
	}
	return nil
}

func setIf[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}
