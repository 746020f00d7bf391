package relay

import (
	"slices"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// State is the relay's part of the state page.
type State struct {
	Leaving bool `json:"leaving"`
	// Path is whether targets can be reached, PathSince since when; zero if since the start.
	Path      string        `json:"path"`
	PathSince time.Time     `json:"path_since,omitzero"`
	Mode      string        `json:"permit_mode"`
	Permits   []permit.Info `json:"permits"`
	// Overlaps is the number of permits that were taken from an unreachable relay
	// which the VM list still names.
	Overlaps uint64        `json:"permit_overlaps"`
	Targets  []TargetState `json:"targets"`
}

// TargetState describes one target on the state page.
type TargetState struct {
	Target  string `json:"target"`
	State   string `json:"state"`
	Reason  string `json:"why"`
	Limit   int    `json:"limit"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}

// stateNames maps target states to their names on the state page.
var stateNames = map[wire.TargetState]string{
	wire.TargetUnknown:      "unknown",
	wire.TargetOutOfService: "out",
	wire.TargetCold:         "cold",
	wire.TargetWarm:         "warm",
}

// State returns the relay's state for the state page.
func (r *Relay) State() State {
	var s State
	s.Leaving = r.leaving.leavingByRelay()[r.opts.Self.Name()]
	mode, since := r.path.current()
	s.Path, s.PathSince = mode.String(), since
	r.permits.mu.Lock()
	s.Mode = r.permits.table.Mode(time.Now()).String()
	s.Permits = r.permits.table.Infos()
	s.Overlaps = r.permits.table.Overlaps()
	r.permits.mu.Unlock()
	for _, e := range r.allEntries() {
		s.Targets = append(s.Targets, e.state())
	}
	slices.SortFunc(s.Targets, func(a, b TargetState) int { return strings.Compare(a.Target, b.Target) })
	return s
}

// state returns the target's state for the state page.
func (e *targetEntry) state() TargetState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return TargetState{
		Target:  e.name,
		State:   stateNames[e.machine.State()],
		Reason:  e.machine.Reason(),
		Limit:   e.limit(),
		Running: len(e.running),
		Queued:  len(e.queue),
	}
}
