package folder

import "github.com/goldcrestmux/goldcrestmux/jsonc"

// Fault describes one error in a folder.
type Fault = jsonc.Fault

// Origin is the place that set a value. It is zero for a default value.
type Origin = jsonc.Origin

// FaultError is the error that Load returns. Faults holds every fault of the
// folder, at least one, sorted by file, line and field.
type FaultError struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *FaultError) Error() string { return jsonc.JoinFaults(e.Faults) }
