package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// measurement is one cost at several sizes, with a linear fit.
type measurement struct {
	// Name identifies the cost, Unit is the unit of the cost, and Per is the unit
	// of the size that it grows with.
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Per    string    `json:"per"`
	Points []point   `json:"points"`
	Fit    linearFit `json:"fit"`
}

func newMeasurement(name, unit, per string, points []point) measurement {
	return measurement{Name: name, Unit: unit, Per: per, Points: points, Fit: fit(points)}
}

// report is the result of a run.
type report struct {
	At         time.Time `json:"at"`
	Processors int       `json:"processors"`
	// LoadBefore and LoadAfter are the load averages of the machine over 1, 5 and
	// 15 minutes, other programs included.
	LoadBefore   string        `json:"load_before"`
	LoadAfter    string        `json:"load_after"`
	Measurements []measurement `json:"slopes"`
}

func newReport() *report {
	return &report{At: time.Now(), Processors: runtime.NumCPU(), LoadBefore: loadAverage()}
}

func (r *report) add(measurements []measurement) {
	r.Measurements = append(r.Measurements, measurements...)
	r.LoadAfter = loadAverage()
}

func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return ""
	}
	return strings.Join(fields[:3], " ")
}

func (r *report) writeTable(w io.Writer) {
	fmt.Fprintf(w, "%d processors, load average before %s, after %s\n", r.Processors, r.LoadBefore, r.LoadAfter)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "cost\tunit\tper\tslope\tat 0\tresidual\tpoints")
	for _, m := range r.Measurements {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t%.4g\t%.1f%%\t%s\n",
			m.Name, m.Unit, m.Per, m.Fit.Slope, m.Fit.Intercept, 100*m.Fit.Residual, formatPoints(m.Points))
	}
	_ = table.Flush()
}

func formatPoints(points []point) string {
	var out []string
	for _, p := range points {
		out = append(out, fmt.Sprintf("%.4g:%.4g", p.X, p.Y))
	}
	return strings.Join(out, " ")
}

// writeJSON writes the report as JSON to the file slopes.json in dir.
func (r *report) writeJSON(dir string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(filepath.Join(dir, "slopes.json"), append(data, '\n'), 0o644))
}
