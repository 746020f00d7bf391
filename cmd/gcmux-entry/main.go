// Command gcmux-entry runs an entry process, which forwards requests of callers to
// targets, on the platform of package platform.
package main

import (
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/goldcrestmux/goldcrestmux/entry"
	"github.com/goldcrestmux/goldcrestmux/eventlog"
	"github.com/goldcrestmux/goldcrestmux/follow"
	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
)

// logTimeout bounds the time to write the remaining log lines at exit.
const logTimeout = time.Second

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("gcmux-entry", flag.ContinueOnError)
	var (
		path        = flags.String("settings", os.Getenv(platform.EnvSettings), "the settings file that the platform writes")
		metricsPort = flags.Int("metrics-port", 0, "the port of the metrics page; 0 means none")
		level       slog.LevelVar
	)
	flags.TextVar(&level, "log-level", &level, "debug, info, warn or error")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("GCMUX")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	log := eventlog.New(eventlog.Options{Out: os.Stdout, Level: &level})
	defer log.Close(logTimeout)
	return entry.Run(entry.Adapter{
		LoadSettings: func() (entry.Settings, error) {
			s, err := platform.LoadSettings(*path)
			if err == nil && *metricsPort > 0 {
				host, _, _ := net.SplitHostPort(s.ReadyListen) // validated by LoadSettings
				s.MetricsListen = net.JoinHostPort(host, fmt.Sprint(*metricsPort))
			}
			return s, err
		},
		NewSource: func(s *entry.Settings, dial entry.DialFunc) follow.Source {
			return platform.NewStore(s.StoreAddress, dial, nil)
		},
		Codec: platform.Codec{}, HeaderCodec: platform.HeaderCodec{}, DroppedLogLines: log.Dropped,
	}, slog.New(log))
}
