package target

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

const (
	step = 50 * time.Millisecond
	leaf = "leaf" // the target, and its group
)

var (
	contract = Contract{Slots: 3, ColdSlots: 1, WarmAfter: 10}
	groups   = map[string]int{leaf: contract.Slots, "a": 2, "b": 2, "c": 2}
)

// fleet is a set of relays under full load against one target, with a VM list
// that lags, and messages that are lost and delayed.
type fleet struct {
	t     rapid.TB
	rng   *rand.Rand
	now   time.Time
	list  permit.VMList
	lists []permit.VMList // one per step
	lag   time.Duration   // the longest lag of a read
	loss  float64
	nodes []*node
	mail  []mail

	boot     int
	down     bool
	done     int // completed since the target turned cold
	coldAt   time.Time
	excess   int // work above the allowance since then
	requests []*request
	overlaps uint64 // of runs that have ended
}

type mail struct {
	at       time.Time
	from, to *node
	deliver  func()
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
	epoch   Ticket // of the machine when the target last turned cold; 0 before its start
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

func newFleet(t rapid.TB, seed uint64, relays int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), lag: 2 * time.Second, boot: 1, done: 1000}
	for i := range relays {
		f.join(fmt.Sprintf("vm%d/relay", i), i)
	}
	return f
}

func (f *fleet) join(name string, i int) {
	n := &node{name: name}
	f.nodes = append(f.nodes, n)
	f.enlist(n, i, false)
	f.start(n)
}

func (f *fleet) enlist(n *node, i int, leaving bool) {
	f.unlist(n)
	f.list.Relays = append(f.list.Relays, permit.Relay{Name: n.name, DataCentre: fmt.Sprint("dc", i%3), Leaving: leaving})
}

func (f *fleet) unlist(n *node) {
	others := slices.DeleteFunc(slices.Clone(f.list.Relays), func(r permit.Relay) bool { return r.Name == n.name })
	f.list = permit.VMList{Sequence: f.list.Sequence + 1, Relays: others}
}

func (f *fleet) start(n *node) {
	if n.table != nil {
		f.overlaps += n.table.Overlaps()
	}
	table, err := permit.New(f.now, permit.Options{Self: n.name})
	if err != nil {
		f.t.Fatal(err)
	}
	*n = node{name: n.name, table: table, up: true, side: n.side, listCut: n.listCut, run: n.run + 1}
	n.machine = New(Options{Self: n.name, Name: leaf, Contract: contract})
	n.machine.SetAdmin(f.now, true, "")
	perform(f, n, table.SetGroups(f.now, groups))
}

func (f *fleet) turnCold(newBoot bool) {
	f.done, f.excess, f.coldAt = 0, 0, f.now
	for _, n := range f.nodes {
		n.epoch = n.machine.epoch
	}
	if newBoot {
		f.boot++
	}
	for _, r := range f.requests {
		r.unaware = true
		if newBoot && r.at == 1 {
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
				f.drive(n)
			}
		}
		f.checkHolders()
	}
}

// drive is one round of a relay's driver.
func (f *fleet) drive(n *node) {
	if !n.listCut && f.rng.IntN(10) == 0 {
		view := f.lists[max(0, len(f.lists)-1-f.rng.IntN(int(f.lag/step)+1))]
		view.AsOf = f.now
		perform(f, n, n.table.SetVMList(f.now, view))
	}
	for _, other := range f.nodes {
		if other.up && !other.paused && other.side == n.side {
			perform(f, n, n.table.MarkReachable(f.now, other.name))
		} else {
			n.table.MarkUnreachable(f.now, other.name)
		}
	}
	perform(f, n, n.table.Tick(f.now))
	p := Permits{Held: len(n.table.Held(f.now, leaf)), Zero: n.table.HoldsZero(f.now, leaf)}
	p.WarmOnly = n.table.Mode(f.now) == permit.ModeWarmOnly
	for _, owner := range n.table.Owners(leaf) {
		if owner != "" && owner != n.name && !slices.Contains(p.Peers, owner) {
			p.Peers = append(p.Peers, owner)
		}
	}
	perform(f, n, n.machine.SetPermits(f.now, p))
	perform(f, n, n.machine.Tick(f.now))
	f.finishDrains(n)
	for n.machine.Inflight() < n.machine.Limit() {
		ticket := n.machine.Sent(f.now)
		f.requests = append(f.requests, &request{from: n, run: n.run, ticket: ticket, unaware: f.unaware(n, ticket)})
	}
}

// unaware reports whether a relay can't know yet that the target has turned
// cold: it believes it to be warm and was told no sign since, or it ramps it
// and wasn't set back since.
func (f *fleet) unaware(n *node, ticket Ticket) bool {
	if !n.machine.warm {
		return ticket <= n.epoch
	}
	for _, seq := range n.machine.seen {
		if seq >= uint64(f.coldAt.UnixNano()) {
			return false
		}
	}
	return true
}

