// Package targetapi holds the protocol of the targets and the client that
// speaks it: HTTP with JSON bodies.
package targetapi

import "github.com/goldcrestmux/goldcrestmux/wire"

// Paths of a target.
const (
	PathSearch = "/v1/search" // POST TargetRequest
	PathAction = "/v1/action" // POST TargetRequest; not idempotent
	PathCancel = "/v1/cancel" // POST TargetCancel
	PathHealth = "/v1/health" // GET TargetHealth; lags and misleads
)

// Headers that a target sets on every answer, also on refusals.
const (
	HeaderBootID   = "Target-Boot"     // the boot id: changes with each start of the target
	HeaderDraining = "Target-Draining" // "true" while the target drains
)

// Headers of a request to a target.
const (
	HeaderDeadline = "Deadline-Micros" // time left in microseconds when written
	HeaderRelay    = "Client-Relay"
)

// TargetRequest asks a target for one shard of one index version.
type TargetRequest struct {
	// ID is unique in the fleet: process incarnation, query and attempt.
	ID      string       `json:"id"`
	Search  string       `json:"search"`
	Version string       `json:"version"`
	Shard   string       `json:"shard"`
	Payload wire.RawJSON `json:"payload"`
}

// TargetAnswer is the body of a 200 answer. It echoes what was asked.
type TargetAnswer struct {
	ID      string        `json:"id"`
	Search  string        `json:"search"`
	Version string        `json:"version"`
	Shard   string        `json:"shard"`
	Matched uint32        `json:"matched"`
	Count   int           `json:"count"` // length of Records; a mismatch is a short answer
	Records []wire.Record `json:"records"`
}

// TargetRefusal is the body of an answer other than 200. The status is 409
// for an index version that isn't served, 503 for shedding and draining, 504
// for a passed deadline, 499 for a canceled request, 400 for a bad request.
type TargetRefusal struct {
	ID string `json:"id"`
	// Code is one of the code package's codes.
	Code string `json:"code"`
	// NotRun is true if the target guarantees that the work did not run.
	NotRun           bool     `json:"not_run"`
	RetryAfterMillis uint32   `json:"retry_after_ms,omitempty"`
	Versions         []string `json:"versions,omitempty"`
}

// TargetCancel withdraws a request in progress; the request itself is then
// answered at once with status 499.
type TargetCancel struct {
	ID string `json:"id"`
}

// TargetHealth is a target's own claim about itself.
type TargetHealth struct {
	BootID   string   `json:"boot"`
	Warm     bool     `json:"warm"`
	Draining bool     `json:"draining"`
	Running  int      `json:"running"`
	Slots    int      `json:"slots"`
	Versions []string `json:"versions"`
}

// Query is the payload of a search. Records that match Text (a word of the
// title; empty matches all) and Category (empty matches all) are answered in
// descending order of score, then ascending key.
type Query struct {
	Text     string `json:"text,omitempty"`
	Category string `json:"category,omitempty"`
	Limit    int    `json:"limit"`
}

// Action is the payload of a non-idempotent request: it records a score.
type Action struct {
	// ID identifies the action for the ledger; targets don't deduplicate by it.
	ID    string  `json:"id"`
	Key   string  `json:"key"`
	Score float64 `json:"score"`
}
