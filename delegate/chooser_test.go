package delegate

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
)

var (
	epoch   = time.Unix(1_700_000_000, 0)
	profile = balance.Profile{Expected: 90 * time.Millisecond, OverdueAfter: 195 * time.Millisecond}
	everyDC = map[string]float64{"dc1": 0.4, "dc2": 0.4, "dc3": 0.39}
)

// fleet returns 3 large and 30 small processes in each of three data centres.
func fleet() []Peer {
	var peers []Peer
	for _, dc := range []string{"dc1", "dc2", "dc3"} {
		for i := range 33 {
			capacity := uint32(192)
			if i < 3 {
				capacity = 800
			}
			peers = append(peers, Peer{Name: fmt.Sprint(dc, "-", i), DataCentre: dc, Capacity: capacity})
		}
	}
	return peers
}

func always(string) bool { return true }

func newChooser(self Peer, served map[string]float64) *Chooser {
	c := New(self)
	c.Update(fleet(), served)
	return c
}

func TestSmallProcessesHandRequestsToLargeOnesNearby(t *testing.T) {
	load := map[string]int{}
	for _, p := range fleet() {
		c := newChooser(p, everyDC)
		if p.Capacity == 800 {
			if len(c.Picked()) > 0 {
				t.Fatalf("%s picked %v, want none: no peer is much larger", p.Name, c.Picked())
			}
			continue
		}
		if len(c.Picked()) != maxPicked {
			t.Fatalf("%s picked %v, want %d peers", p.Name, c.Picked(), maxPicked)
		}
		for _, name := range c.Picked() {
			if name[:3] != p.DataCentre {
				t.Fatalf("%s picked %s in another data centre", p.Name, name)
			}
			load[name]++
		}
	}
	for name, n := range load {
		if n < 8 || n > 32 {
			t.Errorf("%d processes hand requests to %s, want 20 or so", n, name)
		}
	}
	if len(load) != 9 {
		t.Errorf("%d processes gather, want all 9 large ones", len(load))
	}
}

// If the data centre has no targets, requests go near them, also from large processes.
func TestRequestsGoNearTheTargets(t *testing.T) {
	served := map[string]float64{"dc2": 1, "dc3": 1}
	for _, name := range []string{"dc1-0", "dc1-20"} {
		self := Peer{Name: name, DataCentre: "dc1", Capacity: 192}
		if name == "dc1-0" {
			self.Capacity = 800
		}
		picked := newChooser(self, served).Picked()
		if len(picked) != 2 || picked[0][:3] == picked[1][:3] || picked[0][:3] == "dc1" || picked[1][:3] == "dc1" {
			t.Errorf("%s picked %v, want one in each data centre with targets", name, picked)
		}
	}
	// An evacuated data centre serves no shards.
	if picked := newChooser(Peer{Name: "dc2-9", DataCentre: "dc2", Capacity: 192}, map[string]float64{"dc3": 1}).Picked(); len(picked) != 2 || picked[0][:3] != "dc3" || picked[1][:3] != "dc3" {
		t.Errorf("picked %v, want two in dc3", picked)
	}
}

// Pattern: cold fleet at first traffic, and a tenth of the processes silent. Each process
// that gathers connects to all targets of the shards, and a target of the large deployment
// takes 120 connections.
func TestProcessesThatGatherStayWithinConnectionsOfTarget(t *testing.T) {
	const maxConnections = 120
	var peers []Peer
	for _, dc := range []string{"dc1", "dc2", "dc3", "dc4", "dc5"} {
		for i := range 39 {
			capacity := uint32(192)
			if i < 3 {
				capacity = 800
			}
			peers = append(peers, Peer{Name: fmt.Sprint(dc, "-", i), DataCentre: dc, Capacity: capacity})
		}
	}
	served := map[string]float64{"dc1": 0.4, "dc2": 0.4, "dc3": 0.4, "dc4": 0.4, "dc5": 0.4}
	if len(peers) <= maxConnections {
		t.Fatal("the fleet is too small to exceed the limit")
	}
	for name, silent := range map[string]func(peer string) bool{
		"all alive":      func(string) bool { return false },
		"a tenth silent": func(peer string) bool { return peer[4:] == "0" || strings.HasSuffix(peer, "7") },
	} {
		gathering := map[string]bool{}
		for _, self := range peers {
			c := New(self)
			c.Update(slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p == self }), served)
			gatherer := c.Choose(epoch, profile, func(peer string) bool { return !silent(peer) })
			if gatherer == "" {
				gatherer = self.Name
			}
			gathering[gatherer] = true
		}
		if n := len(gathering); n > maxConnections {
			t.Errorf("%s: %d processes gather, want at most %d", name, n, maxConnections)
		}
	}
}

