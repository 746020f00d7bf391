package node

import (
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/member"
	"github.com/goldcrestmux/goldcrestmux/operator"
	"github.com/goldcrestmux/goldcrestmux/revision"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// State is the node's part of the state dump.
type State struct {
	Ready          bool        `json:"ready"`
	Reason         string      `json:"why,omitempty"`
	Folder         FolderState `json:"folder"`
	VMList         VMListState `json:"vm_list"`
	Peers          []string    `json:"peers"`
	LocallyHealthy bool        `json:"aware"`
}

// FolderState describes the folder revision in force.
type FolderState struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// Source is "service" or the name of the peer that the revision came from.
	Source string `json:"source"`
	// AgeMillis is the time since the revision came into force in this process.
	AgeMillis int64           `json:"age_ms"`
	Counts    revision.Counts `json:"counts"`
}

func newFolderState(now time.Time, s revision.Status) FolderState {
	out := FolderState{Revision: s.Revision, Digest: s.Digest, Counts: s.Counts}
	if s.Revision > 0 {
		out.Source = s.Source.String()
		out.AgeMillis = now.Sub(s.Since).Milliseconds()
	}
	return out
}

// VMListState describes the local copy of the VM list.
type VMListState struct {
	Sequence  uint64 `json:"sequence"`
	AgeMillis int64  `json:"age_ms"`
	// Down is true if neither this process nor a peer has a fresh copy.
	Down bool `json:"down"`
}

// State returns the node's part of the state dump.
func (n *Node) State() State {
	now := time.Now()
	s := State{}
	s.Ready, s.Reason = n.Ready()
	s.Folder = newFolderState(now, n.folder.status())
	n.vmList.mu.Lock()
	list, asOf, known := n.vmList.tracker.List()
	s.VMList = VMListState{Sequence: list.Sequence, Down: n.vmList.down}
	if known {
		s.VMList.AgeMillis = now.Sub(asOf).Milliseconds()
	}
	n.vmList.mu.Unlock()
	n.members.mu.Lock()
	s.Peers = n.members.state.Peers()
	s.LocallyHealthy = n.members.state.LocallyHealthy(now)
	n.members.mu.Unlock()
	return s
}

// Members returns the members as this process knows them.
func (n *Node) Members() []operator.Member {
	now := time.Now()
	n.members.mu.Lock()
	known := n.members.state.Members()
	n.members.mu.Unlock()
	out := make([]operator.Member, len(known))
	for i, m := range known {
		out[i] = newMember(now, m)
		if m.Name == n.opts.Self.Name() {
			out[i].AgeMillis = 0
			out[i].Source = "self"
		}
	}
	return out
}

func newMember(now time.Time, m member.Member) operator.Member {
	_, role, _ := strings.Cut(m.Name, "/")
	source := "gossip"
	if m.Peer {
		source = "heartbeat"
	}
	return operator.Member{
		Name:        m.Name,
		Role:        role,
		DataCentre:  m.DataCentre,
		Status:      statusNames[m.Status],
		Incarnation: m.Incarnation,
		Revision:    m.Revision,
		AgeMillis:   now.Sub(m.LastContact).Milliseconds(),
		Source:      source,
	}
}

// GatewayCount returns the number of gateways among the members that are not
// gone.
func (n *Node) GatewayCount() int {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	count := 0
	for _, m := range n.members.state.Members() {
		if strings.HasSuffix(m.Name, "/"+string(wire.RoleGateway)) && m.Status != wire.MemberGone {
			count++
		}
	}
	return count
}
