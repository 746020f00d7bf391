package quota

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

// testBatch returns a batch with an entry of each kind.
func testBatch() (Header, []entry, []byte) {
	h := Header{Name: "front-1", Incarnation: 1 << 60, Young: true, Size: 67}
	entries := []entry{
		{kind: kindReport, report: report{id: 1 << 63, serial: 1, total: 300, window: 20, settled: 3, ask: 4, n: 2}},
		{kind: kindCopy, report: report{id: 2, serial: 1, total: 1}},
		{kind: kindAnswer, answer: answer{id: 3, total: 5, limited: true, allowance: 7, ask: 4, granted: 1, hold: 20 * time.Millisecond}},
		{kind: kindMode, mode: mode{id: 4, limited: true}},
		{kind: kindPing, ping: 9},
		{kind: kindPong, ping: 1 << 40},
	}
	buf := appendHeader(nil, &h)
	for i := range entries {
		buf = appendEntry(buf, &entries[i])
	}
	return h, entries, buf
}

// Guards against values that change on their way between two processes.
func TestBatchIsDecodedAsEncoded(t *testing.T) {
	h, entries, buf := testBatch()
	gotHeader, got, err := decode(buf)
	if err != nil || gotHeader != h || !reflect.DeepEqual(got, entries) {
		t.Fatalf("decoded %+v %+v, error %v, want %+v %+v", gotHeader, got, err, h, entries)
	}
}

// Guards against batches that are cut off, too long, or of another version and are used all
// the same.
func TestMalformedBatchIsAnError(t *testing.T) {
	_, _, buf := testBatch()
	h := Header{}
	for name, data := range map[string][]byte{
		"empty": nil, "cut off": buf[: len(buf)-3 : len(buf)-3], "another version": append([]byte{formatVersion + 1}, buf[1:]...),
		"no sender": appendHeader(nil, &h), "unknown kind": append(append([]byte{}, buf...), 200),
		"too long": append(append([]byte{}, buf...), strings.Repeat("x", MaxBatch)...),
	} {
		if _, _, err := decode(data); err == nil {
			t.Errorf("%s: decoded without an error", name)
		}
	}
}

// FuzzReceive receives batches of peers.
func FuzzReceive(f *testing.F) {
	_, _, buf := testBatch()
	f.Add(buf)
	f.Add([]byte{formatVersion, 0, 1, 'b'})
	f.Fuzz(func(t *testing.T, data []byte) {
		limit := Limit{Rate: 1, Burst: 1}
		l := New(Options{
			Self: "a", Incarnation: 1, StartedAt: epoch, Bounds: DefaultBounds, AssumedSize: 200,
			Limits: func(ID) (Limit, bool) { return limit, true }, Rand: rand.New(rand.NewPCG(1, 1)),
		})
		l.SetFleet(epoch, Fleet{Size: 2, Members: []Member{{Name: "front-1", Alive: true}}})
		now := epoch.Add(10 * time.Second)
		l.Admit(now, "x", limit)
		_, _ = l.Receive(now, data)
		_, _ = l.Receive(now, data)
		l.Tick(now.Add(time.Second))
		for _, o := range l.Outgoing() {
			if len(o.Data) > MaxDatagram {
				t.Errorf("batch of %d bytes, want at most %d", len(o.Data), MaxDatagram)
			}
		}
	})
}
