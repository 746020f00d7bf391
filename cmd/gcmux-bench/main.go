// Command gcmux-bench runs the experiments in the given files. An experiment puts
// the same load on query tiers with different settings. The results are written as
// a table, JSON and plots. It exits with 1 if an experiment failed to run and with
// 2 if a goal was missed.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/bench"
)

const (
	exitFailed = 1
	exitMissed = 2
)

func main() {
	missed, err := run(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gcmux-bench:", err)
		os.Exit(exitFailed)
	}
	if missed > 0 {
		fmt.Fprintf(os.Stderr, "%d goals missed\n", missed)
		os.Exit(exitMissed)
	}
}

func run(args []string) (missed int, err error) {
	flags := flag.NewFlagSet("gcmux-bench", flag.ContinueOnError)
	bin := flags.String("bin", "bin", "`directory` of the executables")
	resultsDir := flags.String("results", "bench/results", "`directory` that the results are written to")
	if err := flags.Parse(args); err != nil {
		return 0, err
	}
	if err := os.MkdirAll(*resultsDir, 0o755); err != nil {
		return 0, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var results []*bench.ExperimentResult
	for _, file := range flags.Args() {
		experiment, err := bench.Read(file)
		if err != nil {
			return missed, err
		}
		result, err := bench.Run(ctx, *bin, experiment, os.Stderr)
		if err != nil {
			return missed, err
		}
		if err := save(*resultsDir, result); err != nil {
			return missed, err
		}
		results = append(results, result)
		missed += result.MissedGoals()
	}
	return missed, writeTable(filepath.Join(*resultsDir, "table.md"), results)
}

// save writes the results and the plots of one experiment.
func save(dir string, result *bench.ExperimentResult) error {
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	base := filepath.Join(dir, result.Name)
	if err := os.WriteFile(base+".json", data, 0o644); err != nil {
		return err
	}
	if err := result.PlotP99(base + "-p99.png"); err != nil {
		return err
	}
	return result.PlotGoodput(base + "-goodput.png")
}

func writeTable(file string, results []*bench.ExperimentResult) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	return bench.WriteTable(io.MultiWriter(os.Stdout, f), results)
}
