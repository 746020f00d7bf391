package bench

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/goldcrestmux/goldcrestmux/load"
	"github.com/goldcrestmux/goldcrestmux/standin"
)

// FigureName names a figure of a run.
type FigureName string

// VariantResult is what one variant of an experiment did.
type VariantResult struct {
	Variant string       `json:"variant"`
	Report  *load.Report `json:"report"`
	// Warm tells whether all targets were warm when the load began.
	Warm bool `json:"warm"`
	// Recovery is how the watched targets came back; nil if none were watched.
	Recovery *Recovery `json:"return,omitempty"`
	// ReplaceFailure says why a change of VMs couldn't be made; empty if none failed.
	ReplaceFailure string `json:"failure,omitempty"`
	// Processes are the counters of the tier's processes after the load.
	Processes []ProcessMetrics `json:"processes"`
	// Targets are the counters of the targets after the load.
	Targets []standin.TargetStats `json:"targets"`
}

// ProcessMetrics are the counters that a process published itself.
type ProcessMetrics struct {
	Process string          `json:"process"`
	Gateway json.RawMessage `json:"gateway,omitempty"`
	Relay   json.RawMessage `json:"relay,omitempty"`
}

// figureKind is how a figure is read and printed.
type figureKind struct {
	// read takes the figure from the figures of a stream or the total.
	read   func(f *load.Figures, r *VariantResult) float64
	format func(float64) string
}

func millis(v float64) string { return fmt.Sprintf("%.1f ms", v) }
func share(v float64) string  { return fmt.Sprintf("%.4f", v) }
func percent(v float64) string {
	return fmt.Sprintf("%.2f%%", 100*v)
}
func perSecond(v float64) string { return fmt.Sprintf("%.1f/s", v) }
func count(v float64) string     { return fmt.Sprintf("%.0f", v) }

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// figures are the figures that goals may name.
var figures = map[FigureName]figureKind{
	"p50":      {func(f *load.Figures, _ *VariantResult) float64 { return inMillis(f.P50.Std()) }, millis},
	"p99":      {func(f *load.Figures, _ *VariantResult) float64 { return inMillis(f.P99.Std()) }, millis},
	"p99.9":    {func(f *load.Figures, _ *VariantResult) float64 { return inMillis(f.P999.Std()) }, millis},
	"coverage": {func(f *load.Figures, _ *VariantResult) float64 { return f.Coverage }, share},
	"complete": {func(f *load.Figures, _ *VariantResult) float64 { return f.CompleteShare }, share},
	"goodput":  {func(f *load.Figures, _ *VariantResult) float64 { return f.Goodput }, perSecond},
	// failed counts the requests that got no answer.
	"failed":     {func(f *load.Figures, _ *VariantResult) float64 { return float64(f.Scheduled - f.Answered) }, count},
	"extra_load": {func(_ *load.Figures, r *VariantResult) float64 { return r.Report.Targets.ExtraShare }, percent},
	// breaches counts all work beyond what targets bear, but for what was on the
	// wire before anybody could know.
	"breaches": {func(_ *load.Figures, r *VariantResult) float64 { return float64(breaches(&r.Report.Targets)) }, count},
	// cold_breaches counts the part of it at cold targets.
	"cold_breaches": {func(_ *load.Figures, r *VariantResult) float64 {
		return float64(r.Report.Targets.ColdBreaches - r.Report.Targets.ColdSurprises)
	}, count},
	// faults counts wrong answers, such as those of two index versions.
	"faults": {func(_ *load.Figures, r *VariantResult) float64 { return float64(faults(r.Report)) }, count},
	// return is the time until the tier uses the full share of targets that
	// turned cold, as a multiple of the time until they bear it.
	"return": {func(_ *load.Figures, r *VariantResult) float64 { return r.Recovery.ratio() }, func(v float64) string { return fmt.Sprintf("%.2f", v) }},
}

// columns are the figures of the table, in order.
var columns = []FigureName{
	"p50", "p99", "p99.9", "coverage", "complete", "extra_load", "breaches", "failed", "goodput",
}

func breaches(l *load.Load) uint64 {
	return l.ColdBreaches - l.ColdSurprises + l.SlotBreaches + l.ConnectionBreaches + l.AfterRefusal
}

func faults(r *load.Report) int {
	n := 0
	for _, f := range r.Faults {
		n += f.Count
	}
	return n
}

// value reads a figure of a stream, or of the total if stream is empty.
func (r *VariantResult) value(name FigureName, stream string) float64 {
	f := &r.Report.Total
	for i := range r.Report.Streams {
		if r.Report.Streams[i].Stream == stream {
			f = &r.Report.Streams[i].Figures
		}
	}
	return figures[name].read(f, r)
}

// GoalResult is a goal with the value that a run gave.
type GoalResult struct {
	Goal  Goal    `json:"goal"`
	Value float64 `json:"value"`
	Met   bool    `json:"met"`
}

// judge compares a goal with the results.
func (g *Goal) judge(results []*VariantResult) GoalResult {
	v := GoalResult{Goal: *g, Value: find(results, g.Variant).value(g.Figure, g.Stream)}
	if g.RatioTo != "" {
		v.Value /= find(results, g.RatioTo).value(g.Figure, g.Stream)
	}
	if g.AtMost != nil {
		v.Met = v.Value <= *g.AtMost
	} else {
		v.Met = v.Value >= *g.AtLeast
	}
	return v
}

func find(results []*VariantResult, variant string) *VariantResult {
	for _, r := range results {
		if r.Variant == variant {
			return r
		}
	}
	return nil
}

// String describes the goal.
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
		return text + " <= " + g.show(*g.AtMost)
	}
	return text + " >= " + g.show(*g.AtLeast)
}

// show prints a value of the goal's figure.
func (g *Goal) show(v float64) string {
	if g.RatioTo != "" {
		return fmt.Sprintf("%.3f", v)
	}
	return figures[g.Figure].format(v)
}

// MissedGoals returns the number of goals that were missed.
func (o *ExperimentResult) MissedGoals() int {
	n := 0
	for _, v := range o.GoalResults {
		if !v.Met {
			n++
		}
	}
	return n
}
