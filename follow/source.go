// Package follow keeps a catalog.State up to date from a store that can be
// listed and watched.
package follow

import (
	"context"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/juju/errors"
)

// Batch is what a source answered.
type Batch struct {
	Items []catalog.Item
	// Revision is the store's revision that the answer reflects; a watch goes
	// on from there.
	Revision uint64
	// Age is how long ago the store confirmed the answer, if a peer passed it on.
	Age time.Duration
}

// Source reads published items. Its errors are ErrHistoryLost, a *BusyError or
// others, which tell that the store could not be read.
type Source interface {
	// List reads all items. With stale it may be answered from a replica that
	// is seconds behind, which costs the store less. The items are not a
	// snapshot: Revision is the lowest at which any part of them was read.
	List(ctx context.Context, stale bool) (Batch, error)
	// Watch waits until something changed after a revision, at most for wait,
	// and returns the changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// ErrCompacted tells that the store no longer has the changes asked for.
var ErrCompacted = errors.New("the store's history no longer reaches back to the revision")

// BusyError tells that the store refused a call because it has too many.
type BusyError struct {
	// Status is the HTTP status of the refusal.
	Status int
	// RetryAfter is how long the store asks to wait; zero if it doesn't say.
	RetryAfter time.Duration
}

// Error names the status.
func (e *BusyError) Error() string { return "the store refused the call with status " + itoa(e.Status) }
