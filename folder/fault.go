package folder

import "github.com/goldcrestmux/goldcrestmux/jsonc"

// Fault is one thing that is wrong with a folder.
type Fault = jsonc.Fault

// Origin is the place that set a value; zero for a default.
type Origin = jsonc.Origin

// FaultError is the error of Load. It holds every fault of the folder in the
// order of file, line and field, and at least one.
type FaultError struct {
	Faults []Fault
}

// Error returns the faults, one a line.
func (e *FaultError) Error() string { return jsonc.JoinFaults(e.Faults) }
