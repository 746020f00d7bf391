package folder

import "strings"

// Change is one field in which two folders differ.
type Change struct {
	Path string
	// Before and After are the values encoded as JSON. They are empty if the field
	// is absent.
	Before, After string
	// BeforeOrigin and AfterOrigin are the places that set Before and After. They
	// are zero for a default value and for an absent field.
	BeforeOrigin, AfterOrigin Origin
}

// Diff returns the fields whose values differ between a and b, sorted by path.
// A value that only moved to another file is not a change.
func Diff(a, b *Merged) []Change {
	var changes []Change
	before, after := a.Fields(), b.Fields()
	for len(before) > 0 || len(after) > 0 {
		switch order := comparePaths(before, after); {
		case order < 0:
			changes = append(changes, Change{Path: before[0].Path, Before: before[0].Value, BeforeOrigin: before[0].Origin})
			before = before[1:]
		case order > 0:
			changes = append(changes, Change{Path: after[0].Path, After: after[0].Value, AfterOrigin: after[0].Origin})
			after = after[1:]
		default:
			if before[0].Value != after[0].Value {
				changes = append(changes, Change{
					before[0].Path, before[0].Value, after[0].Value, before[0].Origin, after[0].Origin,
				})
			}
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

// comparePaths compares the paths of the first fields of a and b. An empty list
// is greater than any other.
func comparePaths(a, b []Field) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return strings.Compare(a[0].Path, b[0].Path)
	}
}
