package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
)

// Shares of the queries that ask for a word and for a category.
const (
	wordShare     = 0.5
	categoryShare = 0.3
)

// limits are the numbers of records that queries ask for.
var limits = []int{5, 10, 20}

// Request is one scheduled request.
type Request struct {
	// ID is unique in the run.
	ID string
	// At is when the request is due, counted from the start of the run.
	At       time.Duration
	Stream   *Stream
	IsAction bool
	Query    targetapi.Query
	Action   targetapi.Action
}

// schedule makes the requests of one stream in the order of their times. It
// depends on its arguments alone. The caller serialises its methods.
type schedule struct {
	stream  *Stream
	run     string
	kind    corpus.Kind
	records int
	rng     *rand.Rand
	at      time.Duration
	made    int
}

func newSchedule(s *Stream, run string, kind corpus.Kind, records int, rng *rand.Rand) *schedule {
	return &schedule{stream: s, run: run, kind: kind, records: records, rng: rng, at: s.From.Std()}
}

// next returns the next request, or false at the end of the stream.
func (s *schedule) next() (Request, bool) {
	gap := 1 / s.stream.Rate
	if !s.stream.EvenlySpaced {
		gap *= s.rng.ExpFloat64()
	}
	s.at += time.Duration(gap * float64(time.Second))
	if s.at >= s.stream.To.Std() {
		return Request{}, false
	}
	s.made++
	r := Request{ID: fmt.Sprintf("%s-%s-%d", s.run, s.stream.Caller, s.made), At: s.at, Stream: s.stream}
	if s.rng.Float64() < s.stream.ActionFraction {
		r.IsAction = true
		r.Action = targetapi.Action{ID: r.ID, Key: corpus.Key(s.kind, s.rng.IntN(s.records)), Score: float64(s.rng.IntN(100))}
		return r, true
	}
	r.Query = s.query()
	return r, true
}

func (s *schedule) query() targetapi.Query {
	q := targetapi.Query{Limit: pick(s.rng, limits)}
	if s.rng.Float64() < wordShare {
		q.Text = pick(s.rng, corpus.Words(s.kind))
	}
	if s.rng.Float64() < categoryShare {
		q.Category = pick(s.rng, corpus.Categories(s.kind))
	}
	return q
}

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }
