package follow

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// feedItem is the encoding of an item in a feed response.
type feedItem struct {
	Kind     catalog.Kind    `cbor:"1,keyasint"`
	Name     string          `cbor:"2,keyasint,omitempty"`
	Revision uint64          `cbor:"3,keyasint"`
	Deleted  bool            `cbor:"4,keyasint,omitempty"`
	Config   *catalog.Config `cbor:"5,keyasint,omitempty"`
	Target   *catalog.Target `cbor:"6,keyasint,omitempty"`
	Err      string          `cbor:"7,keyasint,omitempty"`
	// Schema is that of a configuration. Builds without it have the schema zero.
	Schema uint32 `cbor:"8,keyasint,omitempty"`
}

// ErrFormerSchema is returned if a peer's build knows less of the configuration than this
// one, so that the peer may have dropped a part of it.
const ErrFormerSchema = errors.ConstError("the peer's build does not know all of the configuration")

// schemaOf returns the schema of a configuration item. One without content, which is deleted
// or invalid, is as this build sees it.
func schemaOf(it *catalog.Item) uint32 {
	switch {
	case it.Kind != catalog.KindConfig:
		return 0
	case it.Config == nil:
		return catalog.ConfigSchema
	}
	return it.Config.Schema
}

// encode encodes the items into the response to a request, one response at a time.
func (f *Feed) encode(ctx context.Context, request wire.FeedRequest, response wire.FeedResponse, items []catalog.Item) (wire.FeedResponse, error) {
	if len(items) == 0 {
		return response, nil
	}
	select {
	case f.encoding <- struct{}{}:
		defer func() { <-f.encoding }()
	case <-ctx.Done():
		return response, errors.Trace(ctx.Err())
	}
	limit := wire.MaxFeedItemBytes
	if request.Parts {
		limit = wire.MaxFeedBytes
	}
	encoded, err := encodeUpTo(items, limit)
	if err != nil {
		return response, err
	}
	if len(encoded) < len(items) {
		if encoded = wholeRevisions(encoded, items); request.List || len(encoded) == 0 {
			response.AgeMillis = unknownAge
			return response, nil
		}
		// The state at the earlier revision may be as old as a peer accepts.
		response.Revision = items[len(encoded)-1].Revision
		response.AgeMillis = max(response.AgeMillis, uint32(MaxPeerAge.Milliseconds()))
	}
	response.Items, err = cbor.Marshal(encoded)
	return response, errors.Annotate(err, "encode items for a peer")
}

// wholeRevisions returns the first of the encoded items, without those of the last revision
// if the first item that is not encoded has the same.
func wholeRevisions(encoded []cbor.RawMessage, items []catalog.Item) []cbor.RawMessage {
	n := len(encoded)
	for n > 0 && items[n-1].Revision >= items[len(encoded)].Revision {
		n--
	}
	return encoded[:n]
}

// encodeUpTo returns the encodings of the first items, of at most limit bytes in total.
func encodeUpTo(items []catalog.Item, limit int) ([]cbor.RawMessage, error) {
	var out []cbor.RawMessage
	size := 0
	for i := range items {
		data, err := cbor.Marshal(newFeedItem(&items[i]))
		if err != nil {
			return nil, errors.Annotate(err, "encode an item for a peer")
		}
		if size += len(data); size > limit {
			break
		}
		out = append(out, data)
	}
	return out, nil
}

func newFeedItem(it *catalog.Item) feedItem {
	out := feedItem{
		Kind: it.Kind, Name: it.Name, Revision: it.Revision, Deleted: it.Deleted,
		Config: it.Config, Target: it.Target, Schema: schemaOf(it),
	}
	if it.Err != nil {
		out.Err = it.Err.Error()
	}
	return out
}

// decodeBatch returns the content of a peer's response, or ErrCompacted. It returns
// ErrFormerSchema if the response holds a configuration of a former schema. Targets and
// evacuations of such a peer are complete.
func decodeBatch(response *wire.FeedResponse) (Batch, error) {
	b := Batch{Era: response.Era, Revision: response.Revision}
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
		if it.Kind == catalog.KindConfig && it.Schema < catalog.ConfigSchema {
			return Batch{}, ErrFormerSchema
		}
		item := catalog.Item{
			Kind: it.Kind, Name: it.Name, Revision: it.Revision, Deleted: it.Deleted,
			Config: it.Config, Target: it.Target,
		}
		if item.Config != nil {
			item.Config.Schema = catalog.ConfigSchema // fields of a later schema were dropped when decoding
		}
		if it.Err != "" {
			item.Err = errors.New(it.Err)
		}
		if err := item.Validate(); err != nil {
			item.Config, item.Target, item.Err = nil, nil, errors.Annotate(err, "item of a peer")
		}
		if item.Kind <= catalog.KindEvacuation {
			b.Items = append(b.Items, item)
		}
	}
	return b, nil
}
