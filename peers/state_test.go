package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// network delivers messages between states and drops a fraction of them.
type network struct {
	rng    *rand.Rand
	loss   float64           // fraction of messages dropped
	states map[string]*State // by address
	down   map[string]bool
	cut    func(from, to string) bool // whether messages are lost; nil for none
	onSend func(from *State, m Outgoing)
}

func newNetwork(seed uint64, n int, seeds ...string) *network {
	net := &network{rng: rand.New(rand.NewPCG(seed, 1)), states: map[string]*State{}, down: map[string]bool{}}
	for i := range n {
		net.add(i, epoch, seeds)
	}
	return net
}

func (n *network) add(i int, now time.Time, seeds []string) {
	address := fmt.Sprintf("10.0.0.%d:1", i)
	n.states[address] = New(now, Options{
		Self: Member{
			Name: fmt.Sprint("front-", i), Address: address, Started: now.UnixNano(), DataCentre: fmt.Sprint("dc", i%3),
			Capacity: 800, Load: &Load{Sharded: 6700, Single: 2200}, ConfigSchema: 1,
		},
		Seeds: seeds, Interval: time.Second, Fanout: 2, MaxMembers: 24, ForgetAfter: 60 * time.Second,
		AssumedFleetSize: 16, SettleTime: 5 * time.Second, Rand: rand.New(rand.NewPCG(uint64(i), 9)),
	})
}

func (n *network) deliver(now time.Time, from string, messages []Outgoing) {
	for _, m := range messages {
		if n.onSend != nil {
			n.onSend(n.states[from], m)
		}
		to := n.states[m.To]
		if to == nil || n.down[m.To] || (n.cut != nil && n.cut(from, m.To)) || n.rng.Float64() < n.loss {
			continue
		}
		replies, _ := to.Receive(now, m.Message)
		n.deliver(now, m.To, replies)
	}
}

// run advances the time in steps of 250 ms and returns the end.
func (n *network) run(from time.Time, d time.Duration) time.Time {
	end := from.Add(d)
	for now := from; now.Before(end); now = now.Add(250 * time.Millisecond) {
		for i := range len(n.states) {
			address := fmt.Sprintf("10.0.0.%d:1", i)
			if s := n.states[address]; s != nil && !n.down[address] {
				n.deliver(now, address, s.Tick(now))
			}
		}
	}
	return end
}

func TestProcessesFindEachOtherThroughOneLiveSeed(t *testing.T) {
	for _, size := range []int{6, 9, 75} {
		net := newNetwork(1, size, "10.9.9.9:1", "10.0.0.3:1")
		net.loss = 0.1
		now := net.run(epoch, 14*time.Second) // callers send requests from 14 s after the start
		for address, s := range net.states {
			if f := s.Fleet(now); len(f.Members) != size || f.AssumedSize != 2*size {
				t.Fatalf("fleet of %d: %s knows %d processes, assumes %d; want all known, and twice as many assumed as one of two seeds is unknown",
					size, address, len(f.Members), f.AssumedSize)
			}
		}
		now = net.run(now, time.Minute)
		for address, s := range net.states {
			if f := s.Fleet(now); len(f.Members) != size || f.AssumedSize != 0 {
				t.Fatalf("fleet of %d: %s knows %d processes, assumes %d after a minute; want all known and none assumed", size, address, len(f.Members), f.AssumedSize)
			}
		}
	}
}

func TestAllProcessesAreKnownIfSeedsAreLive(t *testing.T) {
	for _, size := range []int{6, 9, 75} {
		net := newNetwork(1, size, "10.0.0.1:1", "10.0.0.3:1", "10.0.0.5:1")
		net.loss = 0.1
		now := net.run(epoch, 14*time.Second)
		for address, s := range net.states {
			if f := s.Fleet(now); len(f.Members) != size || f.AssumedSize != 0 {
				t.Fatalf("fleet of %d: %s knows %d processes, assumes %d; want all known and none assumed", size, address, len(f.Members), f.AssumedSize)
			}
		}
	}
}

// A process that hears of no other one cannot know how many there are, so it has no
// share of their limits. If it is the only seed itself, it assumes a fleet.
func TestSizeOfFleetIsUnknownWithoutPeers(t *testing.T) {
	net := newNetwork(1, 1, "10.9.9.9:1")
	now := net.run(epoch, 2*time.Minute)
	f := net.states["10.0.0.0:1"].Fleet(now)
	if f.Size() != 0 || f.Share(100, "key") != 0 || f.EvenShare(100) != 0 {
		t.Fatalf("fleet counts %d processes while no peer is known, want an unknown size and no share", f.Size())
	}
	net = newNetwork(1, 1, "10.0.0.0:1")
	now = net.run(epoch, 20*time.Second)
	if f := net.states["10.0.0.0:1"].Fleet(now); f.Size() != 16 {
		t.Fatalf("fleet counts %d processes while no peer is known, want the assumed 16", f.Size())
	}
}

