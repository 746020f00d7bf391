package follow

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// defaultHistoryBytes is the memory for changes that a Feed keeps unless SetLimit is called.
const defaultHistoryBytes = 16 << 20

// Feed holds what was read from the store and serves it to peers. Its methods
// are safe for concurrent use.
type Feed struct {
	// encoding holds a value while a response is being encoded, which takes several times
	// the memory of the response.
	encoding chan struct{}

	mu       sync.Mutex
	items    map[string]catalog.Item // by kind and name
	history  *history                // changes since the last listing
	revision uint64
	era      uint64        // of the store that the revisions belong to
	asOf     time.Time     // when the store confirmed revision; zero before the first listing
	updated  chan struct{} // closed and replaced on each change
}

// NewFeed returns an empty Feed.
func NewFeed() *Feed {
	return &Feed{
		encoding: make(chan struct{}, 1), items: map[string]catalog.Item{},
		history: newHistory(0, defaultHistoryBytes), updated: make(chan struct{}),
	}
}

// SetLimit bounds the memory of the changes that are kept for peers, in bytes. A peer that
// requests earlier ones is told to list.
func (f *Feed) SetLimit(maxBytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history.setLimit(int(maxBytes))
}

func itemKey(it *catalog.Item) string { return strconv.Itoa(int(it.Kind)) + "/" + it.Name }

// Listed replaces the content with a full listing, which the store confirmed at the
// time asOf.
func (f *Feed) Listed(asOf time.Time, b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.items
	f.items = make(map[string]catalog.Item, len(b.Items))
	for _, it := range b.Items {
		f.items[itemKey(&it)] = it
	}
	if b.Era != f.era {
		f.keepConfig(before, b.Revision)
	}
	f.history = newHistory(b.Revision, f.history.maxBytes)
	f.revision, f.era, f.asOf = b.Revision, b.Era, asOf
	f.notify()
}

// keepConfig puts the configuration of a former era back if the restored store has an
// older one or none: a process that starts now must not use a version that was replaced.
func (f *Feed) keepConfig(before map[string]catalog.Item, revision uint64) {
	for key, it := range before {
		if it.Kind != catalog.KindConfig || it.Config == nil {
			continue
		}
		if restored, ok := f.items[key]; !ok || restored.Config == nil || restored.Config.Version < it.Config.Version {
			it.Revision = revision
			f.items[key] = it
		}
	}
}

// Changed applies the result of a watch, which the store confirmed at the time
// asOf.
func (f *Feed) Changed(asOf time.Time, b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, it := range b.Items {
		key := itemKey(&it)
		kept, known := f.items[key]
		switch {
		case known && keepsConfig(&kept, &it):
		case it.Deleted:
			delete(f.items, key)
		default:
			f.items[key] = it
		}
		f.history.add(it)
	}
	f.revision, f.asOf = max(f.revision, b.Revision), asOf
	if len(b.Items) > 0 {
		f.notify()
	}
}

// keepsConfig reports whether a configuration stays in force although it has changed in the
// store: it was deleted or is unreadable, or its version is lower. A peer that lists because
// changes are no longer kept gets the same version as one that follows.
func keepsConfig(kept, it *catalog.Item) bool {
	return it.Kind == catalog.KindConfig && kept.Config != nil && (!it.HasContent() || !it.Replaces(kept))
}

// notify wakes all waiting calls of Respond. f.mu must be held.
func (f *Feed) notify() {
	close(f.updated)
	f.updated = make(chan struct{})
}

// Respond returns the response to a peer's request. It waits for changes for as
// long as the request allows, unless the content is older than MaxPeerAge: the peer
// would reject it.
//
// The items of a response fit into a frame, or into wire.MaxFeedBytes if the peer accepts
// parts. Changes that do not fit are returned up to an earlier revision, from which the peer
// continues. If that is not possible, the response has no items and an age that the peer
// rejects, so that it reads from elsewhere.
func (f *Feed) Respond(ctx context.Context, request wire.FeedRequest) (wire.FeedResponse, error) {
	timeout := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timeout.Stop()
	for {
		response, items, updated := f.read(request)
		tooOld := time.Duration(response.AgeMillis)*time.Millisecond > MaxPeerAge
		if request.List || response.Compacted || len(items) > 0 || tooOld {
			return f.encode(ctx, request, response, items)
		}
		select {
		case <-updated:
		case <-timeout.C:
			response, items, _ = f.read(request)
			return f.encode(ctx, request, response, items)
		case <-ctx.Done():
			return response, errors.Trace(ctx.Err())
		}
	}
}

// read returns the current response to a request without its items, the items to
// add to it, and a channel that is closed on the next change.
func (f *Feed) read(request wire.FeedRequest) (wire.FeedResponse, []catalog.Item, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	response := wire.FeedResponse{ID: request.ID, Era: f.era, Revision: f.revision, AgeMillis: unknownAge}
	if !f.asOf.IsZero() {
		response.AgeMillis = uint32(min(time.Since(f.asOf).Milliseconds(), unknownAge))
	}
	if request.List {
		return response, slices.Collect(maps.Values(f.items)), f.updated
	}
	otherEra := request.Era != 0 && request.Era != f.era
	if request.After < f.history.compacted || f.asOf.IsZero() || otherEra {
		response.Compacted = true
		return response, nil, f.updated
	}
	return response, f.history.after(request.After), f.updated
}

// unknownAge is the age, in milliseconds, that is sent before the first listing.
const unknownAge = 1 << 31
