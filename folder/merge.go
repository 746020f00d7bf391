package folder

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goldcrestmux/goldcrestmux/jsonc"
)

// merger merges the files of a folder and collects their faults.
type merger struct {
	root   *jsonc.Node
	seen   map[string]bool // names of the files added so far
	faults []Fault
	// incomplete is true if a file could not be parsed and was skipped.
	incomplete bool
}

func newMerger() *merger {
	return &merger{
		root: &jsonc.Node{Kind: jsonc.Object, Members: map[string]*jsonc.Node{}},
		seen: map[string]bool{},
	}
}

func sortFiles(files []File) []File {
	sorted := slices.Clone(files)
	slices.SortStableFunc(sorted, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

func (m *merger) add(f File) {
	origin := Origin{File: f.Name, Line: 1}
	if m.seen[f.Name] {
		m.fault(origin, "", "two files have this name", "each name once")
	}
	m.seen[f.Name] = true
	if len(f.Data) > MaxFileBytes {
		m.fault(origin, "", fmt.Sprintf("the file has %d bytes", len(f.Data)),
			fmt.Sprintf("at most %d bytes", MaxFileBytes))
		m.incomplete = true
		return
	}
	tree, faults := jsonc.Parse(f.Name, f.Data)
	m.faults = append(m.faults, faults...)
	if tree == nil {
		m.incomplete = true
		return
	}
	m.root = m.merge(m.root, tree, "")
}

func (m *merger) fault(o Origin, field, problem, allowed string) {
	m.faults = append(m.faults, o.Fault(field, problem, allowed))
}

// merge merges overlay into base and returns the result. Objects are merged
// recursively; any other value is replaced. A null is kept as the record of a
// deletion, so that a fault that follows from the deletion can name its line.
func (m *merger) merge(base, overlay *jsonc.Node, path string) *jsonc.Node {
	if base == nil || base.Kind == jsonc.Null {
		m.checkNulls(overlay, path)
		return overlay
	}
	if base.Kind != jsonc.Object || overlay.Kind != jsonc.Object {
		m.checkMembers(overlay, path)
		return overlay
	}
	for name, n := range overlay.Members {
		base.Members[name] = m.merge(base.Members[name], n, jsonc.MemberPath(path, name))
	}
	return base
}

// checkNulls reports each null in n, because there is no value that it deletes.
func (m *merger) checkNulls(n *jsonc.Node, path string) {
	if n.Kind == jsonc.Null {
		m.fault(n.Origin, path, "null deletes a value that no earlier file sets",
			"null for a value that a file earlier in the order of names sets")
		return
	}
	m.checkMembers(n, path)
}

func (m *merger) checkMembers(n *jsonc.Node, path string) {
	for name, member := range n.Members {
		m.checkNulls(member, jsonc.MemberPath(path, name))
	}
}
