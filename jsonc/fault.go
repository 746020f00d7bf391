package jsonc

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a file.
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

// Fault returns a fault at the origin.
func (o Origin) Fault(field, problem, allowed string) Fault {
	return Fault{File: o.File, Line: o.Line, Field: field, Problem: problem, Allowed: allowed}
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
