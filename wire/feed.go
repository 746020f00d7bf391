package wire

// Limits of the items of a FeedResponse, in bytes.
const (
	// MaxFeedItemBytes is the size up to which they fit into one frame.
	MaxFeedItemBytes = MaxFrameBytes - 64<<10
	// MaxFeedBytes is their size in all parts of a response. A configuration of 1 MB in
	// JSON takes up to 7 MB. The send queue of a link holds all parts.
	MaxFeedBytes = 12 << 20
	// FeedPartBytes is the size of one part. Other messages of the link are sent between
	// the parts.
	FeedPartBytes = 256 << 10
)

// FeedRequest requests the items, or changes of items, that a peer has read from
// the store.
type FeedRequest struct {
	ID uint64 `cbor:"1,keyasint"` // unique within the sending process
	// List requests all items. Without it, the changes after revision After are
	// requested.
	List  bool   `cbor:"2,keyasint,omitempty"`
	After uint64 `cbor:"3,keyasint,omitempty"`
	// WaitMillis is the maximum time, in milliseconds, that the peer waits for
	// changes.
	WaitMillis uint32 `cbor:"4,keyasint,omitempty"`
	// Era is the era of the store that After belongs to; zero if unknown.
	Era uint64 `cbor:"5,keyasint,omitempty"`
	// Parts is true if the sender accepts a response in parts. Builds without it send
	// false and ignore it.
	Parts bool `cbor:"6,keyasint,omitempty"`
}

// FeedResponse is the response to a FeedRequest.
type FeedResponse struct {
	ID uint64 `cbor:"1,keyasint"` // of the request
	// Revision is the store revision that the items reflect.
	Revision uint64 `cbor:"2,keyasint"`
	// Items holds the items as encoded by package follow.
	Items []byte `cbor:"3,keyasint,omitempty"`
	// Compacted is true if the peer no longer has all changes after the requested
	// revision.
	Compacted bool `cbor:"4,keyasint,omitempty"`
	// AgeMillis is the time since the store confirmed the revision to the peer, in
	// milliseconds.
	AgeMillis uint32 `cbor:"5,keyasint,omitempty"`
	// Era is the era of the store that the items were read in; zero if unknown.
	Era uint64 `cbor:"6,keyasint,omitempty"`
	// More is true in all parts of a response but the last one. Each part holds the next
	// bytes of Items, the last one also the other fields.
	More bool `cbor:"7,keyasint,omitempty"`
	// Undecodable is local to a process: the response was received, but only its ID is known.
	Undecodable bool `cbor:"-"`
}

// SplitFeed returns the parts of a response, in the order in which they are sent.
func SplitFeed(response FeedResponse) []FeedResponse {
	var parts []FeedResponse
	for len(response.Items) > FeedPartBytes {
		parts = append(parts, FeedResponse{ID: response.ID, Items: response.Items[:FeedPartBytes], More: true})
		response.Items = response.Items[FeedPartBytes:]
	}
	return append(parts, response)
}
