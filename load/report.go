package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/goldcrestmux/goldcrestmux/standin"
)

// Report is the result of a run.
type Report struct {
	Name     string           `json:"name"`
	Seed     uint64           `json:"seed"`
	Duration standin.Duration `json:"duration"`
	Total    Figures          `json:"total"`
	Streams  []StreamFigures  `json:"streams"`
	// Steps are the figures of consecutive intervals, by the time at which
	// requests were due.
	Steps []Step  `json:"steps"`
	Codes []Count `json:"codes"`
	// Faults are the broken promises by kind, FaultList the first of them.
	Faults    []Count `json:"faults"`
	FaultList []Fault `json:"fault_list"`
	Targets   Load    `json:"targets"`
	// GeneratorLag is the 99th percentile of how late requests were sent.
	GeneratorLag standin.Duration `json:"generator_lag_p99"`
	// EventFailures lists the plan's events that couldn't be made.
	EventFailures []string `json:"event_failures"`
}

// Figures describe a set of requests.
type Figures struct {
	Scheduled int `json:"scheduled"`
	// Dropped requests were due but not sent: too many were in progress.
	Dropped  int `json:"dropped"`
	Answered int `json:"answered"`
	// P50, P99 and P999 are of the latency of all requests that were sent,
	// whatever their outcome, from when they were due.
	P50  standin.Duration `json:"p50"`
	P99  standin.Duration `json:"p99"`
	P999 standin.Duration `json:"p999"`
	// Coverage is the mean share of shards in the searches that were answered,
	// CompleteShare the share of them that were complete; both from 0 to 1.
	Coverage      float64 `json:"coverage"`
	CompleteShare float64 `json:"complete_share"`
	// Goodput is the number of right, complete answers within their deadline, per second.
	Goodput float64 `json:"goodput"`
}

// StreamFigures are the figures of one caller's requests to one search.
type StreamFigures struct {
	Stream string `json:"stream"`
	Figures
}

// Step are the figures of one interval of the run.
type Step struct {
	From standin.Duration `json:"from"`
	Figures
}

// Count is a number of occurrences.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Load is the work at the targets during the run, from their ledgers.
type Load struct {
	Executions uint64 `json:"executions"`
	// Needed is the number of executions whose results the callers got: the
	// shards that answers cover, and the actions that were answered.
	Needed uint64 `json:"needed"`
	// ExtraShare is the share of executions beyond the needed ones: hedges,
	// retries, and work for requests that failed.
	ExtraShare         float64 `json:"extra_share"`
	ColdBreaches       uint64  `json:"cold_breaches"`
	ColdSurprises      uint64  `json:"cold_surprises"`
	SlotBreaches       uint64  `json:"slot_breaches"`
	ConnectionBreaches uint64  `json:"connection_breaches"`
	AfterRefusal       uint64  `json:"after_refusal"`
	ConfigPeak         uint64  `json:"config_calls_peak_per_second"`
}

// report sums up the run.
func (r *recorder) report(before, after []standin.Summary) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Name: r.plan.Name, Seed: r.plan.Seed, Duration: r.plan.Duration,
		Total: r.total.figures(r.plan.Duration.Std()),
		Codes: sortedCounts(r.codes), Faults: sortedCounts(r.faultKinds), FaultList: r.faults,
		Targets:       loadBetween(before, after, r.total.needed),
		GeneratorLag:  micros(r.lag.ValueAtQuantile(99)),
		EventFailures: r.eventFaults,
	}
	for name, t := range r.streams {
		report.Streams = append(report.Streams, StreamFigures{Stream: name, Figures: t.figures(r.plan.Duration.Std())})
	}
	slices.SortFunc(report.Streams, func(a, b StreamFigures) int {
		if a.Stream < b.Stream {
			return -1
		}
		return 1
	})
	for i := range r.steps {
		if r.steps[i].scheduled > 0 {
			from := standin.Duration(i) * r.plan.Interval
			report.Steps = append(report.Steps, Step{From: from, Figures: r.steps[i].stepFigures(r.plan.Interval.Std())})
		}
	}
	return report
}

