package scenario

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// lookup returns the values that a path selects in a JSON document. The path
// consists of keys joined by dots. A key may be followed by [KEY=VALUE], which
// selects the elements of an array in which KEY has the value, or by [*],
// which selects all. The key "len" is the length of an array.
func lookup(doc any, path string) []any {
	values := []any{doc}
	for _, key := range splitPath(path) {
		name, filter, filtered := strings.Cut(key, "[")
		var next []any
		for _, v := range values {
			v, ok := child(v, name)
			switch {
			case !ok:
			case filtered:
				next = append(next, elements(v, strings.TrimSuffix(filter, "]"))...)
			default:
				next = append(next, v)
			}
		}
		values = next
	}
	return values
}

// splitPath splits a path at the dots outside brackets.
func splitPath(path string) []string {
	depth := 0
	return strings.FieldsFunc(path, func(r rune) bool {
		switch r {
		case '[':
			depth++
		case ']':
			depth--
		}
		return r == '.' && depth == 0
	})
}

func child(v any, name string) (any, bool) {
	switch v := v.(type) {
	case map[string]any:
		c, ok := v[name]
		return c, ok
	case []any:
		return float64(len(v)), name == "len"
	default:
		return 0.0, v == nil && name == "len" // null is an empty array
	}
}

func elements(v any, filter string) []any {
	list, _ := v.([]any)
	key, value, filtered := strings.Cut(filter, "=")
	if !filtered {
		return list
	}
	var out []any
	for _, e := range list {
		if c, ok := child(e, key); ok && formatValue(c) == value {
			out = append(out, e)
		}
	}
	return out
}

func formatValue(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	case bool:
		return strconv.FormatBool(v)
	default:
		return ""
	}
}

// compare reports whether "a op b" holds. It compares both as numbers, durations or
// times if both can be parsed as such, and otherwise as strings.
func compare(a, op, b string) (bool, error) {
	order := strings.Compare(a, b)
	if x, y, ok := parseBoth(a, b, parseNumber); ok {
		order = sign(x - y)
	} else if x, y, ok := parseBoth(a, b, parseTime); ok {
		order = x.Compare(y)
	}
	switch op {
	case "==":
		return order == 0, nil
	case "!=":
		return order != 0, nil
	case "<":
		return order < 0, nil
	case "<=":
		return order <= 0, nil
	case ">":
		return order > 0, nil
	case ">=":
		return order >= 0, nil
	default:
		return false, errors.NotValidf("operator %q", op)
	}
}

func parseBoth[T any](a, b string, parse func(string) (T, error)) (x, y T, ok bool) {
	x, errA := parse(a)
	y, errB := parse(b)
	return x, y, errA == nil && errB == nil
}

// parseNumber parses a number, or a duration, which it returns in seconds.
func parseNumber(s string) (float64, error) {
	if f, err := strconv.ParseFloat(s, 64); err == nil {
		return f, nil
	}
	d, err := time.ParseDuration(s)
	return d.Seconds(), err
}

func parseTime(s string) (time.Time, error) { return time.Parse(time.RFC3339Nano, s) }

func sign(f float64) int {
	switch {
	case f < 0:
		return -1
	case f > 0:
		return 1
	default:
		return 0
	}
}
