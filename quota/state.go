package quota

import (
	"cmp"
	"slices"
	"time"
)

// State is what operators see of a process.
type State struct {
	FleetSize int `json:"fleet_size"`
	// Isolated is true if no message of a peer has arrived for seconds.
	Isolated      bool                `json:"isolated"`
	Counts        Counts              `json:"counts"`
	Accounts      int                 `json:"organisations_used"`
	Limited       int                 `json:"limited"`
	Coordinated   int                 `json:"coordinated"`
	Organisations []OrganisationState `json:"organisations"`
}

// OrganisationState is the state of one organisation at a process.
type OrganisationState struct {
	Name        string  `json:"name"`
	Rate        float64 `json:"rate"`
	Burst       float64 `json:"burst"`
	Mode        string  `json:"mode"`
	Window      uint64  `json:"admitted_in_window"`
	Refused     uint64  `json:"refused"`
	Fallbacks   uint64  `json:"admitted_without_answer"`
	Free        float64 `json:"free"`
	Waiting     int     `json:"waiting"`
	Coordinator string  `json:"coordinator,omitempty"`
	Deputy      string  `json:"deputy,omitempty"`
	// Level and Users are those of the bucket if it is kept here.
	Level *float64 `json:"level,omitempty"`
	Users int      `json:"users,omitempty"`
}

// State returns the state, with up to n of the organisations that were used most in the last
// window.
func (l *Limiter) State(now time.Time, n int) State {
	s := State{FleetSize: l.fleet.size, Isolated: l.isolated, Counts: l.counts, Accounts: len(l.accounts), Coordinated: len(l.coord.ledgers)}
	type used struct {
		a      *account
		window uint64
	}
	all := make([]used, 0, len(l.accounts))
	for _, a := range l.accounts {
		if a.limited {
			s.Limited++
		}
		if a.name != "" {
			all = append(all, used{a, l.used(now, a)})
		}
	}
	slices.SortFunc(all, func(a, b used) int {
		if c := cmp.Compare(b.window, a.window); c != 0 {
			return c
		}
		return cmp.Compare(a.a.name, b.a.name)
	})
	s.Organisations = make([]OrganisationState, 0, min(len(all), n))
	for _, u := range all[:min(len(all), n)] {
		s.Organisations = append(s.Organisations, l.organisationState(now, u.a, u.window))
	}
	return s
}

// Organisation returns the state of one organisation. It returns false if it has not been used
// at this process of late.
func (l *Limiter) Organisation(now time.Time, name string) (OrganisationState, bool) {
	a := l.accounts[IDOf(name)]
	if a == nil {
		return OrganisationState{}, false
	}
	return l.organisationState(now, a, l.used(now, a)), true
}

func (l *Limiter) organisationState(now time.Time, a *account, window uint64) OrganisationState {
	o := OrganisationState{
		Name: a.name, Rate: a.limit.Rate, Burst: a.limit.Burst, Mode: "open", Window: window,
		Refused: a.refusedTotal, Fallbacks: a.fallbacks, Free: a.free, Waiting: len(a.waiting),
	}
	if a.limited {
		o.Mode = "limited"
	}
	if a.ask != nil {
		o.Waiting += len(a.ask.tickets)
	}
	for i, c := range l.reachable(now, a, inCharge) {
		if i == 0 {
			o.Coordinator = c.name
		} else {
			o.Deputy = c.name
		}
	}
	if ledger := l.coord.ledgers[a.id]; ledger != nil {
		level := ledger.level
		o.Level, o.Users = &level, len(ledger.users)
	}
	return o
}