// Guards against parts of a fleet that each take themselves for the whole: after a
// start in which they cannot reach each other, the shares of all parts add up to no
// more than the limit.
func TestSharesOfSeparatePartsAddUp(t *testing.T) {
	for _, parts := range []int{2, 3, 5} {
		net := newNetwork(1, 75, "10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1")
		net.cut = func(a, b string) bool { return partOf(a, parts) != partOf(b, parts) }
		now := net.run(epoch, 20*time.Second)
		sum := 0.0
		for _, s := range net.states {
			f := s.Fleet(now)
			sum += f.EvenShare(100)
		}
		if sum > 100 || sum < 50 {
			t.Fatalf("%d parts: the shares add up to %.0f of a limit of 100, want 50 to 100", parts, sum)
		}
	}
}

// partOf returns the part of a divided fleet that an address belongs to.
func partOf(address string, parts int) int {
	var i int
	if _, err := fmt.Sscanf(address, "10.0.0.%d:1", &i); err != nil {
		panic(err)
	}
	return i % parts
}

// A process that no message reaches keeps assuming more processes than it knows.
func TestMembershipDoesNotSettleWithoutMessages(t *testing.T) {
	net := newNetwork(1, 6, "10.0.0.0:1")
	now := net.run(epoch, time.Second)
	net.cut = func(string, string) bool { return true }
	now = net.run(now, 20*time.Second)
	for address, s := range net.states {
		if f := s.Fleet(now); f.Size() != 0 && f.Size() < 12 {
			t.Fatalf("%s knows %d processes and counts %d after 20 s without messages, want at least twice 6", address, len(f.Members), f.Size())
		}
	}
}

// A share must not grow while other processes are unreachable or down for a
// short time.
func TestUnreachableMembersAreKeptUntilForgetAfter(t *testing.T) {
	net := newNetwork(2, 6, "10.0.0.0:1")
	now := net.run(epoch, 10*time.Second)
	for i := 1; i < 6; i++ {
		net.down[fmt.Sprintf("10.0.0.%d:1", i)] = true
	}
	now = net.run(now, 50*time.Second)
	if f := net.states["10.0.0.0:1"].Fleet(now); len(f.Members) != 6 {
		t.Fatalf("knows %d processes 50 s after the others went down, want 6", len(f.Members))
	}
	now = net.run(now, 20*time.Second)
	if f := net.states["10.0.0.0:1"].Fleet(now); len(f.Members) != 1 {
		t.Fatalf("knows %d processes 70 s after the others went down, want only itself", len(f.Members))
	}
}

func TestRestartedProcessReplacesItsEarlierIncarnation(t *testing.T) {
	net := newNetwork(3, 4, "10.0.0.0:1")
	now := net.run(epoch, 10*time.Second)
	net.add(2, now, []string{"10.0.0.0:1"})
	now = net.run(now, 10*time.Second)
	for _, s := range net.states {
		if f := s.Fleet(now); len(f.Members) != 4 {
			t.Fatalf("knows %d processes, want 4", len(f.Members))
		}
		for _, m := range s.Members() {
			if m.Name == "front-2" && m.Started == epoch.UnixNano() {
				t.Fatal("earlier incarnation of front-2 is still known")
			}
		}
	}
}

func TestMessageSizeIsBounded(t *testing.T) {
	net := newNetwork(4, 300, "10.0.0.0:1")
	now := net.run(epoch, 5*time.Second)
	for _, s := range net.states {
		for _, out := range s.Tick(now) {
			if len(out.Message.Members) > 25 {
				t.Fatalf("a message names %d members, want at most 25", len(out.Message.Members))
			}
		}
	}
}

// The processes that read the store for others are chosen from what Alive returns,
// so that must be nearly all live members at any time.
func TestAliveReturnsLiveMembers(t *testing.T) {
	net := newNetwork(5, 75, "10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1")
	net.loss = 0.05
	now := net.run(epoch, 20*time.Second)
	for range 40 {
		now = net.run(now, time.Second)
		local := 0
		for _, m := range net.states["10.0.0.10:1"].Alive(now, 20*time.Second) {
			if m.DataCentre == "dc1" {
				local++
			}
		}
		if local < 23 {
			t.Fatalf("%d of the 24 live members of the local data centre are returned, want at least 23", local)
		}
	}
}

// A restarted process whose clock was set back has an earlier start time than
// its last incarnation. Its heartbeats must still be accepted.
func TestHeartbeatsAreAcceptedAfterRestartWithEarlierClock(t *testing.T) {
	net := newNetwork(1, 6, "10.0.0.0:1")
	now := net.run(epoch, 20*time.Second)
	const address = "10.0.0.3:1"
	net.add(3, now.Add(-time.Minute), []string{"10.0.0.0:1"})
	now = net.run(now, 20*time.Second)
	for other, s := range net.states {
		if other == address {
			continue
		}
		alive := false
		for _, m := range s.Alive(now, 10*time.Second) {
			alive = alive || m.Address == address
		}
		if !alive {
			t.Fatalf("%s has had no heartbeat of the restarted process for 10 s", other)
		}
	}
}
