package relay

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Up sends the grants of all targets to a gateway whose link is up. Links to other
// relays are ignored.
func (r *Relay) Up(l *link.Link) {
	if l.Peer().Role != wire.RoleGateway {
		return
	}
	_ = l.Send(&wire.Frame{Grants: []wire.Grant{{Full: true}}})
	for _, e := range r.allEntries() {
		e.sendGrant(l)
	}
}

// Down cancels the jobs of a gateway whose link is down.
func (r *Relay) Down(l *link.Link) {
	if l.Peer().Role != wire.RoleGateway {
		return
	}
	for _, e := range r.allEntries() {
		e.cancelJobsOf(l)
	}
}

// Frame handles a frame from a peer.
func (r *Relay) Frame(l *link.Link, f *wire.Frame) {
	now := time.Now()
	for i := range f.Batches {
		r.submit(now, l, &f.Batches[i])
	}
	for _, c := range f.Cancels {
		if e := r.lookup(c.Target); e != nil {
			e.cancelJob(jobID{link: l, id: c.ID})
		}
	}
	peer := l.Peer().Name()
	for _, n := range f.TargetNotifications {
		if e := r.lookup(n.Target); e != nil {
			e.applyEvent(func(now time.Time, m *target.Machine) []target.Action { return m.Receive(now, peer, n) })
		}
	}
	for _, request := range f.ReleaseRequests {
		r.permits.handleReleaseRequest(peer, request)
	}
	for _, response := range f.ReleaseResponses {
		r.permits.enqueue(func(now time.Time, t *permit.Table) []permit.Action {
			return t.HandleReleaseResponse(now, peer, response)
		})
	}
}

// submit queues the sub-requests of a batch at their targets.
func (r *Relay) submit(now time.Time, l *link.Link, b *wire.Batch) {
	metrics.received.Add(int64(len(b.SubRequests)))
	for _, sub := range b.SubRequests {
		j := newJob(l, b, sub)
		e := r.lookup(sub.Target)
		if e == nil {
			j.refuse(code.PermitNotHeld, 0)
			continue
		}
		e.submit(now, j)
	}
}
