// Command gcmux-soak runs entry processes against stand-ins, injects faults at
// random from outside, and checks what callers and targets see. It ends with 1
// if a promise was broken.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/goldcrestmux/goldcrestmux/soak"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("gcmux-soak", flag.ContinueOnError)
	var (
		program = flags.String("program", "bin/gcmux-entry", "the program of an entry process")
		seed    = flags.Uint64("seed", 1, "the first seed; 0 takes the time")
		seeds   = flags.Int("seeds", 1, "the number of seeds, one after the other")
		length  = flags.Duration("length", 20*time.Second, "how long faults are injected for each seed")
		vms     = flags.Int("vms", 4, "entry processes, at least 2")
		shards  = flags.Int("shards", 8, "shards, with two targets each")
		callers = flags.Int("callers", 12, "callers that send requests at the same time")
		verbose = flags.Bool("v", false, "print each fault")
	)
	if err := ff.Parse(flags, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if *vms < 2 || *shards < 1 || *callers < 1 {
		fmt.Fprintln(os.Stderr, "at least 2 VMs, 1 shard and 1 caller are needed")
		return 2
	}
	first := *seed
	if first == 0 {
		first = uint64(time.Now().Unix())
	}
	out := io.Discard
	if *verbose {
		out = os.Stdout
	}
	failed := 0
	for n := range *seeds {
		o := soak.Options{
			Program: *program, Seed: first + uint64(n), Length: *length,
			VMs: *vms, Shards: *shards, Callers: *callers, Out: out,
		}
		report, err := soak.Run(o)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		failed += print(o.Seed, report)
	}
	fmt.Printf("%d seeds, %d with a broken promise\n", *seeds, failed)
	return min(failed, 1)
}

// print prints a report and returns 1 if a promise was broken.
func print(seed uint64, r *soak.Report) int {
	fmt.Printf("seed %d: %d breaches; answers %v; faults %v\n", seed, len(r.Breaches), r.Counts, r.Faults)
	for _, b := range r.Breaches[:min(len(r.Breaches), 10)] {
		fmt.Println("  " + b)
	}
	if len(r.Breaches) == 0 {
		return 0
	}
	return 1
}
