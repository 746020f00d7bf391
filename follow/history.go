package follow

import (
	"container/list"

	"github.com/goldcrestmux/goldcrestmux/catalog"
)

// history holds changes in the order of their revisions, without those that a later change
// of the same key makes unneeded. It is not safe for concurrent use.
type history struct {
	changes  *list.List // of *change, oldest first
	byKey    map[string]keyChanges
	bytes    int // estimated memory of all changes
	maxBytes int
	// compacted is the revision up to which changes are no longer kept.
	compacted uint64
}

// change is one change and its estimated memory.
type change struct {
	item  catalog.Item
	bytes int
}

// keyChanges holds the changes of one key that are kept. Either is nil if there is none, and
// both may be the same.
type keyChanges struct {
	// content is the change that a catalog.State keeps the content of: a later one may be
	// unreadable, a deletion, or of a lower version, which a State ignores.
	content *list.Element
	last    *list.Element
}

// historyOverhead is the estimated memory of a change beside that of its item, in bytes.
const historyOverhead = 160

// newHistory returns a history that begins after the given revision and keeps changes of
// at most maxBytes of memory.
func newHistory(compacted uint64, maxBytes int) *history {
	return &history{changes: list.New(), byKey: map[string]keyChanges{}, maxBytes: maxBytes, compacted: compacted}
}

// add adds the latest change.
func (h *history) add(it catalog.Item) {
	key := itemKey(&it)
	kept := h.byKey[key]
	if kept.last != kept.content {
		h.remove(kept.last)
	}
	c := &change{item: it, bytes: it.Bytes() + len(key) + historyOverhead}
	kept.last = h.changes.PushBack(c)
	h.bytes += c.bytes
	if it.HasContent() && (kept.content == nil || it.Replaces(&kept.content.Value.(*change).item)) {
		h.remove(kept.content)
		kept.content = kept.last
	}
	h.byKey[key] = kept
	h.setLimit(h.maxBytes)
}

// setLimit sets the memory of all changes and drops the oldest ones beyond it.
func (h *history) setLimit(maxBytes int) {
	for h.maxBytes = maxBytes; h.bytes > h.maxBytes; {
		h.dropOldest()
	}
}

// remove removes a change, which may be nil, from the list.
func (h *history) remove(e *list.Element) {
	if e != nil {
		h.bytes -= h.changes.Remove(e).(*change).bytes
	}
}

// dropOldest removes the oldest change, so that the history no longer begins before it.
func (h *history) dropOldest() {
	e := h.changes.Front()
	it := &e.Value.(*change).item
	key := itemKey(it)
	kept := h.byKey[key]
	if kept.content == e {
		kept.content = nil
	}
	if kept.last == e {
		kept.last = nil
	}
	if kept == (keyChanges{}) {
		delete(h.byKey, key)
	} else {
		h.byKey[key] = kept
	}
	h.compacted = max(h.compacted, it.Revision)
	h.remove(e)
}

// after returns the changes after a revision, oldest first.
func (h *history) after(revision uint64) []catalog.Item {
	var items []catalog.Item
	for e := h.changes.Front(); e != nil; e = e.Next() {
		if it := e.Value.(*change).item; it.Revision > revision {
			items = append(items, it)
		}
	}
	return items
}