func (t *tally) figures(over time.Duration) Figures {
	f := Figures{
		Scheduled: t.scheduled, Dropped: t.dropped, Answered: t.ok,
		Goodput: float64(t.good) / over.Seconds(),
	}
	if t.searches > 0 {
		f.Coverage = t.coverage / float64(t.searches)
		f.CompleteShare = float64(t.complete) / float64(t.searches)
	}
	if t.latencies != nil {
		f.P50 = micros(t.latencies.ValueAtQuantile(50))
		f.P99 = micros(t.latencies.ValueAtQuantile(99))
		f.P999 = micros(t.latencies.ValueAtQuantile(99.9))
	}
	return f
}

func (s *step) stepFigures(over time.Duration) Figures {
	f := s.figures(over)
	slices.Sort(s.micros)
	f.P50 = micros(quantile(s.micros, 0.5))
	f.P99 = micros(quantile(s.micros, 0.99))
	f.P999 = micros(quantile(s.micros, 0.999))
	return f
}

// loadBetween returns the work at all targets between two readings of the ledgers.
func loadBetween(before, after []standin.Summary, needed int) Load {
	l := Load{Needed: uint64(needed)}
	for i := range after {
		a, b := &after[i], &before[i]
		l.Executions += a.Started - b.Started
		l.ColdBreaches += a.ColdBreaches - b.ColdBreaches
		l.ColdSurprises += a.UnavoidableColdBreaches - b.UnavoidableColdBreaches
		l.SlotBreaches += a.SlotBreaches - b.SlotBreaches
		l.ConnectionBreaches += a.ConnectionBreaches - b.ConnectionBreaches
		l.AfterRefusal += a.AfterDrainGracePeriod - b.AfterDrainGracePeriod
		l.ConfigPeak = max(l.ConfigPeak, a.Config.PeakPerSecond)
	}
	if needed > 0 {
		l.ExtraShare = float64(l.Executions)/float64(needed) - 1
	}
	return l
}

// Broken returns the promises that the run saw broken, and what keeps it from
// being a valid check, each in one line.
func (r *Report) Broken() []string {
	var out []string
	if r.Total.Answered == 0 {
		out = append(out, "no request was answered")
	}
	for _, f := range r.Faults {
		out = append(out, fmt.Sprintf("%d answers or actions with fault %s", f.Count, f.Name))
	}
	if n := r.Targets.ColdBreaches - r.Targets.ColdSurprises; n > 0 {
		out = append(out, fmt.Sprintf("%d falls of cold targets under more work than they bear", n))
	}
	for _, failure := range r.EventFailures {
		out = append(out, "event not made: "+failure)
	}
	return out
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, seed %d, %s\n", r.Name, r.Seed, r.Duration.Std())
	fmt.Fprintln(t, "stream\tdue\tanswered\tdropped\tp50\tp99\tp99.9\tcoverage\tcomplete\tgoodput/s")
	for _, s := range r.Streams {
		s.writeRow(t, s.Stream)
	}
	r.Total.writeRow(t, "total")
	l := r.Targets
	fmt.Fprintf(t, "executions %d for %d needed: extra load %.2f%%\n", l.Executions, l.Needed, 100*l.ExtraShare)
	fmt.Fprintf(t, "breaches: cold %d (%d before it could be known), slots %d, connections %d, after draining %d\n",
		l.ColdBreaches, l.ColdSurprises, l.SlotBreaches, l.ConnectionBreaches, l.AfterRefusal)
	fmt.Fprintf(t, "codes:%s\nfaults:%s\n", countLine(r.Codes), countLine(r.Faults))
	fmt.Fprintf(t, "generator lag p99 %s, configuration calls at most %d/s\n", r.GeneratorLag.Std(), l.ConfigPeak)
	for _, f := range r.FaultList {
		fmt.Fprintf(t, "fault %s of %s: %s\n", f.Kind, f.Request, f.Detail)
	}
	return t.Flush()
}

func (f *Figures) writeRow(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%.4f\t%.4f\t%.1f\n", name, f.Scheduled, f.Answered, f.Dropped,
		f.P50.Std(), f.P99.Std(), f.P999.Std(), f.Coverage, f.CompleteShare, f.Goodput)
}

func countLine(counts []Count) string {
	if len(counts) == 0 {
		return " none"
	}
	line := ""
	for _, c := range counts {
		line += fmt.Sprintf(" %s=%d", c.Name, c.Count)
	}
	return line
}
