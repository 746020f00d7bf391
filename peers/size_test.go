package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// A process spends at most 5 KB a second on control at the fleet's size.
func TestGossipKeepsToItsBytes(t *testing.T) {
	const most = 5000 // bytes a second
	net := newNetwork(6, 300, "10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1")
	now := net.run(epoch, 60*time.Second)
	s := net.states["10.0.0.9:1"]
	bytes := 0
	const seconds = 30
	for range seconds {
		now = now.Add(time.Second)
		for _, send := range s.Tick(now) {
			data, err := cbor.Marshal(send.Message)
			if err != nil {
				t.Fatal(err)
			}
			bytes += len(data)
		}
	}
	t.Logf("%d bytes a second", bytes/seconds)
	if bytes/seconds > most {
		t.Fatalf("%d bytes a second, want at most %d", bytes/seconds, most)
	}
}
