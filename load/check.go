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

// FaultKind is the kind of guarantee that a response or an action violates.
type FaultKind string

// Kinds of faults.
const (
	FaultMalformed      FaultKind = "malformed"  // the response does not conform to the API
	FaultWrongRequest   FaultKind = "echo"       // the response to another request
	FaultUnknownVersion FaultKind = "version"    // an index version that does not exist
	FaultCoverage       FaultKind = "coverage"   // the coverage contradicts itself
	FaultSnapshot       FaultKind = "snapshot"   // a record of another index version
	FaultDuplicate      FaultKind = "duplicate"  // a record that occurs more than once
	FaultOrder          FaultKind = "order"      // records out of order
	FaultRecords        FaultKind = "records"    // not the records of the shards that the response covers
	FaultWrongShard     FaultKind = "shard"      // an action executed at the wrong shard
	FaultRanTwice       FaultKind = "ran_twice"  // an action that ran more than once
	FaultRan            FaultKind = "ran"        // an action that ran although it was reported as not run
	FaultDidNotRun      FaultKind = "didnt_run"  // an action that was reported as run but did not run
	FaultUnverified     FaultKind = "unverified" // actions that were not compared with the ledger because it could not be read
)

// Fault is one violated guarantee.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	Request string    `json:"request"`
	Detail  string    `json:"detail"`
}

// searchChecker checks the responses of one search.
type searchChecker struct {
	layout   standin.SearchLayout
	corpus   *corpus.Corpus
	versions map[string][]string // sorted shard names by version
	records  int
}

// checker checks outcomes. It is safe for concurrent use.
type checker struct {
	searches map[string]*searchChecker
}

func newChecker(layouts []standin.Layout) *checker {
	c := &checker{searches: make(map[string]*searchChecker)}
	for _, layout := range layouts {
		for _, s := range layout.Searches {
			search := &searchChecker{
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

// search returns the checker of a search.
func (c *checker) search(name string) (*searchChecker, error) {
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
		if kind, detail := search.checkSearch(o.Request, o.Search); kind != "" {
			return fault(kind, "%s", detail)
		}
	}
	return nil
}

func (s *searchChecker) checkAction(r Request, resp *ActionResponse) (FaultKind, string) {
	if resp.ID != r.ID || resp.Search != r.Stream.Search {
		return FaultWrongRequest, fmt.Sprintf("the response is for request %q of search %q", resp.ID, resp.Search)
	}
	for _, shards := range s.versions {
		if corpus.ShardOf(r.Action.Key, shards) == resp.Shard {
			return "", ""
		}
	}
	return FaultWrongShard, fmt.Sprintf("key %s was executed at shard %s", r.Action.Key, resp.Shard)
}

func (s *searchChecker) checkSearch(r Request, resp *SearchResponse) (FaultKind, string) {
	if resp.ID != r.ID || resp.Search != r.Stream.Search {
		return FaultWrongRequest, fmt.Sprintf("the response is for request %q of search %q", resp.ID, resp.Search)
	}
	shards, ok := s.versions[resp.Version]
	if !ok {
		return FaultUnknownVersion, resp.Version
	}
	missing, detail := checkCoverage(resp, shards)
	if detail != "" {
		return FaultCoverage, detail
	}
	if kind, detail := checkRecords(resp); kind != "" {
		return kind, detail
	}
	want := s.corpus.ExpectedWithout(resp.Version, shards, missing, r.Query)
	if resp.Matched != want.Matched {
		return FaultRecords, fmt.Sprintf("%d matched, want %d", resp.Matched, want.Matched)
	}
	if !slices.EqualFunc(resp.Records, want.Records, sameRecord) {
		return FaultRecords, fmt.Sprintf("%d records differ from the %d expected", len(resp.Records), len(want.Records))
	}
	return "", ""
}

// checkCoverage returns the sorted names of the missing shards, or a description of
// the fault in the coverage.
func checkCoverage(resp *SearchResponse, shards []string) (missing []string, detail string) {
	c := resp.Coverage
	for _, m := range c.Missing {
		if !slices.Contains(shards, m.Shard) || slices.Contains(missing, m.Shard) || m.Reason == "" {
			return nil, fmt.Sprintf("invalid missing shard %q with reason %q", m.Shard, m.Reason)
		}
		missing = append(missing, m.Shard)
	}
	if c.Shards != len(shards) || c.Responded+len(missing) != c.Shards || resp.Complete != (len(missing) == 0) {
		return nil, fmt.Sprintf("complete %v with %d of %d shards and %d missing, the version has %d",
			resp.Complete, c.Responded, c.Shards, len(missing), len(shards))
	}
	slices.Sort(missing)
	return missing, ""
}

// checkRecords checks that the records are of the response's version, unique and in
// order. It returns the kind and a description of the first fault.
func checkRecords(resp *SearchResponse) (FaultKind, string) {
	seen := make(map[string]bool, len(resp.Records))
	for i, record := range resp.Records {
		var fields struct {
			Version string `json:"version"`
		}
		switch err := json.Unmarshal(record.Fields, &fields); {
		case err != nil || fields.Version != resp.Version:
			return FaultSnapshot, fmt.Sprintf("record %s is of version %q in a response of version %q", record.Key, fields.Version, resp.Version)
		case seen[record.Key]:
			return FaultDuplicate, "record " + record.Key
		case i > 0 && corpus.Compare(resp.Records[i-1], record) > 0:
			return FaultOrder, "record " + record.Key
		}
		seen[record.Key] = true
	}
	return "", ""
}

func sameRecord(a, b wire.Record) bool {
	return a.Key == b.Key && a.Score == b.Score && bytes.Equal(a.Fields, b.Fields)
}

// checkExecutions compares what was reported of an action with the number of its
// executions. It returns nil if they agree.
func checkExecutions(id string, reported code.RunStatus, executions int) *Fault {
	switch {
	case executions > 1:
		return &Fault{Kind: FaultRanTwice, Request: id, Detail: fmt.Sprintf("%d executions", executions)}
	case reported == code.NotRun && executions > 0:
		return &Fault{Kind: FaultRan, Request: id, Detail: "reported as not run"}
	case reported == code.Ran && executions == 0:
		return &Fault{Kind: FaultDidNotRun, Request: id, Detail: "reported as run"}
	}
	return nil
}
