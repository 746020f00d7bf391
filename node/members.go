package node

import (
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/member"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// memberDriver drives the state machine of the membership.
type memberDriver struct {
	node *Node

	mu    sync.Mutex
	state *member.State
}

// setVMList passes the processes of a VM list to the membership and to
// folderDriver.
func (m *memberDriver) setVMList(now time.Time, list platformapi.VMList) {
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
	m.node.folder.setFleet(peers, names)
	m.notify(changes)
}

func (m *memberDriver) receiveFrame(from wire.Process, f *wire.Frame) {
	if f.FolderOffer == nil && len(f.Members) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Receive(time.Now(), from.Name(), from.Incarnation, f.Members)
}

// tick sends the heartbeats that are due. Each carries the offers of this process.
func (m *memberDriver) tick(now time.Time) {
	m.mu.Lock()
	result := m.state.Tick(now)
	m.mu.Unlock()
	m.notify(result.Changes)
	for _, h := range result.Heartbeats {
		m.node.sendHeartbeat(h.To, m.node.heartbeatFrame(now, h.Updates))
	}
}

// heartbeatFrame returns a heartbeat with member updates and the offers of this
// process.
func (n *Node) heartbeatFrame(now time.Time, updates []wire.MemberUpdate) *wire.Frame {
	offer := n.folder.offer()
	return &wire.Frame{Members: updates, FolderOffer: &offer, VMListOffer: n.vmList.offer(now), QuarantineReports: n.opts.Guard.Regular(now, false)}
}

func (n *Node) sendHeartbeat(to string, f *wire.Frame) {
	metrics.heartbeats.Add(1)
	if err := n.opts.Links.Send(to, f); err != nil {
		n.opts.Logger.Debug("heartbeat not sent", "peer", to, "error", err)
	}
}

// setRevision sets the folder revision that member updates carry.
func (m *memberDriver) setRevision(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.SetRevision(revision)
}

// announceRevision sends a heartbeat to all peers at once, because a revision has
// come into force.
func (m *memberDriver) announceRevision() {
	m.mu.Lock()
	peers := m.state.Peers()
	m.mu.Unlock()
	now := time.Now()
	for _, peer := range peers {
		m.node.sendHeartbeat(peer, m.node.heartbeatFrame(now, nil))
	}
}

func (m *memberDriver) recordPause(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Paused(now)
}

func (m *memberDriver) leave() {
	m.mu.Lock()
	m.state.Leave(time.Now())
	m.mu.Unlock()
	m.tick(time.Now())
}

func (m *memberDriver) setPathLost(lost bool) {
	m.mu.Lock()
	m.state.SetPathLost(time.Now(), lost)
	m.mu.Unlock()
	m.tick(time.Now())
}

// notify logs changes of status and passes them to Events.MemberStatus. mu must
// not be held.
func (m *memberDriver) notify(changes []member.StatusChange) {
	for _, c := range changes {
		m.node.opts.Logger.Info("member status changed",
			"member", c.Name, "from", statusNames[c.From], "to", statusNames[c.To])
		if m.node.opts.Events.MemberStatus != nil {
			m.node.opts.Events.MemberStatus(c.Name, c.To)
		}
	}
}

// statusNames are the names of member statuses in logs and state dumps.
var statusNames = map[wire.MemberStatus]string{
	0:                  "unknown",
	wire.MemberAlive:   "alive",
	wire.MemberSuspect: "suspect",
	wire.MemberLeaving: "leaving",
	wire.MemberGone:    "gone",
	wire.MemberCutOff:  "cut off from targets",
}
