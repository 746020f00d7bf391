package daemon

import (
	"fmt"
	"log/slog"

	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/node"
	"github.com/goldcrestmux/goldcrestmux/relay"
	"github.com/goldcrestmux/goldcrestmux/settings"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// relayProcess is a process with the relay role. It implements link.Handler for
// its links.
type relayProcess struct {
	*process
	relay *relay.Relay
}

func newRelayProcess(s *settings.Settings, log *slog.Logger, level *slog.LevelVar) (*relayProcess, error) {
	p := &relayProcess{}
	p.process = newProcess(s, log, p)
	r, err := relay.New(relay.Options{
		Self: p.self, Logger: log, Links: p.pool, Workers: s.Workers, QueuePerTarget: s.TargetQueue,
		Guard: p.guard, Permit: s.PermitOptions(), PerVM: s.Permits == settings.PermitsPerVM,
	})
	if err != nil {
		return nil, err
	}
	p.relay = r
	p.newNode("", node.Events{
		Contracts:    r.SetContracts,
		VMList:       r.SetVMList,
		VMListDown:   r.SetVMListDown,
		Paused:       r.Paused,
		MemberStatus: p.setMemberStatus,
	})
	r.OnPath(p.node.SetPathLost)
	if err := p.listen(level, func() any { return p.dump() }); err != nil {
		return nil, err
	}
	p.start()
	return p, nil
}

// Up implements link.Handler.
func (p *relayProcess) Up(l *link.Link) { p.relay.Up(l) }

// Frame implements link.Handler.
func (p *relayProcess) Frame(l *link.Link, f *wire.Frame) {
	p.relay.Frame(l, f)
	p.node.ReceiveFrame(l.Peer(), f)
}

// Dropped implements link.Handler. A relay sends no batches.
func (p *relayProcess) Dropped(*link.Link, wire.Batch) {}

// Down implements link.Handler.
func (p *relayProcess) Down(l *link.Link, _ error) { p.relay.Down(l) }

// setMemberStatus notifies the relay of other relays that are leaving, unreachable
// or reachable again.
func (p *relayProcess) setMemberStatus(name string, status wire.MemberStatus) {
	switch status {
	case wire.MemberAlive, wire.MemberCutOff:
		p.relay.SetPeerLeaving(name, false)
		p.relay.SetPeerPathLost(name, status == wire.MemberCutOff)
		p.relay.SetReachable(name, true)
	case wire.MemberLeaving:
		p.relay.SetPeerLeaving(name, true)
	case wire.MemberSuspect, wire.MemberGone:
		p.relay.SetReachable(name, false)
	}
}

// leave notifies the peers and starts the handover of the permits.
func (p *relayProcess) leave() {
	p.node.Leave()
	p.relay.Leave()
}

func (p *relayProcess) idle() bool { return p.relay.Idle() }

func (p *relayProcess) inProgress() string {
	if n := p.relay.Jobs(); n > 0 {
		return fmt.Sprintf("%d sub-requests", n)
	}
	return ""
}

func (p *relayProcess) close() error {
	err := p.process.close()
	p.relay.Close()
	return err
}

// RelayDump is the response of a relay at /debug/state.
type RelayDump struct {
	ProcessState
	Relay relay.State `json:"relay"`
}

func (p *relayProcess) dump() RelayDump {
	return RelayDump{ProcessState: p.state(), Relay: p.relay.State()}
}
