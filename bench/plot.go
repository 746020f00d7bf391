package bench

import (
	"image/color"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/goldcrestmux/goldcrestmux/load"
)

// Dimensions of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	lineWidth  = 1.5 * vg.Millimeter / 2
)

// colours are the line colours of the variants, in order.
var colours = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
}

// PlotP99 plots the 99th percentile of the latency of each variant over time. The
// suffix of the file name selects the image format.
func (e *ExperimentResult) PlotP99(file string) error {
	return e.plot(file, "p99 (ms)", func(s *load.Step) float64 { return milliseconds(s.P99.Std()) })
}

// PlotGoodput plots the goodput of each variant over time. The suffix of the file
// name selects the image format.
func (e *ExperimentResult) PlotGoodput(file string) error {
	return e.plot(file, "correct, complete responses per second", func(s *load.Step) float64 { return s.Goodput })
}

func (e *ExperimentResult) plot(file, label string, read func(*load.Step) float64) error {
	p := plot.New()
	p.Title.Text = e.Name
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = true
	for i, r := range e.Results {
		points := make(plotter.XYs, len(r.Report.Steps))
		for j := range r.Report.Steps {
			s := &r.Report.Steps[j]
			points[j] = plotter.XY{X: s.From.Std().Seconds(), Y: read(s)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Annotatef(err, "plot %s", e.Name)
		}
		line.Color = colours[i%len(colours)]
		line.Width = lineWidth
		p.Add(line)
		p.Legend.Add(r.Variant, line)
	}
	return errors.Annotatef(p.Save(plotWidth, plotHeight, file), "plot %s", e.Name)
}
