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

// gatewayProcess is a process with the gateway's role. It is the handler of
// its links.
type gatewayProcess struct {
	*process
	gateway *gateway.Gateway
	// out is true while the operators have the process's data centre out.
	out atomic.Bool
	// left is when the graceful stop began, in nanoseconds since the Unix epoch; 0 before.
	left atomic.Int64
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
		Ready: p.ready,
	})
	p.newNode(wire.RoleRelay, node.Events{Contracts: p.setContracts, Status: p.setStatus})
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
	p.node.Frame(l.Peer(), f)
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
	p.out.Store(c.DataCentres[p.self.DataCentre].State == folder.StateOut)
	p.gateway.SetContracts(c)
}

func (p *gatewayProcess) setStatus(string, wire.MemberStatus) {
	p.gateway.SetGateways(p.node.Gateways())
}

// ready tells the platform's balancer whether to send requests here.
func (p *gatewayProcess) ready() (bool, string) {
	if p.out.Load() {
		return false, "data centre " + p.self.DataCentre + " is out by the folder"
	}
	if ok, why := p.node.Ready(); !ok {
		return false, why
	}
	search := p.gateway.Uncovered()
	if search != "" && time.Since(p.started) < coverGrace {
		return false, "search " + search + " has a shard that no relay reaches yet"
	}
	return true, ""
}

// coverGrace is how long a fresh gateway waits for relays to reach every shard.
// After that it serves what can be reached.
const coverGrace = 20 * time.Second

// leave makes readiness fail and tells the peers. Requests that the balancer
// still sends are served.
func (p *gatewayProcess) leave() {
	p.gateway.Leave()
	p.node.Leave()
	p.left.Store(time.Now().UnixNano())
}

// idle reports whether the linger time is over and no request is in progress.
func (p *gatewayProcess) idle() bool {
	since := time.Since(time.Unix(0, p.left.Load()))
	return since >= p.settings.Linger && p.gateway.Requests() == 0
}

func (p *gatewayProcess) inProgress() string {
	if n := p.gateway.Requests(); n > 0 {
		return fmt.Sprintf("%d requests of callers", n)
	}
	return ""
}

func (p *gatewayProcess) close() error {
	err := p.process.close()
	p.gateway.Close()
	return err
}

// GatewayDump is the answer of a gateway at /debug/state.
type GatewayDump struct {
	ProcessState
	OutOfService bool          `json:"data_centre_out"`
	Gateway      gateway.State `json:"gateway"`
}

func (p *gatewayProcess) dump() GatewayDump {
	return GatewayDump{ProcessState: p.state(), OutOfService: p.out.Load(), Gateway: p.gateway.State()}
}