// Small fleets, fleets of equal processes and those of unknown size gather by themselves.
func TestNobodyIsPickedWithoutNeed(t *testing.T) {
	self := Peer{Name: "self", DataCentre: "dc1", Capacity: 192}
	c := New(self)
	c.Update(fleet()[:minFleet-2], everyDC)
	if len(c.Picked()) > 0 {
		t.Errorf("picked %v in a small fleet", c.Picked())
	}
	equal := fleet()
	for i := range equal {
		equal[i].Capacity = 400
	}
	self.Capacity = 400
	c = New(self)
	c.Update(equal, everyDC)
	if len(c.Picked()) > 0 {
		t.Errorf("picked %v in a fleet of equal processes", c.Picked())
	}
	c = New(Peer{Name: "self", DataCentre: "dc1"})
	c.Update(fleet(), everyDC)
	if len(c.Picked()) > 0 {
		t.Errorf("picked %v without a capacity of its own", c.Picked())
	}
	c = newChooser(self, nil)
	if len(c.Picked()) > 0 {
		t.Errorf("picked %v while no targets are known", c.Picked())
	}
}

// A peer that stands still, was lost or refuses gets no more requests for a while. With no
// other one the process gathers requests itself.
func TestSilentPeerIsAvoided(t *testing.T) {
	c := newChooser(Peer{Name: "dc1-20", DataCentre: "dc1", Capacity: 192}, everyDC)
	first, second := c.Picked()[0], c.Picked()[1]
	c.Sent(epoch, first, profile)
	for range 5 {
		if got := c.Choose(epoch.Add(250*time.Millisecond), profile, always); got != second {
			t.Fatalf("chose %q while a request at %s is overdue, want %s", got, first, second)
		}
	}
	c.Ended(epoch.Add(300*time.Millisecond), epoch, first, Lost, profile)
	c.Sent(epoch, second, profile)
	c.Ended(epoch.Add(300*time.Millisecond), epoch, second, Lost, profile)
	if got := c.Choose(epoch.Add(700*time.Millisecond), profile, always); got != "" {
		t.Fatalf("chose %q after both were lost, want none", got)
	}
	if got := c.Choose(epoch.Add(20*time.Second), profile, always); got == "" {
		t.Fatal("chose none long after the loss")
	}
	if got := c.Choose(epoch.Add(20*time.Second), profile, func(name string) bool { return name == second }); got != second {
		t.Fatalf("chose %q, want %s, to which there is a link", got, second)
	}
	if got := c.Choose(epoch.Add(20*time.Second), profile, func(string) bool { return false }); got != "" {
		t.Fatalf("chose %q without a link", got)
	}
}

func TestRefusingPeerIsAvoidedShortly(t *testing.T) {
	c := newChooser(Peer{Name: "dc1-20", DataCentre: "dc1", Capacity: 192}, everyDC)
	first, second := c.Picked()[0], c.Picked()[1]
	c.Sent(epoch, first, profile)
	c.Ended(epoch, epoch, first, Refused, profile)
	if got := c.Choose(epoch.Add(50*time.Millisecond), profile, always); got != second {
		t.Fatalf("chose %q right after a refusal of %s, want %s", got, first, second)
	}
}

// A peer keeps what is known of it while the membership changes.
func TestUpdateKeepsStatistics(t *testing.T) {
	c := newChooser(Peer{Name: "dc1-20", DataCentre: "dc1", Capacity: 192}, everyDC)
	first := c.Picked()[0]
	c.Sent(epoch, first, profile)
	c.Update(fleet(), everyDC)
	if got := c.Choose(epoch.Add(250*time.Millisecond), profile, always); got == first {
		t.Fatalf("chose %s, at which a request is overdue", got)
	}
	c.Update(nil, everyDC)
	c.Ended(epoch, epoch, first, Responded, profile) // of a peer that is no longer picked
	if len(c.Picked()) > 0 {
		t.Fatalf("picked %v without peers", c.Picked())
	}
}
