// Command gcmux-standin runs stand-ins of the platform and the targets on loopback.
package main

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/standin"
)

// defaultMaxRun is the default of the time after which the process exits by itself.
const defaultMaxRun = time.Hour

func main() {
	err := run(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gcmux-standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("gcmux-standin", flag.ContinueOnError)
	setups := flags.String("setup", string(standin.SetupSmall), "comma-separated setups: competitions, hrabovsky, small, stragglers")
	seed := flags.Uint64("seed", 1, "seed of the records and of all random choices")
	records := flags.Int("records", corpus.DefaultRecords, "records of each search")
	admin := flags.String("admin", "127.0.0.1:0", "`host:port` of the admin API")
	median := flags.Duration("service", standin.DefaultServiceTime, "median service time of a target")
	stragglerFraction := flags.Float64("straggler-share", 0, "fraction of requests, 0 to 1, whose service time is multiplied by straggler-factor")
	stragglerFactor := flags.Float64("straggler-factor", 10, "factor of the service time of stragglers")
	networkDelay := flags.Duration("distance", standin.DefaultNetworkDelay, "one-way network delay between two data centres; a negative value means none")
	warmAfter := flags.Int("warm-after", standin.DefaultWarmAfter, "completed requests after which a cold target accepts one more concurrent request")
	warm := flags.Bool("warm", false, "start the targets warm")
	maxRun := flags.Duration("max-run", defaultMaxRun, "time after which the process exits by itself")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("GCMUX_STANDIN")); err != nil {
		return errors.Trace(err)
	}
	o := standin.Options{
		Seed: *seed, Records: *records, AdminAddress: *admin,
		NetworkDelay: *networkDelay, WarmAfter: *warmAfter, Warm: *warm,
		ServiceTime: standin.Service{Median: standin.Duration(*median), StragglerFraction: *stragglerFraction, StragglerFactor: *stragglerFactor},
	}
	for _, name := range strings.Split(*setups, ",") {
		o.Setups = append(o.Setups, standin.Setup(name))
	}
	return serve(o, *maxRun)
}

func serve(o standin.Options, maxRun time.Duration) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	s, err := standin.New(o)
	if err != nil {
		return err
	}
	defer s.Close()
	logger := slog.New(slog.NewJSONHandler(os.Stdout, nil))
	logger.Info("listening", "admin", s.AdminAddress(), "platform", s.PlatformAddress(), "targets", len(s.Layout().Targets))
	select {
	case <-stop:
	case <-time.After(maxRun):
	}
	return nil
}
