package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
)

// Fractions of the queries that search for a word and for a category.
const (
	wordFraction     = 0.5
	categoryFraction = 0.3
)

// queryLimits are the numbers of records that queries request.
var queryLimits = []int{5, 10, 20}

// Request is one scheduled request.
type Request struct {
	// ID is unique in the run.
	ID string
	// At is when the request is due, from the start of the run.
	At       time.Duration
	Stream   *Stream
	IsAction bool
	Query    targetapi.Query
	Action   targetapi.Action
}

// schedule generates the requests of one stream in the order in which they are due.
// The requests depend only on the arguments of newSchedule. It is not safe for
// concurrent use.
type schedule struct {
	stream   *Stream
	idPrefix string
	kind     corpus.Kind
	records  int
	rng      *rand.Rand
	at       time.Duration
	count    int
}

func newSchedule(s *Stream, idPrefix string, kind corpus.Kind, records int, rng *rand.Rand) *schedule {
	return &schedule{stream: s, idPrefix: idPrefix, kind: kind, records: records, rng: rng, at: s.From.Std()}
}

// next returns the next request, or false at the end of the stream.
func (s *schedule) next() (Request, bool) {
	interval := 1 / s.stream.Rate
	if !s.stream.EvenlySpaced {
		interval *= s.rng.ExpFloat64()
	}
	s.at += time.Duration(interval * float64(time.Second))
	if s.at >= s.stream.To.Std() {
		return Request{}, false
	}
	s.count++
	r := Request{ID: fmt.Sprintf("%s-%s-%d", s.idPrefix, s.stream.Caller, s.count), At: s.at, Stream: s.stream}
	if s.rng.Float64() < s.stream.ActionFraction {
		r.IsAction = true
		r.Action = targetapi.Action{ID: r.ID, Key: corpus.Key(s.kind, s.rng.IntN(s.records)), Score: float64(s.rng.IntN(100))}
		return r, true
	}
	r.Query = s.query()
	return r, true
}

func (s *schedule) query() targetapi.Query {
	q := targetapi.Query{Limit: pickOne(s.rng, queryLimits)}
	if s.rng.Float64() < wordFraction {
		q.Text = pickOne(s.rng, corpus.Words(s.kind))
	}
	if s.rng.Float64() < categoryFraction {
		q.Category = pickOne(s.rng, corpus.Categories(s.kind))
	}
	return q
}

func pickOne[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }
