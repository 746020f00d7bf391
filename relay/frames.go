package relay

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Up tells a gateway everything that this relay holds.
func (r *Relay) Up(l *link.Link) {
	if l.Peer().Role != wire.RoleGateway {
		return
	}
	_ = l.Send(&wire.Frame{Grants: []wire.Grant{{Full: true}}})
	for _, e := range r.all() {
		e.tellTo(l)
	}
}

// Down withdraws the jobs of a link that is gone.
func (r *Relay) Down(l *link.Link) {
	if l.Peer().Role != wire.RoleGateway {
		return
	}
	for _, e := range r.all() {
		e.abandon(l)
	}
}

// Frame takes what a peer sent.
func (r *Relay) Frame(l *link.Link, f *wire.Frame) {
	now := time.Now()
	for i := range f.Batches {
		r.submit(now, l, &f.Batches[i])
	}
	for _, c := range f.Cancels {
		if e := r.entry(c.Target); e != nil {
			e.withdraw(jobID{link: l, id: c.ID})
		}
	}
	peer := l.Peer().Name()
	for _, n := range f.TargetNotifications {
		if e := r.entry(n.Target); e != nil {
			e.change(func(now time.Time, m *target.Machine) []target.Action { return m.Receive(now, peer, n) })
		}
	}
	for _, ask := range f.ReleaseRequests {
		r.permits.answer(peer, ask)
	}
	for _, answer := range f.ReleaseResponses {
		r.permits.event(func(now time.Time, t *permit.Table) []permit.Action {
			return t.HandleReleaseResponse(now, peer, answer)
		})
	}
}

func (r *Relay) submit(now time.Time, l *link.Link, b *wire.Batch) {
	metrics.received.Add(int64(len(b.SubRequests)))
	for _, sub := range b.SubRequests {
		j := newJob(l, b, sub)
		e := r.entry(sub.Target)
		if e == nil {
			j.refuse(code.NotHeld, 0)
			continue
		}
		e.submit(now, j)
	}
}
