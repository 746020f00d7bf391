package link

import (
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// recorder is a Handler that responds to each sub-request and records events.
type recorder struct {
	up        chan *Link
	down      chan error
	responses chan wire.SubResponse
	dropped   chan wire.Batch
}

func newRecorder() *recorder {
	return &recorder{
		up: make(chan *Link, 8), down: make(chan error, 8),
		responses: make(chan wire.SubResponse, 64), dropped: make(chan wire.Batch, 8),
	}
}

func (r *recorder) Up(l *Link)                    { r.up <- l }
func (r *recorder) Down(_ *Link, err error)       { r.down <- err }
func (r *recorder) Dropped(_ *Link, b wire.Batch) { r.dropped <- b }
func (r *recorder) Frame(l *Link, f *wire.Frame) {
	for _, b := range f.Batches {
		for _, s := range b.SubRequests {
			_ = l.Send(&wire.Frame{SubResponses: []wire.SubResponse{{ID: s.ID, QueryID: b.QueryID}}})
		}
	}
	for _, response := range f.SubResponses {
		r.responses <- response
	}
}

func startPool(t *testing.T, vm string, role wire.Role, credit uint32) (*Pool, *recorder, string) {
	t.Helper()
	rec := newRecorder()
	p := NewPool(Options{
		Self:    wire.Process{VM: vm, Role: role, Incarnation: 1},
		Handler: rec, Logger: slog.New(slog.DiscardHandler), Credit: credit,
	})
	srv := httptest.NewServer(p)
	t.Cleanup(func() { p.Close(); srv.Close() })
	return p, rec, strings.TrimPrefix(srv.URL, "http://")
}

func TestLinkSendsBatchesWithinCredit(t *testing.T) {
	_, _, addr := startPool(t, "vm2", wire.RoleRelay, 2)
	gw, rec, _ := startPool(t, "vm1", wire.RoleGateway, 0)
	gw.SetPeers(map[string]Peer{"vm2/relay": {Address: addr, Persistent: true}})
	l := <-rec.up
	batch := wire.Batch{QueryID: 5, Deadline: time.Now().Add(time.Minute), SubRequests: []wire.SubRequest{{ID: 1}, {ID: 2}}}
	if err := l.Send(&wire.Frame{Batches: []wire.Batch{batch, batch}}); err != ErrNoCredit {
		t.Fatalf("Send of four sub-requests with a credit of two: error %v, want %v", err, ErrNoCredit)
	}
	if err := l.Send(&wire.Frame{Batches: []wire.Batch{batch}}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if r := <-rec.responses; r.QueryID != 5 {
			t.Fatalf("response to query %d, want 5", r.QueryID)
		}
	}
	late := batch
	late.Deadline = time.Now().Add(-time.Millisecond)
	if err := l.Send(&wire.Frame{Batches: []wire.Batch{late}}); err != nil {
		t.Fatal(err)
	}
	if b := <-rec.dropped; b.QueryID != 5 {
		t.Fatalf("dropped query %d, want 5", b.QueryID)
	}
	if n := l.Outstanding(); n != 0 {
		t.Fatalf("%d sub-requests outstanding, want 0", n)
	}
}

func TestLinkToAnotherProcessIsRefused(t *testing.T) {
	_, _, addr := startPool(t, "vm2", wire.RoleRelay, 0)
	gw, rec, _ := startPool(t, "vm1", wire.RoleGateway, 0)
	if l := gw.open("vm3/relay", addr); l != nil {
		t.Fatal("vm2 accepted a link to vm3")
	}
	select {
	case <-rec.up:
		t.Fatal("a refused link was reported as up")
	default:
	}
}

func TestLiveness(t *testing.T) {
	start := time.Unix(1000, 0)
	opts := LivenessOptions{BusyPing: 100 * time.Millisecond, BusyTimeout: 400 * time.Millisecond}
	l := NewLiveness(opts, start)
	l.SetBusy(start, true)
	var got []Decision
	for ms := 50; ms <= 400; ms += 50 {
		got = append(got, l.Check(start.Add(time.Duration(ms)*time.Millisecond)))
	}
	want := []Decision{DecisionNone, DecisionPing, DecisionNone, DecisionPing, DecisionNone, DecisionPing, DecisionNone, DecisionClose}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("decisions %v, want %v", got, want)
		}
	}
}

// Guards against work that waits for the timeout of a stalled link: the link must
// be reported as unresponsive before it is closed.
func TestLinkIsUnresponsiveBeforeItIsClosed(t *testing.T) {
	start := time.Unix(1000, 0)
	l := NewLiveness(LivenessOptions{BusyPing: 150 * time.Millisecond, BusyTimeout: 500 * time.Millisecond}, start)
	if l.Unresponsive(start.Add(time.Second)) {
		t.Fatal("an idle link is unresponsive")
	}
	l.SetBusy(start, true)
	for ms, want := range map[int]bool{150: false, 190: false, 200: true, 499: true} {
		if got := l.Unresponsive(start.Add(time.Duration(ms) * time.Millisecond)); got != want {
			t.Errorf("unresponsive after %d ms: %v, want %v", ms, got, want)
		}
	}
	l.Received(start.Add(210 * time.Millisecond))
	if l.Unresponsive(start.Add(300 * time.Millisecond)) {
		t.Fatal("unresponsive although a frame was received")
	}
}

// Guards against closing healthy links after a pause of this process, in which it
// read no frames.
func TestLinkIsKeptAfterPauseOfOwnProcess(t *testing.T) {
	start := time.Unix(1000, 0)
	l := NewLiveness(LivenessOptions{}, start)
	l.SetBusy(start, true)
	l.Check(start.Add(50 * time.Millisecond))
	if got := l.Check(start.Add(time.Hour)); got != DecisionPing {
		t.Fatalf("decision %v after a pause of this process, want a ping", got)
	}
}

func TestPeerOfAnotherProtocolVersionIsRefused(t *testing.T) {
	p, _, _ := startPool(t, "vm2", wire.RoleRelay, 0)
	for _, tc := range []struct {
		low, high uint16
		refused   bool
	}{
		{wire.MinVersion, wire.MaxVersion, false},
		{wire.MinVersion, wire.MaxVersion + 5, false},
		{wire.MaxVersion + 1, wire.MaxVersion + 5, true},
		{0, wire.MinVersion - 1, true},
	} {
		refusal := p.checkHello(&wire.Hello{MinVersion: tc.low, MaxVersion: tc.high, Peer: "vm2/relay"})
		if (refusal != nil) != tc.refused || refusal != nil && refusal.Code != code.ProtocolMismatch {
			t.Errorf("versions %d to %d: refusal %+v", tc.low, tc.high, refusal)
		}
	}
}
