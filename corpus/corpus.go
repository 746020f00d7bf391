// Package corpus generates the deterministic records that the stand-in targets
// search, and computes the expected result of any query over them. The targets
// and the code that checks their responses derive the records from the same seed,
// so that neither needs the other's data.
package corpus

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Kind selects what the records describe.
type Kind string

// Kinds of records.
const (
	Competition Kind = "competition" // title, category, club, entrant
	Substance   Kind = "substance"   // substance, endpoint, dossier, summary
)

// DefaultRecords is the number of records of a corpus.
const DefaultRecords = 2000

// maxScore is the exclusive upper bound of scores. Scores are whole numbers, so
// that some are equal and the order by key matters.
const maxScore = 1000

// maxCachedResults is the maximum number of expected results that a corpus caches.
const maxCachedResults = 4096

// Options configures a corpus.
type Options struct {
	// Seed determines the content; equal seeds give equal records.
	Seed uint64
	// Search is the name of the search; each search has its own records.
	Search string
	// Kind is what the records describe; empty means Competition.
	Kind Kind
	// Records is the number of records; zero means DefaultRecords.
	Records int
}

// Entry is a record with the values that queries match.
type Entry struct {
	Record   wire.Record
	Words    []string // the words of the title or summary
	Category string   // the category or endpoint
}

// Result is the expected result of a query: the number of records that match and
// the first of them up to the query's limit.
type Result struct {
	Matched int
	Records []wire.Record
}

// Corpus holds the records of one search. Methods are safe for concurrent use.
type Corpus struct {
	options Options

	mu       sync.Mutex
	versions map[string][]Entry
	shards   map[string]map[string][]Entry
	results  map[string]Result
}

// New returns the corpus that the options describe. It generates records when
// they are first used.
func New(o Options) *Corpus {
	if o.Kind == "" {
		o.Kind = Competition
	}
	o.Records = cmp.Or(o.Records, DefaultRecords)
	return &Corpus{
		options:  o,
		versions: make(map[string][]Entry),
		shards:   make(map[string]map[string][]Entry),
		results:  make(map[string]Result),
	}
}

// Key returns the key of the i-th record of any corpus of the kind.
func Key(kind Kind, i int) string {
	return fmt.Sprintf("%s-%06d", strings.ToUpper(string(kind[:1])), i)
}

// ShardOf returns the name of the shard that holds the key, in a version with the
// given shards, which must be in ascending order.
func ShardOf(key string, sorted []string) string {
	return folder.ShardOf(key, sorted)
}

// Shard returns the entries of one shard of a version in the order of Compare.
// They must not be modified.
func (c *Corpus) Shard(version string, shardNames []string, shard string) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partition(version, shardNames)[shard]
}

// Search returns the number of entries that match the query, and the first of
// them up to the query's limit. The entries must be in the order of Compare.
func Search(entries []Entry, q targetapi.Query) (matched int, top []wire.Record) {
	for i := range entries {
		e := &entries[i]
		if !e.matches(q) {
			continue
		}
		matched++
		if len(top) < q.Limit {
			top = append(top, e.Record)
		}
	}
	return matched, top
}

// Expected returns the result of a query over all shards of a version.
func (c *Corpus) Expected(version string, shardNames []string, q targetapi.Query) Result {
	return c.ExpectedWithout(version, shardNames, nil, q)
}

// ExpectedWithout returns the result of a query over all shards of a version
// except the missing ones.
func (c *Corpus) ExpectedWithout(version string, shardNames, missing []string, q targetapi.Query) Result {
	key := fmt.Sprintf("%s|%d|%s|%s|%s|%d", version, len(shardNames), strings.Join(missing, ","), q.Text, q.Category, q.Limit)
	c.mu.Lock()
	defer c.mu.Unlock()
	if result, ok := c.results[key]; ok {
		return result
	}
	result := c.search(version, shardNames, missing, q)
	if len(c.results) < maxCachedResults {
		c.results[key] = result
	}
	return result
}

func (c *Corpus) search(version string, shardNames, missing []string, q targetapi.Query) Result {
	entries := c.entries(version)
	if len(missing) > 0 {
		sorted := slices.Sorted(slices.Values(shardNames))
		entries = slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool {
			return slices.Contains(missing, ShardOf(e.Record.Key, sorted))
		})
	}
	matched, top := Search(entries, q)
	return Result{Matched: matched, Records: top}
}

// partition returns the entries of a version by shard. c.mu must be held.
func (c *Corpus) partition(version string, shardNames []string) map[string][]Entry {
	sorted := slices.Sorted(slices.Values(shardNames))
	key := version + "|" + strings.Join(sorted, "|")
	if shards, ok := c.shards[key]; ok {
		return shards
	}
	shards := make(map[string][]Entry, len(sorted))
	for _, e := range c.entries(version) {
		shard := ShardOf(e.Record.Key, sorted)
		shards[shard] = append(shards[shard], e)
	}
	c.shards[key] = shards
	return shards
}

// entries returns all entries of a version in the order of Compare. c.mu must be
// held.
func (c *Corpus) entries(version string) []Entry {
	if entries, ok := c.versions[version]; ok {
		return entries
	}
	entries := make([]Entry, c.options.Records)
	for i := range entries {
		entries[i] = c.entry(version, i)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return Compare(a.Record, b.Record) })
	c.versions[version] = entries
	return entries
}

// Compare orders records by descending score, then by ascending key, which is the
// order of records in a response.
func Compare(a, b wire.Record) int {
	switch {
	case a.Score > b.Score:
		return -1
	case a.Score < b.Score:
		return 1
	default:
		return strings.Compare(a.Key, b.Key)
	}
}

// entry generates the i-th entry. Its key and words are the same in all versions;
// its score and the field "version" differ between versions.
func (c *Corpus) entry(version string, i int) Entry {
	key := Key(c.options.Kind, i)
	rng := rand.New(rand.NewPCG(c.options.Seed, xxhash.Sum64String(c.options.Search+"/"+key)))
	e := describe(c.options.Kind, rng, version)
	e.Record.Key = key
	e.Record.Score = float64(xxhash.Sum64String(fmt.Sprintf("%d/%s/%s/%s", c.options.Seed, c.options.Search, version, key)) % maxScore)
	return e
}

func (e *Entry) matches(q targetapi.Query) bool {
	if q.Category != "" && q.Category != e.Category {
		return false
	}
	return q.Text == "" || slices.Contains(e.Words, q.Text)
}

// mustMarshal encodes a value of a type that always encodes without error.
func mustMarshal(v any) wire.RawJSON {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
