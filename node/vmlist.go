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

// vmListDriver drives the state machine of the VM list.
type vmListDriver struct {
	node *Node

	mu            sync.Mutex
	tracker       *vmlist.Tracker
	down          bool
	peersSequence uint64 // sequence of the list that Links.SetPeers was last called with
	peersSet      bool   // whether Links.SetPeers has been called

	// notifyMu serialises the calls of Events.VMList.
	notifyMu sync.Mutex
}

func (d *vmListDriver) known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _, ok := d.tracker.List()
	return ok
}

func (d *vmListDriver) offer(now time.Time) *wire.VMListOffer {
	d.mu.Lock()
	defer d.mu.Unlock()
	offer, ok := d.tracker.Offer(now)
	if !ok {
		return nil
	}
	return &offer
}

// poll reads the VM list until the node stops.
func (d *vmListDriver) poll() error {
	ctx := d.node.tomb.Context(context.Background())
	for ctx.Err() == nil {
		metrics.listCalls.Add(1)
		asOf := time.Now()
		list, err := d.node.opts.VMListClient.List(ctx)
		if err != nil {
			metrics.listErrors.Add(1)
			d.node.opts.Logger.Warn("reading the VM list failed", "error", err)
		} else {
			d.apply(func(t *vmlist.Tracker) vmlist.Result { return t.ReceiveList(list, asOf) })
		}
		d.node.sleep(d.node.opts.VMListPollInterval)
	}
	return nil
}

// receiveFrame handles a peer's offer, request or response.
func (d *vmListDriver) receiveFrame(peer string, f *wire.Frame) {
	now := time.Now()
	if f.VMListOffer != nil {
		d.mu.Lock()
		d.tracker.ReceiveOffer(now, peer, *f.VMListOffer)
		d.mu.Unlock()
	}
	if f.VMListRequest != nil {
		d.mu.Lock()
		response, ok := d.tracker.HandleRequest(now, *f.VMListRequest)
		d.mu.Unlock()
		if ok {
			_ = d.node.opts.Links.Send(peer, &wire.Frame{VMListResponse: &response})
		}
	}
	if f.VMListResponse != nil {
		metrics.copiesFromPeer.Add(1)
		d.apply(func(t *vmlist.Tracker) vmlist.Result { return t.ReceiveResponse(peer, *f.VMListResponse) })
	}
}

func (d *vmListDriver) recordPause(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Paused(now)
}

func (d *vmListDriver) tick(now time.Time) {
	d.apply(func(t *vmlist.Tracker) vmlist.Result { return t.Tick(now) })
	d.mu.Lock()
	down := d.tracker.Down(now)
	changed := down != d.down
	d.down = down
	d.mu.Unlock()
	if !changed {
		return
	}
	d.node.opts.Logger.Warn("availability of the VM list changed", "down", down)
	if d.node.opts.Events.VMListDown != nil {
		d.node.opts.Events.VMListDown(down)
	}
}

// apply applies an event to the state machine and performs the result.
func (d *vmListDriver) apply(event func(*vmlist.Tracker) vmlist.Result) {
	d.mu.Lock()
	result := event(d.tracker)
	d.mu.Unlock()
	if result.Peer != "" {
		_ = d.node.opts.Links.Send(result.Peer, &wire.Frame{VMListRequest: &result.Request})
	}
	if result.Updated {
		d.notify()
	}
}

// notify passes the copy to the links, the membership and Events.VMList.
func (d *vmListDriver) notify() {
	d.notifyMu.Lock()
	defer d.notifyMu.Unlock()
	d.mu.Lock()
	list, asOf, _ := d.tracker.List()
	changed := !d.peersSet || list.Sequence != d.peersSequence
	d.peersSequence = list.Sequence
	d.peersSet = true
	d.mu.Unlock()
	if changed {
		d.node.opts.Links.SetPeers(d.linkPeers(list))
		d.node.members.setVMList(time.Now(), list)
	}
	if d.node.opts.Events.VMList != nil {
		d.node.opts.Events.VMList(list, asOf)
	}
}

func (d *vmListDriver) linkPeers(list platformapi.VMList) map[string]link.Peer {
	out := make(map[string]link.Peer)
	self := d.node.opts.Self.Name()
	for _, vm := range list.VMs {
		for role, address := range vm.Links {
			name := wire.Process{VM: vm.Name, Role: role}.Name()
			if name != self {
				out[name] = link.Peer{Address: address, Persistent: role == d.node.opts.PersistentLinkRole}
			}
		}
	}
	return out
}
