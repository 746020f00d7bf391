// Package folder holds the operators' configuration: a folder of small JSON
// files with comments that are merged in the order of their names, checked as
// a whole, and turned into the contracts that the rest of the system enforces.
//
// The package does no I/O. It takes file contents and returns values.
package folder

import "time"

// Contracts is the merged and checked result of a folder. It is immutable once
// returned by Load; callers share it between goroutines without locks.
type Contracts struct {
	Searches    map[string]Search
	Callers     map[string]Caller
	DataCentres map[string]DataCentre
	Targets     map[string]Target
}

// Search is the contract of one search: which versions of its index exist,
// where their shards are, how long to wait, and what coverage is enough.
type Search struct {
	// Name is the key under which the folder defines the search.
	Name string
	// Current names the version that new queries prefer.
	Current string
	// Versions holds each published index version by name.
	Versions map[string]Version
	// Deadline is the longest time that a query may take. A caller may ask for less.
	Deadline time.Duration
	// StragglerWait is how long to wait for the last shards before a query is
	// answered with the coverage reached. It is at most Deadline.
	StragglerWait time.Duration
	// MinCoverage is the share of shards, from 0 to 1, below which the query
	// fails instead of being answered in part.
	MinCoverage float64
	// HedgeFraction is the largest share of first attempts, from 0 to 0.05, that
	// hedges and retries may add.
	HedgeFraction float64
	// WarmAfter is the number of completed requests after which a cold target
	// of this search is allowed one more concurrent request.
	WarmAfter int
}

// Version is one published version of a search's index with its shard map.
type Version struct {
	// Sequence orders versions; a higher one is newer.
	Sequence int
	// Shards maps a shard's name to the names of the targets that hold a replica.
	Shards map[string][]string
}

// Caller is the contract of one caller.
type Caller struct {
	Name string
	// TokenSHA256 is the SHA-256 of the caller's bearer token, in lower-case hex.
	TokenSHA256 string
	// Searches lists the searches that the caller may reach.
	Searches []string
	// Actions tells whether the caller may send non-idempotent requests.
	Actions bool
	// Rate is the number of requests per second that the tier as a whole grants.
	Rate float64
	// Burst is the number of requests that may arrive at once.
	Burst int
	// Concurrency is the largest number of requests in progress per gateway.
	Concurrency int
	// Priority orders callers under overload; 0 is the most urgent, 9 the least.
	Priority int
}

// State says whether new work may go to a data centre or a target.
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
	// Address is the host and port of the target's HTTP endpoint.
	Address string
	// DataCentre names the data centre that the target stands in.
	DataCentre string
	// Group names the set of targets whose permits are owned together. It is
	// the target's own name unless the folder sets it.
	Group string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Connections is the number of connections that the target accepts.
	Connections int
	// ColdSlots is the number of requests that the target bears at once while cold.
	ColdSlots int
	// State is StateIn or StateLeaving.
	State State
}
