// Package code holds the stable codes that callers, targets and the system's
// own processes use to tell outcomes apart.
package code

// Code is a stable, machine-readable outcome.
type Code string

// Codes of outcomes. OK is the only success.
const (
	OK Code = "ok"

	// Faults of the request.
	BadRequest     Code = "bad_request"
	BodyTooLarge   Code = "body_too_large"
	Unauthorized   Code = "unauthorized"
	Forbidden      Code = "forbidden"
	UnknownSearch  Code = "unknown_search"
	DeadlinePassed Code = "deadline_passed"

	// Refusals: the work did not run.
	RateLimited        Code = "rate_limited"
	Overloaded         Code = "overloaded"
	NotReady           Code = "not_ready"
	Stopping           Code = "stopping"
	PermitNotHeld      Code = "not_held"     // the relay may not use the target
	TargetOutOfService Code = "target_out"   // out of service, leaving, draining
	TargetCold         Code = "target_cold"  // beyond the cold allowance
	Shed               Code = "shed"         // the target refused the work
	VersionGone        Code = "version_gone" // the target no longer serves the version
	VersionNotLoaded   Code = "version_not_loaded"
	NoReplica          Code = "no_replica"  // no relay holds a usable replica
	OverBudget         Code = "over_budget" // an extra attempt beyond the target's budget

	// Failures: the work may have run.
	Timeout          Code = "timeout"
	Canceled         Code = "canceled"
	Unreachable      Code = "unreachable" // no connection; nothing was sent
	ConnectionBroken Code = "broken"      // the connection broke after the request left
	BadResponse      Code = "bad_answer"  // the target answered what was not asked
	LowCoverage      Code = "low_coverage"
	OutcomeUnknown   Code = "outcome_unknown"
	ProtocolMismatch Code = "protocol_mismatch"
	Internal         Code = "internal"
)

// RunStatus tells whether a piece of work ran at a target.
type RunStatus uint8

// Values of Run. The zero value claims nothing.
const (
	RunUnknown RunStatus = iota
	NotRun
	Ran
)

// String returns "unknown", "true" for not run, or "false" for ran: the value
// of the not_run field in answers to callers.
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
