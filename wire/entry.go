package wire

// FeedAsk asks a peer for what it read from the store.
type FeedAsk struct {
	ID uint64 `cbor:"1,keyasint"` // of the asking process
	// List asks for all items; else the changes after a revision are wanted.
	List  bool   `cbor:"2,keyasint,omitempty"`
	After uint64 `cbor:"3,keyasint,omitempty"`
	// WaitMillis is how long the peer may wait for changes.
	WaitMillis uint32 `cbor:"4,keyasint,omitempty"`
}

// FeedAnswer answers a FeedAsk.
type FeedAnswer struct {
	ID       uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Items is the encoded items; the follow package has their form.
	Items []byte `cbor:"3,keyasint,omitempty"`
	// HistoryLost is true if the peer no longer has the changes asked for.
	HistoryLost bool `cbor:"4,keyasint,omitempty"`
	// AgeMillis is the time since the peer last heard from the store.
	AgeMillis uint32 `cbor:"5,keyasint,omitempty"`
}

// GroupAsk asks a peer to send a request to some of its shards.
type GroupAsk struct {
	ID     uint64 `cbor:"1,keyasint"` // of the asking process
	Caller string `cbor:"2,keyasint"` // the caller's id of the request
	Method string `cbor:"3,keyasint"`
	URI    string `cbor:"4,keyasint"`
	Host   string `cbor:"5,keyasint"`
	// Header holds names and values in turn.
	Header []string `cbor:"6,keyasint,omitempty"`
	Body   []byte   `cbor:"7,keyasint,omitempty"`
	// Route names the route, for what is known of its attempts.
	Route string `cbor:"8,keyasint"`
	// Shards are the services to ask, in the order of the answers' indexes.
	Shards []string `cbor:"9,keyasint"`
	Top    uint32   `cbor:"10,keyasint"`
	// MaxTargets bounds the targets of each shard.
	MaxTargets uint32 `cbor:"11,keyasint"`
	// Times left when the ask was written, in microseconds: until the answer
	// is due, until attempts are of no use, and until the caller leaves.
	AnswerMicros   uint32 `cbor:"12,keyasint"`
	LateMicros     uint32 `cbor:"13,keyasint"`
	DeadlineMicros uint32 `cbor:"14,keyasint"`
	AimMicros      uint32 `cbor:"15,keyasint"`
}

// GroupAnswer carries the parts that have come in since the last one.
type GroupAnswer struct {
	ID uint64 `cbor:"1,keyasint"`
	// In are the indexes of the shards, Seals the signatures of their parts.
	In    []uint32 `cbor:"2,keyasint,omitempty"`
	Seals []string `cbor:"3,keyasint,omitempty"`
	// Records are the greatest records of these parts, falling.
	Records []byte `cbor:"4,keyasint,omitempty"`
	// Final is true if no more will come.
	Final bool `cbor:"5,keyasint,omitempty"`
}
