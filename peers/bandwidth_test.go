package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// In a fleet of 300 processes, each may send at most 5 KB of control traffic a
// second.
func TestGossipBandwidthIsBounded(t *testing.T) {
	const maxRate = 5000 // bytes a second
	net := newNetwork(6, 300, "10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1")
	now := net.run(epoch, 60*time.Second)
	s := net.states["10.0.0.9:1"]
	bytes := 0
	const seconds = 30
	for range seconds {
		now = now.Add(time.Second)
		for _, out := range s.Tick(now) {
			data, err := cbor.Marshal(out.Message)
			if err != nil {
				t.Fatal(err)
			}
			bytes += len(data)
		}
	}
	t.Logf("%d bytes a second", bytes/seconds)
	if bytes/seconds > maxRate {
		t.Fatalf("%d bytes a second, want at most %d", bytes/seconds, maxRate)
	}
}
