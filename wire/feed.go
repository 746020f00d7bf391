package wire

// FeedRequest asks a peer for what it read from the store.
type FeedRequest struct {
	ID uint64 `cbor:"1,keyasint"` // of the asking process
	// List asks for all items; else the changes after a revision are wanted.
	List  bool   `cbor:"2,keyasint,omitempty"`
	After uint64 `cbor:"3,keyasint,omitempty"`
	// WaitMillis is how long the peer may wait for changes.
	WaitMillis uint32 `cbor:"4,keyasint,omitempty"`
}

// FeedResponse answers a FeedAsk.
type FeedResponse struct {
	ID       uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Items is the encoded items; the follow package has their form.
	Items []byte `cbor:"3,keyasint,omitempty"`
	// Compacted is true if the peer no longer has the changes asked for.
	Compacted bool `cbor:"4,keyasint,omitempty"`
	// AgeMillis is the time since the peer last heard from the store.
	AgeMillis uint32 `cbor:"5,keyasint,omitempty"`
}
