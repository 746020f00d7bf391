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

// Range and significant decimal digits of the recorded latencies.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	latencyDigits    = 3
)

// maxListedFaults bounds the faults that a report lists. All of them are counted.
const maxListedFaults = 50

// actionOutcome is what the gateway reported about the execution of an action.
type actionOutcome struct {
	id        string
	runStatus code.RunStatus
}

// tally counts the outcomes of the run, of a stream or of a step.
type tally struct {
	scheduled int
	dropped   int
	succeeded int
	good      int                     // correct, complete and by the deadline
	complete  int                     // searches that succeeded with all shards
	searches  int                     // searches that succeeded
	coverage  float64                 // sum over searches
	needed    int                     // executions whose results reached the callers
	latencies *hdrhistogram.Histogram // nil in a step
}

func newTally() *tally {
	return &tally{latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)}
}

// step is the tally of one interval of the run. It keeps each latency, for exact
// quantiles.
type step struct {
	tally
	latencyMicros []int64
}

// recorder collects outcomes. It is safe for concurrent use.
type recorder struct {
	plan    *Plan
	checker *checker
	start   time.Time

	mu             sync.Mutex
	total          *tally
	streams        map[string]*tally
	steps          []step
	lag            *hdrhistogram.Histogram // from when a request was due until it was sent
	codes          map[code.Code]int
	faults         []Fault
	faultKinds     map[FaultKind]int
	actionOutcomes []actionOutcome
	failedEvents   []string
}

func newRecorder(p *Plan, c *checker, start time.Time) *recorder {
	steps := int(p.Duration/p.Interval) + 1
	return &recorder{
		plan: p, checker: c, start: start,
		total:      newTally(),
		streams:    make(map[string]*tally),
		steps:      make([]step, steps),
		lag:        hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		codes:      make(map[code.Code]int),
		faultKinds: make(map[FaultKind]int),
	}
}

// drop counts a request that the generator did not send.
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
	r.addFault(fault)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.codes[o.Code]++
	_ = r.lag.RecordValue(clamp(o.Lag))
	if o.Request.IsAction {
		r.actionOutcomes = append(r.actionOutcomes, actionOutcome{id: o.Request.ID, runStatus: o.RunStatus})
	}
	for _, t := range r.tallies(o.Request) {
		t.add(o, fault == nil)
	}
	s := r.step(o.Request)
	s.latencyMicros = append(s.latencyMicros, clamp(o.Latency))
}

// tallies returns the tallies that count a request. mu must be held.
func (r *recorder) tallies(request Request) []*tally {
	name := request.Stream.Caller + "/" + request.Stream.Search
	stream, ok := r.streams[name]
	if !ok {
		stream = newTally()
		r.streams[name] = stream
	}
	return []*tally{r.total, stream, &r.step(request).tally}
}

// step returns the step in which a request is due. mu must be held.
func (r *recorder) step(request Request) *step {
	return &r.steps[min(int(request.At/r.plan.Interval.Std()), len(r.steps)-1)]
}

// needed returns the number of executions whose results reached the caller.
func needed(o Outcome) int {
	switch {
	case o.Action != nil:
		return 1
	case o.Search != nil:
		return o.Search.Coverage.Responded
	default:
		return 0
	}
}

// add counts an outcome. correct is true if the checker found no fault in it.
func (t *tally) add(o Outcome, correct bool) {
	t.scheduled++
	t.needed += needed(o)
	if t.latencies != nil {
		_ = t.latencies.RecordValue(clamp(o.Latency))
	}
	if o.Code != code.OK {
		return
	}
	t.succeeded++
	complete := true
	if o.Search != nil {
		t.searches++
		complete = o.Search.Complete
		if o.Search.Coverage.Shards > 0 {
			t.coverage += float64(o.Search.Coverage.Responded) / float64(o.Search.Coverage.Shards)
		}
		if complete {
			t.complete++
		}
	}
	if correct && complete && o.Latency <= o.Request.Stream.Deadline.Std() {
		t.good++
	}
}

// addFault records a fault unless it is nil.
func (r *recorder) addFault(f *Fault) {
	if f == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultKinds[f.Kind]++
	if len(r.faults) < maxListedFaults {
		r.faults = append(r.faults, *f)
	}
}

func (r *recorder) addFailedEvent(e Event, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedEvents = append(r.failedEvents, fmt.Sprintf("%s: %v", e.Name, err))
}

func (r *recorder) actions() []actionOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.actionOutcomes)
}

// progress returns a one-line summary of the run so far.
func (r *recorder) progress(elapsed time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	faults := 0
	for _, n := range r.faultKinds {
		faults += n
	}
	return fmt.Sprintf("%s/%s done=%d ok=%d complete=%d p99=%s dropped=%d faults=%d",
		elapsed.Round(time.Second), r.plan.Duration.Std(), r.total.scheduled, r.total.succeeded, r.total.complete,
		fromMicros(r.total.latencies.ValueAtQuantile(99)).Std().Round(100*time.Microsecond), r.total.dropped, faults)
}

// clamp returns d in microseconds, clamped to the range of recorded latencies.
func clamp(d time.Duration) int64 {
	return min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
}

func fromMicros(n int64) standin.Duration { return standin.Duration(n * int64(time.Microsecond)) }

// quantile returns the nearest-rank quantile of sorted values, or 0 if there are none.
func quantile(sorted []int64, q float64) int64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// sortedCounts returns the counts sorted by key.
func sortedCounts[K ~string](counts map[K]int) []Count {
	var out []Count
	for k, n := range counts {
		out = append(out, Count{Name: string(k), Count: n})
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
