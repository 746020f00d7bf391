package wire

import "github.com/goldcrestmux/goldcrestmux/quarantine"

// Query hands a caller's request to a peer, which serves it in place of the sender.
type Query struct {
	ID uint64 `cbor:"1,keyasint"` // unique within the sending process
	// Version is the version of the configuration that the peer must have in force. With
	// CutOff set it may have a higher one.
	Version uint64 `cbor:"2,keyasint"`
	// RequestID, Method, URI, Host, Header and Body are as the caller sent them, without
	// hop-by-hop headers.
	RequestID string              `cbor:"3,keyasint"`
	Method    string              `cbor:"4,keyasint"`
	URI       string              `cbor:"5,keyasint"`
	Host      string              `cbor:"6,keyasint"`
	Header    map[string][]string `cbor:"7,keyasint,omitempty"`
	Body      []byte              `cbor:"8,keyasint,omitempty"`
	// HasBody is true if the caller sent a body, even an empty one.
	HasBody bool `cbor:"9,keyasint,omitempty"`
	// LeftMicros is the time until the caller's deadline, and ElapsedMicros that since
	// the request was read, both when the query is sent, in microseconds.
	LeftMicros    uint64 `cbor:"10,keyasint"`
	ElapsedMicros uint64 `cbor:"11,keyasint,omitempty"`
	// NewConnection is true if the caller opened its connection for this request.
	NewConnection bool `cbor:"12,keyasint,omitempty"`
	// Caller and Keys identify who sent the request, and the request across its repeats.
	Caller string          `cbor:"13,keyasint,omitempty"`
	Keys   quarantine.Keys `cbor:"14,keyasint"`
	// CutOff is true if the sender does not reach the targets. The peer takes the query
	// only if it does; it may be one for a single service.
	CutOff bool `cbor:"15,keyasint,omitempty"`
	// Counted is true if the sender has counted the request towards its retry budget.
	Counted bool `cbor:"16,keyasint,omitempty"`
	// Repeat is true if the sender may have sent the request to targets, so that each
	// attempt of the peer draws on its retry budget. MaxTargets is then the number of
	// targets that the request, or each of its shards, may still be sent to.
	Repeat     bool   `cbor:"17,keyasint,omitempty"`
	MaxTargets uint32 `cbor:"18,keyasint,omitempty"`
	// Organisation is the name of the caller's organisation, and Key the SHA-256 of the key
	// that it was authenticated with; empty if none is known. A Key without an Organisation
	// was not checked, as the sender's configuration has no organisations.
	Organisation string `cbor:"19,keyasint,omitempty"`
	Key          []byte `cbor:"20,keyasint,omitempty"`
	// Undecodable is local to a process: the query was received, but only its ID is known.
	Undecodable bool `cbor:"-"`
}

// QueryResponse is the response to a Query.
type QueryResponse struct {
	ID uint64 `cbor:"1,keyasint"` // of the query
	// Refused says why the peer has not begun with the query, and never will; empty
	// otherwise. The other fields are then empty.
	Refused string `cbor:"2,keyasint,omitempty"`
	// Status, Signatures, Missing, Body, RetryAfterMicros and Reason are those of the
	// response to the caller.
	Status           int      `cbor:"3,keyasint,omitempty"`
	Signatures       []string `cbor:"4,keyasint,omitempty"`
	Missing          int      `cbor:"5,keyasint,omitempty"`
	Body             []byte   `cbor:"6,keyasint,omitempty"`
	RetryAfterMicros uint64   `cbor:"7,keyasint,omitempty"`
	Reason           string   `cbor:"8,keyasint,omitempty"`
	// Single is true if the response is one for a single service. Header and Signature
	// are then those of the target's response.
	Single    bool                `cbor:"9,keyasint,omitempty"`
	Header    map[string][]string `cbor:"10,keyasint,omitempty"`
	Signature string              `cbor:"11,keyasint,omitempty"`
	// Version is the version of the configuration that the peer served the query with.
	Version uint64 `cbor:"12,keyasint,omitempty"`
	// Undecodable is local to a process: the response was received, but only its ID is known.
	Undecodable bool `cbor:"-"`
}

// QueryCancel tells a peer that the response to a query is no longer needed.
type QueryCancel struct {
	ID uint64 `cbor:"1,keyasint"` // of the query
}
