package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault describes one error in a file.
type Fault struct {
	// File is the name of the file, or of another source of the value.
	File string
	// Line is the line number, counted from 1. It is 0 for a source without lines.
	Line int
	// Field is the path of the field, such as "targets.judges-01-a.slots". It is
	// empty if the fault concerns the whole file.
	Field string
	// Problem describes the error.
	Problem string
	// Allowed describes the allowed values.
	Allowed string
}

// Fault returns a fault at o.
func (o Origin) Fault(field, problem, allowed string) Fault {
	return Fault{File: o.File, Line: o.Line, Field: field, Problem: problem, Allowed: allowed}
}

// String returns the fault in the form "file:line: field: problem; allowed:
// values". It omits the parts that are not set.
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

// SortFaults returns faults sorted by file, line, field and problem, without
// duplicates.
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

// JoinFaults returns the texts of faults, one per line.
func JoinFaults(faults []Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
