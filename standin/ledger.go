package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
)

// Limits of what the ledger records. Counters stay exact beyond maxExecutions.
const (
	maxExecutions = 1 << 17               // with details
	startBucket   = 10 * time.Millisecond // resolution of StartedSince
)

// Execution is one execution of a request at a target.
type Execution struct {
	Target  string `json:"target"`
	Boot    string `json:"boot"`
	ID      string `json:"id"`
	Action  string `json:"action,omitempty"`
	Search  string `json:"search"`
	Version string `json:"version"`
	Shard   string `json:"shard"`
	Relay   string `json:"relay"`
	// DataCentre is the data centre of the relay.
	DataCentre string    `json:"data_centre"`
	Start      time.Time `json:"start"`
	End        time.Time `json:"end"`
	// Code is empty while the execution is in progress.
	Code code.Code `json:"code"`
}

// TargetStats holds the counters and the state of one target.
type TargetStats struct {
	Target     string    `json:"target"`
	Search     string    `json:"search"`
	DataCentre string    `json:"data_centre"`
	Boot       string    `json:"boot"`
	Warm       bool      `json:"warm"`
	Started    uint64    `json:"started"`
	Completed  uint64    `json:"completed"`
	LastStart  time.Time `json:"last_start"`
	// Running is the number of executions in progress, Peak its maximum, and
	// PeakCold its maximum while the target was cold.
	Running  int `json:"running"`
	Peak     int `json:"peak"`
	PeakCold int `json:"peak_cold"`
	// ColdViolations counts the crashes of the cold target because of more requests
	// at a time than its capacity. SlotViolations counts the requests that the warm
	// target refused because all its slots were in use.
	ColdViolations uint64 `json:"cold_breaches"`
	SlotViolations uint64 `json:"slot_breaches"`
	// UndetectableColdViolations counts those of ColdViolations whose requests arrived
	// before clients could know that the target had turned cold, or less than
	// coldGracePeriod after that.
	UndetectableColdViolations uint64 `json:"cold_surprises"`
	// ConnectionViolations counts the connections that were reset because the limit
	// was reached.
	ConnectionViolations uint64 `json:"connection_breaches"`
	Connections          int    `json:"connections"`
	PeakConnections      int    `json:"peak_connections"`
	AcceptedTotal        uint64 `json:"accepted_total"`
	Refused              uint64 `json:"refused"`
	// RequestsAfterGracePeriod counts the requests that arrived when the draining
	// target already refused requests.
	RequestsAfterGracePeriod uint64 `json:"after_refusal"`
}

// DataCentreStarts counts the executions that started in a data centre.
type DataCentreStarts struct {
	DataCentre string `json:"data_centre"`
	Started    uint64 `json:"started"`
}

// ActionRuns is the number of executions of an action.
type ActionRuns struct {
	Action string `json:"action"`
	Runs   int    `json:"runs"`
}

// CodeCount is the number of executions and refusals that ended with a code.
type CodeCount struct {
	Code  code.Code `json:"code"`
	Count uint64    `json:"count"`
}

// Summary holds the totals of the ledger and the counters of all targets.
type Summary struct {
	Now                        time.Time   `json:"now"`
	Started                    uint64      `json:"started"`
	Completed                  uint64      `json:"completed"`
	ColdViolations             uint64      `json:"cold_breaches"`
	UndetectableColdViolations uint64      `json:"cold_surprises"`
	SlotViolations             uint64      `json:"slot_breaches"`
	ConnectionViolations       uint64      `json:"connection_breaches"`
	RequestsAfterGracePeriod   uint64      `json:"after_refusal"`
	Codes                      []CodeCount `json:"codes"`
	// Actions is the number of different actions that ran; RepeatedActions lists
	// those that ran more than once.
	Actions         int          `json:"actions"`
	RepeatedActions []ActionRuns `json:"actions_twice"`
	// StartedSince counts executions by the target's data centre since the
	// requested time, with a resolution of 10 ms, or all executions if no time was
	// requested.
	StartedSince []DataCentreStarts `json:"started_since"`
	// CrashesSince counts the crashes that queries caused since the requested time, or
	// all if no time was requested.
	CrashesSince int           `json:"crashes_since"`
	Config       ConfigCalls   `json:"config"`
	Targets      []TargetStats `json:"targets"`
}

// ledger records the executions at all targets. Methods are safe for concurrent
// use. Lock order: a target's mu, then mu.
type ledger struct {
	mu         sync.Mutex
	executions []Execution
	codes      map[code.Code]uint64
	actions    map[string]int
	// starts counts executions by data centre and time bucket.
	starts map[string]map[int64]uint64
	// crashes are the times of the crashes that queries caused.
	crashes []time.Time
}

func newLedger() *ledger {
	return &ledger{
		codes:   make(map[code.Code]uint64),
		actions: make(map[string]int),
		starts:  make(map[string]map[int64]uint64),
	}
}

// begin records the start of an execution at a target in dataCentre. It returns the
// execution's index, or -1 if the ledger is full and keeps only the counters.
func (l *ledger) begin(dataCentre string, e Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Action != "" {
		l.actions[e.Action]++
	}
	buckets, ok := l.starts[dataCentre]
	if !ok {
		buckets = make(map[int64]uint64)
		l.starts[dataCentre] = buckets
	}
	buckets[bucket(e.Start)]++
	if len(l.executions) == maxExecutions {
		return -1
	}
	l.executions = append(l.executions, e)
	return len(l.executions) - 1
}

func (l *ledger) end(index int, outcome code.Code) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.codes[outcome]++
	if index >= 0 {
		l.executions[index].End = time.Now()
		l.executions[index].Code = outcome
	}
}

func (l *ledger) countCrash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, time.Now())
}

func (l *ledger) countNotRun(c code.Code) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.codes[c]++
}

// fillSummary sets the fields of a summary that come from the ledger.
func (l *ledger) fillSummary(s *Summary, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, n := range l.codes {
		s.Codes = append(s.Codes, CodeCount{Code: c, Count: n})
	}
	slices.SortFunc(s.Codes, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	s.Actions = len(l.actions)
	for action, runs := range l.actions {
		if runs > 1 {
			s.RepeatedActions = append(s.RepeatedActions, ActionRuns{Action: action, Runs: runs})
		}
	}
	slices.SortFunc(s.RepeatedActions, func(a, b ActionRuns) int { return cmp.Compare(a.Action, b.Action) })
	for _, at := range l.crashes {
		if at.After(since) {
			s.CrashesSince++
		}
	}
	first := bucket(since.Add(startBucket - 1))
	for dc, buckets := range l.starts {
		starts := DataCentreStarts{DataCentre: dc}
		for b, n := range buckets {
			if since.IsZero() || b >= first {
				starts.Started += n
			}
		}
		s.StartedSince = append(s.StartedSince, starts)
	}
	slices.SortFunc(s.StartedSince, func(a, b DataCentreStarts) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}

// runs returns how often each of the actions ran.
func (l *ledger) runs(actions []string) []ActionRuns {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]ActionRuns, len(actions))
	for i, action := range actions {
		out[i] = ActionRuns{Action: action, Runs: l.actions[action]}
	}
	return out
}

// executionsAt returns the recorded executions at one target.
func (l *ledger) executionsAt(target string) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Execution
	for _, e := range l.executions {
		if e.Target == target {
			out = append(out, e)
		}
	}
	return out
}

func bucket(t time.Time) int64 { return t.UnixNano() / int64(startBucket) }
