package target

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

const (
	step    = 50 * time.Millisecond
	theName = "leaf"
)

var contract = Contract{Slots: 3, ColdSlots: 1, WarmAfter: 10}

// fataler is what testing.T and rapid.T have in common here.
type fataler interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// fleet is a set of relays under full load against one target, with a VM list
// that lags, and messages that are lost and delayed.
type fleet struct {
	t     fataler
	rng   *rand.Rand
	now   time.Time
	list  permit.View
	lists []permit.View // one per step
	lag   time.Duration // the longest lag of a read
	loss  float64
	nodes []*node
	mail  []mail
	tgt   modelTarget
}

type mail struct {
	at       time.Time
	from, to string
	msg      any
}

type node struct {
	name    string
	table   *permit.Table
	machine *Machine
	up      bool
	paused  bool
	side    int  // relays of different sides can't reach each other
	listCut bool // can't read the VM list
	run     int
	drain   []permit.Key
	epoch   Ticket // of the machine when the target last turned cold
}

// request is a request's way: one step to the target, one there, one back.
type request struct {
	from    *node
	run     int
	ticket  Ticket
	unaware bool // sent before any sign that the target had turned cold
	at      int  // 0 on the way, 1 at the target, 2 on the way back
	outcome Outcome
}

// modelTarget knows what it truly bears.
type modelTarget struct {
	boot     int
	down     bool
	done     int // completed since it turned cold
	requests []*request
	excess   int // work above the allowance since the target last turned cold
	served   int
}

func (m *modelTarget) allowance() int {
	return min(contract.ColdSlots+m.done/contract.WarmAfter, contract.Slots)
}

func newFleet(t fataler, seed uint64, relays int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), lag: 2 * time.Second}
	f.tgt.boot = 1
	f.tgt.done = 1000
	for i := range relays {
		f.join(fmt.Sprintf("vm%d/relay", i), i%3)
	}
	return f
}

func (f *fleet) join(name string, centre int) *node {
	n := &node{name: name}
	f.nodes = append(f.nodes, n)
	f.relist(n, centre)
	f.start(n)
	return n
}

func (f *fleet) relist(n *node, centre int) {
	f.unlist(n)
	f.edit(append(f.list.Relays, permit.Relay{Name: n.name, DataCentre: fmt.Sprint("dc", centre)}))
}

func (f *fleet) unlist(n *node) {
	f.edit(slices.DeleteFunc(slices.Clone(f.list.Relays), func(r permit.Relay) bool { return r.Name == n.name }))
}

func (f *fleet) flagLeaving(n *node) {
	relays := slices.Clone(f.list.Relays)
	for i := range relays {
		relays[i].Leaving = relays[i].Leaving || relays[i].Name == n.name
	}
	f.edit(relays)
}

func (f *fleet) edit(relays []permit.Relay) {
	f.list = permit.View{Sequence: f.list.Sequence + 1, Relays: slices.Clip(relays)}
}

func (f *fleet) start(n *node) {
	table, err := permit.New(f.now, permit.Options{Self: n.name})
	if err != nil {
		f.t.Fatal(err)
	}
	n.table, n.drain, n.up, n.paused = table, nil, true, false
	n.run++
	n.epoch = 0
	n.machine = New(Options{Self: n.name, Name: theName, Contract: contract})
	n.machine.SetAdmin(f.now, true, "")
	f.permitActions(n, table.SetGroups(f.now, groups))
}

func (f *fleet) turnCold(newBoot bool) {
	f.tgt.done, f.tgt.excess = 0, 0
	for _, n := range f.nodes {
		n.epoch = n.machine.epoch
	}
	for _, r := range f.tgt.requests {
		r.unaware = true
	}
	if !newBoot {
		return
	}
	f.tgt.boot++
	for _, r := range f.tgt.requests {
		if r.at == 1 {
			r.at, r.outcome = 2, Outcome{Kind: Reset}
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		f.lists = append(f.lists, f.list)
		f.deliver()
		f.serve()
		for _, n := range f.nodes {
			if n.up && !n.paused {
				f.turn(n)
			}
		}
		f.checkHolders()
	}
}

// turn is one round of a relay's driver.
func (f *fleet) turn(n *node) {
	if !n.listCut && f.rng.IntN(10) == 0 {
		back := f.rng.IntN(int(f.lag/step) + 1)
		view := f.lists[max(0, len(f.lists)-1-back)]
		view.AsOf = f.now
		f.permitActions(n, n.table.SetView(f.now, view))
	}
	for _, other := range f.nodes {
		if f.reach(n, other) {
			f.permitActions(n, n.table.Reachable(f.now, other.name))
		} else {
			n.table.Unreachable(f.now, other.name)
		}
	}
	f.permitActions(n, n.table.Tick(f.now))
	f.targetActions(n, n.machine.SetPermits(f.now, f.permits(n)))
	f.targetActions(n, n.machine.Tick(f.now))
	f.finishDrains(n)
	for n.machine.Inflight() < n.machine.Limit() {
		ticket := n.machine.Sent(f.now)
		f.tgt.requests = append(f.tgt.requests, &request{from: n, run: n.run, ticket: ticket, unaware: ticket <= n.epoch})
	}
}

func (f *fleet) permits(n *node) Permits {
	p := Permits{Held: len(n.table.Held(f.now, theName)), Zero: n.table.HoldsZero(f.now, theName)}
	for _, owner := range n.table.Owners(theName) {
		if owner != "" && owner != n.name && !slices.Contains(p.Peers, owner) {
			p.Peers = append(p.Peers, owner)
		}
	}
	return p
}

func (f *fleet) finishDrains(n *node) {
	drain := n.drain
	n.drain = nil
	for _, k := range drain {
		if k.Group == theName && n.machine.Inflight() > n.machine.Limit() {
			n.drain = append(n.drain, k)
			continue
		}
		var warm []wire.WarmTarget
		if boot, ok := n.machine.Warm(f.now); ok && k.Group == theName {
			warm = append(warm, wire.WarmTarget{Target: theName, Boot: boot})
		}
		f.permitActions(n, n.table.Returned(f.now, k, warm))
	}
}

func (f *fleet) permitActions(n *node, actions []permit.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case permit.AskRelease:
			f.send(n, a.To, a.Ask)
		case permit.SendAnswer:
			f.send(n, a.To, a.Answer)
		case permit.Draining:
			n.drain = append(n.drain, a.Key)
		case permit.Acquired:
			for _, w := range a.Warm {
				f.targetActions(n, n.machine.Adopt(f.now, w.Boot))
			}
		}
	}
}