func (f *fleet) finishDrains(n *node) {
	drain := n.drain
	n.drain = nil
	for _, k := range drain {
		if k.Group == leaf && n.machine.Inflight() > n.machine.Limit() {
			n.drain = append(n.drain, k)
			continue
		}
		var warm []wire.WarmTarget
		if boot, ok := n.machine.Warm(f.now); ok && k.Group == leaf {
			warm = append(warm, wire.WarmTarget{Target: leaf, BootID: boot})
		}
		perform(f, n, n.table.Drained(f.now, k, warm))
	}
}

func perform[A any](f *fleet, n *node, actions []A) {
	for _, a := range actions {
		switch a := any(a).(type) {
		case permit.SendReleaseRequest:
			f.send(n, a.To, func(to *node) {
				answer, actions := to.table.HandleReleaseRequest(f.now, n.name, a.Request)
				perform(f, to, actions)
				perform(f, to, []permit.Action{permit.SendReleaseResponse{To: n.name, Response: answer}})
			})
		case permit.SendReleaseResponse:
			f.send(n, a.To, func(to *node) { perform(f, to, to.table.HandleReleaseResponse(f.now, n.name, a.Response)) })
		case Notify:
			f.send(n, a.To, func(to *node) { perform(f, to, to.machine.Notice(f.now, n.name, a.Notice)) })
		case ProbeNow:
			perform(f, n, n.machine.Probe(f.now, !f.down, fmt.Sprint(f.boot), true))
		case permit.Draining:
			n.drain = append(n.drain, a.Key)
		case permit.Acquired:
			for _, w := range a.Warm {
				perform(f, n, n.machine.Adopt(f.now, w.BootID))
			}
		}
	}
}

func (f *fleet) send(n *node, name string, receive func(to *node)) {
	if f.rng.Float64() < f.loss {
		return
	}
	to := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })]
	delay := time.Duration(1+f.rng.IntN(4)) * step / 2
	f.mail = append(f.mail, mail{at: f.now.Add(delay), from: n, to: to, deliver: func() { receive(to) }})
}

func (f *fleet) deliver() {
	old := f.mail
	f.mail = nil
	for _, m := range old {
		if m.at.After(f.now) || m.to.paused {
			f.mail = append(f.mail, m)
		} else if m.to.up && m.from.side == m.to.side {
			m.deliver()
		}
	}
}

// serve moves every request on by one step. An answer waits for a paused relay.
func (f *fleet) serve() {
	for _, r := range f.requests {
		if r.at == 2 && r.from.paused {
			continue
		}
		r.at++
		switch {
		case r.at == 1:
			f.arrive(r)
		case r.at == 2:
			f.done++
			r.outcome = Outcome{Kind: OK, Boot: fmt.Sprint(f.boot), Service: step}
		case r.from.up && r.from.run == r.run:
			r.outcome.Ticket = r.ticket
			perform(f, r.from, r.from.machine.Done(f.now, r.outcome))
		}
	}
	f.requests = slices.DeleteFunc(f.requests, func(r *request) bool { return r.at > 2 })
}

// arrive checks a request against what the target truly bears.
func (f *fleet) arrive(r *request) {
	running, aware := 0, 0
	for _, other := range f.requests {
		if other.at == 1 {
			running++
		}
		if other.at == 1 && !other.unaware {
			aware++
		}
	}
	allowed := min(contract.ColdSlots+f.done/contract.WarmAfter, contract.Slots)
	switch {
	case f.down:
		r.at, r.outcome = 2, Outcome{Kind: Refused}
		return
	case running <= allowed:
		return
	}
	r.at, r.outcome = 2, Outcome{Kind: Shed, Boot: fmt.Sprint(f.boot)}
	if allowed == contract.Slots {
		return
	}
	if r.unaware {
		f.excess++
	} else if aware > allowed {
		f.fail("%s sent work above the cold allowance %d knowingly", r.from.name, allowed)
	}
	if bound := contract.Slots + f.taken(); f.excess > bound {
		f.fail("%d requests above the cold allowance, bound %d", f.excess, bound)
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

// taken counts the permits above 0 that were taken from unreachable relays.
func (f *fleet) taken() int {
	sum := f.overlaps
	for _, n := range f.nodes {
		sum += n.table.Overlaps()
	}
	return int(sum)
}

func (f *fleet) checkHolders() {
	for i := range contract.Slots {
		count := f.holders(leaf, i)
		if count > 1 && (i == 0 || count > 1+f.taken()) {
			f.fail("permit %d has %d holders", i, count)
		}
	}
}

func (f *fleet) fail(format string, args ...any) {
	f.t.Helper()
	text := fmt.Sprintf(format, args...)
	for _, n := range f.nodes {
		text += fmt.Sprintf("\n%+v\n%v\n%+v", n, n.table.Infos(), n.machine)
	}
	f.t.Fatalf("at %v: %s", f.now.Sub(time.Unix(1e9, 0)), text)
}
