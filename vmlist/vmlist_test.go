package vmlist

import (
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/directory"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func list(sequence uint64) directory.VMList {
	return directory.VMList{Sequence: sequence, VMs: []directory.VM{{Name: "vm1"}}}
}

func TestProcessThatCannotReadTheListGetsItFromAPeer(t *testing.T) {
	reader, cut := New(Options{}), New(Options{})
	cut.ReceiveList(list(1), at(0))
	reader.ReceiveList(list(2), at(1900))
	o, _ := reader.Offer(at(2000))
	cut.ReceiveOffer(at(2010), "reader", o)
	r := cut.Tick(at(2020))
	if r.Peer != "reader" {
		t.Fatalf("asked %q, want the peer with a fresh copy", r.Peer)
	}
	a, _ := reader.HandleRequest(at(2100), r.Request)
	if !cut.ReceiveResponse("reader", a).Updated {
		t.Fatal("the peer's copy was not adopted")
	}
	got, asOf, _ := cut.List()
	if got.Sequence != 2 || asOf.After(at(1900)) || asOf.Before(at(1800)) {
		t.Fatalf("sequence %d as of %v, want 2 as of at most %v and little older", got.Sequence, asOf, at(1900))
	}
}

func TestAgeNeverShrinksOnItsWay(t *testing.T) {
	first := New(Options{})
	first.ReceiveList(list(1), at(0))
	from := first
	now := 1600
	for range 3 {
		to := New(Options{})
		o, _ := from.Offer(at(now))
		to.ReceiveOffer(at(now), "from", o)
		r := to.Tick(at(now))
		a, _ := from.HandleRequest(at(now+30), r.Request)
		now += 60
		to.ReceiveResponse("from", a)
		if _, asOf, ok := to.List(); !ok || asOf.After(at(0)) {
			t.Fatalf("copy is dated %v, want at most %v", asOf, at(0))
		}
		from = to
	}
}

func TestOlderCopiesAreIgnored(t *testing.T) {
	v := New(Options{})
	v.ReceiveList(list(5), at(1000))
	for name, r := range map[string]Result{
		"lower sequence": v.ReceiveList(list(4), at(2000)),
		"earlier read":   v.ReceiveList(list(5), at(900)),
		"unasked answer": v.ReceiveResponse("peer", wire.VMListResponse{Sequence: 9}),
	} {
		if r.Updated {
			t.Errorf("%s was adopted", name)
		}
	}
}

func TestDownOnlyIfNobodyHasAFreshCopy(t *testing.T) {
	v := New(Options{})
	if v.Down(at(0)) {
		t.Fatal("down before the first list")
	}
	v.ReceiveList(list(1), at(0))
	v.ReceiveOffer(at(3000), "peer", wire.VMListOffer{Sequence: 1, AgeMillis: 100})
	if v.Down(at(3500)) {
		t.Fatal("down while a peer has a fresh copy")
	}
	if !v.Down(at(5900)) {
		t.Fatal("not down although the peer's copy is old by now")
	}
	v.ReceiveOffer(at(4000), "peer", wire.VMListOffer{Sequence: 1, AgeMillis: 3900})
	if !v.Down(at(4100)) {
		t.Fatal("not down although nobody has a fresh copy")
	}
	v.ReceiveList(list(1), at(4200))
	if v.Down(at(4300)) {
		t.Fatal("down after a fresh read")
	}
}

func TestSilentPeerIsNotAskedAgainAtOnce(t *testing.T) {
	v := New(Options{})
	v.ReceiveOffer(at(0), "a", wire.VMListOffer{AgeMillis: 10})
	v.ReceiveOffer(at(0), "b", wire.VMListOffer{AgeMillis: 20})
	if r := v.Tick(at(1)); r.Peer != "a" {
		t.Fatalf("asked %q, want a", r.Peer)
	}
	if r := v.Tick(at(100)); r.Peer != "" {
		t.Fatalf("asked %q while a's answer is awaited", r.Peer)
	}
	if r := v.Tick(at(600)); r.Peer != "b" {
		t.Fatalf("asked %q after a's silence, want b", r.Peer)
	}
}

func TestCopiesAgreeOnTheFreshestWhenTheListGoesDown(t *testing.T) {
	a, b := New(Options{}), New(Options{})
	a.ReceiveList(list(1), at(0))
	b.ReceiveList(list(1), at(600))
	o, _ := b.Offer(at(1600))
	a.ReceiveOffer(at(1600), "b", o)
	r := a.Tick(at(1650))
	answer, _ := b.HandleRequest(at(1651), r.Request)
	if r.Peer != "b" || len(answer.VMs) != 0 || !a.ReceiveResponse("b", answer).Updated {
		t.Fatalf("asked %q, answer %+v; want the age alone to be passed on", r.Peer, answer)
	}
	if !a.Fresh(at(3590)) || a.Down(at(3590)) {
		t.Fatal("the copy is not as fresh as the peer's")
	}
	if !a.Down(at(3610)) {
		t.Fatal("not down at once when nobody's copy is fresh any more")
	}
}

func TestPausedProcessDoesNotTakeTheListForDown(t *testing.T) {
	v := New(Options{})
	v.ReceiveList(list(1), at(0))
	v.ReceiveOffer(at(100), "peer", wire.VMListOffer{Sequence: 1, AgeMillis: 50})
	v.Tick(at(100))
	v.Tick(at(60_000))
	if v.Down(at(60_000)) {
		t.Fatal("down at the end of a pause of this process")
	}
	for ms := 60_100; ms <= 63_000; ms += 100 {
		v.Tick(at(ms))
	}
	if !v.Down(at(63_000)) {
		t.Fatal("not down although nothing was heard for a whole age after the pause")
	}
	v.Resumed(at(63_050))
	if v.Down(at(63_100)) {
		t.Fatal("down right after a pause that the clock did not show")
	}
}
