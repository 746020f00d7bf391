package node

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/vmlist"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// views drives the copy of the VM list.
type views struct {
	node *Node

	mu      sync.Mutex
	tracker *vmlist.Tracker
	down    bool
	peers   uint64 // sequence of the list whose addresses the links have
	linked  bool

	// telling serialises the calls of Events.View.
	telling sync.Mutex
}

func (v *views) known() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, _, ok := v.tracker.List()
	return ok
}

func (v *views) offer(now time.Time) *wire.VMListOffer {
	v.mu.Lock()
	defer v.mu.Unlock()
	offer, ok := v.tracker.Offer(now)
	if !ok {
		return nil
	}
	return &offer
}

// poll reads the VM list until the node stops.
func (v *views) poll() error {
	ctx := v.node.tomb.Context(context.Background())
	for ctx.Err() == nil {
		metrics.listCalls.Add(1)
		asOf := time.Now()
		list, err := v.node.opts.VMs.List(ctx)
		if err != nil {
			metrics.listErrors.Add(1)
			v.node.opts.Logger.Warn("VM list can't be read", "error", err)
		} else {
			v.event(func(t *vmlist.Tracker) vmlist.Result { return t.ReceiveList(list, asOf) })
		}
		v.node.sleep(v.node.opts.VMPoll)
	}
	return nil
}

// frame takes a peer's offer, ask or answer.
func (v *views) frame(peer string, f *wire.Frame) {
	now := time.Now()
	if f.VMListOffer != nil {
		v.mu.Lock()
		v.tracker.ReceiveOffer(now, peer, *f.VMListOffer)
		v.mu.Unlock()
	}
	if f.VMListRequest != nil {
		v.mu.Lock()
		answer, ok := v.tracker.HandleRequest(now, *f.VMListRequest)
		v.mu.Unlock()
		if ok {
			_ = v.node.opts.Links.Send(peer, &wire.Frame{VMListResponse: &answer})
		}
	}
	if f.VMListResponse != nil {
		metrics.copiesFromPeer.Add(1)
		v.event(func(t *vmlist.Tracker) vmlist.Result { return t.ReceiveResponse(peer, *f.VMListResponse) })
	}
}

func (v *views) gap(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.Resumed(now)
}

func (v *views) tick(now time.Time) {
	v.event(func(t *vmlist.Tracker) vmlist.Result { return t.Tick(now) })
	v.mu.Lock()
	down := v.tracker.Down(now)
	changed := down != v.down
	v.down = down
	v.mu.Unlock()
	if !changed {
		return
	}
	v.node.opts.Logger.Warn("reach of the VM list changed", "down", down)
	if v.node.opts.Events.ListDown != nil {
		v.node.opts.Events.ListDown(down)
	}
}

// event applies an event and carries out what follows from it.
func (v *views) event(apply func(*vmlist.Tracker) vmlist.Result) {
	v.mu.Lock()
	result := apply(v.tracker)
	v.mu.Unlock()
	if result.Peer != "" {
		_ = v.node.opts.Links.Send(result.Peer, &wire.Frame{VMListRequest: &result.Request})
	}
	if result.Updated {
		v.tell()
	}
}

// tell passes the copy on to the links, the membership and the role.
func (v *views) tell() {
	v.telling.Lock()
	defer v.telling.Unlock()
	v.mu.Lock()
	list, asOf, _ := v.tracker.List()
	changed := !v.linked || list.Sequence != v.peers
	v.peers = list.Sequence
	v.linked = true
	v.mu.Unlock()
	if changed {
		v.node.opts.Links.SetPeers(v.addresses(list))
		v.node.members.setList(time.Now(), list)
	}
	if v.node.opts.Events.View != nil {
		v.node.opts.Events.View(list, asOf)
	}
}

func (v *views) addresses(list platformapi.VMList) map[string]link.Peer {
	out := make(map[string]link.Peer)
	self := v.node.opts.Self.Name()
	for _, vm := range list.VMs {
		for role, address := range vm.Links {
			name := wire.Process{VM: vm.Name, Role: role}.Name()
			if name != self {
				out[name] = link.Peer{Address: address, Persistent: role == v.node.opts.KeepLinks}
			}
		}
	}
	return out
}
