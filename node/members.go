package node

import (
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/member"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// members drives the membership.
type members struct {
	node *Node

	mu    sync.Mutex
	state *member.State
}

// setList passes a copy of the VM list on.
func (m *members) setList(now time.Time, list platformapi.VMList) {
	var entries []member.Entry
	for _, vm := range list.VMs {
		for role := range vm.Links {
			entries = append(entries, member.Entry{
				Name:       wire.Process{VM: vm.Name, Role: role}.Name(),
				DataCentre: vm.DataCentre,
				Region:     vm.Region,
				Leaving:    vm.Leaving,
			})
		}
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name
	}
	m.mu.Lock()
	changes := m.state.SetVMList(now, entries)
	peers := m.state.Peers()
	m.mu.Unlock()
	m.node.folders.setFleet(peers, names)
	m.tell(changes)
}

func (m *members) frame(from wire.Process, f *wire.Frame) {
	if f.FolderOffer == nil && len(f.Members) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Receive(time.Now(), from.Name(), from.Incarnation, f.Members)
}

// tick sends due heartbeats. Each carries what this process offers its peers.
func (m *members) tick(now time.Time) {
	m.mu.Lock()
	result := m.state.Tick(now)
	m.mu.Unlock()
	m.tell(result.Changes)
	for _, h := range result.Heartbeats {
		m.node.send(h.To, m.node.heartbeat(now, h.Updates))
	}
}

// heartbeat returns the frame of a heartbeat.
func (n *Node) heartbeat(now time.Time, updates []wire.MemberUpdate) *wire.Frame {
	offer := n.folders.offer()
	return &wire.Frame{Members: updates, FolderOffer: &offer, VMListOffer: n.views.offer(now)}
}

func (n *Node) send(to string, f *wire.Frame) {
	metrics.heartbeats.Add(1)
	if err := n.opts.Links.Send(to, f); err != nil {
		n.opts.Logger.Debug("heartbeat not sent", "peer", to, "error", err)
	}
}

// setRevision sets the folder revision that heartbeats tell.
func (m *members) setRevision(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.SetRevision(revision)
}

// announce tells the peers at once of a revision that came into force.
func (m *members) announce() {
	m.mu.Lock()
	peers := m.state.Peers()
	m.mu.Unlock()
	now := time.Now()
	for _, peer := range peers {
		m.node.send(peer, m.node.heartbeat(now, nil))
	}
}

func (m *members) gap(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Paused(now)
}

func (m *members) leave() {
	m.mu.Lock()
	m.state.Leave(time.Now())
	m.mu.Unlock()
	m.tick(time.Now())
}

// tell logs changes and tells the role. No lock is held.
func (m *members) tell(changes []member.StatusChange) {
	for _, c := range changes {
		m.node.opts.Logger.Info("member status changed",
			"member", c.Name, "from", statusNames[c.From], "to", statusNames[c.To])
		if m.node.opts.Events.Status != nil {
			m.node.opts.Events.Status(c.Name, c.To)
		}
	}
}

// statusNames are the names of member states in logs and dumps.
var statusNames = map[wire.MemberStatus]string{
	0:                  "unknown",
	wire.MemberAlive:   "alive",
	wire.MemberSuspect: "suspect",
	wire.MemberLeaving: "leaving",
	wire.MemberGone:    "gone",
}