func (f *fleet) targetActions(n *node, actions []Action) {
	for _, a := range actions {
		if a, ok := a.(Notify); ok {
			f.send(n, a.To, a.Notice)
		}
	}
}

func (f *fleet) send(n *node, to string, msg any) {
	if f.rng.Float64() >= f.loss {
		delay := time.Duration(1+f.rng.IntN(4)) * step / 2
		f.mail = append(f.mail, mail{at: f.now.Add(delay), from: n.name, to: to, msg: msg})
	}
}

func (f *fleet) node(name string) *node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })]
}

func (f *fleet) reach(a, b *node) bool { return b.up && !b.paused && a.side == b.side }

func (f *fleet) deliver() {
	old := f.mail
	f.mail = nil
	for _, m := range old {
		from, to := f.node(m.from), f.node(m.to)
		switch {
		case m.at.After(f.now) || to.paused:
			f.mail = append(f.mail, m)
		case to.up && from.side == to.side:
			f.receive(to, m)
		}
	}
}

func (f *fleet) receive(n *node, m mail) {
	switch msg := m.msg.(type) {
	case wire.ReleaseAsk:
		answer, actions := n.table.Ask(f.now, m.from, msg)
		f.permitActions(n, actions)
		f.send(n, m.from, answer)
	case wire.ReleaseAnswer:
		f.permitActions(n, n.table.Answer(f.now, m.from, msg))
	case wire.TargetNotice:
		f.targetActions(n, n.machine.Notice(f.now, m.from, msg))
	}
}

// serve moves every request on by one step.
func (f *fleet) serve() {
	var back []*request
	f.tgt.requests = slices.DeleteFunc(f.tgt.requests, func(r *request) bool {
		if r.at == 2 && r.from.paused {
			return false
		}
		r.at++
		switch {
		case r.at == 1:
			f.arrive(r)
		case r.at == 2:
			f.tgt.done++
			f.tgt.served++
			r.outcome = Outcome{Kind: OK, Boot: fmt.Sprint(f.tgt.boot), Service: step}
		default:
			back = append(back, r)
		}
		return r.at > 2
	})
	for _, r := range back {
		if r.from.up && r.from.run == r.run {
			r.outcome.Ticket = r.ticket
			f.targetActions(r.from, r.from.machine.Done(f.now, r.outcome))
		}
	}
}

// arrive checks a request against what the target bears.
func (f *fleet) arrive(r *request) {
	running, aware := 0, 0
	for _, other := range f.tgt.requests {
		if other.at == 1 {
			running++
			if !other.unaware {
				aware++
			}
		}
	}
	if f.tgt.down {
		r.at, r.outcome = 2, Outcome{Kind: Refused}
		return
	}
	allowed := f.tgt.allowance()
	if running <= allowed {
		return
	}
	r.at, r.outcome = 2, Outcome{Kind: Shed, Boot: fmt.Sprint(f.tgt.boot)}
	if allowed == contract.Slots {
		return
	}
	if !r.unaware && aware > allowed {
		f.t.Fatalf("%s sent work above the cold allowance %d knowingly", r.from.name, allowed)
	}
	if r.unaware {
		f.tgt.excess++
	}
	if bound := contract.Slots + int(f.overlaps()); f.tgt.excess > bound {
		f.t.Fatalf("%d requests above the cold allowance, bound %d", f.tgt.excess, bound)
	}
}

// holders counts the relays that may start work by permit i of a group now.
func (f *fleet) holders(group string, i int) int {
	count := 0
	for _, n := range f.nodes {
		if n.up && !n.paused && slices.Contains(n.table.Held(f.now, group), i) {
			count++
		}
	}
	return count
}

// overlaps counts the permits above 0 that were taken from unreachable relays.
func (f *fleet) overlaps() uint64 {
	sum := uint64(0)
	for _, n := range f.nodes {
		sum += n.table.Overlaps()
	}
	return sum
}

func (f *fleet) checkHolders() {
	for i := range contract.Slots {
		count := f.holders(theName, i)
		if count > 1 && (i == 0 || f.overlaps() == 0) {
			f.t.Fatalf("permit %d has %d holders%s", i, count, f.dump())
		}
	}
}
