package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// largeFleet is the number of processes of the largest deployment.
const largeFleet = 195

// startLargeFleet starts all processes of a large fleet together.
func startLargeFleet() *network {
	net := newNetwork(4, largeFleet, "10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1")
	net.loss = 0.02
	return net
}

// Pattern: all processes of a large fleet start together. Their messages to other data
// centres must stay within the 5 KB a second that a process may spend on control.
func TestStartOfLargeFleetIsBounded(t *testing.T) {
	const (
		span    = 20 * time.Second
		maxRate = 5000 // bytes a second
	)
	net := startLargeFleet()
	remote := 0
	net.onSend = func(from *State, m Outgoing) {
		if to := net.states[m.To]; to != nil && to.opts.Self.DataCentre != from.opts.Self.DataCentre {
			data, err := cbor.Marshal(m.Message)
			if err != nil {
				t.Fatal(err)
			}
			remote += len(data)
		}
	}
	net.run(epoch, span)
	rate := remote / largeFleet / int(span.Seconds())
	t.Logf("%d bytes a second and process to other data centres", rate)
	if rate > maxRate {
		t.Errorf("%d bytes a second and process to other data centres, want at most %d", rate, maxRate)
	}
}

// Pattern: first traffic after all processes of a large fleet have started together. A
// process that does not know all others takes too large a share of the limits that they
// keep together.
func TestLargeFleetIsKnownAtFirstTraffic(t *testing.T) {
	const lead = 14 * time.Second // from the start to the first request
	net := startLargeFleet()
	now := net.run(epoch, lead)
	for address, s := range net.states {
		if f := s.Fleet(now); len(f.Members) != largeFleet {
			t.Errorf("%s knows %d of %d processes", address, len(f.Members), largeFleet)
		}
	}
}
