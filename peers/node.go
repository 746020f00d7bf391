package peers

import (
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/goldcrestmux/goldcrestmux/share"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

// Node exchanges the messages of a State over UDP.
//
// Lock order: mu is taken with no other lock held, and none is taken under it.
type Node struct {
	tomb   tomb.Tomb
	socket net.PacketConn
	logger *slog.Logger
	fleet  func(share.Fleet)
	tick   time.Duration

	mu    sync.Mutex
	state *State
	last  share.Fleet
}

// Listen opens the socket of a node. Fleet is told each change of the processes
// that share limits.
func Listen(address string, state *State, tick time.Duration, logger *slog.Logger, fleet func(share.Fleet)) (*Node, error) {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers on %s", address)
	}
	return &Node{socket: socket, logger: logger, fleet: fleet, tick: tick, state: state}, nil
}

// Start begins to exchange messages.
func (n *Node) Start() {
	n.tomb.Go(n.receive)
	n.tomb.Go(n.run)
}

// Stop closes the socket and waits.
func (n *Node) Stop() error {
	n.tomb.Kill(nil)
	_ = n.socket.Close() // ends receive
	return n.tomb.Wait()
}

func (n *Node) run() error {
	ticker := time.NewTicker(n.tick)
	defer ticker.Stop()
	for {
		now := time.Now()
		n.mu.Lock()
		sends := n.state.Tick(now)
		n.mu.Unlock()
		n.send(sends)
		n.tell(now)
		select {
		case <-n.tomb.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

// tell passes the processes on when they change.
func (n *Node) tell(now time.Time) {
	n.mu.Lock()
	fleet := n.state.Fleet(now)
	before := n.last
	changed := fleet.AssumedSize != before.AssumedSize || !slices.Equal(fleet.Members, before.Members)
	n.last = fleet
	n.mu.Unlock()
	if changed {
		n.logger.Info("processes that share limits changed",
			"known", len(fleet.Members), "assumed", fleet.AssumedSize, "before", len(before.Members))
		n.fleet(fleet)
	}
}

func (n *Node) send(sends []Outgoing) {
	for _, s := range sends {
		address, err := net.ResolveUDPAddr("udp4", s.To)
		if err != nil {
			n.logger.Warn("a peer's address is not valid", "address", s.To, "error", err)
			continue
		}
		data, err := cbor.Marshal(s.Message)
		if err != nil {
			n.logger.Error("message to a peer can't be encoded", "error", err)
			continue
		}
		if _, err := n.socket.WriteTo(data, address); err != nil {
			n.logger.Debug("message to a peer not sent", "address", s.To, "error", err)
		}
	}
}

func (n *Node) receive() error {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := n.socket.ReadFrom(buf)
		if err != nil {
			if n.tomb.Alive() {
				n.logger.Warn("reading from peers failed", "error", err)
				time.Sleep(n.tick)
				continue
			}
			return nil
		}
		var m Message
		if err := cbor.Unmarshal(buf[:size], &m); err != nil {
			n.logger.Warn("message of a peer can't be read", "from", from.String(), "error", err)
			continue
		}
		now := time.Now()
		n.mu.Lock()
		sends, added := n.state.Receive(now, m)
		n.mu.Unlock()
		for _, name := range added {
			n.logger.Info("peer found", "peer", name, "told_by", from.String())
		}
		n.send(sends)
		n.tell(now)
	}
}

// SetSeeds takes the addresses to begin with as they are told now.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.SetSeeds(seeds)
}

// Members returns what is known of the others.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Members()
}

// Alive returns the others that were heard of within a span.
func (n *Node) Alive(within time.Duration) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Alive(time.Now(), within)
}
