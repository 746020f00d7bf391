package standin

import (
	"slices"

	"github.com/juju/errors"
)

// Service describes the distribution of a target's service times.
type Service struct {
	Median Duration `json:"median"`
	// StragglerFraction is the fraction of requests, from 0 to 1, that take
	// StragglerFactor times as long.
	StragglerFraction float64 `json:"straggler_share"`
	StragglerFactor   float64 `json:"straggler_factor"`
}

// AnswerFaults holds the fractions of responses, from 0 to 1, that have a fault.
type AnswerFaults struct {
	Late       float64  `json:"late"` // sent LateBy after they are ready, even after the deadline
	LateBy     Duration `json:"late_by"`
	Mismatched float64  `json:"crossed"` // the response to another request
	Truncated  float64  `json:"short"`   // half of the records are missing
	Malformed  float64  `json:"garbage"` // not JSON
}

// TargetChange changes the targets that it selects. A field that is not set leaves
// its setting unchanged.
type TargetChange struct {
	// Targets, DataCentre, Search and Group select the targets that match all
	// of them; an empty one matches every target.
	Targets    []string `json:"targets,omitempty"`
	DataCentre string   `json:"data_centre,omitempty"`
	Search     string   `json:"search,omitempty"`
	Group      string   `json:"group,omitempty"`

	ServiceTime *Service      `json:"service,omitempty"`
	Faults      *AnswerFaults `json:"faults,omitempty"`
	// Drain starts or ends draining. A draining target sets the header of its
	// responses at once, and refuses requests after DrainGracePeriod.
	Drain            *bool    `json:"drain,omitempty"`
	DrainGracePeriod Duration `json:"drain_for,omitempty"`
	Frozen           *bool    `json:"frozen,omitempty"`
	// ClaimWarm makes the health endpoint always report that the target is warm.
	ClaimWarm *bool `json:"claim_warm,omitempty"`
	// HealthLag is the time for which the health endpoint repeats a report.
	HealthLag *Duration `json:"health_lag,omitempty"`
	// PartitionedDataCentres names the data centres whose requests receive no
	// response, as in a network partition.
	PartitionedDataCentres *[]string `json:"cut_off,omitempty"`
	// CutVMs names the VMs whose relays have no path to the target: their requests receive
	// no response or, with ResetVMs, their connections are reset.
	CutVMs   *[]string `json:"cut_vms,omitempty"`
	ResetVMs *[]string `json:"reset_vms,omitempty"`
	// WarmAfter and WarmTime determine when a cold target is warm: every WarmAfter
	// completed requests add one slot, and all slots are available WarmTime after
	// the boot.
	WarmAfter *int      `json:"warm_after,omitempty"`
	WarmTime  *Duration `json:"warm_time,omitempty"`
	Load      []string  `json:"load,omitempty"` // index versions to load
	Drop      []string  `json:"drop,omitempty"` // index versions to unload
	// CrashText makes a target crash when it runs a query with this text; empty for
	// none.
	CrashText *string `json:"crash_text,omitempty"`
	// TurnCold starts a new, cold boot; requests in progress continue.
	TurnCold bool `json:"turn_cold,omitempty"`
	TurnWarm bool `json:"turn_warm,omitempty"`
	// Crash resets the connections and refuses new ones until Restart, which
	// starts a new, cold boot.
	Crash   bool `json:"crash,omitempty"`
	Restart bool `json:"return,omitempty"`
	// SilentFraction is the fraction of the open connections, from 0 to 1, that
	// become silent permanently.
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

// apply applies the change to the target.
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
		t.silenceConns(c.SilentFraction)
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
	return t.applyCrashAndRestart(c)
}

// applySettings applies the settings that are set. t.mu must be held.
func (t *Target) applySettings(c *TargetChange) {
	s := &t.settings
	setIf(&s.serviceTime, c.ServiceTime)
	setIf(&s.faults, c.Faults)
	setIf(&s.claimWarm, c.ClaimWarm)
	setIf(&s.healthLag, c.HealthLag)
	setIf(&s.crashText, c.CrashText)
	setIf(&s.partitionedDataCentres, c.PartitionedDataCentres)
	setIf(&s.cutVMs, c.CutVMs)
	setIf(&s.resetVMs, c.ResetVMs)
	setIf(&s.warmAfter, c.WarmAfter)
	setIf(&s.warmTime, c.WarmTime)
	if c.Drain != nil {
		t.drain(*c.Drain, c.DrainGracePeriod.Std())
	}
}

// applyCrashAndRestart stops or restarts the target if the change says so. t.mu
// must be held.
func (t *Target) applyCrashAndRestart(c *TargetChange) error {
	if c.Crash {
		t.stopListening()
	}
	if c.Restart {
		if err := t.restart(); err != nil {
			return errors.Annotatef(err, "return %s", t.layout.Name)
		}
	}
	return nil
}

// setIf sets field to value unless value is nil.
func setIf[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}
