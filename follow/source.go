// Package follow keeps a catalog.State up to date from a store that can be
// listed and watched.
package follow

import (
	"context"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/juju/errors"
)

// Batch is the result of a call to a Source.
type Batch struct {
	Items []catalog.Item
	// Era is the era of the store that the batch was read in; zero if the store has
	// not told.
	Era uint64
	// Revision is the store revision that the batch reflects. The next watch
	// continues from it.
	Revision uint64
	// Stale is true if the batch may lag behind the store by seconds: what it lists may
	// have been deleted since.
	Stale bool
	// Age is the time since the store confirmed the batch, if it was read from a
	// peer; otherwise zero.
	Age time.Duration
}

// Source reads published items. Its methods return ErrCompacted, ErrRestored,
// ErrFormerEra, ErrTooLarge, ErrUnreadable, a *BusyError, or any other error if the store
// cannot be read.
type Source interface {
	// List reads all items. If stale is true, they may come from a replica of
	// the store that lags by seconds, which costs the store less. The items need
	// not be consistent with each other: Revision is the lowest revision at which
	// any of them was read.
	List(ctx context.Context, stale bool) (Batch, error)
	// Watch returns the changes after the given revision. If there are none, it
	// waits for them for at most the given time.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// ErrCompacted is returned if the source no longer has all changes after the
// requested revision.
var ErrCompacted = errors.New("store history compacted: requested revision no longer available")

// Errors of answers that the store would give again to the same request.
var (
	// ErrTooLarge is returned if an answer exceeds what is read at once.
	ErrTooLarge = errors.New("answer of the store is too large")
	// ErrUnreadable is returned if an answer arrived but can't be decoded.
	ErrUnreadable = errors.New("answer of the store can't be decoded")
)

// unusable reports whether the source answered, but with what can't be used.
func unusable(err error) bool { return errors.Is(err, ErrTooLarge) || errors.Is(err, ErrUnreadable) }

// needsListing reports whether only a listing can bring what a watch did not: the source is
// reachable and would answer the same watch in the same way.
func needsListing(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) || unusable(err)
}

// BusyError is returned if the store rejected a call because of overload.
type BusyError struct {
	// Status is the HTTP status of the response.
	Status int
	// RetryAfter is the delay that the store requested; zero if it did not
	// request one.
	RetryAfter time.Duration
}

// Error returns a message with the HTTP status.
func (e *BusyError) Error() string { return "store rejected the call: HTTP status " + itoa(e.Status) }
