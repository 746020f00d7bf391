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
	Total    Stats            `json:"total"`
	Streams  []StreamStats    `json:"streams"`
	// Steps are the statistics of consecutive intervals. A request counts in the
	// interval in which it was due.
	Steps []Step  `json:"steps"`
	Codes []Count `json:"codes"`
	// Faults counts the violated guarantees by kind. FaultList lists the first ones.
	Faults    []Count    `json:"faults"`
	FaultList []Fault    `json:"fault_list"`
	Targets   TargetLoad `json:"targets"`
	// GeneratorLag is the 99th percentile of the time from when a request was due
	// until it was sent.
	GeneratorLag standin.Duration `json:"generator_lag_p99"`
	// FailedEvents lists the plan's events that failed at a stand-in.
	FailedEvents []string `json:"event_failures"`
}

// Stats are the statistics of a set of requests.
type Stats struct {
	Scheduled int `json:"scheduled"`
	// Dropped is the number of requests that were not sent because too many were in
	// progress.
	Dropped   int `json:"dropped"`
	Succeeded int `json:"answered"`
	// P50, P99 and P999 are quantiles of the latency of all requests that were sent,
	// whatever their outcome, from the time at which they were due.
	P50  standin.Duration `json:"p50"`
	P99  standin.Duration `json:"p99"`
	P999 standin.Duration `json:"p999"`
	// Coverage is the mean fraction of shards that responded in successful searches,
	// and CompleteFraction the fraction of these searches that were complete; both
	// are from 0 to 1.
	Coverage         float64 `json:"coverage"`
	CompleteFraction float64 `json:"complete_share"`
	// Goodput is the number of correct, complete responses by the deadline, per second.
	Goodput float64 `json:"goodput"`
}

// StreamStats are the statistics of one caller's requests to one search.
type StreamStats struct {
	Stream string `json:"stream"`
	Stats
}

// Step holds the statistics of one interval of the run.
type Step struct {
	From standin.Duration `json:"from"`
	Stats
}

// Count is a number of occurrences.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// TargetLoad describes the work at the targets during the run, from the stand-ins'
// ledgers.
type TargetLoad struct {
	Executions uint64 `json:"executions"`
	// Needed is the number of executions whose results reached the callers: the
	// shards that search responses cover, and the successful actions.
	Needed uint64 `json:"needed"`
	// ExtraRatio is the ratio of the other executions to the needed ones. The other
	// ones are hedges, retries, and work for requests that failed.
	ExtraRatio float64 `json:"extra_share"`
	// ColdViolations is the number of crashes of cold targets that got more work than
	// they allow. UndetectableColdViolations is the number of those that happened
	// before any client could know that the target was cold.
	ColdViolations             uint64 `json:"cold_breaches"`
	UndetectableColdViolations uint64 `json:"cold_surprises"`
	// SlotViolations is the number of requests that warm targets refused because all
	// slots were in use, and ConnectionViolations the number of connections beyond
	// the limit.
	SlotViolations       uint64 `json:"slot_breaches"`
	ConnectionViolations uint64 `json:"connection_breaches"`
	// RequestsAfterGracePeriod is the number of requests to draining targets that
	// already refused requests.
	RequestsAfterGracePeriod uint64 `json:"after_refusal"`
	// PeakConfigCalls is the largest number of calls to a configuration service in
	// one second since its stand-in started.
	PeakConfigCalls uint64 `json:"config_calls_peak_per_second"`
}

// report returns the report of the run, given the ledgers before and after it.
func (r *recorder) report(before, after []standin.Summary) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Name: r.plan.Name, Seed: r.plan.Seed, Duration: r.plan.Duration,
		Total: r.total.stats(r.plan.Duration.Std()),
		Codes: sortedCounts(r.codes), Faults: sortedCounts(r.faultKinds), FaultList: r.faults,
		Targets:      targetLoad(before, after, r.total.needed),
		GeneratorLag: fromMicros(r.lag.ValueAtQuantile(99)),
		FailedEvents: r.failedEvents,
	}
	for name, t := range r.streams {
		report.Streams = append(report.Streams, StreamStats{Stream: name, Stats: t.stats(r.plan.Duration.Std())})
	}
	slices.SortFunc(report.Streams, func(a, b StreamStats) int {
		if a.Stream < b.Stream {
			return -1
		}
		return 1
	})
	for i := range r.steps {
		if r.steps[i].scheduled > 0 {
			from := standin.Duration(i) * r.plan.Interval
			report.Steps = append(report.Steps, Step{From: from, Stats: r.steps[i].stepStats(r.plan.Interval.Std())})
		}
	}
	return report
}

