package peers

import (
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/share"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

// Node exchanges the messages of a State over UDP. Methods are safe for
// concurrent use.
//
// Lock order: notifyMu before mu. No other lock may be held when they are acquired,
// and none is acquired while mu is held.
type Node struct {
	tomb         tomb.Tomb
	socket       net.PacketConn
	logger       *slog.Logger
	guard        *quarantine.Guard
	onChange     func(share.Fleet)
	tickInterval time.Duration

	// sentLocal and sentRemote count the bytes of messages sent to members in this data
	// centre, and to others and to seeds that are not known as members.
	sentLocal, sentRemote atomic.Int64
	sentQuota             atomic.Int64
	quota                 QuotaReceiver // nil if there is none

	// notifyMu orders the calls of onChange, so that an older fleet does not replace
	// a newer one.
	notifyMu  sync.Mutex
	mu        sync.Mutex
	state     *State
	lastFleet share.Fleet // as last passed to onChange
}

// Listen opens the UDP socket of a node. The node exchanges what the guard knows with the
// peers, and calls onChange with the new fleet whenever the fleet changes.
func Listen(address string, state *State, tickInterval time.Duration, logger *slog.Logger, guard *quarantine.Guard, onChange func(share.Fleet)) (*Node, error) {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers on %s", address)
	}
	return &Node{socket: socket, logger: logger, guard: guard, onChange: onChange, tickInterval: tickInterval, state: state}, nil
}

// Start starts the goroutines that send and receive messages.
func (n *Node) Start() {
	n.tomb.Go(n.receive)
	n.tomb.Go(n.run)
}

// Stop closes the socket and waits for the goroutines to end.
func (n *Node) Stop() error {
	n.tomb.Kill(nil)
	_ = n.socket.Close() // ends receive
	return n.tomb.Wait()
}

func (n *Node) run() error {
	ticker := time.NewTicker(n.tickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		n.mu.Lock()
		messages := n.state.Tick(now)
		n.mu.Unlock()
		if len(messages) > 0 {
			n.guard.Tick(now)
			n.addReports(now, messages, false)
		}
		n.send(messages)
		n.spreadNews(now)
		n.notify(now)
		select {
		case <-n.tomb.Dying():
			return nil
		case <-ticker.C:
		case <-n.guard.News():
		}
	}
}

// addReports adds what the guard knows to messages. Initial is true if they are for a
// process that may have just started.
func (n *Node) addReports(now time.Time, messages []Outgoing, initial bool) {
	for i := range messages {
		messages[i].Message.Reports = n.guard.Regular(now, initial)
	}
}

// newsFanout is the number of peers that news of the guard are sent to at once. They send
// them to as many.
const newsFanout = 6

// newsPeerAge is the age of a peer's heartbeat up to which it gets news at once.
const newsPeerAge = 20 * time.Second

// spreadNews sends what the guard has learned to a few peers.
func (n *Node) spreadNews(now time.Time) {
	reports := n.guard.Urgent(now, newsFanout)
	if len(reports) == 0 {
		return
	}
	n.mu.Lock()
	messages := n.state.Spread(now, newsPeerAge, newsFanout, reports)
	n.mu.Unlock()
	n.send(messages)
}

// notify calls onChange if the fleet has changed since the last call.
func (n *Node) notify(now time.Time) {
	n.notifyMu.Lock()
	defer n.notifyMu.Unlock()
	n.mu.Lock()
	fleet := n.state.Fleet(now)
	before := n.lastFleet
	changed := fleet.AssumedSize != before.AssumedSize || !slices.Equal(fleet.Members, before.Members)
	n.lastFleet = fleet
	n.mu.Unlock()
	if changed {
		n.logger.Info("fleet changed",
			"known", len(fleet.Members), "assumed", fleet.AssumedSize, "before", len(before.Members))
		n.onChange(fleet)
	}
}

func (n *Node) send(messages []Outgoing) {
	for _, m := range messages {
		address, err := net.ResolveUDPAddr("udp4", m.To)
		if err != nil {
			n.logger.Warn("invalid peer address; gossip message not sent", "address", m.To, "error", err)
			continue
		}
		data, err := cbor.Marshal(m.Message)
		if err != nil {
			n.logger.Error("encoding a gossip message failed; message not sent", "error", err)
			continue
		}
		if m.Local {
			n.sentLocal.Add(int64(len(data)))
		} else {
			n.sentRemote.Add(int64(len(data)))
		}
		if _, err := n.socket.WriteTo(data, address); err != nil {
			n.logger.Debug("sending a gossip message failed", "address", m.To, "error", err)
		}
	}
}

func (n *Node) receive() error {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := n.socket.ReadFrom(buf)
		if err != nil {
			if n.tomb.Alive() {
				n.logger.Warn("reading from the gossip socket failed; retrying", "error", err)
				time.Sleep(n.tickInterval)
				continue
			}
			return nil
		}
		m, skipped, err := decodeMessage(buf[:size])
		if err != nil {
			n.logger.Warn("decoding a gossip message failed; message ignored", "from", from.String(), "error", err)
			continue
		}
		if skipped > 0 {
			n.logger.Warn("parts of a gossip message could not be decoded; the others are used", "from", from.String(), "skipped", skipped)
		}
		now := time.Now()
		if n.receiveQuota(now, from, &m) {
			continue
		}
		n.mu.Lock()
		replies, added := n.state.Receive(now, m)
		n.mu.Unlock()
		n.addReports(now, replies, true)
		replies = append(replies, n.receiveReports(now, &m)...)
		for _, name := range added {
			n.logger.Info("peer found", "peer", name, "told_by", from.String())
		}
		n.send(replies)
		n.notify(now)
	}
}

// receiveReports merges the reports of a message and returns the reply, if there are
// objections to them.
func (n *Node) receiveReports(now time.Time, m *Message) []Outgoing {
	objections := n.guard.Receive(now, m.Reports)
	if len(objections) == 0 || len(m.Members) == 0 || m.Members[0].Address == "" {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return []Outgoing{n.state.reply(&m.Members[0], Message{Members: []Member{n.state.opts.Self}, Reports: objections})}
}

// BytesSent returns the bytes of messages sent to members in this data centre, and to
// others.
func (n *Node) BytesSent() (local, remote int64) { return n.sentLocal.Load(), n.sentRemote.Load() }

// SetLoad sets the load that the other processes are told.
func (n *Node) SetLoad(l *Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.SetLoad(l)
}

// SetCutOff tells the other processes whether this one reaches no targets, a few of them at
// once.
func (n *Node) SetCutOff(cutOff bool) {
	now := time.Now()
	n.mu.Lock()
	messages := n.state.SetCutOff(now, cutOff, newsPeerAge, newsFanout)
	n.mu.Unlock()
	n.send(messages)
}

// SetSeeds replaces the seed addresses.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.SetSeeds(seeds)
}

// Members returns the known peers, sorted by name.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Members()
}

// Alive returns the peers whose heartbeat has increased within the given time,
// sorted by name.
func (n *Node) Alive(within time.Duration) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Alive(time.Now(), within)
}
