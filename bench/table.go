package bench

import (
	"fmt"
	"io"
	"strings"
)

// WriteTable writes the outcomes as tables of Markdown. Beside each figure of a
// baseline stands the ratio of the first variant's figure to it.
func WriteTable(w io.Writer, outcomes []*ExperimentResult) error {
	var b strings.Builder
	for _, o := range outcomes {
		fmt.Fprintf(&b, "### %s\n\n%s\n\n", o.Name, o.Description)
		o.writeFigures(&b)
		o.writeGoalResults(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (o *ExperimentResult) writeFigures(b *strings.Builder) {
	b.WriteString("| variant |")
	for _, c := range columns {
		fmt.Fprintf(b, " %s |", strings.ReplaceAll(string(c), "_", " "))
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(columns)) + "\n")
	for i, r := range o.Results {
		fmt.Fprintf(b, "| %s |", r.Variant)
		for _, c := range columns {
			value := r.value(c, "")
			fmt.Fprintf(b, " %s", figures[c].format(value))
			if i > 0 && value != 0 {
				fmt.Fprintf(b, " (x%.2f)", o.Results[0].value(c, "")/value)
			}
			b.WriteString(" |")
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
}

func (o *ExperimentResult) writeGoalResults(b *strings.Builder) {
	if len(o.GoalResults) > 0 {
		b.WriteString("| goal | measured | verdict |\n|---|---|---|\n")
	}
	for i := range o.GoalResults {
		v := &o.GoalResults[i]
		word := "pass"
		if !v.Met {
			word = "**miss**"
		}
		measured := v.Goal.show(v.Value)
		if v.Value >= never {
			measured = "not seen"
		}
		fmt.Fprintf(b, "| %s | %s | %s |\n", v.Goal.String(), measured, word)
	}
	b.WriteString("\n")
	for _, r := range o.Results {
		if !r.Warm {
			fmt.Fprintf(b, "%s: not all targets were warm when the load began.\n\n", r.Variant)
		}
		if r.ReplaceFailure != "" {
			fmt.Fprintf(b, "%s: the replacement failed: %s\n\n", r.Variant, r.ReplaceFailure)
		}
	}
}
