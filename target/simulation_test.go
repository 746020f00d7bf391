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
	step       = 50 * time.Millisecond
	targetName = "leaf" // also the name of its group
)

var (
	contract = Contract{Slots: 3, ColdSlots: 1, WarmAfter: 10}
	groups   = map[string]int{targetName: contract.Slots, "a": 2, "b": 2, "c": 2}
)

// simulation runs a set of relays under full load against one target. Reads of
// the VM list lag, and messages are lost and delayed.
type simulation struct {
	t           rapid.TB
	rng         *rand.Rand
	now         time.Time
	list        permit.VMList
	listHistory []permit.VMList // one per step
	maxListLag  time.Duration   // of a read
	lossRate    float64         // fraction of messages that are lost
	nodes       []*node
	messages    []message

	boot         int
	down         bool // the target refuses connections
	completed    int  // requests completed since the target turned cold
	coldAt       time.Time
	excess       int // requests above the cold limit since coldAt
	requests     []*request
	pastOverlaps uint64 // permit overlaps of incarnations that have ended
}

type message struct {
	at       time.Time
	from, to *node
	deliver  func()
}

// node is a simulated relay.
type node struct {
	name        string
	table       *permit.Table
	machine     *Machine
	up          bool
	paused      bool
	partition   int  // relays of different partitions cannot reach each other
	listDown    bool // reads of the VM list fail
	incarnation int
	draining    []permit.Key
	coldEpoch   Epoch // of the machine when the target last turned cold; 0 before the machine's start
}

// request is a request in progress. It takes one step to the target, one step
// there and one step back.
type request struct {
	from        *node
	incarnation int
	epoch       Epoch
	unaware     bool // sent before any evidence that the target had turned cold
	stage       int  // 0 on the way, 1 at the target, 2 on the way back
	outcome     Outcome
}

func newSimulation(t rapid.TB, seed uint64, relays int) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), maxListLag: 2 * time.Second, boot: 1, completed: 1000}
	for i := range relays {
		s.join(fmt.Sprintf("vm%d/relay", i), i)
	}
	return s
}

func (s *simulation) join(name string, i int) {
	n := &node{name: name}
	s.nodes = append(s.nodes, n)
	s.addToList(n, i, false)
	s.start(n)
}

func (s *simulation) addToList(n *node, i int, leaving bool) {
	s.removeFromList(n)
	s.list.Relays = append(s.list.Relays, permit.Relay{Name: n.name, DataCentre: fmt.Sprint("dc", i%3), Leaving: leaving})
}

func (s *simulation) removeFromList(n *node) {
	others := slices.DeleteFunc(slices.Clone(s.list.Relays), func(r permit.Relay) bool { return r.Name == n.name })
	s.list = permit.VMList{Sequence: s.list.Sequence + 1, Relays: others}
}

func (s *simulation) start(n *node) {
	if n.table != nil {
		s.pastOverlaps += n.table.Overlaps()
	}
	table, err := permit.New(s.now, permit.Options{Self: n.name})
	if err != nil {
		s.t.Fatal(err)
	}
	*n = node{name: n.name, table: table, up: true, partition: n.partition, listDown: n.listDown, incarnation: n.incarnation + 1}
	n.machine = New(Options{Self: n.name, Name: targetName, Contract: contract})
	n.machine.SetAdminState(s.now, true, "")
	perform(s, n, table.SetGroups(s.now, groups))
}

func (s *simulation) turnCold(newBoot bool) {
	s.completed, s.excess, s.coldAt = 0, 0, s.now
	for _, n := range s.nodes {
		n.coldEpoch = n.machine.epoch
	}
	if newBoot {
		s.boot++
	}
	for _, r := range s.requests {
		r.unaware = true
		if newBoot && r.stage == 1 {
			r.stage, r.outcome = 2, Outcome{Kind: ConnReset}
		}
	}
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		s.listHistory = append(s.listHistory, s.list)
		s.deliver()
		s.serve()
		for _, n := range s.nodes {
			if n.up && !n.paused {
				s.drive(n)
			}
		}
		s.checkHolders()
	}
}

// drive does what a relay does in one step.
func (s *simulation) drive(n *node) {
	if !n.listDown && s.rng.IntN(10) == 0 {
		list := s.listHistory[max(0, len(s.listHistory)-1-s.rng.IntN(int(s.maxListLag/step)+1))]
		list.AsOf = s.now
		perform(s, n, n.table.SetVMList(s.now, list))
	}
	for _, other := range s.nodes {
		if other.up && !other.paused && other.partition == n.partition {
			perform(s, n, n.table.MarkReachable(s.now, other.name))
		} else {
			n.table.MarkUnreachable(s.now, other.name)
		}
	}
	perform(s, n, n.table.Tick(s.now))
	p := Permits{Held: len(n.table.Held(s.now, targetName)), HoldsZero: n.table.HoldsZero(s.now, targetName)}
	p.WarmOnly = n.table.Mode(s.now) == permit.ModeWarmOnly
	for _, owner := range n.table.Owners(targetName) {
		if owner != "" && owner != n.name && !slices.Contains(p.Peers, owner) {
			p.Peers = append(p.Peers, owner)
		}
	}
	perform(s, n, n.machine.SetPermits(s.now, p))
	perform(s, n, n.machine.Tick(s.now))
	s.finishDrains(n)
	for n.machine.Inflight() < n.machine.Limit() {
		epoch := n.machine.Start(s.now)
		s.requests = append(s.requests, &request{from: n, incarnation: n.incarnation, epoch: epoch, unaware: s.unaware(n, epoch)})
	}
}

