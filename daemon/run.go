package daemon

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/goldcrestmux/goldcrestmux/settings"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// Run runs the program with the given name until a signal stops it, and
// returns its exit code. The role follows from the name.
func Run(name string, args []string, stderr io.Writer) int {
	s, err := settings.Parse(name, args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	log, level := s.Logger(stderr)
	relaxCollector()
	r, err := newRole(s, log, level)
	if err != nil {
		log.Error("can't start", "error", err)
		return ExitFailure
	}
	return supervise(r, s.StopTimeout, log)
}

// role is a process of one role, started.
type role interface {
	// dying is closed when the process failed by itself.
	dying() <-chan struct{}
	// leave starts the graceful stop.
	leave()
	// idle reports whether the graceful stop is complete.
	idle() bool
	// inProgress describes the work that a stop now would cut off; "" for none.
	inProgress() string
	// close ends the process at once and returns why it failed, or nil.
	close() error
}

func newRole(s *settings.Settings, log *slog.Logger, level *slog.LevelVar) (role, error) {
	if s.Role == wire.RoleGateway {
		return newGatewayProcess(s, log, level)
	}
	return newRelayProcess(s, log, level)
}

// idlePoll is the interval at which a stopping process looks whether it is idle.
const idlePoll = 20 * time.Millisecond

// supervise runs a process until a signal or a failure, then stops it.
func supervise(r role, bound time.Duration, log *slog.Logger) int {
	stop := signals()
	select {
	case <-r.dying():
		log.Error("stopped by a failure", "error", r.close())
		return ExitFailure
	case sig := <-stop:
		log.Info("stopping", "signal", sig.String(), "bound", bound)
	}
	r.leave()
	code := awaitIdle(r, bound, stop, log)
	if err := r.close(); err != nil {
		log.Error("stopped with a failure", "error", err)
		return ExitFailure
	}
	log.Info("stopped", "exit_code", code)
	return code
}

// awaitIdle waits for the graceful stop to complete, for its bound or for a
// second signal, and tells what was cut off.
func awaitIdle(r role, bound time.Duration, stop <-chan os.Signal, log *slog.Logger) int {
	deadline := time.NewTimer(bound)
	defer deadline.Stop()
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if r.idle() {
				return ExitOK
			}
		case <-deadline.C:
			return cutOff(r, "stop timeout", log)
		case <-stop:
			return cutOff(r, "second signal", log)
		}
	}
}

func cutOff(r role, why string, log *slog.Logger) int {
	work := r.inProgress()
	if work == "" {
		return ExitOK
	}
	log.Error("work was cut off", "by", why, "in_progress", work)
	return ExitAborted
}
