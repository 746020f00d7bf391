package targetapi

import (
	"cmp"
	"time"
)

// Defaults of a Pacer.
const (
	DefaultDials       = 2
	DefaultDialSpacing = 2 * time.Millisecond
)

// PacerOptions configures a Pacer.
type PacerOptions struct {
	// Dials is the largest number of dials in progress; zero means DefaultDials.
	Dials int
	// Spacing is the shortest time between the starts of two dials; zero
	// means DefaultDialSpacing.
	Spacing time.Duration
}

// Pacer decides when a connection may be dialled, so that many connections
// are never opened at once. The caller serialises its methods.
type Pacer struct {
	options    PacerOptions
	inProgress int
	next       time.Time // the earliest start of the next dial
}

// NewPacer returns a pacer with no dial in progress.
func NewPacer(o PacerOptions) *Pacer {
	o.Dials = cmp.Or(o.Dials, DefaultDials)
	o.Spacing = cmp.Or(o.Spacing, DefaultDialSpacing)
	return &Pacer{options: o}
}

// Start tells whether a dial may start now. If so, it counts as in progress
// until Done. If not, wait is the time after which to ask again; zero means
// after the next Done.
func (p *Pacer) Start(now time.Time) (ok bool, wait time.Duration) {
	if p.inProgress >= p.options.Dials {
		return false, 0
	}
	if now.Before(p.next) {
		return false, p.next.Sub(now)
	}
	p.inProgress++
	p.next = now.Add(p.options.Spacing)
	return true, 0
}

// Done ends a dial that Start has allowed.
func (p *Pacer) Done() { p.inProgress-- }
