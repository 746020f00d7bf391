// Package wire defines the messages that the system's own processes exchange
// over links, and their CBOR encoding.
//
// A WebSocket message carries one Frame. A Frame carries any number of typed
// messages, so that many sub-requests of one query share one frame.
package wire

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
)

// Bounds of the link protocol versions that this build supports.
const (
	MinVersion uint16 = 1
	MaxVersion uint16 = 1
)

// MaxFrameBytes is the maximum size of an encoded frame in bytes. A larger frame
// closes the link.
const MaxFrameBytes = 4 << 20

// Role is the role of a process.
type Role string

// Roles of the system's processes.
const (
	RoleGateway Role = "gateway"
	RoleRelay   Role = "relay"
	RoleEntry   Role = "entry" // accepts connections of callers and connects to targets
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
	Queries             []Query              `cbor:"23,keyasint,omitempty"`
	QueryResponses      []QueryResponse      `cbor:"24,keyasint,omitempty"`
	QueryCancels        []QueryCancel        `cbor:"25,keyasint,omitempty"`
	QuarantineReports   []quarantine.Report  `cbor:"26,keyasint,omitempty"`
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
	// Bytes is true if the sender decodes texts that are encoded as byte strings, and texts
	// that are not UTF-8. Builds without this field close the link on both.
	Bytes bool `cbor:"6,keyasint,omitempty"`
}

// ProtocolRefusal states why the sender refuses the link.
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
	// DeadlineMicros is the time from the writing of the frame to the deadline, in
	// microseconds.
	DeadlineMicros uint32 `cbor:"5,keyasint"`
	// Action marks non-idempotent work, which is never retried once a byte of the
	// request may have been sent.
	Action      bool         `cbor:"6,keyasint,omitempty"`
	SubRequests []SubRequest `cbor:"7,keyasint"`
	// Priority is the caller's priority; 0 is the most urgent.
	Priority uint8 `cbor:"8,keyasint,omitempty"`
	// Key identifies the request across its repeats.
	Key quarantine.Key `cbor:"9,keyasint"`
	// Deadline is local to a process. Links convert it to DeadlineMicros when they
	// send a batch, and back when they receive one.
	Deadline time.Time `cbor:"-"`
	// Undecodable is local to a process: the batch was received, but only the IDs are known.
	Undecodable bool `cbor:"-"`
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
	// Run states whether the work ran at the target.
	Run     code.RunStatus `cbor:"7,keyasint"`
	Records []Record       `cbor:"8,keyasint,omitempty"`
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

