package follow

import (
	"time"

	"github.com/juju/errors"
)

// Errors of answers from another era of the store than the current one.
var (
	// ErrRestored is returned by a watch if the store was restored from a copy: the
	// changes after the requested revision are not known, and a listing must follow.
	ErrRestored = errors.New("store restored from a copy: its revisions were given out again")
	// ErrFormerEra is returned if an answer is from before the store was restored, or
	// does not say of which era it is.
	ErrFormerEra = errors.New("answer is of a former era of the store")
)

// formerEraLimit is how long a store that answers with a lower era only is taken for one
// that lags. After that, it is taken for one that was restored without its era.
const formerEraLimit = 30 * time.Second

// Eras decides whether an answer is of the current era of the store. It is not safe for
// concurrent use.
type Eras struct {
	current uint64
	known   bool
	// formerSince is when the store began to answer with lower eras only; zero if its
	// last answer had the current era.
	formerSince time.Time
}

// Current returns the current era, and whether one is known.
func (e *Eras) Current() (uint64, bool) { return e.current, e.known }

// CheckWatch returns nil if the changes that were returned belong to the current era,
// ErrRestored if they belong to a later one, and ErrFormerEra otherwise.
func (e *Eras) CheckWatch(now time.Time, era uint64, fromStore bool) error {
	switch {
	case e.known && era == e.current:
		e.confirmed(fromStore)
		return nil
	case !e.known || era > e.current || e.outlasted(now, fromStore):
		return ErrRestored
	}
	return ErrFormerEra
}

// CheckList returns nil if the listing can be used, and makes its era the current one.
// Otherwise it returns ErrFormerEra. Stale is true if the listing may lag.
func (e *Eras) CheckList(now time.Time, era uint64, fromStore, stale bool) error {
	if e.known && era < e.current && (stale || !e.outlasted(now, fromStore)) {
		return ErrFormerEra
	}
	e.current, e.known = era, true
	e.confirmed(fromStore)
	return nil
}

func (e *Eras) confirmed(fromStore bool) {
	if fromStore {
		e.formerSince = time.Time{}
	}
}

// outlasted records an answer with a lower era and reports whether the store has given
// no others for formerEraLimit. Peers may lag for any time.
func (e *Eras) outlasted(now time.Time, fromStore bool) bool {
	if !fromStore {
		return false
	}
	if e.formerSince.IsZero() {
		e.formerSince = now
	}
	return now.Sub(e.formerSince) >= formerEraLimit
}
