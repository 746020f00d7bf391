// Package wire defines the messages that the system's own processes exchange
// over links, and their CBOR encoding.
//
// A WebSocket message carries one Frame. A Frame carries any number of typed
// messages, so that many sub-requests of one query share one frame.
package wire

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
)

// Version bounds of the link protocol that this build speaks.
const (
	MinVersion uint16 = 1
	MaxVersion uint16 = 1
)

// MaxFrameBytes bounds an encoded frame. A larger frame closes the link.
const MaxFrameBytes = 4 << 20

// Role is the role that a process plays.
type Role string

// Roles of the system's processes.
const (
	RoleGateway Role = "gateway"
	RoleRelay   Role = "relay"
	RoleEntry   Role = "entry" // faces callers and targets
)

// Process identifies one run of a process on a VM.
type Process struct {
	VM         string `cbor:"1,keyasint"`
	Role       Role   `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	// Incarnation increases with each start of the process: it is the start
	// time in nanoseconds since the Unix epoch.
	Incarnation uint64 `cbor:"4,keyasint"`
}

// Name returns the name of the process, VM/role, which is unique in the fleet.
func (p Process) Name() string { return p.VM + "/" + string(p.Role) }

// Frame is the unit of transfer on a link.
type Frame struct {
	Hello               *Hello               `cbor:"1,keyasint,omitempty"`
	Batches             []Batch              `cbor:"2,keyasint,omitempty"`
	SubResponses        []SubResponse        `cbor:"3,keyasint,omitempty"`
	Cancels             []Cancel             `cbor:"4,keyasint,omitempty"`
	Ping                *Ping                `cbor:"5,keyasint,omitempty"`
	Pong                *Ping                `cbor:"6,keyasint,omitempty"`
	Credit              uint32               `cbor:"7,keyasint,omitempty"`
	Grants              []Grant              `cbor:"8,keyasint,omitempty"`
	ReleaseRequests     []ReleaseRequest     `cbor:"9,keyasint,omitempty"`
	ReleaseResponses    []ReleaseResponse    `cbor:"10,keyasint,omitempty"`
	TargetNotifications []TargetNotification `cbor:"11,keyasint,omitempty"`
	Members             []MemberUpdate       `cbor:"12,keyasint,omitempty"`
	FolderOffer         *FolderOffer         `cbor:"13,keyasint,omitempty"`
	FolderRequest       *FolderRequest       `cbor:"14,keyasint,omitempty"`
	FolderResponse      *FolderResponse      `cbor:"15,keyasint,omitempty"`
	Refusal             *ProtocolRefusal     `cbor:"17,keyasint,omitempty"`
	VMListOffer         *VMListOffer         `cbor:"18,keyasint,omitempty"`
	VMListRequest       *VMListRequest       `cbor:"19,keyasint,omitempty"`
	VMListResponse      *VMListResponse      `cbor:"20,keyasint,omitempty"`
	FeedRequests        []FeedRequest        `cbor:"21,keyasint,omitempty"`
	FeedResponses       []FeedResponse       `cbor:"22,keyasint,omitempty"`
}

// Hello opens a link in both directions and negotiates the protocol version.
type Hello struct {
	MinVersion uint16  `cbor:"1,keyasint"`
	MaxVersion uint16  `cbor:"2,keyasint"`
	Process    Process `cbor:"3,keyasint"`
	// Peer is the name of the process that the sender intends to reach, or empty.
	Peer string `cbor:"4,keyasint,omitempty"`
	// Credit is the number of sub-requests that the sender will accept at once.
	Credit uint32 `cbor:"5,keyasint"`
}

// ProtocolRefusal tells why a peer closes the link.
type ProtocolRefusal struct {
	Code   code.Code `cbor:"1,keyasint"`
	Detail string    `cbor:"2,keyasint"`
}

// Batch carries the sub-requests of one query that go to one relay.
type Batch struct {
	// QueryID is unique within the sending process's incarnation.
	QueryID uint64 `cbor:"1,keyasint"`
	Search  string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
	// Payload is the caller's query in JSON, passed to targets unchanged.
	Payload []byte `cbor:"4,keyasint"`
	// DeadlineMicros is the time left, in microseconds, when the frame was written.
	DeadlineMicros uint32 `cbor:"5,keyasint"`
	// Action marks non-idempotent work: never retried once a byte may have left.
	Action      bool         `cbor:"6,keyasint,omitempty"`
	SubRequests []SubRequest `cbor:"7,keyasint"`
	// Priority is the caller's: 0 is the most urgent.
	Priority uint8 `cbor:"8,keyasint,omitempty"`
	// Deadline is local to a process: links convert it to DeadlineMicros when they
	// send, and back when they receive.
	Deadline time.Time `cbor:"-"`
}

// SubRequest requests the records of one shard from one target.
type SubRequest struct {
	// ID is unique within the sending process's incarnation.
	ID     uint64 `cbor:"1,keyasint"`
	Shard  string `cbor:"2,keyasint"`
	Target string `cbor:"3,keyasint"`
	// Extra marks a hedge or a retry, which draws on the retry budget.
	Extra bool `cbor:"4,keyasint,omitempty"`
}

// SubResponse is the final response to a sub-request.
type SubResponse struct {
	ID      uint64    `cbor:"1,keyasint"`
	QueryID uint64    `cbor:"2,keyasint"`
	Version string    `cbor:"3,keyasint"`
	Shard   string    `cbor:"4,keyasint"`
	Target  string    `cbor:"5,keyasint"`
	Code    code.Code `cbor:"6,keyasint"`
	// Run is whether the work ran at the target.
	Run     code.Run `cbor:"7,keyasint"`
	Records []Record `cbor:"8,keyasint,omitempty"`
	// Matched is the number of records of the shard that match, of which
	// Records holds the first ones.
	Matched uint32 `cbor:"9,keyasint,omitempty"`
	// RetryAfterMillis is the delay that the target requests before the next
	// attempt, in milliseconds; 0 if unknown.
	RetryAfterMillis uint32 `cbor:"10,keyasint,omitempty"`
	Detail           string `cbor:"11,keyasint,omitempty"`
	// QueueLength is the number of sub-requests that wait or run for the target at
	// the relay.
	QueueLength uint16 `cbor:"12,keyasint,omitempty"`
	// ServiceMicros is the time that the target took, in microseconds.
	ServiceMicros uint32 `cbor:"13,keyasint,omitempty"`
	// Versions lists the index versions that the target serves; set with
	// code.VersionGone and code.VersionNotLoaded.
	Versions []string `cbor:"14,keyasint,omitempty"`
}

// Record is one search result.
type Record struct {
	Key   string  `cbor:"1,keyasint" json:"key"`
	Score float64 `cbor:"2,keyasint" json:"score"`
	// Fields is the record's content as a JSON object, passed on unchanged.
	Fields RawJSON `cbor:"3,keyasint" json:"fields"`
}

// Cancel cancels a sub-request. The relay still sends a response to it.
type Cancel struct {
	ID     uint64 `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
}

