// Command gcmux-load sends scheduled requests to gateways, checks every response,
// and reports latency, coverage and the load at the targets. It exits with 1 if the
// run failed and with 2 if a guarantee was violated.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/goldcrestmux/goldcrestmux/load"
	"github.com/goldcrestmux/goldcrestmux/standin"
)

const (
	exitFailed   = 1
	exitViolated = 2
)

func main() {
	violations, err := run(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gcmux-load:", err)
		os.Exit(exitFailed)
	}
	if len(violations) > 0 {
		for _, line := range violations {
			fmt.Fprintln(os.Stderr, "violated:", line)
		}
		os.Exit(exitViolated)
	}
}

func run(args []string) (violations []string, err error) {
	flags := flag.NewFlagSet("gcmux-load", flag.ContinueOnError)
	file := flags.String("plan", "", "`file` with the plan in JSON with comments; the other flags add to it")
	gateways := flags.String("gateways", "", "comma-separated `host:port` of the gateways")
	standins := flags.String("standins", "", "comma-separated `host:port` of the stand-ins' admin APIs")
	searches := flags.String("searches", "", "comma-separated searches; a stream of requests is sent to each")
	rate := flags.Float64("rate", load.DefaultRate, "requests per second of each of -searches")
	actions := flags.Float64("actions", 0, "fraction of the requests of -searches, 0 to 1, that are not idempotent")
	deadline := flags.Duration("deadline", load.DefaultDeadline, "deadline of the requests of -searches")
	duration := flags.Duration("duration", 0, "time over which requests are sent; 0 means the plan's, or "+load.DefaultDuration.String())
	clientDelay := flags.Duration("client-distance", 0, "one-way network delay between clients and gateways")
	seed := flags.Uint64("seed", 0, "seed of arrivals and queries; 0 means the plan's")
	asJSON := flags.Bool("json", false, "write the report as JSON instead of a table")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("GCMUX_LOAD")); err != nil {
		return nil, errors.Trace(err)
	}
	plan, err := readPlan(*file)
	if err != nil {
		return nil, err
	}
	plan.Gateways = append(plan.Gateways, splitList(*gateways)...)
	plan.Standins = append(plan.Standins, splitList(*standins)...)
	for _, search := range splitList(*searches) {
		plan.Streams = append(plan.Streams, load.Stream{
			Search: search, Rate: *rate, ActionFraction: *actions, Deadline: standin.Duration(*deadline),
		})
	}
	override(&plan.Duration, standin.Duration(*duration))
	override(&plan.ClientDelay, standin.Duration(*clientDelay))
	override(&plan.Seed, *seed)

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, plan, os.Stderr)
	if err != nil {
		return nil, err
	}
	return report.Violations(), writeReport(report, *asJSON)
}

func readPlan(file string) (load.Plan, error) {
	if file == "" {
		return load.Plan{Name: "load"}, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return load.Plan{}, err
	}
	return load.ParsePlan(data)
}

func writeReport(report *load.Report, asJSON bool) error {
	if !asJSON {
		return report.WriteTable(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// override sets the field to the value of a flag unless that is zero.
func override[T comparable](field *T, value T) {
	var zero T
	if value != zero {
		*field = value
	}
}
