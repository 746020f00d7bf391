package load

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/standin"
)

// Range and precision of latencies, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 120_000_000
	latencyDigits  = 3
)

// maxFaults bounds the faults that a report lists. All are counted.
const maxFaults = 50

// saidOfAction is what the system told about an action.
type saidOfAction struct {
	id  string
	run code.RunStatus
}

// tally sums up the outcomes of a stream or of a step of time.
type tally struct {
	scheduled int
	dropped   int
	ok        int
	good      int // answered right, complete and by the deadline
	complete  int
	searches  int // searches that were answered
	coverage  float64
	needed    int // executions whose results the callers got
	latencies *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{latencies: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

// step is the tally of an interval; its latencies are kept one by one.
type step struct {
	tally
	micros []int64
}

// recorder collects outcomes. It is safe for concurrent use.
type recorder struct {
	plan    *Plan
	checker *checker
	start   time.Time

	mu          sync.Mutex
	total       *tally
	streams     map[string]*tally
	steps       []step
	lag         *hdrhistogram.Histogram
	codes       map[code.Code]int
	faults      []Fault
	faultKinds  map[FaultKind]int
	said        []saidOfAction
	eventFaults []string
}

func newRecorder(p *Plan, c *checker, start time.Time) *recorder {
	steps := int(p.Duration/p.Interval) + 1
	return &recorder{
		plan: p, checker: c, start: start,
		total:      newTally(),
		streams:    make(map[string]*tally),
		steps:      make([]step, steps),
		lag:        hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		codes:      make(map[code.Code]int),
		faultKinds: make(map[FaultKind]int),
	}
}

// drop counts a request that the generator couldn't send.
func (r *recorder) drop(request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tallies(request) {
		t.scheduled++
		t.dropped++
	}
}

// record checks and counts an outcome.
func (r *recorder) record(o Outcome) {
	fault := r.checker.check(o)
	r.fault(fault)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.codes[o.Code]++
	_ = r.lag.RecordValue(clamp(o.Lag))
	if o.Request.IsAction {
		r.said = append(r.said, saidOfAction{id: o.Request.ID, run: o.Run})
	}
	for _, t := range r.tallies(o.Request) {
		t.add(o, fault == nil)
	}
	s := r.step(o.Request)
	s.micros = append(s.micros, clamp(o.Latency))
}

// tallies returns the tallies that count a request. The caller holds the lock.
func (r *recorder) tallies(request Request) []*tally {
	name := request.Stream.Caller + "/" + request.Stream.Search
	stream, ok := r.streams[name]
	if !ok {
		stream = newTally()
		r.streams[name] = stream
	}
	return []*tally{r.total, stream, &r.step(request).tally}
}

func (r *recorder) step(request Request) *step {
	return &r.steps[min(int(request.At/r.plan.Interval.Std()), len(r.steps)-1)]
}

// needed returns the number of executions whose result the caller got.
func needed(o Outcome) int {
	switch {
	case o.Action != nil:
		return 1
	case o.Search != nil:
		return o.Search.Coverage.Answered
	default:
		return 0
	}
}

func (t *tally) add(o Outcome, right bool) {
	t.scheduled++
	t.needed += needed(o)
	if t.latencies != nil {
		_ = t.latencies.RecordValue(clamp(o.Latency))
	}
	if o.Code != code.OK {
		return
	}
	t.ok++
	whole := true
	if o.Search != nil {
		t.searches++
		whole = o.Search.Complete
		if o.Search.Coverage.Shards > 0 {
			t.coverage += float64(o.Search.Coverage.Answered) / float64(o.Search.Coverage.Shards)
		}
		if whole {
			t.complete++
		}
	}
	if right && whole && o.Latency <= o.Request.Stream.Deadline.Std() {
		t.good++
	}
}

// fault enters a fault, if there is one.
func (r *recorder) fault(f *Fault) {
	if f == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultKinds[f.Kind]++
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, *f)
	}
}

func (r *recorder) eventFailed(e Event, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventFaults = append(r.eventFaults, fmt.Sprintf("%s: %v", e.Name, err))
}

func (r *recorder) actions() []saidOfAction {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.said)
}

// progress returns one line on the run so far.
func (r *recorder) progress(elapsed time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	faults := 0
	for _, n := range r.faultKinds {
		faults += n
	}
	return fmt.Sprintf("%s/%s done=%d ok=%d complete=%d p99=%s dropped=%d faults=%d",
		elapsed.Round(time.Second), r.plan.Duration.Std(), r.total.scheduled, r.total.ok, r.total.complete,
		micros(r.total.latencies.ValueAtQuantile(99)).Std().Round(100*time.Microsecond), r.total.dropped, faults)
}

func clamp(d time.Duration) int64 {
	return min(max(d.Microseconds(), lowestLatency), highestLatency)
}

func micros(n int64) standin.Duration { return standin.Duration(n * int64(time.Microsecond)) }

// quantile returns the nearest-rank quantile of sorted values, or 0 if there are none.
func quantile(sorted []int64, q float64) int64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// sortedCounts returns the counts in the order of their keys.
func sortedCounts[K ~string](counts map[K]int) []Count {
	var out []Count
	for k, n := range counts {
		out = append(out, Count{Name: string(k), Count: n})
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
