package bench

import (
	"fmt"
	"io"
	"strings"
)

// WriteTable writes the results as Markdown tables. Each figure of a baseline is
// followed by the ratio of the first variant's figure to it.
func WriteTable(w io.Writer, results []*ExperimentResult) error {
	var b strings.Builder
	for _, e := range results {
		fmt.Fprintf(&b, "### %s\n\n%s\n\n", e.Name, e.Description)
		e.writeFigures(&b)
		e.writeGoalResults(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (e *ExperimentResult) writeFigures(b *strings.Builder) {
	b.WriteString("| variant |")
	for _, c := range columns {
		fmt.Fprintf(b, " %s |", strings.ReplaceAll(string(c), "_", " "))
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(columns)) + "\n")
	for i, r := range e.Results {
		fmt.Fprintf(b, "| %s |", r.Variant)
		for _, c := range columns {
			value := r.value(c, "")
			fmt.Fprintf(b, " %s", figures[c].format(value))
			if i > 0 && value != 0 {
				fmt.Fprintf(b, " (x%.2f)", e.Results[0].value(c, "")/value)
			}
			b.WriteString(" |")
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
}

func (e *ExperimentResult) writeGoalResults(b *strings.Builder) {
	if len(e.GoalResults) > 0 {
		b.WriteString("| goal | measured | result |\n|---|---|---|\n")
	}
	for i := range e.GoalResults {
		r := &e.GoalResults[i]
		status := "pass"
		if !r.Met {
			status = "**miss**"
		}
		measured := r.Goal.formatValue(r.Value)
		if r.Value >= notRecovered {
			measured = "not observed"
		}
		fmt.Fprintf(b, "| %s | %s | %s |\n", r.Goal.String(), measured, status)
	}
	b.WriteString("\n")
	for _, r := range e.Results {
		if !r.Warm {
			fmt.Fprintf(b, "%s: not all targets were warm when the load began.\n\n", r.Variant)
		}
		if r.ReplaceFailure != "" {
			fmt.Fprintf(b, "%s: replacing the VMs failed: %s\n\n", r.Variant, r.ReplaceFailure)
		}
	}
}
