package folder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a folder.
type Fault struct {
	File string
	// Line counts from 1.
	Line int
	// Field is the path of the field, such as "targets.judges-01-a.slots". It is
	// empty if the file as a whole is at fault.
	Field string
	// Problem tells what is wrong.
	Problem string
	// Allowed tells what would be accepted.
	Allowed string
}

// String returns "file:line: field: what is wrong; allowed: what is accepted".
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Problem)
	if f.Allowed != "" {
		b.WriteString("; allowed: " + f.Allowed)
	}
	return b.String()
}

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
