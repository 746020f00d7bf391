// Package jsonc parses JSON with comments and trailing commas into a tree of
// nodes that record their file and line, and reports faults with both.
//
// The package does no I/O.
package jsonc

import "strconv"

// Origin is the place that set a value. The zero Origin means a default value.
type Origin struct {
	File string
	Line int
}

// String returns "file:line", or "default" for the zero Origin.
func (o Origin) String() string {
	if o.File == "" {
		return "default"
	}
	return o.File + ":" + strconv.Itoa(o.Line)
}

// Kind is the JSON kind of a node.
type Kind byte

// JSON kinds. A boolean has the kind True or False.
const (
	Null   Kind = 'n'
	True   Kind = 't'
	False  Kind = 'f'
	String Kind = '"'
	Number Kind = '0'
	Object Kind = '{'
	Array  Kind = '['
)

// String returns the kind with an indefinite article where it has one.
func (k Kind) String() string {
	switch k {
	case Null:
		return "null"
	case True, False:
		return "a boolean"
	case String:
		return "a string"
	case Number:
		return "a number"
	case Object:
		return "an object"
	default:
		return "a list"
	}
}

// Node is a JSON value with its origin.
type Node struct {
	Kind   Kind
	Origin Origin
	// Text is the unquoted content of a string, or the literal of another scalar.
	Text string
	// Members holds the values of an object by key.
	Members map[string]*Node
	// Items holds the values of an array.
	Items []*Node
}
