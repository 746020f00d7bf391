package daemon

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/admission"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/gateway"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/node"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/settings"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// gatewayProcess is a process with the gateway role. It implements link.Handler
// for its links.
type gatewayProcess struct {
	*process
	gateway *gateway.Gateway
	// dataCentreOut is true while the folder takes the local data centre out of
	// service.
	dataCentreOut atomic.Bool
	// leaveStarted is the time at which the graceful stop began, in nanoseconds
	// since the Unix epoch; 0 before.
	leaveStarted atomic.Int64
}

func newGatewayProcess(s *settings.Settings, log *slog.Logger, level *slog.LevelVar) (*gatewayProcess, error) {
	p := &gatewayProcess{}
	p.process = newProcess(s, log, p)
	p.gateway = gateway.New(gateway.Options{
		Self: p.self, Logger: log, Links: p.pool, MaxBody: int64(s.MaxBodyBytes),
		Admission: admission.Options{
			Mode: admission.Mode(s.Admission), MaxLimit: s.Concurrency, MaxQueue: s.QueueLength,
		},
		Hedge: hedge.Options{Mode: hedge.Mode(s.Hedging)}, ReplicaChoice: replica.Mode(s.ReplicaChoice),
		Guard: p.guard, Ready: p.ready,
	})
	p.newNode(wire.RoleRelay, node.Events{Contracts: p.setContracts, MemberStatus: p.updateGatewayCount})
	err := p.listen(level, func() any { return p.dump() },
		endpoint{name: "api", address: s.APIListen, handler: p.gateway})
	if err != nil {
		return nil, err
	}
	p.start()
	return p, nil
}

// Up implements link.Handler.
func (p *gatewayProcess) Up(l *link.Link) { p.gateway.Up(l) }

// Frame implements link.Handler.
func (p *gatewayProcess) Frame(l *link.Link, f *wire.Frame) {
	p.gateway.Frame(l, f)
	p.node.ReceiveFrame(l.Peer(), f)
}

// Dropped implements link.Handler.
func (p *gatewayProcess) Dropped(l *link.Link, b wire.Batch) { p.gateway.Dropped(l, b) }

// Unresponsive implements link.UnresponsiveObserver.
func (p *gatewayProcess) Unresponsive(l *link.Link, unresponsive bool) {
	p.gateway.Unresponsive(l, unresponsive)
}

// Down implements link.Handler.
func (p *gatewayProcess) Down(l *link.Link, _ error) { p.gateway.Down(l) }

func (p *gatewayProcess) setContracts(c *folder.Contracts) {
	p.dataCentreOut.Store(c.DataCentres[p.self.DataCentre].State == folder.StateOut)
	p.gateway.SetContracts(c)
}

func (p *gatewayProcess) updateGatewayCount(string, wire.MemberStatus) {
	p.gateway.SetGateways(p.node.GatewayCount())
}

// ready reports whether the platform's load balancer may send requests to this
// process, and if not, the reason.
func (p *gatewayProcess) ready() (bool, string) {
	if p.dataCentreOut.Load() {
		return false, "data centre " + p.self.DataCentre + " is out by the folder"
	}
	if ok, reason := p.node.Ready(); !ok {
		return false, reason
	}
	search := p.gateway.UncoveredSearch()
	if search != "" && time.Since(p.started) < coverageGracePeriod {
		return false, "search " + search + " has a shard that no relay reaches yet"
	}
	return true, ""
}

// coverageGracePeriod bounds how long a new gateway waits to be ready until each
// shard can be reached through a relay. After that it serves the shards that can
// be reached.
const coverageGracePeriod = 20 * time.Second

// leave makes readiness checks fail and notifies the peers. Requests that the load
// balancer still sends are served.
func (p *gatewayProcess) leave() {
	p.gateway.StartDraining()
	p.node.Leave()
	p.leaveStarted.Store(time.Now().UnixNano())
}

// idle reports whether the linger time has passed since leave was called and no
// request is in progress.
func (p *gatewayProcess) idle() bool {
	since := time.Since(time.Unix(0, p.leaveStarted.Load()))
	return since >= p.settings.Linger && p.gateway.RequestsInProgress() == 0
}

func (p *gatewayProcess) inProgress() string {
	if n := p.gateway.RequestsInProgress(); n > 0 {
		return fmt.Sprintf("%d requests of callers", n)
	}
	return ""
}

func (p *gatewayProcess) close() error {
	err := p.process.close()
	p.gateway.Close()
	return err
}

// GatewayDump is the response of a gateway at /debug/state.
type GatewayDump struct {
	ProcessState
	OutOfService bool          `json:"data_centre_out"`
	Gateway      gateway.State `json:"gateway"`
}

func (p *gatewayProcess) dump() GatewayDump {
	return GatewayDump{ProcessState: p.state(), OutOfService: p.dataCentreOut.Load(), Gateway: p.gateway.State()}
}
