// Package node drives what every process of the system does beside its role: it
// follows the configuration service and the VM list, exchanges heartbeats with
// peers, and passes configuration and copies of the VM list on.
//
// Decisions are made by the state machines of the packages member, revision and
// view; this package feeds them with events and carries out their actions.
package node

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/member"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/revision"
	"github.com/goldcrestmux/goldcrestmux/vmlist"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"gopkg.in/tomb.v2"
)

// Intervals of a node.
const (
	// tickInterval is the time between two ticks of the state machines.
	tickInterval = 100 * time.Millisecond
	// gapThreshold is the time without a tick after which the process counts
	// as having been paused.
	gapThreshold = time.Second
	// folderSeed sets the random source of the folder's pace apart.
	folderSeed = 4
)

// Links sends frames to other processes by name.
type Links interface {
	// Send sends a frame over a live link or one that is opened for it.
	Send(name string, f *wire.Frame) error
	// SetPeers replaces the known addresses.
	SetPeers(peers map[string]link.Peer)
}

// Events are told to the role. Each is called by one goroutine at a time, with
// no lock of the node held. Any may be nil.
type Events struct {
	// Contracts tells that a revision of the folder came into force.
	Contracts func(*folder.Contracts)
	// VMList tells of a copy of the VM list and when the platform was asked for it.
	VMList func(list platformapi.VMList, asOf time.Time)
	// VMListDown tells whether nobody within reach has a fresh copy of the list.
	VMListDown func(down bool)
	// Paused tells that the process was paused.
	Paused func()
	// MemberStatus tells that a member's status has changed.
	MemberStatus func(member string, status wire.MemberStatus)
}

// Options configures a Node.
type Options struct {
	Self   wire.Process
	Region string
	Logger *slog.Logger
	Links  Links
	// ConfigClients are clients of the configuration service, tried in order.
	ConfigClients []*platformapi.ConfigClient
	// VMListClient is the client of the platform's VM list.
	VMListClient *platformapi.VMListClient
	// VMListPollInterval is the interval between two reads of the VM list.
	VMListPollInterval time.Duration
	// VMListMaxAge is the age from which on a copy of the list is not fresh.
	VMListMaxAge time.Duration
	// HeartbeatInterval is the interval between two heartbeats to one peer.
	HeartbeatInterval time.Duration
	// Peers is the number of members that heartbeats go to.
	Peers int
	// PersistentLinkRole tells to which role this process keeps standing links; empty for none.
	PersistentLinkRole wire.Role
	Events             Events
}

// Node drives the state machines that every process has. Its methods may be
// called concurrently.
//
// Lock order: the mutex of each driver (members, folders, views) is taken with
// no other held, and under it no lock but those of links.
type Node struct {
	opts    Options
	tomb    tomb.Tomb
	members *members
	folders *folders
	views   *views
}

// New returns a node that is not started.
func New(opts Options) *Node {
	n := &Node{opts: opts}
	n.members = &members{
		node: n,
		state: member.New(member.Options{
			Self: opts.Self, Region: opts.Region, HeartbeatInterval: opts.HeartbeatInterval, Peers: opts.Peers,
		}),
	}
	n.folders = newFolders(n, revision.Options{
		Validate: check,
		Rand:     rand.New(rand.NewPCG(opts.Self.Incarnation, folderSeed)),
	})
	n.views = &views{node: n, tracker: vmlist.New(vmlist.Options{MaxAge: opts.VMListMaxAge})}
	return n
}

// Start starts to follow the platform.
func (n *Node) Start() {
	n.tomb.Go(n.tick)
	n.tomb.Go(n.folders.follow)
	for range readWorkers {
		n.tomb.Go(n.folders.read)
	}
	n.tomb.Go(n.views.poll)
}

// Stop ends all that the node does and waits for it.
func (n *Node) Stop() {
	n.tomb.Kill(nil)
	_ = n.tomb.Wait()
}

// Leave tells the peers that this process stops.
func (n *Node) Leave() { n.members.leave() }

// Ready reports whether the process may serve, and if not, why.
func (n *Node) Ready() (ok bool, why string) {
	if !n.views.known() {
		return false, "the VM list has not been read"
	}
	return n.folders.ready()
}

// ReceiveFrame takes what a peer sent; messages for the roles are ignored.
func (n *Node) ReceiveFrame(from wire.Process, f *wire.Frame) {
	n.members.frame(from, f)
	n.folders.frame(from.Name(), f)
	n.views.frame(from.Name(), f)
}

// tick lets time take effect, and notices when the process was paused.
func (n *Node) tick() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if paused(last, now) {
			n.gap(now)
		}
		last = now
		n.members.tick(now)
		n.folders.tick()
		n.views.tick(now)
	}
}

// paused reports whether the process did not run between two ticks. The wall
// clock is compared too: the monotonic clock stands still while a VM is
// suspended.
func paused(last, now time.Time) bool {
	wall := now.Round(0).Sub(last.Round(0))
	return now.Sub(last) > gapThreshold || wall > gapThreshold
}

func (n *Node) gap(now time.Time) {
	n.opts.Logger.Warn("the process was paused")
	metrics.gaps.Add(1)
	n.members.gap(now)
	n.views.gap(now)
	n.folders.gap()
	if n.opts.Events.Paused != nil {
		n.opts.Events.Paused()
	}
}

// sleep waits for d or until the node stops.
func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.tomb.Dying():
	case <-time.After(d):
	}
}
