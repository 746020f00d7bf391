// Package targetapi defines the protocol of the targets, which is HTTP with JSON
// bodies, and implements its client.
package targetapi

import "github.com/goldcrestmux/goldcrestmux/wire"

// Paths of a target.
const (
	PathSearch = "/v1/search" // POST TargetRequest
	PathAction = "/v1/action" // POST TargetRequest; not idempotent
	PathCancel = "/v1/cancel" // POST TargetCancel
	PathHealth = "/v1/health" // GET TargetHealth; may be stale or wrong
)

// Headers that a target sets on every response, including refusals.
const (
	HeaderBootID   = "Target-Boot"     // the boot ID: changes with each start of the target
	HeaderDraining = "Target-Draining" // "true" while the target is draining
)

// Headers of a request to a target.
const (
	HeaderDeadline = "Deadline-Micros" // time left, in microseconds, when the header is written
	HeaderRelay    = "Client-Relay"
)

// TargetRequest is a request for one shard of one index version.
type TargetRequest struct {
	// ID is unique among all clients: it names the incarnation of the process,
	// the query and the attempt.
	ID      string       `json:"id"`
	Search  string       `json:"search"`
	Version string       `json:"version"`
	Shard   string       `json:"shard"`
	Payload wire.RawJSON `json:"payload"`
}

// TargetAnswer is the body of a 200 response. It repeats the ID, search, version
// and shard of the request.
type TargetAnswer struct {
	ID      string        `json:"id"`
	Search  string        `json:"search"`
	Version string        `json:"version"`
	Shard   string        `json:"shard"`
	Matched uint32        `json:"matched"`
	Count   int           `json:"count"` // length of Records; a mismatch means a truncated response
	Records []wire.Record `json:"records"`
}

// TargetRefusal is the body of a response other than 200. The status is 409 for
// an index version that the target does not serve, 503 for shedding and
// draining, 504 for a passed deadline, 499 for a canceled request, and 400 for a
// bad request.
type TargetRefusal struct {
	ID string `json:"id"`
	// Code is a code.Code.
	Code string `json:"code"`
	// NotRun is true if the target guarantees that it did not run the request.
	NotRun           bool     `json:"not_run"`
	RetryAfterMillis uint32   `json:"retry_after_ms,omitempty"`
	Versions         []string `json:"versions,omitempty"`
}

// TargetCancel cancels a request in progress. The target then responds to that
// request immediately with status 499.
type TargetCancel struct {
	ID string `json:"id"`
}

// TargetHealth is what a target reports about itself.
type TargetHealth struct {
	BootID   string   `json:"boot"`
	Warm     bool     `json:"warm"`
	Draining bool     `json:"draining"`
	Running  int      `json:"running"`
	Slots    int      `json:"slots"`
	Versions []string `json:"versions"`
}

// Query is the payload of a search. The response holds the records that match
// Text (a word of the title; empty matches all) and Category (empty matches all)
// in descending order of score, then ascending order of key.
type Query struct {
	Text     string `json:"text,omitempty"`
	Category string `json:"category,omitempty"`
	Limit    int    `json:"limit"`
}

// Action is the payload of a non-idempotent request: it records a score.
type Action struct {
	// ID identifies the action in a stand-in target's ledger of executions. Targets
	// do not deduplicate by it.
	ID    string  `json:"id"`
	Key   string  `json:"key"`
	Score float64 `json:"score"`
}
