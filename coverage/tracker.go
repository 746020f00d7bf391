// Package coverage keeps account of which shards of a pinned shard map a query
// has heard from, and merges their records into one answer.
//
// Completeness is derived from the ledger and never set. The package does no
// I/O and reads no clock.
package coverage

import (
	"slices"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Tracker records the outcome of each shard of one query. It is not locked; the
// caller serialises.
type Tracker struct {
	shards   *Shards
	entries  []entry
	answered int
	open     int
}

type entry struct {
	records  []wire.Record
	matched  uint32
	answered bool
	// reason is why the shard is missing, or empty while it is open.
	reason code.Code
}

// Report states a query's coverage.
type Report struct {
	// Shards is the number of shards of the pinned map.
	Shards int
	// Responded is the number of shards that answered.
	Responded int
	// Missing names each shard without an answer, in ascending order.
	Missing []Missing
}

// Missing names a shard without an answer and the reason.
type Missing struct {
	Shard  string    `json:"shard"`
	Reason code.Code `json:"reason"`
}

// New returns a ledger in which every given shard is open.
func New(shards []string) *Tracker { return NewTracker(NewShards(shards)) }

// NewTracker returns a ledger in which every shard of the prepared set is open.
func NewTracker(shards *Shards) *Tracker {
	count := len(shards.names)
	return &Tracker{shards: shards, entries: make([]entry, count), open: count}
}

// AddResponse records a shard's answer. It keeps the slice, which the caller must
// not change afterwards. It returns false, and changes nothing, if the shard
// isn't in the map or has answered before. An answer replaces an earlier Miss.
func (l *Tracker) AddResponse(shard string, records []wire.Record, matched uint32) bool {
	e := l.entry(shard)
	if e == nil || e.answered {
		return false
	}
	if e.reason == "" {
		l.open--
	}
	l.answered++
	*e = entry{records: inOrder(records), matched: matched, answered: true}
	return true
}

// MarkMissing records why a shard is given up. A later MarkMissing replaces the reason. MarkMissing
// is ignored for a shard that has answered or isn't in the map, and for code.OK
// or an empty reason.
func (l *Tracker) MarkMissing(shard string, reason code.Code) {
	e := l.entry(shard)
	if e == nil || e.answered || reason == "" || reason == code.OK {
		return
	}
	if e.reason == "" {
		l.open--
	}
	e.reason = reason
}

// Complete tells whether every shard has answered. A map without shards is
// never complete.
func (l *Tracker) Complete() bool { return l.answered > 0 && l.answered == len(l.entries) }

// Pending returns the number of shards that have neither answered nor been given up.
func (l *Tracker) Pending() int { return l.open }

// Responded returns the number of shards that answered.
func (l *Tracker) Responded() int { return l.answered }

// Fraction returns the share of shards, from 0 to 1, that answered.
func (l *Tracker) Fraction() float64 {
	if len(l.entries) == 0 {
		return 0
	}
	return float64(l.answered) / float64(len(l.entries))
}

// Report returns the coverage as of now. Shards still open are reported as
// missing with code.Timeout.
func (l *Tracker) Report() Report {
	r := Report{Shards: len(l.entries), Responded: l.answered}
	if l.answered == len(l.entries) {
		return r
	}
	r.Missing = make([]Missing, 0, len(l.entries)-l.answered)
	for i := range l.entries {
		e := &l.entries[i]
		if e.answered {
			continue
		}
		reason := e.reason
		if reason == "" {
			reason = code.Timeout
		}
		r.Missing = append(r.Missing, Missing{Shard: l.shards.names[i], Reason: reason})
	}
	return r
}

func (l *Tracker) entry(shard string) *entry {
	i, ok := l.shards.index[shard]
	if !ok {
		return nil
	}
	return &l.entries[i]
}

// inOrder returns the records in merge order, sorting a copy if a target
// answered them otherwise.
func inOrder(records []wire.Record) []wire.Record {
	if isInOrder(records) {
		return records
	}
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, compare)
	return sorted
}

// isInOrder avoids a full comparison where the scores alone decide.
func isInOrder(records []wire.Record) bool {
	for i := 1; i < len(records); i++ {
		before, after := &records[i-1], &records[i]
		if before.Score > after.Score {
			continue
		}
		if compare(*before, *after) > 0 {
			return false
		}
	}
	return true
}
