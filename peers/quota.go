package peers

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// QuotaReceiver handles the batches of package quota. Its methods must not wait for anything
// that may take long: they are called by the goroutine that reads the socket.
type QuotaReceiver interface {
	// Receive handles a batch that arrived from an address.
	Receive(now time.Time, from string, data []byte)
	// Heard is called for each other message of a peer.
	Heard(now time.Time)
}

// SetQuotaReceiver sets what handles batches of package quota. It must be called before Start.
func (n *Node) SetQuotaReceiver(r QuotaReceiver) { n.quota = r }

// SendQuota sends a batch of package quota to an address.
func (n *Node) SendQuota(to string, data []byte) {
	address, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		n.logger.Warn("invalid peer address; quota message not sent", "address", to, "error", err)
		return
	}
	encoded, err := cbor.Marshal(Message{Quota: data})
	if err != nil {
		n.logger.Error("encoding a quota message failed; message not sent", "error", err)
		return
	}
	n.sentQuota.Add(int64(len(encoded)))
	if _, err := n.socket.WriteTo(encoded, address); err != nil {
		n.logger.Debug("sending a quota message failed", "address", to, "error", err)
	}
}

// receiveQuota handles a message with a batch. It returns false if the message has none.
func (n *Node) receiveQuota(now time.Time, from net.Addr, m *Message) bool {
	if len(m.Quota) == 0 {
		if n.quota != nil {
			n.quota.Heard(now)
		}
		return false
	}
	if n.quota != nil {
		n.quota.Receive(now, from.String(), m.Quota)
	}
	return true
}

// QuotaBytesSent returns the bytes of messages with batches of package quota.
func (n *Node) QuotaBytesSent() int64 { return n.sentQuota.Load() }

// Fleet returns the processes that share limits.
func (n *Node) Fleet(now time.Time) share.Fleet {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Fleet(now)
}
