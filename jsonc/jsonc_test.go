package jsonc

import (
	"strings"
	"testing"
)

// TestDepth checks that a value nested without end is a fault and not a stack
// overflow, and that brackets in strings and comments don't count.
func TestDepth(t *testing.T) {
	const many = 1 << 20
	cases := []struct {
		name, text string
		fault      string
	}{
		{"open lists", "\n" + strings.Repeat("[", many), "f:2: a value stands too deep; allowed: at most 32 objects and lists in one another"},
		{"open objects", strings.Repeat(`{"a":`, many), "f:1: a value stands too deep; allowed: at most 32 objects and lists in one another"},
		{"after a string", `{"a\\": ` + strings.Repeat("[", many), "f:1: a value stands too deep; allowed: at most 32 objects and lists in one another"},
		{"at the bound", `{"a": ` + strings.Repeat("[", MaxDepth-1) + strings.Repeat("]", MaxDepth-1) + "}", ""},
		{"strings and comments", `{"a": "\"` + strings.Repeat("[", many) + `", // ` + strings.Repeat("[", many) +
			"\n/* " + strings.Repeat("{", many) + " */}", ""},
		{"open string", `{"` + strings.Repeat("[", many), "f:1: column 1048579: parsing string: unexpected EOF; allowed: JSON with comments and trailing commas"},
	}
	for _, c := range cases {
		_, faults := Parse("f", []byte(c.text))
		got := ""
		if len(faults) > 0 {
			got = faults[0].String()
		}
		if got != c.fault || len(faults) > 1 {
			t.Errorf("%s: faults %v, want %q", c.name, faults, c.fault)
		}
	}
}
