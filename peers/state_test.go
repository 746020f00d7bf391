package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// network passes messages between states and loses some.
type network struct {
	rng    *rand.Rand
	loss   float64
	states map[string]*State // by address
	down   map[string]bool
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
		},
		Seeds: seeds, Interval: time.Second, Fanout: 2, MaxMembers: 24, ForgetAfter: 60 * time.Second,
		AssumedFleetSize: 16, SettleTime: 5 * time.Second, Rand: rand.New(rand.NewPCG(uint64(i), 9)),
	})
}

func (n *network) deliver(now time.Time, sends []Outgoing) {
	for _, s := range sends {
		to := n.states[s.To]
		if to == nil || n.down[s.To] || n.rng.Float64() < n.loss {
			continue
		}
		answers, _ := to.Receive(now, s.Message)
		n.deliver(now, answers)
	}
}

// run lets time pass in steps.
func (n *network) run(from time.Time, d time.Duration) time.Time {
	end := from.Add(d)
	for now := from; now.Before(end); now = now.Add(250 * time.Millisecond) {
		for i := range len(n.states) {
			address := fmt.Sprintf("10.0.0.%d:1", i)
			if s := n.states[address]; s != nil && !n.down[address] {
				n.deliver(now, s.Tick(now))
			}
		}
	}
	return end
}

func TestAllFindEachOtherThroughOneLiveSeed(t *testing.T) {
	for _, size := range []int{6, 9, 75} {
		net := newNetwork(1, size, "10.9.9.9:1", "10.0.0.3:1")
		net.loss = 0.1
		now := net.run(epoch, 14*time.Second) // callers come 14 s after the processes start
		for address, s := range net.states {
			if f := s.Fleet(now); len(f.Members) != size || f.AssumedSize != 0 {
				t.Fatalf("%d processes: %s knows %d, assumes %d", size, address, len(f.Members), f.AssumedSize)
			}
		}
	}
}

func TestAloneAssumesOthers(t *testing.T) {
	net := newNetwork(1, 1, "10.9.9.9:1")
	now := net.run(epoch, 20*time.Second)
	if f := net.states["10.0.0.0:1"].Fleet(now); f.Size() != 16 {
		t.Fatalf("counts %d processes while it has heard of none, want the assumed 16", f.Size())
	}
}

// A share must not grow while others are cut off or down for a short time.
func TestSilentMembersStillCountForAWhile(t *testing.T) {
	net := newNetwork(2, 6, "10.0.0.0:1")
	now := net.run(epoch, 10*time.Second)
	for i := 1; i < 6; i++ {
		net.down[fmt.Sprintf("10.0.0.%d:1", i)] = true
	}
	now = net.run(now, 50*time.Second)
	if f := net.states["10.0.0.0:1"].Fleet(now); len(f.Members) != 6 {
		t.Fatalf("knows %d processes after 50 s of silence, want 6", len(f.Members))
	}
	now = net.run(now, 20*time.Second)
	if f := net.states["10.0.0.0:1"].Fleet(now); len(f.Members) != 1 {
		t.Fatalf("knows %d processes after 70 s of silence, want itself", len(f.Members))
	}
}

func TestRestartedProcessReplacesItsOldSelf(t *testing.T) {
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
				t.Fatal("still knows the old incarnation")
			}
		}
	}
}

func TestMessagesStaySmall(t *testing.T) {
	net := newNetwork(4, 300, "10.0.0.0:1")
	now := net.run(epoch, 5*time.Second)
	for _, s := range net.states {
		for _, send := range s.Tick(now) {
			if len(send.Message.Members) > 25 {
				t.Fatalf("a message names %d members, want at most 25", len(send.Message.Members))
			}
		}
	}
}

// Those that read the store for others are picked among the living.
func TestLivingMembersAreHeardOfOften(t *testing.T) {
	net := newNetwork(5, 75, "10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1")
	net.loss = 0.05
	now := net.run(epoch, 20*time.Second)
	for range 40 {
		now = net.run(now, time.Second)
		near := 0
		for _, m := range net.states["10.0.0.10:1"].Alive(now, 20*time.Second) {
			if m.DataCentre == "dc1" {
				near++
			}
		}
		if near < 23 {
			t.Fatalf("%d of 24 living members of the own data centre count as alive", near)
		}
	}
}

// A process that restarts after its time of day was set back is newer all the same.
func TestRestartWithAnEarlierClockIsHeard(t *testing.T) {
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
			t.Fatalf("%s has not heard of the restarted process for 10 s", other)
		}
	}
}