func (t *tally) stats(over time.Duration) Stats {
	s := Stats{
		Scheduled: t.scheduled, Dropped: t.dropped, Succeeded: t.succeeded,
		Goodput: float64(t.good) / over.Seconds(),
	}
	if t.searches > 0 {
		s.Coverage = t.coverage / float64(t.searches)
		s.CompleteFraction = float64(t.complete) / float64(t.searches)
	}
	if t.latencies != nil {
		s.P50 = fromMicros(t.latencies.ValueAtQuantile(50))
		s.P99 = fromMicros(t.latencies.ValueAtQuantile(99))
		s.P999 = fromMicros(t.latencies.ValueAtQuantile(99.9))
	}
	return s
}

func (s *step) stepStats(over time.Duration) Stats {
	stats := s.stats(over)
	slices.Sort(s.latencyMicros)
	stats.P50 = fromMicros(quantile(s.latencyMicros, 0.5))
	stats.P99 = fromMicros(quantile(s.latencyMicros, 0.99))
	stats.P999 = fromMicros(quantile(s.latencyMicros, 0.999))
	return stats
}

// targetLoad returns the work at all targets between two readings of the ledgers.
func targetLoad(before, after []standin.Summary, needed int) TargetLoad {
	l := TargetLoad{Needed: uint64(needed)}
	for i := range after {
		a, b := &after[i], &before[i]
		l.Executions += a.Started - b.Started
		l.ColdViolations += a.ColdViolations - b.ColdViolations
		l.UndetectableColdViolations += a.UndetectableColdViolations - b.UndetectableColdViolations
		l.SlotViolations += a.SlotViolations - b.SlotViolations
		l.ConnectionViolations += a.ConnectionViolations - b.ConnectionViolations
		l.RequestsAfterGracePeriod += a.RequestsAfterGracePeriod - b.RequestsAfterGracePeriod
		l.PeakConfigCalls = max(l.PeakConfigCalls, a.Config.PeakPerSecond)
	}
	if needed > 0 {
		l.ExtraRatio = float64(l.Executions)/float64(needed) - 1
	}
	return l
}

// Violations returns one line for each kind of violated guarantee, and for each
// reason why the run is not a valid check.
func (r *Report) Violations() []string {
	var out []string
	if r.Total.Succeeded == 0 {
		out = append(out, "no request succeeded")
	}
	for _, f := range r.Faults {
		out = append(out, fmt.Sprintf("%d responses or actions with fault %s", f.Count, f.Name))
	}
	if n := r.Targets.ColdViolations - r.Targets.UndetectableColdViolations; n > 0 {
		out = append(out, fmt.Sprintf("%d crashes of cold targets that got more work than they allow", n))
	}
	for _, failure := range r.FailedEvents {
		out = append(out, "event failed: "+failure)
	}
	return out
}

// WriteTable writes the report as a table and lines of text.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, seed %d, %s\n", r.Name, r.Seed, r.Duration.Std())
	fmt.Fprintln(t, "stream\tscheduled\tsucceeded\tdropped\tp50\tp99\tp99.9\tcoverage\tcomplete\tgoodput/s")
	for _, s := range r.Streams {
		s.writeRow(t, s.Stream)
	}
	r.Total.writeRow(t, "total")
	l := r.Targets
	fmt.Fprintf(t, "executions %d for %d needed: extra load %.2f%%\n", l.Executions, l.Needed, 100*l.ExtraRatio)
	fmt.Fprintf(t, "violations: cold %d (%d before it was detectable), slots %d, connections %d, after draining %d\n",
		l.ColdViolations, l.UndetectableColdViolations, l.SlotViolations, l.ConnectionViolations, l.RequestsAfterGracePeriod)
	fmt.Fprintf(t, "codes:%s\nfaults:%s\n", formatCounts(r.Codes), formatCounts(r.Faults))
	fmt.Fprintf(t, "generator lag p99 %s, configuration calls at most %d/s\n", r.GeneratorLag.Std(), l.PeakConfigCalls)
	for _, f := range r.FaultList {
		fmt.Fprintf(t, "fault %s of %s: %s\n", f.Kind, f.Request, f.Detail)
	}
	return t.Flush()
}

func (s *Stats) writeRow(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%.4f\t%.4f\t%.1f\n", name, s.Scheduled, s.Succeeded, s.Dropped,
		s.P50.Std(), s.P99.Std(), s.P999.Std(), s.Coverage, s.CompleteFraction, s.Goodput)
}

func formatCounts(counts []Count) string {
	if len(counts) == 0 {
		return " none"
	}
	line := ""
	for _, c := range counts {
		line += fmt.Sprintf(" %s=%d", c.Name, c.Count)
	}
	return line
}
