package delegate

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
)

func reachableAll(string) bool { return true }

// newHelperFleet returns the peers of a fleet with n processes in each of three data centres.
func newHelperFleet(n int) []Peer {
	var peers []Peer
	for i := range 3 * n {
		peers = append(peers, Peer{Name: fmt.Sprint("p", i), DataCentre: fmt.Sprint("dc", i%3), Capacity: 400})
	}
	return peers
}

// A whole data centre may be cut off: half of the helpers are elsewhere. Peers that have told
// that they are cut off are none.
func TestHelpersAreInSeveralDataCentres(t *testing.T) {
	peers := newHelperFleet(10)
	h := NewHelpers(peers[0])
	h.Update(peers[1:])
	count := func() (local, remote int) {
		for _, p := range h.peers {
			if p.DataCentre == "dc0" {
				local++
			} else {
				remote++
			}
		}
		return local, remote
	}
	if local, remote := count(); local != MaxHelpers/2 || remote != MaxHelpers/2 {
		t.Errorf("%d helpers in the data centre and %d elsewhere, want half of %d each", local, remote, MaxHelpers)
	}
	for i := range peers {
		peers[i].CutOff = peers[i].DataCentre == "dc0"
	}
	h.Update(peers[1:])
	if local, remote := count(); local != 0 || remote != MaxHelpers {
		t.Errorf("%d helpers in the data centre that is cut off, %d elsewhere, want none and %d", local, remote, MaxHelpers)
	}
}

// With most of the fleet cut off, no helper may get far more than its part of the requests.
func TestHelpersShareTheLoad(t *testing.T) {
	const cut = 20
	peers := newHelperFleet(10)
	for i := range peers[:cut] {
		peers[i].CutOff = true
	}
	profile := balance.Profile{Expected: 50 * time.Millisecond, OverdueAfter: 100 * time.Millisecond}
	got := map[string]int{}
	now := time.Unix(1_700_000_000, 0)
	for _, self := range peers[:cut] {
		h := NewHelpers(self)
		h.Update(peers)
		for range 100 {
			peer := h.Choose(now, profile, reachableAll, nil)
			h.Sent(now, peer, profile)
			h.Ended(now.Add(time.Millisecond), now, peer, Responded, profile)
			got[peer]++
			now = now.Add(10 * time.Millisecond)
		}
	}
	for name, n := range got {
		if mean := 100 * cut / (len(peers) - cut); n > 3*mean {
			t.Errorf("%s got %d of %d requests, the mean is %d", name, n, 100*cut, mean)
		}
	}
	if len(got) < (len(peers)-cut)*3/4 {
		t.Errorf("only %d of %d peers help", len(got), len(peers)-cut)
	}
}

// Helpers that have refused a request, are slow, or have no link are passed over.
func TestChoiceOfHelper(t *testing.T) {
	peers := newHelperFleet(2)
	h := NewHelpers(peers[0])
	h.Update(peers[1:])
	profile := balance.Profile{Expected: 50 * time.Millisecond, OverdueAfter: 100 * time.Millisecond}
	now := time.Unix(1_700_000_000, 0)
	refused := map[string]bool{}
	for range h.Picked() {
		peer := h.Choose(now, profile, reachableAll, refused)
		if peer == "" || refused[peer] {
			t.Fatalf("chose %q after refusals of %v", peer, refused)
		}
		refused[peer] = true
	}
	if peer := h.Choose(now, profile, reachableAll, refused); peer != "" {
		t.Errorf("chose %q though all have refused", peer)
	}
	slow := h.Choose(now, profile, reachableAll, nil)
	h.Sent(now, slow, profile)
	later := now.Add(3 * profile.OverdueAfter)
	for range 10 {
		if peer := h.Choose(later, profile, reachableAll, nil); peer == slow {
			t.Error("chose a helper with an overdue request")
		}
	}
	only := h.Picked()[2]
	if peer := h.Choose(now, profile, func(name string) bool { return strings.EqualFold(name, only) }, nil); peer != only {
		t.Errorf("chose %q, want the one with a link, %q", peer, only)
	}
	if slices.Contains(h.Picked(), "p0") {
		t.Error("the process is its own helper")
	}
}
