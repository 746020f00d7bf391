package bench

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/goldcrestmux/goldcrestmux/load"
	"github.com/goldcrestmux/goldcrestmux/standin"
)

// FigureName names a figure in the results of a run.
type FigureName string

// VariantResult is the result of one variant of an experiment.
type VariantResult struct {
	Variant string       `json:"variant"`
	Report  *load.Report `json:"report"`
	// Warm reports whether the relays could use all slots of the targets when the
	// load started.
	Warm bool `json:"warm"`
	// Recovery is the recovery of the watched targets; nil if none were watched.
	Recovery *Recovery `json:"return,omitempty"`
	// ReplaceFailure is the reason why the VMs could not be replaced; empty if no
	// replacement failed.
	ReplaceFailure string `json:"failure,omitempty"`
	// Processes holds the metrics of the tier's processes after the load.
	Processes []ProcessMetrics `json:"processes"`
	// Targets holds the counters of the targets after the load.
	Targets []standin.TargetStats `json:"targets"`
}

// ProcessMetrics holds the metrics that a process publishes.
type ProcessMetrics struct {
	Process string          `json:"process"`
	Gateway json.RawMessage `json:"gateway,omitempty"`
	Relay   json.RawMessage `json:"relay,omitempty"`
}

// figure says how a figure is read from a result and how it is printed.
type figure struct {
	// read returns the value. f holds the statistics of a stream or of the total.
	read   func(f *load.Stats, r *VariantResult) float64
	format func(float64) string
}

func formatMillis(v float64) string   { return fmt.Sprintf("%.1f ms", v) }
func formatFraction(v float64) string { return fmt.Sprintf("%.4f", v) }
func formatPercent(v float64) string {
	return fmt.Sprintf("%.2f%%", 100*v)
}
func formatRate(v float64) string  { return fmt.Sprintf("%.1f/s", v) }
func formatCount(v float64) string { return fmt.Sprintf("%.0f", v) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// figures holds the figures that goals may name.
var figures = map[FigureName]figure{
	"p50":      {func(f *load.Stats, _ *VariantResult) float64 { return milliseconds(f.P50.Std()) }, formatMillis},
	"p99":      {func(f *load.Stats, _ *VariantResult) float64 { return milliseconds(f.P99.Std()) }, formatMillis},
	"p99.9":    {func(f *load.Stats, _ *VariantResult) float64 { return milliseconds(f.P999.Std()) }, formatMillis},
	"coverage": {func(f *load.Stats, _ *VariantResult) float64 { return f.Coverage }, formatFraction},
	"complete": {func(f *load.Stats, _ *VariantResult) float64 { return f.CompleteFraction }, formatFraction},
	"goodput":  {func(f *load.Stats, _ *VariantResult) float64 { return f.Goodput }, formatRate},
	// failed counts the requests that got no response.
	"failed":     {func(f *load.Stats, _ *VariantResult) float64 { return float64(f.Scheduled - f.Succeeded) }, formatCount},
	"extra_load": {func(_ *load.Stats, r *VariantResult) float64 { return r.Report.Targets.ExtraRatio }, formatPercent},
	// breaches counts the violations of limits of targets, except those by requests
	// that were on the wire before any process could know that their target had
	// turned cold.
	"breaches": {func(_ *load.Stats, r *VariantResult) float64 { return float64(violations(&r.Report.Targets)) }, formatCount},
	// cold_breaches counts those at cold targets.
	"cold_breaches": {func(_ *load.Stats, r *VariantResult) float64 {
		return float64(r.Report.Targets.ColdViolations - r.Report.Targets.UndetectableColdViolations)
	}, formatCount},
	// faults counts wrong responses, such as those that mix two index versions.
	"faults": {func(_ *load.Stats, r *VariantResult) float64 { return float64(faults(r.Report)) }, formatCount},
	// return is the time until the relays may use all slots of targets that turned
	// cold, as a multiple of the time until the targets are warm again.
	"return": {func(_ *load.Stats, r *VariantResult) float64 { return r.Recovery.ratio() }, func(v float64) string { return fmt.Sprintf("%.2f", v) }},
}

// columns holds the figures in the table of results, in order.
var columns = []FigureName{
	"p50", "p99", "p99.9", "coverage", "complete", "extra_load", "breaches", "failed", "goodput",
}

func violations(l *load.TargetLoad) uint64 {
	return l.ColdViolations - l.UndetectableColdViolations + l.SlotViolations + l.ConnectionViolations + l.RequestsAfterGracePeriod
}

func faults(r *load.Report) int {
	n := 0
	for _, f := range r.Faults {
		n += f.Count
	}
	return n
}

// value returns a figure of a stream, or of the total if stream is empty.
func (r *VariantResult) value(name FigureName, stream string) float64 {
	f := &r.Report.Total
	for i := range r.Report.Streams {
		if r.Report.Streams[i].Stream == stream {
			f = &r.Report.Streams[i].Stats
		}
	}
	return figures[name].read(f, r)
}

// GoalResult is a goal with its measured value.
type GoalResult struct {
	Goal  Goal    `json:"goal"`
	Value float64 `json:"value"`
	Met   bool    `json:"met"`
}

// evaluate compares the goal with the results of the variants.
func (g *Goal) evaluate(results []*VariantResult) GoalResult {
	result := GoalResult{Goal: *g, Value: findResult(results, g.Variant).value(g.Figure, g.Stream)}
	if g.RatioTo != "" {
		result.Value /= findResult(results, g.RatioTo).value(g.Figure, g.Stream)
	}
	if g.AtMost != nil {
		result.Met = result.Value <= *g.AtMost
	} else {
		result.Met = result.Value >= *g.AtLeast
	}
	return result
}

func findResult(results []*VariantResult, variant string) *VariantResult {
	for _, r := range results {
		if r.Variant == variant {
			return r
		}
	}
	return nil
}

// String returns the goal as a comparison, such as "p99 ours / calm <= 1.500".
func (g *Goal) String() string {
	text := string(g.Figure)
	if g.Stream != "" {
		text += " of " + g.Stream
	}
	text += " " + g.Variant
	if g.RatioTo != "" {
		text += " / " + g.RatioTo
	}
	if g.AtMost != nil {
		return text + " <= " + g.formatValue(*g.AtMost)
	}
	return text + " >= " + g.formatValue(*g.AtLeast)
}

// formatValue formats a value of the goal's figure, or a ratio if the goal has one.
func (g *Goal) formatValue(v float64) string {
	if g.RatioTo != "" {
		return fmt.Sprintf("%.3f", v)
	}
	return figures[g.Figure].format(v)
}

// MissedGoals returns the number of goals that were not met.
func (e *ExperimentResult) MissedGoals() int {
	n := 0
	for _, r := range e.GoalResults {
		if !r.Met {
			n++
		}
	}
	return n
}
