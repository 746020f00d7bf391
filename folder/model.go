// Package folder loads the operators' configuration folder. Its files hold JSON
// with comments. They are merged in the order of their names, validated as a
// whole and decoded into the contracts that the rest of the system enforces.
//
// The package does no I/O: it takes the contents of the files.
package folder

import "time"

// Contracts is the validated content of a merged folder. It is immutable after
// Load and safe for concurrent use.
type Contracts struct {
	Searches    map[string]Search
	Callers     map[string]Caller
	DataCentres map[string]DataCentre
	Targets     map[string]Target
}

// Search is the contract of one search: the versions of its index, the
// locations of their shards, its time limits and its minimum coverage.
type Search struct {
	// Name is the key of the search in the folder.
	Name string
	// Current names the version that new queries prefer.
	Current string
	// Versions holds the published index versions by name.
	Versions map[string]Version
	// Deadline is the maximum duration of a query. A caller may request a shorter one.
	Deadline time.Duration
	// StragglerWait is the time after which a query is answered from the shards
	// that have responded. It is at most Deadline.
	StragglerWait time.Duration
	// MinCoverage is the fraction of shards, from 0 to 1, below which a query fails
	// instead of returning a partial result.
	MinCoverage float64
	// HedgeFraction is the maximum number of extra attempts (hedges and retries) as
	// a fraction of the first attempts, from 0 to 0.05.
	HedgeFraction float64
	// WarmAfter is the number of completed requests after which a cold target
	// of this search may run one more concurrent request.
	WarmAfter int
}

// Version is one published version of the index of a search.
type Version struct {
	// Sequence orders the versions of a search. A newer version has a higher one.
	Sequence int
	// Shards maps the name of each shard to the targets that hold a replica of it.
	Shards map[string][]string
}

// Caller is the contract of one caller.
type Caller struct {
	Name string
	// TokenSHA256 is the SHA-256 hash of the caller's bearer token in lower-case hex.
	TokenSHA256 string
	// Searches lists the searches that the caller may use.
	Searches []string
	// Actions is true if the caller may send non-idempotent requests.
	Actions bool
	// Rate is the number of requests per second that all gateways together admit.
	Rate float64
	// Burst is the maximum number of requests that are admitted at once.
	Burst int
	// Concurrency is the maximum number of requests in progress per gateway.
	Concurrency int
	// Priority orders callers under overload, from 0 (most urgent) to 9 (least
	// urgent).
	Priority int
}

// State determines whether a data centre or a target may get new work.
type State string

// States of a data centre ("in", "out") and of a target ("in", "leaving").
const (
	StateIn      State = "in"
	StateOut     State = "out"
	StateLeaving State = "leaving"
)

// DataCentre is the contract of one data centre.
type DataCentre struct {
	Name   string
	Region string
	State  State
}

// Target is the contract of one target.
type Target struct {
	Name string
	// Address is the IP address and port of the target's HTTP endpoint.
	Address string
	// DataCentre is the name of the data centre of the target.
	DataCentre string
	// Group is the name of the set of targets whose permits are assigned together.
	// The default is the name of the target.
	Group string
	// Slots is the maximum number of concurrent requests of the target.
	Slots int
	// Connections is the maximum number of connections to the target.
	Connections int
	// ColdSlots is the maximum number of concurrent requests of the target after it
	// turned cold.
	ColdSlots int
	// State is StateIn or StateLeaving.
	State State
}
