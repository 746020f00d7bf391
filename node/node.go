// Package node runs what gateways and relays have in common: it follows the
// configuration service and the VM list, exchanges heartbeats with peers, and
// offers its configuration and its copy of the VM list to them.
//
// The state machines of packages member, revision and vmlist make the decisions.
// This package passes events to them and performs their actions.
package node

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/member"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/revision"
	"github.com/goldcrestmux/goldcrestmux/vmlist"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"gopkg.in/tomb.v2"
)

const (
	// tickInterval is the time between two ticks of the state machines.
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process is
	// regarded as having been paused.
	pauseThreshold = time.Second
	// folderSeed makes the random numbers of package revision differ from those
	// of other packages that also use the incarnation as a seed.
	folderSeed = 4
)

// Links sends frames to other processes by name.
type Links interface {
	// Send sends a frame over an existing link, or opens a link for it.
	Send(name string, f *wire.Frame) error
	// SetPeers replaces the peers that can be dialled, by process name.
	SetPeers(peers map[string]link.Peer)
}

// Events holds the callbacks of the gateway or relay. They are called without the
// mutex of a state machine held. Calls of the same callback are serialised, except those of
// MemberStatus. Any callback may be nil.
type Events struct {
	// Contracts is called when a revision of the folder has come into force.
	Contracts func(*folder.Contracts)
	// VMList is called when the copy of the VM list has been replaced by a newer or
	// more recently read one. The list was requested from the platform at asOf.
	VMList func(list platformapi.VMList, asOf time.Time)
	// VMListDown is called when the availability of a fresh copy of the VM list
	// changes. Down is true if neither this process nor a peer has a fresh copy.
	VMListDown func(down bool)
	// Paused is called when a pause of the process has been detected.
	Paused func()
	// MemberStatus is called when the status of a member has changed.
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
	// VMListMaxAge is the age from which a copy of the VM list is no longer fresh.
	VMListMaxAge time.Duration
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval time.Duration
	// Peers is the number of members that this one chooses to exchange heartbeats
	// with.
	Peers int
	// PersistentLinkRole is the role of the processes that persistent links are
	// kept to; empty means none.
	PersistentLinkRole wire.Role
	// Guard is what this process knows of requests that crash targets. It is exchanged
	// with the peers.
	Guard  *quarantine.Guard
	Events Events
}

// Node drives the state machines that gateways and relays have in common. Its
// methods are safe for concurrent use.
//
// Lock order: the mu of at most one driver (members, folder, vmList) is held at a
// time, or that of reportExchange. Only locks of package link are acquired while it is held.
type Node struct {
	opts    Options
	tomb    tomb.Tomb
	members *memberDriver
	folder  *folderDriver
	vmList  *vmListDriver
	reports *reportExchange
}

// New returns a node that is not started.
func New(opts Options) *Node {
	opts.Guard = opts.Guard.OrNew(opts.Logger)
	n := &Node{opts: opts}
	n.members = &memberDriver{
		node: n,
		state: member.New(member.Options{
			Self: opts.Self, Region: opts.Region, HeartbeatInterval: opts.HeartbeatInterval, Peers: opts.Peers,
		}),
	}
	n.folder = newFolderDriver(n, revision.Options{
		Validate: validate,
		Rand:     rand.New(rand.NewPCG(opts.Self.Incarnation, folderSeed)),
	})
	n.reports = &reportExchange{node: n, incarnations: map[string]uint64{}}
	n.vmList = &vmListDriver{node: n, tracker: vmlist.New(vmlist.Options{MaxAge: opts.VMListMaxAge})}
	return n
}

// Start starts the goroutines of the node.
func (n *Node) Start() {
	n.tomb.Go(n.tick)
	n.tomb.Go(n.folder.follow)
	for range readWorkers {
		n.tomb.Go(n.folder.runReader)
	}
	n.tomb.Go(n.vmList.poll)
}

// Stop stops the goroutines of the node and waits for them.
func (n *Node) Stop() {
	n.tomb.Kill(nil)
	_ = n.tomb.Wait()
}

// SetPathLost notifies the peers whether this process reaches no target.
func (n *Node) SetPathLost(lost bool) { n.members.setPathLost(lost) }

// Leave notifies the peers that this process is about to stop.
func (n *Node) Leave() { n.members.leave() }

// Ready reports whether the process may serve, and if not, the reason.
func (n *Node) Ready() (ok bool, reason string) {
	if !n.vmList.known() {
		return false, "the VM list has not been read"
	}
	return n.folder.ready()
}

// ReceiveFrame handles a frame from a peer. It ignores messages that only
// gateways or relays handle.
func (n *Node) ReceiveFrame(from wire.Process, f *wire.Frame) {
	n.members.receiveFrame(from, f)
	n.folder.receiveFrame(from.Name(), f)
	n.vmList.receiveFrame(from.Name(), f)
	n.reports.receiveFrame(from, f)
}

// tick calls the state machines at intervals and detects pauses of the process.
// It returns when the node stops.
func (n *Node) tick() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.opts.Guard.News():
			n.reports.spread(time.Now())
			continue
		case <-ticker.C:
		}
		now := time.Now()
		if paused(last, now) {
			n.handlePause(now)
		}
		last = now
		n.members.tick(now)
		n.folder.tick()
		n.vmList.tick(now)
		n.reports.tick(now)
	}
}

// paused reports whether the process was paused between two ticks. It also
// compares the wall clock, because the monotonic clock does not advance while a
// VM is suspended.
func paused(last, now time.Time) bool {
	wall := now.Round(0).Sub(last.Round(0))
	return now.Sub(last) > pauseThreshold || wall > pauseThreshold
}

func (n *Node) handlePause(now time.Time) {
	n.opts.Logger.Warn("process was paused; its knowledge of members and VM list may be out of date")
	metrics.pauses.Add(1)
	n.members.recordPause(now)
	n.vmList.recordPause(now)
	n.folder.handlePause()
	if n.opts.Events.Paused != nil {
		n.opts.Events.Paused()
	}
}

// sleep returns after d or when the node stops.
func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.tomb.Dying():
	case <-time.After(d):
	}
}
