// Command gcmux-soak runs entry processes against stand-ins, injects faults at
// random from outside the processes, and checks the responses that callers get and
// the requests that targets get. It exits with 1 if a guarantee was violated and
// with 2 on any other error.
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
		program = flags.String("program", "bin/gcmux-entry", "the executable of an entry process")
		former  = flags.String("former", "", "the executable of an earlier build, which each VM runs until its first restart")
		seed    = flags.Uint64("seed", 1, "the first seed; 0 means the current time")
		seeds   = flags.Int("seeds", 1, "the number of seeds, which are run one after the other")
		length  = flags.Duration("length", 20*time.Second, "how long faults are injected for each seed")
		vms     = flags.Int("vms", 4, "number of entry processes, at least 2")
		shards  = flags.Int("shards", 8, "number of shards, with two targets each")
		callers = flags.Int("callers", 12, "number of callers that send requests concurrently")
		stops   = flags.Bool("stops", false, "stop processes as planned in place of faults; callers are then counted for each process")
		grace   = flags.Int("grace", 0, "time in seconds that a process has to stop; 0 means the default")
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
			Program: *program, Former: *former, Seed: first + uint64(n), FaultDuration: *length,
			VMs: *vms, Shards: *shards, Callers: *callers, GraceSecs: *grace, Out: out,
		}
		runSeed := soak.Run
		if *stops {
			runSeed = soak.RunStops
		}
		report, err := runSeed(o)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		failed += printReport(o.Seed, report)
	}
	fmt.Printf("%d seeds, %d with violations\n", *seeds, failed)
	return min(failed, 1)
}

// printReport prints a report. It returns 1 if a guarantee was violated, and 0
// otherwise.
func printReport(seed uint64, r *soak.Report) int {
	fmt.Printf("seed %d: %d violations; responses %v; faults %v\n", seed, len(r.Violations), r.Counts, r.Faults)
	for _, v := range r.Violations[:min(len(r.Violations), 10)] {
		fmt.Println("  " + v)
	}
	if len(r.Violations) == 0 {
		return 0
	}
	return 1
}
