package entry

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	// exitCutOff tells that requests were in progress when the bound was reached.
	exitCutOff = 3
)

// Parts of the bound on a stop. Callers' connections move away once the process
// has been seen not ready twice, with a second between.
const (
	// lastRequestsAt is when connections of callers begin to end.
	lastRequestsAt = 0.40
	// closeListenerAt is when no new connection is accepted any more.
	closeListenerAt = 0.60
	// giveUpAt is when what is still in progress is cut off.
	giveUpAt = 0.95
)

// supervise runs until a signal or a failure, then stops.
func (e *Entry) supervise(signals <-chan os.Signal) int {
	for {
		select {
		case <-e.tomb.Dying():
			e.log.Error("stopped by a failure", "error", e.tomb.Err())
			e.closeAll()
			return exitFailure
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				e.reload(reloadBySignal)
				continue
			}
			return e.stop(sig)
		}
	}
}

// stop lets callers move to other processes and finishes what is in progress.
func (e *Entry) stop(sig os.Signal) int {
	begun := time.Now()
	at := func(part float64) time.Duration {
		return time.Until(begun.Add(time.Duration(part * float64(e.settings.StopTimeout))))
	}
	e.stopping.Store(true)
	e.log.Info("stopping", "signal", sig.String(), "bound", e.settings.StopTimeout, "in_progress", e.handler.Active())
	time.Sleep(at(lastRequestsAt))
	e.handler.DisableKeepAlives()
	time.Sleep(at(closeListenerAt))
	code := exitOK
	left, err := e.callers.Drain(time.Now().Add(at(giveUpAt)))
	if err != nil {
		e.log.Warn("the listener did not close", "error", err)
	}
	if left > 0 {
		code = exitCutOff
		e.log.Error("requests were cut off", "in_progress", left)
	}
	e.closeAll()
	e.log.Info("stopped", "took", time.Since(begun), "exit_code", code)
	return code
}

func (e *Entry) closeAll() {
	e.tomb.Kill(nil)
	_ = e.callers.Close() // nothing is in progress any more, or was told
	_ = e.ready.Close()
	if err := e.follower.Stop(); err != nil {
		e.log.Warn("following the store ended with an error", "error", err)
	}
	if e.peers != nil {
		if err := e.peers.Stop(); err != nil {
			e.log.Warn("the exchange with peers ended with an error", "error", err)
		}
	}
	e.mesh.Close()
	if e.links != nil {
		_ = e.links.Close() // links are closed already
	}
	e.pool.Close()
	if err := e.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		e.log.Warn("stopped with an error", "error", err)
	}
}
