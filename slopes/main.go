// Command slopes measures what the query tier costs on this machine, each cost
// at several sizes with a linear fit: processor time per query, sub-request and
// frame, memory per target, link, member and request, and control traffic.
//
// It starts stand-ins, gateways and relays on loopback for the processor time
// of whole processes; all else is measured inside its own process.
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
	flag.StringVar(&opts.bin, "bin", "bin", "directory of the programs")
	flag.StringVar(&opts.out, "out", "bench/results", "directory of the results")
	flag.DurationVar(&opts.step, "step", 5*time.Second, "duration of each step of load")
	flag.StringVar(&opts.only, "only", "", "measure only the group of this name: hop, memory, control or tier")
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

// run takes all measurements, and prints and stores them.
func run(ctx context.Context, opts options) error {
	groups := []struct {
		name    string
		measure func() ([]slope, error)
	}{
		{"hop", measureHops},
		{"memory", measureMemory},
		{"control", measureControl},
		{"tier", func() ([]slope, error) { return measureTier(ctx, opts) }},
	}
	r := newReport()
	for _, g := range groups {
		if opts.only != "" && opts.only != g.name {
			continue
		}
		fmt.Fprintln(os.Stderr, "measuring", g.name)
		slopes, err := g.measure()
		if err != nil {
			return errors.Annotate(err, g.name)
		}
		r.add(slopes)
	}
	r.writeTable(os.Stdout)
	return r.store(opts.out)
}
