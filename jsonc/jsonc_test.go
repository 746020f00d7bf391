package jsonc

import (
	"strings"
	"testing"
)

// TestMaxDepth checks that deep nesting is reported as a fault and does not
// overflow the stack, and that brackets in strings and comments are not counted.
func TestMaxDepth(t *testing.T) {
	const many = 1 << 20
	cases := []struct {
		name, text string
		fault      string
	}{
		{"unclosed lists", "\n" + strings.Repeat("[", many), "f:2: a value is nested too deeply; allowed: at most 32 nested objects and lists"},
		{"unclosed objects", strings.Repeat(`{"a":`, many), "f:1: a value is nested too deeply; allowed: at most 32 nested objects and lists"},
		{"after a string", `{"a\\": ` + strings.Repeat("[", many), "f:1: a value is nested too deeply; allowed: at most 32 nested objects and lists"},
		{"maximum depth", `{"a": ` + strings.Repeat("[", MaxDepth-1) + strings.Repeat("]", MaxDepth-1) + "}", ""},
		{"strings and comments", `{"a": "\"` + strings.Repeat("[", many) + `", // ` + strings.Repeat("[", many) +
			"\n/* " + strings.Repeat("{", many) + " */}", ""},
		{"unclosed string", `{"` + strings.Repeat("[", many), "f:1: column 1048579: parsing string: unexpected EOF; allowed: JSON with comments and trailing commas"},
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
