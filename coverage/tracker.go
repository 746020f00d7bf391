// Package coverage tracks which shards of a pinned shard map have responded to a
// query, and merges their records into one result.
//
// Completeness is always derived from the responses and cannot be set. The
// package does no I/O and reads no clock.
package coverage

import (
	"slices"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Tracker records the outcome of each shard of one query. It is not safe for
// concurrent use.
type Tracker struct {
	shards    *Shards
	entries   []shardEntry
	responded int
	pending   int
}

type shardEntry struct {
	records   []wire.Record
	matched   uint32
	responded bool
	// reason is why the shard is missing, or empty while it is pending.
	reason code.Code
}

// Report describes a query's coverage.
type Report struct {
	// Shards is the number of shards of the pinned map.
	Shards int
	// Responded is the number of shards that responded.
	Responded int
	// Missing lists the shards without a response, in ascending order.
	Missing []Missing
}

// Missing is a shard without a response and the reason.
type Missing struct {
	Shard  string    `json:"shard"`
	Reason code.Code `json:"reason"`
}

// New returns a tracker in which every given shard is pending.
func New(shards []string) *Tracker { return NewTracker(NewShards(shards)) }

// NewTracker returns a tracker in which every shard of the set is pending.
func NewTracker(shards *Shards) *Tracker {
	count := len(shards.names)
	return &Tracker{shards: shards, entries: make([]shardEntry, count), pending: count}
}

// AddResponse records a shard's response. It retains records, which must not be
// modified afterwards. It returns false, and changes nothing, if the shard is not
// in the map or has responded before. A response replaces an earlier MarkMissing.
func (t *Tracker) AddResponse(shard string, records []wire.Record, matched uint32) bool {
	e := t.entry(shard)
	if e == nil || e.responded {
		return false
	}
	if e.reason == "" {
		t.pending--
	}
	t.responded++
	*e = shardEntry{records: sorted(records), matched: matched, responded: true}
	return true
}

// MarkMissing records why a shard is given up. A later call replaces the reason.
// The call has no effect for a shard that has responded or is not in the map, or
// if the reason is code.OK or empty.
func (t *Tracker) MarkMissing(shard string, reason code.Code) {
	e := t.entry(shard)
	if e == nil || e.responded || reason == "" || reason == code.OK {
		return
	}
	if e.reason == "" {
		t.pending--
	}
	e.reason = reason
}

// Complete reports whether every shard has responded. A map without shards is
// never complete.
func (t *Tracker) Complete() bool { return t.responded > 0 && t.responded == len(t.entries) }

// Pending returns the number of shards that have neither responded nor been given
// up.
func (t *Tracker) Pending() int { return t.pending }

// Responded returns the number of shards that responded.
func (t *Tracker) Responded() int { return t.responded }

// Fraction returns the fraction of shards, from 0 to 1, that responded. It is 0
// for a map without shards.
func (t *Tracker) Fraction() float64 {
	if len(t.entries) == 0 {
		return 0
	}
	return float64(t.responded) / float64(len(t.entries))
}

// Report returns the current coverage. Pending shards are reported as missing
// with code.Timeout.
func (t *Tracker) Report() Report {
	r := Report{Shards: len(t.entries), Responded: t.responded}
	if t.responded == len(t.entries) {
		return r
	}
	r.Missing = make([]Missing, 0, len(t.entries)-t.responded)
	for i := range t.entries {
		e := &t.entries[i]
		if e.responded {
			continue
		}
		reason := e.reason
		if reason == "" {
			reason = code.Timeout
		}
		r.Missing = append(r.Missing, Missing{Shard: t.shards.names[i], Reason: reason})
	}
	return r
}

func (t *Tracker) entry(shard string) *shardEntry {
	i, ok := t.shards.index[shard]
	if !ok {
		return nil
	}
	return &t.entries[i]
}

// sorted returns the records in merge order. It sorts a copy if a target returned
// them in another order.
func sorted(records []wire.Record) []wire.Record {
	if isSorted(records) {
		return records
	}
	clone := slices.Clone(records)
	slices.SortStableFunc(clone, compareRecords)
	return clone
}

// isSorted reports whether the records are in merge order. It avoids a full
// comparison where the scores alone decide.
func isSorted(records []wire.Record) bool {
	for i := 1; i < len(records); i++ {
		previous, current := &records[i-1], &records[i]
		if previous.Score > current.Score {
			continue
		}
		if compareRecords(*previous, *current) > 0 {
			return false
		}
	}
	return true
}
