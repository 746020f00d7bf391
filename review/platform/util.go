//go:build review

package main

import "slices"

// sortRuns sorts runs by their time.
func sortRuns(all []run) {
	slices.SortFunc(all, func(a, b run) int { return a.at.Compare(b.at) })
}
