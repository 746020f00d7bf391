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

// Result is what one variant of an experiment did.
type Result struct {
	Variant string       `json:"variant"`
	Report  *load.Report `json:"report"`
	// Warm tells whether all targets were warm when the load began.
	Warm bool `json:"warm"`
	// Return is how the watched targets came back; nil if none were watched.
	Return *Return `json:"return,omitempty"`
	// Failure says why a change of VMs couldn't be made; empty if none failed.
	Failure string `json:"failure,omitempty"`
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
	read   func(f *load.Stats, r *Result) float64
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
	"p50":      {func(f *load.Stats, _ *Result) float64 { return inMillis(f.P50.Std()) }, millis},
	"p99":      {func(f *load.Stats, _ *Result) float64 { return inMillis(f.P99.Std()) }, millis},
	"p99.9":    {func(f *load.Stats, _ *Result) float64 { return inMillis(f.P999.Std()) }, millis},
	"coverage": {func(f *load.Stats, _ *Result) float64 { return f.Coverage }, share},
	"complete": {func(f *load.Stats, _ *Result) float64 { return f.CompleteFraction }, share},
	"goodput":  {func(f *load.Stats, _ *Result) float64 { return f.Goodput }, perSecond},
	// failed counts the requests that got no answer.
	"failed":     {func(f *load.Stats, _ *Result) float64 { return float64(f.Scheduled - f.Succeeded) }, count},
	"extra_load": {func(_ *load.Stats, r *Result) float64 { return r.Report.Targets.ExtraRatio }, percent},
	// breaches counts all work beyond what targets bear, but for what was on the
	// wire before anybody could know.
	"breaches": {func(_ *load.Stats, r *Result) float64 { return float64(breaches(&r.Report.Targets)) }, count},
	// cold_breaches counts the part of it at cold targets.
	"cold_breaches": {func(_ *load.Stats, r *Result) float64 {
		return float64(r.Report.Targets.ColdViolations - r.Report.Targets.UndetectableColdViolations)
	}, count},
	// faults counts wrong answers, such as those of two index versions.
	"faults": {func(_ *load.Stats, r *Result) float64 { return float64(faults(r.Report)) }, count},
	// return is the time until the tier uses the full share of targets that
	// turned cold, as a multiple of the time until they bear it.
	"return": {func(_ *load.Stats, r *Result) float64 { return r.Return.ratio() }, func(v float64) string { return fmt.Sprintf("%.2f", v) }},
}

// columns are the figures of the table, in order.
var columns = []FigureName{
	"p50", "p99", "p99.9", "coverage", "complete", "extra_load", "breaches", "failed", "goodput",
}

func breaches(l *load.TargetLoad) uint64 {
	return l.ColdViolations - l.UndetectableColdViolations + l.SlotViolations + l.ConnectionViolations + l.RequestsAfterDrain
}

func faults(r *load.Report) int {
	n := 0
	for _, f := range r.Faults {
		n += f.Count
	}
	return n
}

// value reads a figure of a stream, or of the total if stream is empty.
func (r *Result) value(name FigureName, stream string) float64 {
	f := &r.Report.Total
	for i := range r.Report.Streams {
		if r.Report.Streams[i].Stream == stream {
			f = &r.Report.Streams[i].Stats
		}
	}
	return figures[name].read(f, r)
}

// Verdict is a goal with the value that a run gave.
type Verdict struct {
	Goal  Goal    `json:"goal"`
	Value float64 `json:"value"`
	Met   bool    `json:"met"`
}

// judge compares a goal with the results.
func (g *Goal) judge(results []*Result) Verdict {
	v := Verdict{Goal: *g, Value: find(results, g.Variant).value(g.Figure, g.Stream)}
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

func find(results []*Result, variant string) *Result {
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

// Missed returns the number of goals that were missed.
func (o *Outcome) Missed() int {
	n := 0
	for _, v := range o.Verdicts {
		if !v.Met {
			n++
		}
	}
	return n
}
