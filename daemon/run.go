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

// Run runs the program with the given name until it fails or a signal stops it,
// and returns its exit code. The name of the program selects the role.
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
	setGCPercent()
	r, err := newRoleProcess(s, log, level)
	if err != nil {
		log.Error("process failed to start", "error", err)
		return ExitFailure
	}
	return supervise(r, s.StopTimeout, log)
}

// roleProcess is a running gateway or relay process.
type roleProcess interface {
	// dying returns a channel that is closed when the process fails.
	dying() <-chan struct{}
	// leave begins the graceful stop.
	leave()
	// idle reports whether the graceful stop is complete.
	idle() bool
	// inProgress describes the work that close would abort; empty means none.
	inProgress() string
	// close stops the process at once. It returns the error that made the process
	// fail, if it did.
	close() error
}

func newRoleProcess(s *settings.Settings, log *slog.Logger, level *slog.LevelVar) (roleProcess, error) {
	if s.Role == wire.RoleGateway {
		return newGatewayProcess(s, log, level)
	}
	return newRelayProcess(s, log, level)
}

// idlePollInterval is the time between two checks whether a stopping process is
// idle.
const idlePollInterval = 20 * time.Millisecond

// supervise waits until a signal arrives or the process fails, then stops the
// process. It returns the exit code.
func supervise(r roleProcess, timeout time.Duration, log *slog.Logger) int {
	stop := stopSignals()
	select {
	case <-r.dying():
		log.Error("process failed", "error", r.close())
		return ExitFailure
	case sig := <-stop:
		log.Info("stopping", "signal", sig.String(), "bound", timeout)
	}
	r.leave()
	code := awaitIdle(r, timeout, stop, log)
	if err := r.close(); err != nil {
		log.Error("process failed while stopping", "error", err)
		return ExitFailure
	}
	log.Info("stopped", "exit_code", code)
	return code
}

// awaitIdle waits until the graceful stop is complete, the timeout passes or a
// second signal arrives. It returns the exit code.
func awaitIdle(r roleProcess, timeout time.Duration, stop <-chan os.Signal, log *slog.Logger) int {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if r.idle() {
				return ExitOK
			}
		case <-deadline.C:
			return abort(r, "stop timeout", log)
		case <-stop:
			return abort(r, "second signal", log)
		}
	}
}

// abort logs the work in progress that closing r aborts, if any, and returns the
// exit code.
func abort(r roleProcess, cause string, log *slog.Logger) int {
	work := r.inProgress()
	if work == "" {
		return ExitOK
	}
	log.Error("work in progress is aborted", "by", cause, "in_progress", work)
	return ExitAborted
}
