package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a file.
type Fault struct {
	// File names the file, or another source of a value.
	File string
	// Line counts from 1; it is 0 for a source without lines.
	Line int
	// Field is the path of the field, such as "targets.judges-01-a.slots". It is
	// empty if the file as a whole is at fault.
	Field string
	// Problem tells what is wrong.
	Problem string
	// Allowed tells what would be accepted.
	Allowed string
}

// Fault returns a fault at the origin.
func (o Origin) Fault(field, problem, allowed string) Fault {
	return Fault{File: o.File, Line: o.Line, Field: field, Problem: problem, Allowed: allowed}
}

// String returns "file:line: field: what is wrong; allowed: what is accepted".
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Problem)
	if f.Allowed != "" {
		b.WriteString("; allowed: " + f.Allowed)
	}
	return b.String()
}

// SortFaults returns faults in the order of file, line and field, each once.
func SortFaults(faults []Fault) []Fault {
	sorted := slices.SortedFunc(slices.Values(faults), func(a, b Fault) int {
		return cmp.Or(
			strings.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			strings.Compare(a.Field, b.Field),
			strings.Compare(a.Problem, b.Problem),
		)
	})
	return slices.Compact(sorted)
}

// JoinFaults returns the texts of faults, one a line.
func JoinFaults(faults []Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