// Cancel cancels a sub-request. The relay still responds to the sub-request.
type Cancel struct {
	ID     uint64 `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
}

// Ping requests a Pong with the same sequence number.
type Ping struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// TargetState is the state of a target at one relay.
type TargetState uint8

// Target states, in the order of the load that they allow.
const (
	TargetUnknown      TargetState = iota
	TargetOutOfService             // not used: its data centre is evacuated, or it is leaving, draining or unavailable
	TargetCold                     // used only by the holder of permit 0, within the limit for cold targets
	TargetWarm                     // used by every holder of a permit
)

// Grant is what a relay may do with a target now. A relay sends it to each
// gateway when it changes. Limit 0 withdraws the target.
type Grant struct {
	Target string      `cbor:"1,keyasint"`
	State  TargetState `cbor:"2,keyasint"`
	// Limit is the number of concurrent requests that the relay may run.
	Limit uint16 `cbor:"3,keyasint"`
	// Full marks the first grant of a link, which has no target. It withdraws all
	// earlier grants of the relay; the current ones follow.
	Full bool `cbor:"4,keyasint,omitempty"`
}

// ReleaseRequest requests the release of a permit from a relay that may hold it.
type ReleaseRequest struct {
	Group string `cbor:"1,keyasint"`
	Index uint16 `cbor:"2,keyasint"`
	// Seq orders the requests of one sender. The response repeats it.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
}

// ReleaseResponse is the response to a ReleaseRequest.
type ReleaseResponse struct {
	Group string `cbor:"1,keyasint"`
	Index uint16 `cbor:"2,keyasint"`
	// Released is true if the sender neither uses the permit nor waits for it.
	Released bool `cbor:"3,keyasint"`
	// WaitFor names the relays whose release of the permit the sender itself still
	// waits for.
	WaitFor []string `cbor:"4,keyasint,omitempty"`
	// Warm lists the warm targets of the group, so that they stay warm after the
	// handover.
	Warm []WarmTarget `cbor:"5,keyasint,omitempty"`
	// Seq is that of the request.
	Seq uint64 `cbor:"6,keyasint,omitempty"`
	// IncompleteHistory is true if the sender has not followed the VM list for long
	// enough to know every relay that may hold the permit.
	IncompleteHistory bool `cbor:"7,keyasint,omitempty" json:"Young"`
	// Exclusive is true if no relay other than the receiver can hold the permit,
	// because the sender was its only holder and has released it to no other relay.
	Exclusive bool `cbor:"8,keyasint,omitempty"`
}

// WarmTarget names a warm target and its boot ID when it was found to be warm.
type WarmTarget struct {
	Target string `cbor:"1,keyasint"`
	BootID string `cbor:"2,keyasint" json:"Boot"`
}

// TargetNotification reports the state of a target at the sender to another relay
// that holds permits of the target.
type TargetNotification struct {
	Target string      `cbor:"1,keyasint"`
	State  TargetState `cbor:"2,keyasint"`
	BootID string      `cbor:"3,keyasint"`
	// Seq orders the notifications of one sender.
	Seq uint64 `cbor:"4,keyasint"`
	// HoldsZero is true if the sender holds permit 0. Receivers that do not hold it
	// take TargetWarm as a grant only from its holder.
	HoldsZero bool `cbor:"5,keyasint,omitempty"`
	// RequestGrant is true if the sender requests a grant from the receiver.
	RequestGrant bool `cbor:"6,keyasint,omitempty"`
	// Ack is the highest Seq that the sender has received from the receiver.
	Ack uint64 `cbor:"7,keyasint,omitempty"`
	// Evidence lists the evidence that the target turned cold. It holds what the
	// sender has learned since the target was last warm at the sender.
	Evidence []TargetEvidence `cbor:"8,keyasint,omitempty"`
}

// TargetEvidence is one relay's evidence that a target has turned cold.
type TargetEvidence struct {
	// Origin is the process name of the relay that observed it.
	Origin string `cbor:"1,keyasint"`
	// Seq orders the evidence of one origin.
	Seq uint64 `cbor:"2,keyasint"`
	// Unavailable is true if the target takes no requests at all.
	Unavailable bool `cbor:"3,keyasint,omitempty"`
	// BootID is the target's boot ID as known to the origin.
	BootID string `cbor:"4,keyasint,omitempty"`
	// NewBoot is true if the evidence is that BootID replaced another boot ID.
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
	MemberCutOff // alive, but it reaches no target; not sent on the wire
)

// MemberUpdate is one entry of the membership gossip.
type MemberUpdate struct {
	Name        string       `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Status      MemberStatus `cbor:"3,keyasint"`
	// Revision is the folder revision that the member has in force; 0 if unknown.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// SeenMillis is the age, in milliseconds plus one, of the latest direct contact
	// of any process with the member; 0 if the sender knows of none.
	SeenMillis uint32 `cbor:"5,keyasint,omitempty"`
	// Accusers lists the hashes of the names of the members that accuse this one
	// of sending no heartbeats. It is set with MemberSuspect.
	Accusers []uint32 `cbor:"6,keyasint,omitempty"`
	// PathChanges is how often this incarnation of the member has lost and regained its
	// path to targets: odd while it reaches none.
	PathChanges uint32 `cbor:"7,keyasint,omitempty"`
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

// VMListOffer announces the sequence number and age of the sender's copy of the
// VM list.
type VMListOffer struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// AgeMillis is the time since the list was requested from the platform, in
	// milliseconds.
	AgeMillis uint32 `cbor:"2,keyasint"`
}

// VMListRequest requests the receiver's copy of the VM list.
type VMListRequest struct {
	// ID is repeated in the response.
	ID uint64 `cbor:"1,keyasint"`
	// Sequence is the sequence number of the sender's copy. A response with the
	// same number omits the VMs.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
}

// VMListResponse carries the sender's copy of the VM list.
type VMListResponse struct {
	ID       uint64 `cbor:"1,keyasint"` // of the request
	Sequence uint64 `cbor:"2,keyasint"`
	// AgeMillis is the time since the list was requested from the platform, in
	// milliseconds.
	AgeMillis uint32 `cbor:"3,keyasint"`
	VMs       []VM   `cbor:"4,keyasint"`
}

// VM is one entry of the VM list.
type VM struct {
	Name       string          `cbor:"1,keyasint"`
	DataCentre string          `cbor:"2,keyasint"`
	Region     string          `cbor:"3,keyasint"`
	Leaving    bool            `cbor:"4,keyasint,omitempty"`
	Links      map[Role]string `cbor:"5,keyasint"`
}
