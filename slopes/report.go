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

// slope is one cost measured at several sizes.
type slope struct {
	// Name says whose cost it is, Unit what is counted, Per what it grows with.
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Per    string  `json:"per"`
	Points []point `json:"points"`
	Fit    line    `json:"fit"`
}

func newSlope(name, unit, per string, points []point) slope {
	return slope{Name: name, Unit: unit, Per: per, Points: points, Fit: fit(points)}
}

// report holds all measurements of a run.
type report struct {
	At         time.Time `json:"at"`
	Processors int       `json:"processors"`
	// LoadBefore and LoadAfter are the machine's load averages over 1, 5 and 15
	// minutes, other programs included.
	LoadBefore string  `json:"load_before"`
	LoadAfter  string  `json:"load_after"`
	Slopes     []slope `json:"slopes"`
}

func newReport() *report {
	return &report{At: time.Now(), Processors: runtime.NumCPU(), LoadBefore: loadAverage()}
}

func (r *report) add(slopes []slope) {
	r.Slopes = append(r.Slopes, slopes...)
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
	for _, s := range r.Slopes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t%.4g\t%.1f%%\t%s\n",
			s.Name, s.Unit, s.Per, s.Fit.Slope, s.Fit.Intercept, 100*s.Fit.Residual, pointList(s.Points))
	}
	_ = table.Flush()
}

func pointList(points []point) string {
	var out []string
	for _, p := range points {
		out = append(out, fmt.Sprintf("%.4g:%.4g", p.X, p.Y))
	}
	return strings.Join(out, " ")
}

// store writes the measurements as JSON.
func (r *report) store(dir string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(filepath.Join(dir, "slopes.json"), append(data, '\n'), 0o644))
}
