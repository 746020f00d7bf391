package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

var epoch = time.Unix(1_700_000_000, 0)

func readers(n int) []Process {
	out := make([]Process, n)
	for i := range out {
		out[i] = Process{Name: fmt.Sprint("front-", i), DataCentre: fmt.Sprint("dc", i%3), Rank: uint64(i)}
	}
	return out
}

func routeOf(all []Process, i int, apply time.Duration) *Selector {
	r := NewSelector(all[i], apply, rand.New(rand.NewPCG(1, 2)))
	var peers []Process
	for j, p := range all {
		if j != i {
			peers = append(peers, p)
		}
	}
	r.SetPeers(peers)
	return r
}

func TestTwoOfEachDataCentreReadTheStore(t *testing.T) {
	all := readers(75)
	direct := map[string]int{}
	for i, p := range all {
		if routeOf(all, i, 5*time.Second).Next(epoch) == "" {
			direct[p.DataCentre]++
		}
	}
	for dc, n := range direct {
		if n != 2 {
			t.Errorf("%d processes of %s read the store, want 2", n, dc)
		}
	}
}

func TestAllReadTheStoreWhereTheWayOverPeersIsTooSlow(t *testing.T) {
	for name, r := range map[string]*Selector{
		"few processes":    routeOf(readers(9), 8, 5*time.Second),
		"changes in haste": routeOf(readers(75), 70, 3*time.Second),
		"no peers":         routeOf(readers(1), 0, 5*time.Second),
	} {
		if peer := r.Next(epoch); peer != "" {
			t.Errorf("%s: asks %s, want the store", name, peer)
		}
	}
}

func TestAFailedWayIsLeftAndTriedAgain(t *testing.T) {
	r := routeOf(readers(75), 70, 5*time.Second)
	peer := r.Next(epoch)
	if peer == "" {
		t.Fatal("reads the store, want a peer")
	}
	r.Failed(epoch, peer)
	if p := r.Next(epoch); p != "" {
		t.Fatalf("asks %s after a peer failed, want the store", p)
	}
	r.Failed(epoch, "")
	if p := r.Next(epoch); p == "" {
		t.Fatal("reads the store again after both failed, want a peer")
	}
	r.Failed(epoch, peer)
	if p := r.Next(epoch.Add(directSpan)); p == "" {
		t.Fatal("still reads the store long after the peer failed")
	}
	reader := routeOf(readers(9), 0, 3*time.Second)
	reader.Failed(epoch, "")
	if p := reader.Next(epoch); p == "" {
		t.Fatal("the store turns the process away: want a peer")
	}
	if p := reader.Next(epoch.Add(peerSpan)); p != "" {
		t.Fatal("still asks a peer, want the store")
	}
}

func TestReplicaPassesOnWhatWasRead(t *testing.T) {
	r := NewReplica()
	now := time.Now()
	target := catalog.Item{Kind: catalog.KindTarget, Name: "t1", Revision: 5, Target: &catalog.Target{ID: "t1", Service: "s1"}}
	bad := catalog.Item{Kind: catalog.KindTarget, Name: "t2", Revision: 6, Err: errors.New("not JSON")}
	r.Listed(now, Batch{Items: []catalog.Item{target, bad}, Revision: 6})
	a, err := r.Respond(context.Background(), wire.FeedRequest{List: true})
	if err != nil {
		t.Fatal(err)
	}
	b, err := open(&a)
	if err != nil || len(b.Items) != 2 || b.Revision != 6 {
		t.Fatalf("batch %+v, error %v", b, err)
	}
	for _, it := range b.Items {
		if (it.Name == "t1" && it.Target.Service != "s1") || (it.Name == "t2" && it.Err == nil) {
			t.Fatalf("item %+v", it)
		}
	}
	r.Changed(now, Batch{Items: []catalog.Item{{Kind: catalog.KindTarget, Name: "t1", Revision: 7, Deleted: true}}, Revision: 7})
	a, err = r.Respond(context.Background(), wire.FeedRequest{After: 6, WaitMillis: 1000})
	if err != nil {
		t.Fatal(err)
	}
	if b, err = open(&a); err != nil || len(b.Items) != 1 || !b.Items[0].Deleted || b.Revision != 7 {
		t.Fatalf("batch %+v, error %v", b, err)
	}
	if a, _ = r.Respond(context.Background(), wire.FeedRequest{After: 3}); !a.Compacted {
		t.Fatal("changes before the listing are gone, and the answer doesn't say so")
	}
}

// A peer that has not heard from the store says so at once.
func TestOldReplicaAnswersAtOnce(t *testing.T) {
	r := NewReplica()
	r.Listed(time.Now().Add(-time.Minute), Batch{Revision: 6})
	begun := time.Now()
	a, err := r.Respond(context.Background(), wire.FeedRequest{After: 6, WaitMillis: 5000})
	if err != nil || time.Duration(a.AgeMillis)*time.Millisecond < MaxPeerAge {
		t.Fatalf("age %d ms, error %v", a.AgeMillis, err)
	}
	if took := time.Since(begun); took > time.Second {
		t.Fatalf("answered after %v", took)
	}
}
