package folder

import (
	"cmp"
	"slices"
	"strings"

	"github.com/goldcrestmux/goldcrestmux/jsonc"
)

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
func (e *FaultError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// newFaultError sorts faults and drops repeated ones.
func newFaultError(faults []Fault) *FaultError {
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(
			strings.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			strings.Compare(a.Field, b.Field),
			strings.Compare(a.Problem, b.Problem),
		)
	})
	return &FaultError{Faults: slices.Compact(faults)}
}
