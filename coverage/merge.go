package coverage

import (
	"cmp"
	"strings"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Merged is the combined result of the shards that responded.
type Merged struct {
	// Records holds the best records in descending order of score, then
	// ascending key. Each key occurs once.
	Records []wire.Record
	// Matched is the number of matching records that the shards counted, minus
	// Duplicates. It is exact if the merge has read every matching record, and an
	// upper bound otherwise.
	Matched uint64
	// Duplicates is the number of records dropped because a record with the same
	// key and an equal or higher score was merged before.
	Duplicates int
}

// compareRecords orders records by descending score, then ascending key.
func compareRecords(a, b wire.Record) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return strings.Compare(a.Key, b.Key)
}

// cursor holds the records of one shard that are not merged yet. It is never
// empty while it is in a heap.
type cursor struct {
	rest []wire.Record
}

func (c *cursor) before(d *cursor) bool {
	a, b := &c.rest[0], &d.rest[0]
	if a.Score != b.Score {
		return cmp.Less(b.Score, a.Score)
	}
	return a.Key < b.Key
}

// Merge returns the first limit records of all shards that responded, or all
// records if limit is 0 or less. A key found in several shards is kept once, with
// its highest score.
func (t *Tracker) Merge(limit int) Merged {
	heap, total, matched := t.cursors()
	if limit <= 0 || limit > total {
		limit = total
	}
	out := Merged{Matched: matched, Records: make([]wire.Record, 0, limit)}
	seen := make(map[string]struct{}, limit)
	heapify(heap)
	for len(heap) > 0 && len(out.Records) < limit {
		record := &heap[0].rest[0]
		if _, dup := seen[record.Key]; dup {
			out.Duplicates++
		} else {
			seen[record.Key] = struct{}{}
			out.Records = append(out.Records, *record)
		}
		heap = advance(heap)
	}
	out.Matched -= min(out.Matched, uint64(out.Duplicates))
	return out
}

// cursors returns a cursor for each shard with records, the number of records
// and the number of matches.
func (t *Tracker) cursors() (heap []cursor, total int, matched uint64) {
	heap = make([]cursor, 0, t.responded)
	for i := range t.entries {
		e := &t.entries[i]
		matched += uint64(e.matched)
		total += len(e.records)
		if len(e.records) > 0 {
			heap = append(heap, cursor{rest: e.records})
		}
	}
	return heap, total, matched
}

// heapify orders the slice as a binary heap with the cursor of the first record
// in merge order at index 0.
func heapify(heap []cursor) {
	for i := len(heap)/2 - 1; i >= 0; i-- {
		siftDown(heap, i)
	}
}

// advance removes the first record in merge order and restores the heap.
func advance(heap []cursor) []cursor {
	heap[0].rest = heap[0].rest[1:]
	if len(heap[0].rest) == 0 {
		last := len(heap) - 1
		heap[0] = heap[last]
		heap = heap[:last]
	}
	if len(heap) > 1 {
		siftDown(heap, 0)
	}
	return heap
}

// siftDown moves the cursor at index i down until the heap order holds below it.
func siftDown(heap []cursor, i int) {
	for {
		best := 2*i + 1
		if best >= len(heap) {
			return
		}
		if right := best + 1; right < len(heap) && heap[right].before(&heap[best]) {
			best = right
		}
		if !heap[best].before(&heap[i]) {
			return
		}
		heap[i], heap[best] = heap[best], heap[i]
		i = best
	}
}
