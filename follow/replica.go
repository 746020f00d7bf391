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

// replicaLog is the number of changes that a Replica keeps for peers.
const replicaLog = 4096

// Replica holds what was read from the store, for peers that ask for it. Its
// methods may be called concurrently.
type Replica struct {
	mu       sync.Mutex
	items    map[string]catalog.Item // by kind and name
	log      []catalog.Item          // changes after floor, oldest first
	floor    uint64
	revision uint64
	asOf     time.Time
	changed  chan struct{} // closed and replaced when something changes
}

// NewReplica returns a Replica that holds nothing.
func NewReplica() *Replica {
	return &Replica{items: map[string]catalog.Item{}, changed: make(chan struct{})}
}

func keyOf(it *catalog.Item) string { return strconv.Itoa(int(it.Kind)) + "/" + it.Name }

// Listed takes a full listing, which a source confirmed at the given time.
func (r *Replica) Listed(asOf time.Time, b Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items = make(map[string]catalog.Item, len(b.Items))
	for _, it := range b.Items {
		r.items[keyOf(&it)] = it
	}
	r.log, r.floor, r.revision, r.asOf = nil, b.Revision, b.Revision, asOf
	r.wake()
}

// Changed takes the answer of a watch.
func (r *Replica) Changed(asOf time.Time, b Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, it := range b.Items {
		if it.Deleted {
			delete(r.items, keyOf(&it))
		} else {
			r.items[keyOf(&it)] = it
		}
	}
	r.log = append(r.log, b.Items...)
	if over := len(r.log) - replicaLog; over > 0 {
		r.floor = r.log[over-1].Revision
		r.log = slices.Delete(r.log, 0, over)
	}
	r.revision, r.asOf = max(r.revision, b.Revision), asOf
	if len(b.Items) > 0 {
		r.wake()
	}
}

func (r *Replica) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Respond answers a peer. It waits for changes as long as the ask allows, unless
// what it has is too old to be of use.
func (r *Replica) Respond(ctx context.Context, ask wire.FeedRequest) (wire.FeedResponse, error) {
	timeout := time.NewTimer(time.Duration(ask.WaitMillis) * time.Millisecond)
	defer timeout.Stop()
	for {
		answer, items, changed := r.look(ask)
		old := time.Duration(answer.AgeMillis)*time.Millisecond > MaxPeerAge
		if ask.List || answer.Compacted || len(items) > 0 || old {
			return seal(answer, items)
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer, items, _ = r.look(ask)
			return seal(answer, items)
		case <-ctx.Done():
			return answer, errors.Trace(ctx.Err())
		}
	}
}

func (r *Replica) look(ask wire.FeedRequest) (wire.FeedResponse, []catalog.Item, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := wire.FeedResponse{ID: ask.ID, Revision: r.revision, AgeMillis: unknownAge}
	if !r.asOf.IsZero() {
		a.AgeMillis = uint32(min(time.Since(r.asOf).Milliseconds(), unknownAge))
	}
	if ask.List {
		return a, slices.Collect(maps.Values(r.items)), r.changed
	}
	if ask.After < r.floor || r.asOf.IsZero() {
		a.Compacted = true
		return a, nil, r.changed
	}
	var items []catalog.Item
	for _, it := range r.log {
		if it.Revision > ask.After {
			items = append(items, it)
		}
	}
	return a, items, r.changed
}

// unknownAge is told, in milliseconds, while nothing was read yet.
const unknownAge = 1 << 31

// feedItem is the form of an item between peers.
type feedItem struct {
	Kind     catalog.Kind    `cbor:"1,keyasint"`
	Name     string          `cbor:"2,keyasint,omitempty"`
	Revision uint64          `cbor:"3,keyasint"`
	Deleted  bool            `cbor:"4,keyasint,omitempty"`
	Config   *catalog.Config `cbor:"5,keyasint,omitempty"`
	Target   *catalog.Target `cbor:"6,keyasint,omitempty"`
	Fault    string          `cbor:"7,keyasint,omitempty"`
}

func seal(a wire.FeedResponse, items []catalog.Item) (wire.FeedResponse, error) {
	if len(items) == 0 {
		return a, nil
	}
	out := make([]feedItem, len(items))
	for i, it := range items {
		out[i] = feedItem{
			Kind: it.Kind, Name: it.Name, Revision: it.Revision, Deleted: it.Deleted,
			Config: it.Config, Target: it.Target,
		}
		if it.Err != nil {
			out[i].Fault = it.Err.Error()
		}
	}
	var err error
	a.Items, err = cbor.Marshal(out)
	return a, errors.Annotate(err, "encode items for a peer")
}

// open decodes the items of a peer's answer.
func open(a *wire.FeedResponse) (Batch, error) {
	b := Batch{Revision: a.Revision}
	if a.Compacted {
		return b, ErrCompacted
	}
	if len(a.Items) == 0 {
		return b, nil
	}
	var items []feedItem
	if err := cbor.Unmarshal(a.Items, &items); err != nil {
		return b, errors.Annotate(err, "decode the items of a peer")
	}
	for _, it := range items {
		item := catalog.Item{
			Kind: it.Kind, Name: it.Name, Revision: it.Revision, Deleted: it.Deleted,
			Config: it.Config, Target: it.Target,
		}
		if it.Fault != "" {
			item.Err = errors.New(it.Fault)
		}
		b.Items = append(b.Items, item)
	}
	return b, nil
}
