// Package jsonc reads JSON with comments and trailing commas into a tree whose
// nodes know their file and line, and reports faults by them.
//
// The package does no I/O.
package jsonc

import "strconv"

// Origin is the place that set a value. The zero Origin stands for a default.
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

// JSON kinds. A boolean has two, which hold its value.
const (
	Null   Kind = 'n'
	True   Kind = 't'
	False  Kind = 'f'
	String Kind = '"'
	Number Kind = '0'
	Object Kind = '{'
	Array  Kind = '['
)

// String returns the kind with its article.
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

// Node is a JSON value together with its origin.
type Node struct {
	Kind   Kind
	Origin Origin
	// Text is the unquoted content of a string, or the literal of a number.
	Text string
	// Members holds an object's values by key.
	Members map[string]*Node
	// Items holds an array's values.
	Items []*Node
}
