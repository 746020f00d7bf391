package view

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

func TestProcessThatCannotReadTheListGetsItFromAPeer(t *testing.T) {
	reader, cut := New(Options{}), New(Options{})
	cut.Read(list(1), at(0))
	reader.Read(list(2), at(1900))
	o, _ := reader.Offer(at(2000))
	cut.Offered(at(2010), "reader", o)
	r := cut.Tick(at(2020))
	if r.Ask != "reader" {
		t.Fatalf("asked %q, want the peer with a fresh copy", r.Ask)
	}
	a, _ := reader.Asked(at(2100), r.Question)
	if !cut.Answered("reader", a).Adopted {
		t.Fatal("the peer's copy was not adopted")
	}
	got, asOf, _ := cut.List()
	if got.Sequence != 2 || asOf.After(at(1900)) || asOf.Before(at(1800)) {
		t.Fatalf("sequence %d as of %v, want 2 as of at most %v and little older", got.Sequence, asOf, at(1900))
	}
}

func TestAgeNeverShrinksOnItsWay(t *testing.T) {
	first := New(Options{})
	first.Read(list(1), at(0))
	from := first
	now := 1600
	for range 3 {
		to := New(Options{})
		o, _ := from.Offer(at(now))
		to.Offered(at(now), "from", o)
		r := to.Tick(at(now))
		a, _ := from.Asked(at(now+30), r.Question)
		now += 60
		to.Answered("from", a)
		if _, asOf, ok := to.List(); !ok || asOf.After(at(0)) {
			t.Fatalf("copy is dated %v, want at most %v", asOf, at(0))
		}
		from = to
	}
}

func TestOlderCopiesAreIgnored(t *testing.T) {
	v := New(Options{})
	v.Read(list(5), at(1000))
	for name, r := range map[string]Result{
		"lower sequence": v.Read(list(4), at(2000)),
		"earlier read":   v.Read(list(5), at(900)),
		"unasked answer": v.Answered("peer", wire.ViewAnswer{Sequence: 9}),
	} {
		if r.Adopted {
			t.Errorf("%s was adopted", name)
		}
	}
}

func TestDownOnlyIfNobodyHasAFreshCopy(t *testing.T) {
	v := New(Options{})
	if v.Down(at(0)) {
		t.Fatal("down before the first list")
	}
	v.Read(list(1), at(0))
	v.Offered(at(3000), "peer", wire.ViewOffer{Sequence: 1, AgeMillis: 100})
	if v.Down(at(3500)) {
		t.Fatal("down while a peer has a fresh copy")
	}
	if !v.Down(at(5900)) {
		t.Fatal("not down although the peer's copy is old by now")
	}
	v.Offered(at(4000), "peer", wire.ViewOffer{Sequence: 1, AgeMillis: 3900})
	if !v.Down(at(4100)) {
		t.Fatal("not down although nobody has a fresh copy")
	}
	v.Read(list(1), at(4200))
	if v.Down(at(4300)) {
		t.Fatal("down after a fresh read")
	}
}

func TestSilentPeerIsNotAskedAgainAtOnce(t *testing.T) {
	v := New(Options{})
	v.Offered(at(0), "a", wire.ViewOffer{AgeMillis: 10})
	v.Offered(at(0), "b", wire.ViewOffer{AgeMillis: 20})
	if r := v.Tick(at(1)); r.Ask != "a" {
		t.Fatalf("asked %q, want a", r.Ask)
	}
	if r := v.Tick(at(100)); r.Ask != "" {
		t.Fatalf("asked %q while a's answer is awaited", r.Ask)
	}
	if r := v.Tick(at(600)); r.Ask != "b" {
		t.Fatalf("asked %q after a's silence, want b", r.Ask)
	}
}

func TestCopiesAgreeOnTheFreshestWhenTheListGoesDown(t *testing.T) {
	a, b := New(Options{}), New(Options{})
	a.Read(list(1), at(0))
	b.Read(list(1), at(600))
	o, _ := b.Offer(at(1600))
	a.Offered(at(1600), "b", o)
	r := a.Tick(at(1650))
	answer, _ := b.Asked(at(1651), r.Question)
	if r.Ask != "b" || len(answer.VMs) != 0 || !a.Answered("b", answer).Adopted {
		t.Fatalf("asked %q, answer %+v; want the age alone to be passed on", r.Ask, answer)
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
	v.Read(list(1), at(0))
	v.Offered(at(100), "peer", wire.ViewOffer{Sequence: 1, AgeMillis: 50})
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
	v.Gap(at(63_050))
	if v.Down(at(63_100)) {
		t.Fatal("down right after a pause that the clock did not show")
	}
}
