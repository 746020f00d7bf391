package targetapi

import (
	"cmp"
	"time"
)

// Defaults of a Pacer.
const (
	DefaultMaxDials        = 2
	DefaultMinDialInterval = 2 * time.Millisecond
)

// PacerOptions configures a Pacer.
type PacerOptions struct {
	// MaxDials is the largest number of dials in progress; zero means DefaultDials.
	MaxDials int
	// MinInterval is the shortest time between the starts of two dials; zero
	// means DefaultDialSpacing.
	MinInterval time.Duration
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
	o.MaxDials = cmp.Or(o.MaxDials, DefaultMaxDials)
	o.MinInterval = cmp.Or(o.MinInterval, DefaultMinDialInterval)
	return &Pacer{options: o}
}

// TryStart tells whether a dial may start now. If so, it counts as in progress
// until Done. If not, wait is the time after which to ask again; zero means
// after the next Done.
func (p *Pacer) TryStart(now time.Time) (ok bool, wait time.Duration) {
	if p.inProgress >= p.options.MaxDials {
		return false, 0
	}
	if now.Before(p.next) {
		return false, p.next.Sub(now)
	}
	p.inProgress++
	p.next = now.Add(p.options.MinInterval)
	return true, 0
}

// Done ends a dial that Start has allowed.
func (p *Pacer) Done() { p.inProgress-- }
