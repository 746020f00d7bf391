// Package code defines the stable codes by which callers, targets and the
// system's own processes distinguish outcomes.
package code

// Code is a stable, machine-readable outcome.
type Code string

// Codes of outcomes. Every code other than OK is an error.
const (
	OK Code = "ok"

	// The request is invalid or not allowed.
	BadRequest     Code = "bad_request"
	BodyTooLarge   Code = "body_too_large"
	Unauthorized   Code = "unauthorized"
	Forbidden      Code = "forbidden"
	UnknownSearch  Code = "unknown_search"
	DeadlinePassed Code = "deadline_passed"

	// The request was rejected or refused: the work did not run.
	RateLimited        Code = "rate_limited"
	Overloaded         Code = "overloaded"
	NotReady           Code = "not_ready"
	Stopping           Code = "stopping"
	PermitNotHeld      Code = "not_held"     // the relay has no permit for the target
	TargetOutOfService Code = "target_out"   // the target is out of service, leaving or draining
	TargetCold         Code = "target_cold"  // a cold target has reached its limit
	Shed               Code = "shed"         // the target refused the work because of its load
	VersionGone        Code = "version_gone" // the target no longer serves the version
	VersionNotLoaded   Code = "version_not_loaded"
	NoReplica          Code = "no_replica"  // no usable replica can be reached through a relay
	OverBudget         Code = "over_budget" // the retry budget of the target is exhausted
	Quarantined        Code = "quarantined" // targets that run this request crash

	// The request failed: the work may have run.
	Timeout          Code = "timeout"
	Canceled         Code = "canceled"
	Unreachable      Code = "unreachable" // there was no connection, so nothing was sent
	ConnectionBroken Code = "broken"      // the connection broke after the request was sent
	BadResponse      Code = "bad_answer"  // the response is malformed or does not match the request
	LowCoverage      Code = "low_coverage"
	OutcomeUnknown   Code = "outcome_unknown"
	ProtocolMismatch Code = "protocol_mismatch"
	Internal         Code = "internal"
)

// RunStatus is whether a request ran at a target.
type RunStatus uint8

// Values of RunStatus. RunUnknown means that the request may have run.
const (
	RunUnknown RunStatus = iota
	NotRun
	Ran
)

// String returns the value of the field not_run in responses to callers: "true"
// for NotRun, "false" for Ran, and otherwise "unknown".
func (r RunStatus) String() string {
	switch r {
	case NotRun:
		return "true"
	case Ran:
		return "false"
	default:
		return "unknown"
	}
}
