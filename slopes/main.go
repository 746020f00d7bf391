// Command slopes measures the resource use of the query tier on this machine:
// CPU time per query, sub-request and frame, memory per target, link, member and
// request, and control-plane traffic. Each cost is measured at several sizes and
// reported with a linear fit.
//
// The CPU time of whole processes is that of a stand-in, gateways and relays that
// slopes starts on loopback. Everything else is measured inside its own process.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/juju/errors"
)

func main() {
	opts := options{}
	flag.StringVar(&opts.bin, "bin", "bin", "directory of the gcmux binaries")
	flag.StringVar(&opts.out, "out", "bench/results", "directory that slopes.json is written to")
	flag.DurationVar(&opts.step, "step", 5*time.Second, "duration of each measurement under load")
	flag.StringVar(&opts.only, "only", "", "measure only this group: hop, memory, control or tier")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, opts); err != nil {
		fmt.Fprintln(os.Stderr, errors.Details(err))
		os.Exit(1)
	}
}

type options struct {
	bin  string
	out  string
	step time.Duration
	only string
}

// run makes the selected measurements, prints them as a table and writes them
// to a file.
func run(ctx context.Context, opts options) error {
	groups := []struct {
		name    string
		measure func() ([]measurement, error)
	}{
		{"hop", measureHops},
		{"memory", measureMemory},
		{"control", measureControlPlane},
		{"tier", func() ([]measurement, error) { return measureTier(ctx, opts) }},
	}
	r := newReport()
	for _, g := range groups {
		if opts.only != "" && opts.only != g.name {
			continue
		}
		fmt.Fprintln(os.Stderr, "measuring", g.name)
		measurements, err := g.measure()
		if err != nil {
			return errors.Annotate(err, g.name)
		}
		r.add(measurements)
	}
	r.writeTable(os.Stdout)
	return r.writeJSON(opts.out)
}