// Ping requests a Pong with the same sequence number.
type Ping struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// TargetState is a relay's view of a target.
type TargetState uint8

// Target states, from the one that bears least to the one that bears most.
const (
	TargetUnknown      TargetState = iota
	TargetOutOfService             // not to be used: its data centre is out, it is leaving, draining or lost
	TargetCold                     // only the owner of permit 0 uses it, within its cold allowance
	TargetWarm                     // every permit is usable
)

// Grant is what a relay may do with a target now. A relay pushes it to each
// gateway when it changes. Limit 0 withdraws the target.
type Grant struct {
	Target string      `cbor:"1,keyasint"`
	State  TargetState `cbor:"2,keyasint"`
	// Limit is the number of concurrent requests that the relay may run.
	Limit uint16 `cbor:"3,keyasint"`
	// Full marks the first update of a link. All grants that it does not name are
	// void.
	Full bool `cbor:"4,keyasint,omitempty"`
}

// ReleaseRequest asks a former owner to give up a permit.
type ReleaseRequest struct {
	Group string `cbor:"1,keyasint"`
	Index uint16 `cbor:"2,keyasint"`
	// Seq orders the asks of one sender; the answer repeats it.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
}

// ReleaseResponse answers a ReleaseRequest.
type ReleaseResponse struct {
	Group string `cbor:"1,keyasint"`
	Index uint16 `cbor:"2,keyasint"`
	// Released is true when the sender neither uses nor waits for the permit.
	Released bool `cbor:"3,keyasint"`
	// WaitFor names the relays whose release the sender itself still waits for.
	WaitFor []string `cbor:"4,keyasint,omitempty"`
	// Warm hands over the state of the group's targets that were warm.
	Warm []WarmTarget `cbor:"5,keyasint,omitempty"`
	// Seq repeats the ask's.
	Seq uint64 `cbor:"6,keyasint,omitempty"`
	// IncompleteHistory is true if the sender has not followed the VM list for long enough
	// to know every relay that may hold the permit.
	IncompleteHistory bool `cbor:"7,keyasint,omitempty"`
	// Exclusive is true if the sender was the permit's only holder up to its
	// release and has released it to nobody else: no other relay can hold it.
	Exclusive bool `cbor:"8,keyasint,omitempty"`
}

// WarmTarget names a warm target and the boot in which it was proved warm.
type WarmTarget struct {
	Target string `cbor:"1,keyasint"`
	BootID string `cbor:"2,keyasint"`
}

