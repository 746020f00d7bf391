package follow

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// maxReplicaChanges is the number of changes that a Replica keeps for peers.
const maxReplicaChanges = 4096

// Replica holds what was read from the store and serves it to peers. Its methods
// are safe for concurrent use.
type Replica struct {
	mu        sync.Mutex
	items     map[string]catalog.Item // by kind and name
	changes   []catalog.Item          // changes after compacted, oldest first
	compacted uint64                  // revision up to which changes are no longer kept
	revision  uint64
	asOf      time.Time     // when the store confirmed revision; zero before the first listing
	updated   chan struct{} // closed and replaced on each change
}

// NewReplica returns an empty Replica.
func NewReplica() *Replica {
	return &Replica{items: map[string]catalog.Item{}, updated: make(chan struct{})}
}

func itemKey(it *catalog.Item) string { return strconv.Itoa(int(it.Kind)) + "/" + it.Name }

// Listed replaces the content by a full listing, which the store confirmed at the
// time asOf.
func (r *Replica) Listed(asOf time.Time, b Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items = make(map[string]catalog.Item, len(b.Items))
	for _, it := range b.Items {
		r.items[itemKey(&it)] = it
	}
	r.changes, r.compacted, r.revision, r.asOf = nil, b.Revision, b.Revision, asOf
	r.notify()
}

// Changed applies the result of a watch, which the store confirmed at the time
// asOf.
func (r *Replica) Changed(asOf time.Time, b Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, it := range b.Items {
		if it.Deleted {
			delete(r.items, itemKey(&it))
		} else {
			r.items[itemKey(&it)] = it
		}
	}
	r.changes = append(r.changes, b.Items...)
	if excess := len(r.changes) - maxReplicaChanges; excess > 0 {
		r.compacted = r.changes[excess-1].Revision
		r.changes = slices.Delete(r.changes, 0, excess)
	}
	r.revision, r.asOf = max(r.revision, b.Revision), asOf
	if len(b.Items) > 0 {
		r.notify()
	}
}

// notify wakes all waiting calls of Respond. r.mu must be held.
func (r *Replica) notify() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// Respond returns the response to a peer's request. It waits for changes for as
// long as the request allows, unless the content is older than MaxPeerAge, which
// makes it useless to the peer.
func (r *Replica) Respond(ctx context.Context, request wire.FeedRequest) (wire.FeedResponse, error) {
	timeout := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timeout.Stop()
	for {
		response, items, updated := r.read(request)
		tooOld := time.Duration(response.AgeMillis)*time.Millisecond > MaxPeerAge
		if request.List || response.Compacted || len(items) > 0 || tooOld {
			return encodeItems(response, items)
		}
		select {
		case <-updated:
		case <-timeout.C:
			response, items, _ = r.read(request)
			return encodeItems(response, items)
		case <-ctx.Done():
			return response, errors.Trace(ctx.Err())
		}
	}
}

// read returns the current response to a request without its items, the items to
// add to it, and a channel that is closed on the next change.
func (r *Replica) read(request wire.FeedRequest) (wire.FeedResponse, []catalog.Item, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	response := wire.FeedResponse{ID: request.ID, Revision: r.revision, AgeMillis: unknownAge}
	if !r.asOf.IsZero() {
		response.AgeMillis = uint32(min(time.Since(r.asOf).Milliseconds(), unknownAge))
	}
	if request.List {
		return response, slices.Collect(maps.Values(r.items)), r.updated
	}
	if request.After < r.compacted || r.asOf.IsZero() {
		response.Compacted = true
		return response, nil, r.updated
	}
	var items []catalog.Item
	for _, it := range r.changes {
		if it.Revision > request.After {
			items = append(items, it)
		}
	}
	return response, items, r.updated
}

// unknownAge is the age, in milliseconds, that is sent before the first listing.
const unknownAge = 1 << 31

// feedItem is the encoding of an item in a feed response.
type feedItem struct {
	Kind     catalog.Kind    `cbor:"1,keyasint"`
	Name     string          `cbor:"2,keyasint,omitempty"`
	Revision uint64          `cbor:"3,keyasint"`
	Deleted  bool            `cbor:"4,keyasint,omitempty"`
	Config   *catalog.Config `cbor:"5,keyasint,omitempty"`
	Target   *catalog.Target `cbor:"6,keyasint,omitempty"`
	Err      string          `cbor:"7,keyasint,omitempty"`
}

// encodeItems returns the response with the encoded items.
func encodeItems(response wire.FeedResponse, items []catalog.Item) (wire.FeedResponse, error) {
	if len(items) == 0 {
		return response, nil
	}
	out := make([]feedItem, len(items))
	for i, it := range items {
		out[i] = feedItem{
			Kind: it.Kind, Name: it.Name, Revision: it.Revision, Deleted: it.Deleted,
			Config: it.Config, Target: it.Target,
		}
		if it.Err != nil {
			out[i].Err = it.Err.Error()
		}
	}
	var err error
	response.Items, err = cbor.Marshal(out)
	return response, errors.Annotate(err, "encode items for a peer")
}

// decodeBatch returns the content of a peer's response, or ErrCompacted.
func decodeBatch(response *wire.FeedResponse) (Batch, error) {
	b := Batch{Revision: response.Revision}
	if response.Compacted {
		return b, ErrCompacted
	}
	if len(response.Items) == 0 {
		return b, nil
	}
	var items []feedItem
	if err := cbor.Unmarshal(response.Items, &items); err != nil {
		return b, errors.Annotate(err, "decode items of a peer")
	}
	for _, it := range items {
		item := catalog.Item{
			Kind: it.Kind, Name: it.Name, Revision: it.Revision, Deleted: it.Deleted,
			Config: it.Config, Target: it.Target,
		}
		if it.Err != "" {
			item.Err = errors.New(it.Err)
		}
		b.Items = append(b.Items, item)
	}
	return b, nil
}
