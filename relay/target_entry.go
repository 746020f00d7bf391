package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/budget"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// targetEntry is this relay's state of one target: its state machine, its queue
// and its client. For the lock order see Relay.
type targetEntry struct {
	relay  *Relay
	name   string
	client *targetapi.TargetClient
	// nextTick is the time of the machine's next tick in nanoseconds since
	// Relay.started, or 0 for none. It is written with mu held and read without.
	nextTick atomic.Int64

	mu          sync.Mutex
	contract    folder.Target
	machine     *target.Machine
	queue       jobQueue
	running     map[jobID]*job
	retryBudget *budget.Window
	lastGrant   wire.Grant // the grant last sent to the gateways
	removed     bool       // no longer in Relay.entries
	conns       connHealth
	// pathLost is true from when no target can be reached until this one has responded
	// again.
	pathLost bool
}

func (r *Relay) newEntry(c folder.Target, contract target.Contract) *targetEntry {
	return &targetEntry{
		relay:    r,
		name:     c.Name,
		contract: c,
		client: targetapi.NewTargetClient(targetapi.TargetClientOptions{
			Address:        c.Address,
			DataCentre:     r.opts.Self.DataCentre,
			Relay:          r.opts.Self.Name(),
			MaxConnections: max(1, c.Connections/max(1, c.Slots)),
		}),
		machine:     target.New(target.Options{Self: r.opts.Self.Name(), Name: c.Name, Contract: contract}),
		running:     make(map[jobID]*job),
		retryBudget: budget.NewWindow(budget.MaxFraction, 0),
		lastGrant:   wire.Grant{Target: c.Name},
	}
}

// submit queues a job, or refuses it immediately if this relay cannot use the
// target.
func (e *targetEntry) submit(now time.Time, j *job) {
	e.mu.Lock()
	refusal := e.checkSubmit(now, j)
	if refusal == code.OK {
		e.queue.add(j)
	}
	queueLength := len(e.queue) + len(e.running)
	ready := e.takeReady(now)
	e.mu.Unlock()
	if refusal != code.OK {
		j.refuse(refusal, queueLength)
	}
	e.relay.dispatch(ready)
}

// checkSubmit returns code.OK if a job can be queued, or else the code of its
// refusal. mu must be held.
func (e *targetEntry) checkSubmit(now time.Time, j *job) code.Code {
	switch {
	case !now.Before(j.deadline):
		return code.DeadlinePassed
	case e.removed:
		return code.PermitNotHeld
	case e.machine.State() == wire.TargetOutOfService:
		return code.TargetOutOfService
	case e.limit() == 0 && e.machine.State() == wire.TargetCold:
		return code.TargetCold
	case e.limit() == 0:
		return code.PermitNotHeld
	case len(e.queue) >= e.relay.opts.QueuePerTarget:
		return code.Overloaded
	case j.sub.Extra && !e.retryBudget.TryExtra(now):
		return code.OverBudget
	default:
		return code.OK
	}
}

// readyJob is a job that was taken from its queue: to be run by a worker, or to be
// refused if refuse is set.
type readyJob struct {
	entry  *targetEntry
	job    *job
	epoch  target.Epoch
	refuse code.Code
}

// takeReady takes jobs from the queue until the target's limit is reached. mu must be
// held. After mu is unlocked, the result must be passed to Relay.dispatch.
func (e *targetEntry) takeReady(now time.Time) []readyJob {
	defer e.updateNextTick()
	var ready []readyJob
	for len(e.queue) > 0 {
		if e.limit() == 0 {
			return append(ready, e.refuseQueued()...)
		}
		if e.machine.Inflight() >= e.limit() {
			break
		}
		j := e.queue.next()
		if !now.Before(j.deadline) {
			ready = append(ready, readyJob{entry: e, job: j, refuse: code.DeadlinePassed})
			continue
		}
		e.running[j.id] = j
		if !j.sub.Extra {
			e.retryBudget.AddFirst(now)
		}
		ready = append(ready, readyJob{entry: e, job: j, epoch: e.machine.Start(now)})
	}
	return ready
}

