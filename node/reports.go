package node

import (
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// reportExchange exchanges what the processes know of requests that crash targets.
type reportExchange struct {
	node *Node

	mu sync.Mutex
	// incarnations are those of the processes that were told all that is known.
	incarnations map[string]uint64
}

// maxGreeted bounds the processes that are remembered to have been told. Beyond it they
// are told once more.
const maxGreeted = 4096

// tick sends news that could not be sent before, and forgets what is too old.
func (x *reportExchange) tick(now time.Time) {
	x.node.opts.Guard.Tick(now)
	x.spread(now)
}

// spread sends news to the peers.
func (x *reportExchange) spread(now time.Time) {
	x.node.members.mu.Lock()
	peers := x.node.members.state.Peers()
	x.node.members.mu.Unlock()
	reports := x.node.opts.Guard.Urgent(now, len(peers))
	if len(reports) == 0 {
		return
	}
	for _, peer := range peers {
		x.send(peer, &wire.Frame{QuarantineReports: reports})
	}
}

func (x *reportExchange) send(to string, f *wire.Frame) {
	if err := x.node.opts.Links.Send(to, f); err != nil {
		x.node.opts.Logger.Debug("quarantine reports not sent", "peer", to, "error", err)
	}
}

// receiveFrame merges the reports of a peer. One that has just started is told all that is
// known.
func (x *reportExchange) receiveFrame(from wire.Process, f *wire.Frame) {
	now := time.Now()
	name := from.Name()
	x.mu.Lock()
	started := x.incarnations[name] != from.Incarnation
	if started && len(x.incarnations) >= maxGreeted {
		clear(x.incarnations)
	}
	x.incarnations[name] = from.Incarnation
	x.mu.Unlock()
	reply := x.node.opts.Guard.Receive(now, f.QuarantineReports)
	if started {
		reply = append(reply, x.node.opts.Guard.Regular(now, true)...)
	}
	if len(reply) > 0 {
		x.send(name, &wire.Frame{QuarantineReports: reply})
	}
}
