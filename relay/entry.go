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

// entry is one target as this relay serves it. Lock order: see Relay.
type entry struct {
	relay  *Relay
	name   string
	client *targetapi.TargetClient
	// due is the machine's next tick in nanoseconds since Relay.started, or 0
	// for none. It is written under mu and read without.
	due atomic.Int64

	mu       sync.Mutex
	contract folder.Target
	machine  *target.Machine
	queue    jobQueue
	running  map[jobID]*job
	extras   *budget.Window
	told     wire.Grant // what gateways were told last
	gone     bool       // no longer in the contracts
	conns    connHealth
}

func (r *Relay) newEntry(c folder.Target, contract target.Contract) *entry {
	return &entry{
		relay:    r,
		name:     c.Name,
		contract: c,
		client: targetapi.NewTargetClient(targetapi.TargetClientOptions{
			Address:        c.Address,
			DataCentre:     r.opts.Self.DataCentre,
			Relay:          r.opts.Self.Name(),
			MaxConnections: max(1, c.Connections/max(1, c.Slots)),
		}),
		machine: target.New(target.Options{Self: r.opts.Self.Name(), Name: c.Name, Contract: contract}),
		running: make(map[jobID]*job),
		extras:  budget.NewWindow(budget.MaxFraction, 0),
		told:    wire.Grant{Target: c.Name},
	}
}

// submit queues a job, or refuses it at once if the target can't be used here.
func (e *entry) submit(now time.Time, j *job) {
	e.mu.Lock()
	refusal := e.refusal(now, j)
	if refusal == code.OK {
		e.queue.add(j)
	}
	depth := len(e.queue) + len(e.running)
	ready := e.pump(now)
	e.mu.Unlock()
	if refusal != code.OK {
		j.refuse(refusal, depth)
	}
	e.relay.dispatch(ready)
}

// refusal returns why a job can't be queued, or code.OK.
func (e *entry) refusal(now time.Time, j *job) code.Code {
	switch {
	case !now.Before(j.deadline):
		return code.DeadlinePassed
	case e.gone:
		return code.PermitNotHeld
	case e.machine.State() == wire.TargetOutOfService:
		return code.TargetOutOfService
	case e.machine.Limit() == 0 && e.machine.State() == wire.TargetCold:
		return code.TargetCold
	case e.machine.Limit() == 0:
		return code.PermitNotHeld
	case len(e.queue) >= e.relay.opts.QueuePerTarget:
		return code.Overloaded
	case j.sub.Extra && !e.extras.TryExtra(now):
		return code.OverBudget
	default:
		return code.OK
	}
}

// readyJob is a job that a worker has to run, or to refuse if run is false.
type readyJob struct {
	entry  *entry
	job    *job
	ticket target.Epoch
	refuse code.Code
}

// pump takes jobs from the queue while the limit allows. Entry.mu is held; the
// caller passes the result to Relay.dispatch after unlocking.
func (e *entry) pump(now time.Time) []readyJob {
	defer e.noteDue()
	var ready []readyJob
	for len(e.queue) > 0 {
		if e.machine.Limit() == 0 {
			return append(ready, e.evict()...)
		}
		if e.machine.Inflight() >= e.machine.Limit() {
			break
		}
		j := e.queue.next()
		if !now.Before(j.deadline) {
			ready = append(ready, readyJob{entry: e, job: j, refuse: code.DeadlinePassed})
			continue
		}
		e.running[j.id] = j
		if !j.sub.Extra {
			e.extras.AddFirst(now)
		}
		ready = append(ready, readyJob{entry: e, job: j, ticket: e.machine.Start(now)})
	}
	return ready
}

// noteDue keeps the machine's next tick where a look at it takes no lock.
// Entry.mu is held.
func (e *entry) noteDue() {
	due := int64(0)
	if next := e.machine.NextTick(); !next.IsZero() {
		due = max(1, int64(next.Sub(e.relay.started)))
	}
	e.due.Store(due)
}

func (e *entry) isDue(now time.Time) bool {
	due := e.due.Load()
	return due != 0 && int64(now.Sub(e.relay.started)) >= due
}

// evict refuses all waiting jobs, so that gateways send them elsewhere.
func (e *entry) evict() []readyJob {
	why := code.PermitNotHeld
	switch e.machine.State() {
	case wire.TargetOutOfService:
		why = code.TargetOutOfService
	case wire.TargetCold:
		why = code.TargetCold
	}
	var out []readyJob
	for len(e.queue) > 0 {
		out = append(out, readyJob{entry: e, job: e.queue.next(), refuse: why})
	}
	return out
}

// change applies an event to the machine and carries out what follows from it.
func (e *entry) change(event func(now time.Time, m *target.Machine) []target.Action) {
	now := time.Now()
	e.mu.Lock()
	wasOver := e.over()
	actions := event(now, e.machine)
	ready := e.pump(now)
	e.tell()
	drained := wasOver && !e.over()
	group := e.contract.Group
	e.mu.Unlock()
	e.relay.dispatch(ready)
	e.relay.perform(e, actions)
	if drained {
		e.relay.permits.drained(group)
	}
}

// over reports whether more runs at the target than its limit, because the
// limit has fallen. Entry.mu is held.
func (e *entry) over() bool { return e.machine.Inflight() > e.machine.Limit() }

// tell pushes the target's holding to every gateway if it has changed.
// Entry.mu is held, so that gateways get changes in order.
func (e *entry) tell() {
	h := wire.Grant{Target: e.name, State: e.machine.State(), Limit: uint16(e.machine.Limit())}
	if h == e.told {
		return
	}
	e.told = h
	f := &wire.Frame{Grants: []wire.Grant{h}}
	for _, l := range e.relay.opts.Links.Links() {
		if l.Peer().Role == wire.RoleGateway {
			_ = l.Send(f)
		}
	}
}

// tellTo tells one gateway the target's holding.
func (e *entry) tellTo(l *link.Link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = l.Send(&wire.Frame{Grants: []wire.Grant{e.told}})
}

// withdraw cancels a job that waits or runs.
func (e *entry) withdraw(id jobID) {
	e.mu.Lock()
	var waiting *job
	for _, j := range e.queue {
		if j.id == id {
			waiting = j
			break
		}
	}
	if waiting != nil {
		e.queue.remove(waiting)
	}
	running := e.running[id]
	e.mu.Unlock()
	if waiting != nil {
		waiting.refuse(code.Canceled, 0)
	}
	if running != nil && !running.batch.Action {
		running.cancel()
	}
}

// abandon withdraws all jobs of a link that is gone.
func (e *entry) abandon(l *link.Link) {
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
		e.withdraw(id)
	}
}
