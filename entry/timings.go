package entry

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/hedge"
)

// Timeouts, intervals and related values of a process.
const (
	// watchTimeout bounds one watch of the store. A lost response is noticed only
	// when it expires, and changes must be in force four seconds after the store has
	// recovered. A shorter timeout would cost more calls.
	watchTimeout = 2 * time.Second
	// minWatchCoalesce and maxWatchCoalesce bound the pause between watches while
	// changes arrive. They are short compared with the seconds within which changes
	// must be in force. If that time is long, the pause may be coalesceFraction of it.
	minWatchCoalesce = 150 * time.Millisecond
	maxWatchCoalesce = 600 * time.Millisecond
	coalesceFraction = 0.16
	// probeTimeout bounds the first watch after a failed call.
	probeTimeout = 200 * time.Millisecond
	// storeMinBackoff and storeMaxBackoff bound the backoff after a failed call. The
	// recovery of the store must be noticed within the time in which changes must be
	// in force.
	storeMinBackoff = 100 * time.Millisecond
	storeMaxBackoff = 1200 * time.Millisecond
	// storeMaxInitialBackoff bounds the backoff until the first listing succeeds:
	// callers are refused meanwhile.
	storeMaxInitialBackoff = 300 * time.Millisecond
	// drainGraceDivisor is the divisor of Settings.DrainGrace that yields the time for
	// which a draining target stays a last resort.
	drainGraceDivisor = 3
	// deregisteredGraceFraction is the fraction of Settings.DrainGrace during which a
	// deregistered target stays a last resort.
	deregisteredGraceFraction = 0.3
	// maxNoticeFraction is the fraction of Settings.DrainGrace that may pass between the last
	// confirmation of the state and the news that a target drains or is gone, before its
	// grace period is shortened. With either grace period it stays below the whole.
	maxNoticeFraction = 0.55
	// outageGrace is how long a target that was deregistered during an outage of the
	// store stays a last resort: such entries are back within about two seconds.
	outageGrace = 2300 * time.Millisecond
	// evacuationHold is how long an evacuation stays as it was after the store was
	// restored from a copy that says otherwise: operators write again within about two
	// seconds, and evacuations must be in force within five.
	evacuationHold = 3 * time.Second
	// departedHold is how long a target that has left is not used although a restored
	// store lists it. The store drops an entry after three heartbeats, of about a
	// second each, that are missing.
	departedHold = 10 * time.Second
	// departedMemory is how long departures are remembered. Copies of the store are
	// seconds old.
	departedMemory = time.Minute
	// coldAfterEvacuation is how long targets count as cold after an evacuation. It
	// covers two heartbeats of targets and the delay of the store.
	coldAfterEvacuation = 3 * time.Second
	// maintenanceInterval is the interval at which idle and unresponsive connections
	// are closed.
	maintenanceInterval = 100 * time.Millisecond
	// dialTimeout is well above the milliseconds that a connection takes. After it, a
	// request that was not sent goes to another target.
	dialTimeout = 200 * time.Millisecond
	// defaultTimeout is the timeout of requests that state none, and of the headers of
	// requests to the other servers.
	defaultTimeout = 5 * time.Second
	// staleAfter is the age above which the view is stale: longer than any watch.
	staleAfter = watchTimeout + 2*time.Second
	// Once a member is known, gossipInterval and gossipFanout give up to three messages
	// a second besides replies: to two members and, in remote rounds, to a seed.
	gossipInterval    = time.Second
	gossipFanout      = 2
	gossipMaxMembers  = 24
	gossipForgetAfter = 60 * time.Second
	gossipSettleTime  = 5 * time.Second
	// peerUpdateInterval is the interval at which the live peers are updated.
	// aliveWithin is the age up to which a heartbeat counts as alive: gossip takes
	// seconds.
	peerUpdateInterval = time.Second
	aliveWithin        = 20 * time.Second
	// linkCheckInterval is the time between two liveness checks of links. A request at a
	// peer that has fallen silent waits for it, besides the timeout of the link.
	linkCheckInterval = 100 * time.Millisecond
	// assumedFleetSize is the number of processes assumed until peers are known.
	assumedFleetSize = 16
)

// shardHedging configures the hedging of requests to shards.
var shardHedging = hedge.Options{
	Quantile:     0.95, // the published retry budget allows one extra attempt in five
	MinDelay:     3 * time.Millisecond,
	InitialDelay: 60 * time.Millisecond,
	MedianRatio:  3,
	MinSamples:   60,
}

// singleHedging configures the hedging of requests to one service: nothing waits
// for the slowest of many shards, and a hedge costs as much as the request.
var singleHedging = hedge.Options{
	Quantile:    0.98,
	MinDelay:    10 * time.Millisecond,
	MaxDelay:    2 * time.Second,
	MedianRatio: 4,
	MinSamples:  40,
}