// updateNextTick copies the time of the machine's next tick to nextTick, which can
// be read without a lock. mu must be held.
func (e *targetEntry) updateNextTick() {
	nanos := int64(0)
	if next := e.machine.NextTick(); !next.IsZero() {
		nanos = max(1, int64(next.Sub(e.relay.started)))
	}
	e.nextTick.Store(nanos)
}

// isDue reports whether the machine's next tick is due. It takes no lock.
func (e *targetEntry) isDue(now time.Time) bool {
	nanos := e.nextTick.Load()
	return nanos != 0 && int64(now.Sub(e.relay.started)) >= nanos
}

// refuseQueued empties the queue and returns its jobs to be refused, so that
// gateways send them to other relays or targets. mu must be held.
func (e *targetEntry) refuseQueued() []readyJob {
	refusal := code.PermitNotHeld
	switch e.machine.State() {
	case wire.TargetOutOfService:
		refusal = code.TargetOutOfService
	case wire.TargetCold:
		refusal = code.TargetCold
	}
	var out []readyJob
	for len(e.queue) > 0 {
		out = append(out, readyJob{entry: e, job: e.queue.next(), refuse: refusal})
	}
	return out
}

// applyEvent applies an event to the machine and performs the actions that result
// from it. mu must not be held.
func (e *targetEntry) applyEvent(event func(now time.Time, m *target.Machine) []target.Action) {
	now := time.Now()
	e.mu.Lock()
	wasOverLimit := e.overLimit()
	actions := event(now, e.machine)
	ready := e.takeReady(now)
	e.pushGrant()
	drained := wasOverLimit && !e.overLimit()
	group := e.contract.Group
	e.mu.Unlock()
	e.relay.dispatch(ready)
	e.relay.perform(e, actions)
	if drained {
		e.relay.permits.drained(group)
	}
}

// overLimit reports whether more requests are in progress at the target than its
// limit, which happens when the limit is lowered. mu must be held.
func (e *targetEntry) overLimit() bool { return e.machine.Inflight() > e.limit() }

// pushGrant sends the target's grant to every gateway if it has changed. mu must
// be held, so that gateways receive changes in order.
func (e *targetEntry) pushGrant() {
	grant := wire.Grant{Target: e.name, State: e.machine.State(), Limit: uint16(e.limit())}
	if grant == e.lastGrant {
		return
	}
	e.lastGrant = grant
	f := &wire.Frame{Grants: []wire.Grant{grant}}
	for _, l := range e.relay.opts.Links.Links() {
		if l.Peer().Role == wire.RoleGateway {
			_ = l.Send(f)
		}
	}
}

// sendGrant sends the target's grant to one gateway.
func (e *targetEntry) sendGrant(l *link.Link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = l.Send(&wire.Frame{Grants: []wire.Grant{e.lastGrant}})
}

// cancelJob cancels a job that is queued or running. A running action is not
// canceled.
func (e *targetEntry) cancelJob(id jobID) {
	e.mu.Lock()
	var queued *job
	for _, j := range e.queue {
		if j.id == id {
			queued = j
			break
		}
	}
	if queued != nil {
		e.queue.remove(queued)
	}
	running := e.running[id]
	e.mu.Unlock()
	if queued != nil {
		queued.refuse(code.Canceled, 0)
	}
	if running != nil && !running.batch.Action {
		running.cancel()
	}
}

// cancelJobsOf cancels all jobs that were received over a link.
func (e *targetEntry) cancelJobsOf(l *link.Link) {
	e.mu.Lock()
	var ids []jobID
	for _, j := range e.queue {
		if j.id.link == l {
			ids = append(ids, j.id)
		}
	}
	for id := range e.running {
		if id.link == l {
			ids = append(ids, id)
		}
	}
	e.mu.Unlock()
	for _, id := range ids {
		e.cancelJob(id)
	}
}