// unaware reports whether a relay cannot know yet that the target has turned
// cold: its machine is warm and has received no evidence since, or its machine
// is in the ramp and has not restarted it since.
func (s *simulation) unaware(n *node, epoch Epoch) bool {
	if !n.machine.warm {
		return epoch <= n.coldEpoch
	}
	for _, seq := range n.machine.evidenceSeq {
		if seq >= uint64(s.coldAt.UnixNano()) {
			return false
		}
	}
	return true
}

func (s *simulation) finishDrains(n *node) {
	drain := n.draining
	n.draining = nil
	for _, k := range drain {
		if k.Group == targetName && n.machine.Inflight() > n.machine.Limit() {
			n.draining = append(n.draining, k)
			continue
		}
		var warm []wire.WarmTarget
		if bootID, ok := n.machine.WarmBoot(s.now); ok && k.Group == targetName {
			warm = append(warm, wire.WarmTarget{Target: targetName, BootID: bootID})
		}
		perform(s, n, n.table.Drained(s.now, k, warm))
	}
}

func perform[A any](s *simulation, n *node, actions []A) {
	for _, a := range actions {
		switch a := any(a).(type) {
		case permit.SendReleaseRequest:
			s.send(n, a.To, func(to *node) {
				response, actions := to.table.HandleReleaseRequest(s.now, n.name, a.Request)
				perform(s, to, actions)
				perform(s, to, []permit.Action{permit.SendReleaseResponse{To: n.name, Response: response}})
			})
		case permit.SendReleaseResponse:
			s.send(n, a.To, func(to *node) { perform(s, to, to.table.HandleReleaseResponse(s.now, n.name, a.Response)) })
		case Notify:
			s.send(n, a.To, func(to *node) { perform(s, to, to.machine.Receive(s.now, n.name, a.Notification)) })
		case ProbeNow:
			perform(s, n, n.machine.ProbeDone(s.now, !s.down, fmt.Sprint(s.boot), true))
		case permit.Draining:
			n.draining = append(n.draining, a.Key)
		case permit.Acquired:
			for _, w := range a.Warm {
				perform(s, n, n.machine.AdoptWarm(s.now, w.BootID))
			}
		}
	}
}

func (s *simulation) send(n *node, name string, receive func(to *node)) {
	if s.rng.Float64() < s.lossRate {
		return
	}
	to := s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })]
	delay := time.Duration(1+s.rng.IntN(4)) * step / 2
	s.messages = append(s.messages, message{at: s.now.Add(delay), from: n, to: to, deliver: func() { receive(to) }})
}

func (s *simulation) deliver() {
	old := s.messages
	s.messages = nil
	for _, m := range old {
		if m.at.After(s.now) || m.to.paused {
			s.messages = append(s.messages, m)
		} else if m.to.up && m.from.partition == m.to.partition {
			m.deliver()
		}
	}
}

// serve advances every request by one step. The response to a paused relay
// waits until the relay resumes.
func (s *simulation) serve() {
	for _, r := range s.requests {
		if r.stage == 2 && r.from.paused {
			continue
		}
		r.stage++
		switch {
		case r.stage == 1:
			s.arrive(r)
		case r.stage == 2:
			s.completed++
			r.outcome = Outcome{Kind: OK, BootID: fmt.Sprint(s.boot), ServiceTime: step}
		case r.from.up && r.from.incarnation == r.incarnation:
			r.outcome.Epoch = r.epoch
			perform(s, r.from, r.from.machine.Done(s.now, r.outcome))
		}
	}
	s.requests = slices.DeleteFunc(s.requests, func(r *request) bool { return r.stage > 2 })
}

// arrive checks a request against the number of concurrent requests that the
// target can run in its present state.
func (s *simulation) arrive(r *request) {
	running, aware := 0, 0
	for _, other := range s.requests {
		if other.stage == 1 {
			running++
		}
		if other.stage == 1 && !other.unaware {
			aware++
		}
	}
	allowed := min(contract.ColdSlots+s.completed/contract.WarmAfter, contract.Slots)
	switch {
	case s.down:
		r.stage, r.outcome = 2, Outcome{Kind: ConnRefused}
		return
	case running <= allowed:
		return
	}
	r.stage, r.outcome = 2, Outcome{Kind: Shed, BootID: fmt.Sprint(s.boot)}
	if allowed == contract.Slots {
		return
	}
	if r.unaware {
		s.excess++
	} else if aware > allowed {
		s.fail("%s sent a request above the cold limit %d although it could know that the target is cold", r.from.name, allowed)
	}
	if bound := contract.Slots + s.permitOverlaps(); s.excess > bound {
		s.fail("%d requests above the cold limit, want at most %d", s.excess, bound)
	}
}

// holders returns the number of relays that may start requests under permit i
// of a group now.
func (s *simulation) holders(group string, i int) int {
	count := 0
	for _, n := range s.nodes {
		if n.up && !n.paused && slices.Contains(n.table.Held(s.now, group), i) {
			count++
		}
	}
	return count
}

// permitOverlaps returns the number of permits above 0 that were taken over
// from unreachable relays.
func (s *simulation) permitOverlaps() int {
	sum := s.pastOverlaps
	for _, n := range s.nodes {
		sum += n.table.Overlaps()
	}
	return int(sum)
}

func (s *simulation) checkHolders() {
	for i := range contract.Slots {
		count := s.holders(targetName, i)
		if count > 1 && (i == 0 || count > 1+s.permitOverlaps()) {
			s.fail("permit %d has %d holders at once", i, count)
		}
	}
}

func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	text := fmt.Sprintf(format, args...)
	for _, n := range s.nodes {
		text += fmt.Sprintf("\n%+v\n%v\n%+v", n, n.table.Infos(), n.machine)
	}
	s.t.Fatalf("at %v: %s", s.now.Sub(time.Unix(1e9, 0)), text)
}