// TargetNotification tells the other holders of a target's permits what the sender saw.
type TargetNotification struct {
	Target string      `cbor:"1,keyasint"`
	State  TargetState `cbor:"2,keyasint"`
	BootID string      `cbor:"3,keyasint"`
	// Seq orders the notices of one sender.
	Seq uint64 `cbor:"4,keyasint"`
	// HoldsZero is true if the sender owns permit 0; only then TargetWarm counts as a grant.
	HoldsZero bool `cbor:"5,keyasint,omitempty"`
	// RequestGrant is true if the sender wants the receiver's own view in return.
	RequestGrant bool `cbor:"6,keyasint,omitempty"`
	// Ack is the highest Seq that the sender has seen from the receiver.
	Ack uint64 `cbor:"7,keyasint,omitempty"`
	// Evidence lists the signs of coldness that the sender knows of since it last
	// believed the target to be warm.
	Evidence []TargetEvidence `cbor:"8,keyasint,omitempty"`
}

// TargetEvidence is a sign that a target has turned cold, as one relay saw it.
type TargetEvidence struct {
	// Origin is the process name of the relay that saw it.
	Origin string `cbor:"1,keyasint"`
	// Seq orders the signs of one origin.
	Seq uint64 `cbor:"2,keyasint"`
	// Unavailable is true if the target takes no requests at all.
	Unavailable bool `cbor:"3,keyasint,omitempty"`
	// BootID is the target's boot as the origin knew it.
	BootID string `cbor:"4,keyasint,omitempty"`
	// NewBoot is true if the sign is that Boot replaced another boot.
	NewBoot bool `cbor:"5,keyasint,omitempty"`
}

// MemberStatus is the status of a member of the system.
type MemberStatus uint8

// Statuses of members.
const (
	MemberAlive MemberStatus = iota + 1
	MemberSuspect
	MemberLeaving
	MemberGone
)

// MemberUpdate is one entry of the membership gossip.
type MemberUpdate struct {
	Name        string       `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Status      MemberStatus `cbor:"3,keyasint"`
	// Revision is the folder revision that the member has in force; 0 if unknown.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// SeenMillis is one more than the age, in milliseconds, of the latest direct
	// contact of any process with the member that the sender knows of; 0 if none.
	SeenMillis uint32 `cbor:"5,keyasint,omitempty"`
	// Accusers lists the hashes of the names of the members that accuse this one
	// of sending no heartbeats; set with MemberSuspect.
	Accusers []uint32 `cbor:"6,keyasint,omitempty"`
}

// FolderOffer announces the folder revision that the sender has in force, which
// peers can request. Revision is 0 if there is none.
type FolderOffer struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Digest is the SHA-256 of the revision and its files' names and hashes, in hex.
	Digest string `cbor:"2,keyasint"`
}

// FolderRequest requests a folder revision; 0 requests the one in force. Have
// lists the hashes of the files that the sender already has.
type FolderRequest struct {
	Revision uint64   `cbor:"1,keyasint"`
	Have     []string `cbor:"2,keyasint,omitempty"`
}

// FolderResponse carries the manifest of the revision in force at the sender, and
// the contents of the files that the receiver lacks. Revision is 0 if there is
// none.
type FolderResponse struct {
	Revision uint64       `cbor:"1,keyasint"`
	Files    []FolderFile `cbor:"2,keyasint"`
}

// FolderFile is one file of a folder revision. Data is empty if the receiver
// already has the content, or if it does not fit into this response.
type FolderFile struct {
	Name   string `cbor:"1,keyasint"`
	SHA256 string `cbor:"2,keyasint"`
	Data   []byte `cbor:"3,keyasint,omitempty"`
}

// VMListOffer states the sequence and age of the sender's copy of the VM list.
type VMListOffer struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// AgeMillis is the time since the platform was asked for the list, in
	// milliseconds.
	AgeMillis uint32 `cbor:"2,keyasint"`
}

// VMListRequest requests the receiver's copy of the VM list.
type VMListRequest struct {
	// ID is repeated in the response.
	ID uint64 `cbor:"1,keyasint"`
	// Sequence is that of the sender's copy; a response with the same sequence
	// omits the VMs.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
}

// VMListResponse carries the sender's copy of the VM list.
type VMListResponse struct {
	ID       uint64 `cbor:"1,keyasint"` // of the request
	Sequence uint64 `cbor:"2,keyasint"`
	// AgeMillis is the time since the platform was asked for the list, in
	// milliseconds.
	AgeMillis uint32 `cbor:"3,keyasint"`
	VMs       []VM   `cbor:"4,keyasint"`
}

// VM is one entry of a copy of the VM list.
type VM struct {
	Name       string          `cbor:"1,keyasint"`
	DataCentre string          `cbor:"2,keyasint"`
	Region     string          `cbor:"3,keyasint"`
	Leaving    bool            `cbor:"4,keyasint,omitempty"`
	Links      map[Role]string `cbor:"5,keyasint"`
}
