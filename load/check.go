package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/standin"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// FaultKind says which promise an answer breaks.
type FaultKind string

// Kinds of faults.
const (
	FaultMalformed FaultKind = "malformed"  // the answer breaks the API
	FaultEcho      FaultKind = "echo"       // the answer to another request
	FaultVersion   FaultKind = "version"    // an index version that there isn't
	FaultCoverage  FaultKind = "coverage"   // the coverage contradicts itself
	FaultSnapshot  FaultKind = "snapshot"   // a record of another index version
	FaultDuplicate FaultKind = "duplicate"  // a record twice
	FaultOrder     FaultKind = "order"      // records out of order
	FaultRecords   FaultKind = "records"    // not the records of the shards that it claims
	FaultShard     FaultKind = "shard"      // an action at the wrong shard
	FaultRanTwice  FaultKind = "ran_twice"  // an action that ran more than once
	FaultRan       FaultKind = "ran"        // an action that ran though it was said not to
	FaultDidNotRun FaultKind = "didnt_run"  // an action that was answered but never ran
	FaultUnchecked FaultKind = "unverified" // the ledger couldn't be read
)

// Fault is one broken promise.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	Request string    `json:"request"`
	Detail  string    `json:"detail"`
}

// checkedSearch is what the checker knows of a search.
type checkedSearch struct {
	layout   standin.SearchLayout
	corpus   *corpus.Corpus
	versions map[string][]string // names of the shards
	records  int
}

// checker verifies answers. It is safe for concurrent use.
type checker struct {
	searches map[string]*checkedSearch
}

func newChecker(layouts []standin.Layout) *checker {
	c := &checker{searches: make(map[string]*checkedSearch)}
	for _, layout := range layouts {
		for _, s := range layout.Searches {
			search := &checkedSearch{
				layout: s, versions: make(map[string][]string), records: layout.Records,
				corpus: corpus.New(corpus.Options{Seed: layout.Seed, Search: s.Name, Kind: s.Kind, Records: layout.Records}),
			}
			for _, v := range s.Versions {
				search.versions[v.Name] = slices.Sorted(slices.Values(v.ShardNames()))
			}
			c.searches[s.Name] = search
		}
	}
	return c
}

// search returns what is known of a search.
func (c *checker) search(name string) (*checkedSearch, error) {
	s, ok := c.searches[name]
	if !ok {
		return nil, errors.NotFoundf("search %q at the stand-ins", name)
	}
	return s, nil
}

// check returns the first fault of an outcome, or nil.
func (c *checker) check(o Outcome) *Fault {
	fault := func(kind FaultKind, format string, args ...any) *Fault {
		return &Fault{Kind: kind, Request: o.Request.ID, Detail: fmt.Sprintf(format, args...)}
	}
	search := c.searches[o.Request.Stream.Search]
	switch {
	case o.Malformed:
		return fault(FaultMalformed, "code %s", o.Code)
	case o.Action != nil:
		if kind, detail := search.checkAction(o.Request, o.Action); kind != "" {
			return fault(kind, "%s", detail)
		}
	case o.Search != nil:
		if kind, detail := search.checkAnswer(o.Request, o.Search); kind != "" {
			return fault(kind, "%s", detail)
		}
	}
	return nil
}

func (s *checkedSearch) checkAction(r Request, a *ActionAnswer) (FaultKind, string) {
	if a.ID != r.ID || a.Search != r.Stream.Search {
		return FaultEcho, fmt.Sprintf("it is for %q of %q", a.ID, a.Search)
	}
	for _, shards := range s.versions {
		if corpus.ShardOf(r.Action.Key, shards) == a.Shard {
			return "", ""
		}
	}
	return FaultShard, fmt.Sprintf("key %s ran at %s", r.Action.Key, a.Shard)
}

func (s *checkedSearch) checkAnswer(r Request, a *SearchAnswer) (FaultKind, string) {
	if a.ID != r.ID || a.Search != r.Stream.Search {
		return FaultEcho, fmt.Sprintf("it is for %q of %q", a.ID, a.Search)
	}
	shards, ok := s.versions[a.Version]
	if !ok {
		return FaultVersion, a.Version
	}
	missing, detail := checkCoverage(a, shards)
	if detail != "" {
		return FaultCoverage, detail
	}
	if kind, detail := checkRecords(a); kind != "" {
		return kind, detail
	}
	want := s.corpus.ExpectedWithout(a.Version, shards, missing, r.Query)
	if a.Matched != want.Matched {
		return FaultRecords, fmt.Sprintf("%d matched, want %d", a.Matched, want.Matched)
	}
	if !slices.EqualFunc(a.Records, want.Records, sameRecord) {
		return FaultRecords, fmt.Sprintf("%d records differ from the %d expected", len(a.Records), len(want.Records))
	}
	return "", ""
}

// checkCoverage returns the missing shards, or what is wrong with the coverage.
func checkCoverage(a *SearchAnswer, shards []string) (missing []string, detail string) {
	c := a.Coverage
	for _, m := range c.Missing {
		if !slices.Contains(shards, m.Shard) || slices.Contains(missing, m.Shard) || m.Reason == "" {
			return nil, fmt.Sprintf("missing shard %q with reason %q", m.Shard, m.Reason)
		}
		missing = append(missing, m.Shard)
	}
	if c.Shards != len(shards) || c.Answered+len(missing) != c.Shards || a.Complete != (len(missing) == 0) {
		return nil, fmt.Sprintf("complete %v with %d of %d shards and %d missing, the version has %d",
			a.Complete, c.Answered, c.Shards, len(missing), len(shards))
	}
	slices.Sort(missing)
	return missing, ""
}

// checkRecords returns what is wrong with the records among themselves.
func checkRecords(a *SearchAnswer) (FaultKind, string) {
	seen := make(map[string]bool, len(a.Records))
	for i, record := range a.Records {
		var fields struct {
			Version string `json:"version"`
		}
		switch err := json.Unmarshal(record.Fields, &fields); {
		case err != nil || fields.Version != a.Version:
			return FaultSnapshot, fmt.Sprintf("record %s is of version %q in an answer of %q", record.Key, fields.Version, a.Version)
		case seen[record.Key]:
			return FaultDuplicate, "record " + record.Key
		case i > 0 && corpus.Compare(a.Records[i-1], record) > 0:
			return FaultOrder, "record " + record.Key
		}
		seen[record.Key] = true
	}
	return "", ""
}

func sameRecord(a, b wire.Record) bool {
	return a.Key == b.Key && a.Score == b.Score && bytes.Equal(a.Fields, b.Fields)
}

// checkRuns compares an action's outcome with how often it ran.
func checkRuns(id string, said code.RunStatus, runs int) *Fault {
	switch {
	case runs > 1:
		return &Fault{Kind: FaultRanTwice, Request: id, Detail: fmt.Sprintf("%d runs", runs)}
	case said == code.NotRun && runs > 0:
		return &Fault{Kind: FaultRan, Request: id, Detail: "said not to have run"}
	case said == code.Ran && runs == 0:
		return &Fault{Kind: FaultDidNotRun, Request: id, Detail: "said to have run"}
	}
	return nil
}
