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
	// MaxDials is the maximum number of dials in progress; zero means
	// DefaultMaxDials.
	MaxDials int
	// MinInterval is the minimum time between the starts of two dials; zero
	// means DefaultMinDialInterval.
	MinInterval time.Duration
}

// Pacer limits the rate and the concurrency of dials, so that a client never
// opens many connections at once. It is not safe for concurrent use.
type Pacer struct {
	options    PacerOptions
	inProgress int
	next       time.Time // earliest start of the next dial
}

// NewPacer returns a pacer with no dial in progress.
func NewPacer(o PacerOptions) *Pacer {
	o.MaxDials = cmp.Or(o.MaxDials, DefaultMaxDials)
	o.MinInterval = cmp.Or(o.MinInterval, DefaultMinDialInterval)
	return &Pacer{options: o}
}

// TryStart reports whether a dial may start now. If so, the dial is in progress
// until Done. If not, wait is the time after which to try again; zero means after
// the next Done.
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

// Done ends a dial that TryStart has allowed.
func (p *Pacer) Done() { p.inProgress-- }
