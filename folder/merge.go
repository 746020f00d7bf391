package folder

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goldcrestmux/goldcrestmux/jsonc"
)

// merger lays the files of a folder one over another and collects their faults.
type merger struct {
	root   *jsonc.Node
	seen   map[string]bool // names of the files so far
	faults []Fault
	// incomplete is true if a file could not be read and was left out.
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
	start := Origin{File: f.Name, Line: 1}
	if m.seen[f.Name] {
		m.fault(start, "", "two files have this name", "each name once")
	}
	m.seen[f.Name] = true
	if len(f.Data) > MaxFileBytes {
		m.fault(start, "", fmt.Sprintf("the file has %d bytes", len(f.Data)),
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

// merge lays over upon base: objects deeply, everything else replaced. A null
// replaces too and stays as the mark of a deletion, so that a fault which
// follows from it can name its place.
func (m *merger) merge(base, over *jsonc.Node, path string) *jsonc.Node {
	if base == nil || base.Kind == jsonc.Null {
		m.checkNulls(over, path)
		return over
	}
	if base.Kind != jsonc.Object || over.Kind != jsonc.Object {
		m.checkInner(over, path)
		return over
	}
	for name, n := range over.Members {
		base.Members[name] = m.merge(base.Members[name], n, jsonc.MemberPath(path, name))
	}
	return base
}

// checkNulls reports each null in n, since nothing is there to delete.
func (m *merger) checkNulls(n *jsonc.Node, path string) {
	if n.Kind == jsonc.Null {
		m.fault(n.Origin, path, "null deletes a value that no earlier file sets",
			"null for a value of a file earlier in the order of names")
		return
	}
	m.checkInner(n, path)
}

func (m *merger) checkInner(n *jsonc.Node, path string) {
	for name, member := range n.Members {
		m.checkNulls(member, jsonc.MemberPath(path, name))
	}
}
