package entry

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/goldcrestmux/goldcrestmux/drain"
	"github.com/goldcrestmux/goldcrestmux/ingress"
	"github.com/juju/errors"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	// exitAborted means that requests in progress were aborted.
	exitAborted = 3
)

// supervise waits for a stop signal or the failure of a component, stops the
// process, and returns its exit code.
func (p *process) supervise(signals <-chan os.Signal) int {
	for {
		select {
		case <-p.tomb.Dying():
			p.log.Error("a component failed; stopping", "error", p.tomb.Err())
			p.closeAll()
			return exitFailure
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				p.reload(reloadBySignal)
				continue
			}
			return p.stop(sig)
		}
	}
}

// stop gives callers time to move to other processes, waits for the requests in
// progress, and returns the exit code.
func (p *process) stop(sig os.Signal) int {
	startedAt := time.Now()
	schedule := drain.NewSchedule(startedAt, p.settings.StopTimeout)
	p.stopping.Store(true)
	p.handler.BeginStop(schedule)
	p.log.Info("stopping", "signal", sig.String(), "bound", p.settings.StopTimeout, "in_progress", p.handler.Active())
	answer := time.AfterFunc(time.Until(schedule.Answer), p.answerUnfinished)
	defer answer.Stop()
	time.Sleep(time.Until(schedule.DisableKeepAlives))
	p.handler.DisableKeepAlives()
	time.Sleep(time.Until(schedule.CloseListener))
	code := exitOK
	closedBefore := p.callerServer.ClosedIdle()
	aborted, err := p.callerServer.Drain(schedule.Abort)
	if err != nil {
		p.log.Warn("closing the listener for callers failed", "error", err)
	}
	if len(aborted) > 0 {
		<-p.ending.Done() // the process may not have run when it was due
		aborted, _ = p.callerServer.Drain(time.Now().Add(schedule.WriteTime))
	}
	forPeers := p.gatherer.drain(schedule.Abort)
	if len(aborted)+forPeers > 0 {
		code = exitAborted
		p.logAborted(startedAt, aborted, forPeers)
	}
	p.closeAll()
	p.log.Info("stopped", "took", time.Since(startedAt), "exit_code", code, "closed_idle", p.callerServer.ClosedIdle()-closedBefore)
	return code
}

// answerUnfinished makes the requests in progress end with what is known of them, as the
// process is about to end.
func (p *process) answerUnfinished() {
	p.log.Warn("answering requests that have not ended", "in_progress", p.handler.Active(), "for_peers", p.gatherer.serving.Load())
	p.end()
	p.callerServer.InterruptBodies()
}

// maxAbortedLines bounds the log lines about single requests that a stop aborts.
const maxAbortedLines = 50

// logAborted logs the requests that a stop aborts: those of callers with their IDs, the time
// that they took, and how long after the signal they were received.
func (p *process) logAborted(stopAt time.Time, requests []ingress.RequestInProgress, forPeers int) {
	p.log.Error("requests in progress were aborted", "in_progress", len(requests)+forPeers, "for_peers", forPeers)
	for _, r := range requests[:min(len(requests), maxAbortedLines)] {
		p.log.Error("request aborted", "id", r.ID, "took", time.Since(r.ReceivedAt), "received_after_signal", r.ReceivedAt.Sub(stopAt))
	}
}

func (p *process) closeAll() {
	p.tomb.Kill(nil)
	_ = p.callerServer.Close() // requests still in progress have been logged
	_ = p.readinessServer.Close()
	if err := p.follower.Stop(); err != nil {
		p.log.Warn("stopping the store follower failed", "error", err)
	}
	if p.peers != nil {
		if err := p.peers.Stop(); err != nil {
			p.log.Warn("stopping the gossip node failed", "error", err)
		}
	}
	p.mesh.Close()
	if p.linkServer != nil {
		_ = p.linkServer.Close() // mesh.Close has closed the links
	}
	p.pool.Close()
	if err := p.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		p.log.Warn("a component ended with an error", "error", err)
	}
}
