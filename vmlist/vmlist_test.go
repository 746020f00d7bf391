package vmlist

import (
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func list(sequence uint64) platformapi.VMList {
	return platformapi.VMList{Sequence: sequence, VMs: []platformapi.VM{{Name: "vm1"}}}
}

func TestCopyFromPeerWhenListCannotBeRead(t *testing.T) {
	reader, isolated := New(Options{}), New(Options{})
	isolated.ReceiveList(list(1), at(0))
	reader.ReceiveList(list(2), at(1900))
	o, _ := reader.Offer(at(2000))
	isolated.ReceiveOffer(at(2010), "reader", o)
	r := isolated.Tick(at(2020))
	if r.Peer != "reader" {
		t.Fatalf("request to %q, want the peer with a fresh copy", r.Peer)
	}
	resp, _ := reader.HandleRequest(at(2100), r.Request)
	if !isolated.ReceiveResponse("reader", resp).Updated {
		t.Fatal("copy not updated by the peer's response")
	}
	got, asOf, _ := isolated.List()
	if got.Sequence != 2 || asOf.After(at(1900)) || asOf.Before(at(1800)) {
		t.Fatalf("sequence %d as of %v, want 2 as of at most 100 ms before %v", got.Sequence, asOf, at(1900))
	}
}

func TestAgeIsNotUnderstatedAcrossPeers(t *testing.T) {
	first := New(Options{})
	first.ReceiveList(list(1), at(0))
	from := first
	now := 1600
	for range 3 {
		to := New(Options{})
		o, _ := from.Offer(at(now))
		to.ReceiveOffer(at(now), "from", o)
		r := to.Tick(at(now))
		resp, _ := from.HandleRequest(at(now+30), r.Request)
		now += 60
		to.ReceiveResponse("from", resp)
		if _, asOf, ok := to.List(); !ok || asOf.After(at(0)) {
			t.Fatalf("copy is dated %v, want at most %v", asOf, at(0))
		}
		from = to
	}
}

func TestOlderCopyIsIgnored(t *testing.T) {
	tr := New(Options{})
	tr.ReceiveList(list(5), at(1000))
	for name, r := range map[string]Result{
		"lower sequence":       tr.ReceiveList(list(4), at(2000)),
		"earlier read":         tr.ReceiveList(list(5), at(900)),
		"unsolicited response": tr.ReceiveResponse("peer", wire.VMListResponse{Sequence: 9}),
	} {
		if r.Updated {
			t.Errorf("%s replaced the copy", name)
		}
	}
}

func TestDownOnlyWithoutAnyFreshCopy(t *testing.T) {
	tr := New(Options{})
	if tr.Down(at(0)) {
		t.Fatal("down before the first list")
	}
	tr.ReceiveList(list(1), at(0))
	tr.ReceiveOffer(at(3000), "peer", wire.VMListOffer{Sequence: 1, AgeMillis: 100})
	if tr.Down(at(3500)) {
		t.Fatal("down while a peer has a fresh copy")
	}
	if !tr.Down(at(5900)) {
		t.Fatal("not down although the peer's copy is no longer fresh")
	}
	tr.ReceiveOffer(at(4000), "peer", wire.VMListOffer{Sequence: 1, AgeMillis: 3900})
	if !tr.Down(at(4100)) {
		t.Fatal("not down although no process has a fresh copy")
	}
	tr.ReceiveList(list(1), at(4200))
	if tr.Down(at(4300)) {
		t.Fatal("down after a fresh read")
	}
}

func TestAnotherPeerIsTriedAfterRequestTimeout(t *testing.T) {
	tr := New(Options{})
	tr.ReceiveOffer(at(0), "a", wire.VMListOffer{AgeMillis: 10})
	tr.ReceiveOffer(at(0), "b", wire.VMListOffer{AgeMillis: 20})
	if r := tr.Tick(at(1)); r.Peer != "a" {
		t.Fatalf("request to %q, want a", r.Peer)
	}
	if r := tr.Tick(at(100)); r.Peer != "" {
		t.Fatalf("request to %q while the request to a is pending", r.Peer)
	}
	if r := tr.Tick(at(600)); r.Peer != "b" {
		t.Fatalf("request to %q after the request to a timed out, want b", r.Peer)
	}
}

func TestFresherDateOfSameListIsAdopted(t *testing.T) {
	a, b := New(Options{}), New(Options{})
	a.ReceiveList(list(1), at(0))
	b.ReceiveList(list(1), at(600))
	o, _ := b.Offer(at(1600))
	a.ReceiveOffer(at(1600), "b", o)
	r := a.Tick(at(1650))
	resp, _ := b.HandleRequest(at(1651), r.Request)
	if r.Peer != "b" || len(resp.VMs) != 0 || !a.ReceiveResponse("b", resp).Updated {
		t.Fatalf("request to %q, response %+v; want a response from b with an age and no VMs", r.Peer, resp)
	}
	if !a.Fresh(at(3590)) || a.Down(at(3590)) {
		t.Fatal("copy does not have the date of the peer's copy")
	}
	if !a.Down(at(3610)) {
		t.Fatal("not down as soon as no copy is fresh")
	}
}

func TestNotDownAfterAPause(t *testing.T) {
	tr := New(Options{})
	tr.ReceiveList(list(1), at(0))
	tr.ReceiveOffer(at(100), "peer", wire.VMListOffer{Sequence: 1, AgeMillis: 50})
	tr.Tick(at(100))
	tr.Tick(at(60_000))
	if tr.Down(at(60_000)) {
		t.Fatal("down at the end of a pause")
	}
	for ms := 60_100; ms <= 63_000; ms += 100 {
		tr.Tick(at(ms))
	}
	if !tr.Down(at(63_000)) {
		t.Fatal("not down although no list or offer was received for MaxAge after the pause")
	}
	tr.Paused(at(63_050))
	if tr.Down(at(63_100)) {
		t.Fatal("down right after a pause during which the clock did not advance")
	}
}
