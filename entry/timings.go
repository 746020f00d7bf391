package entry

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/hedge"
)

// Timings of a process.
const (
	// watchWait bounds one watch of the store. A watch whose answer is lost is
	// noticed only after it, and changes must be in force four seconds after the
	// store is well again; but each call has its price.
	watchWait = 2 * time.Second
	// minWatchGather and maxWatchGather bound the pause between watches while
	// changes come in; they are small beside the seconds that changes may take.
	// Where these are many the pause may be gatherShare of them.
	minWatchGather = 150 * time.Millisecond
	maxWatchGather = 600 * time.Millisecond
	gatherShare    = 0.16
	// probeWait bounds the first watch after a failed call.
	probeWait = 200 * time.Millisecond
	// storeMinBackoff and storeMaxBackoff bound the wait after a failed call: the
	// store's return must be noticed within the time that changes may take.
	storeMinBackoff = 100 * time.Millisecond
	storeMaxBackoff = 1200 * time.Millisecond
	// storeFirstBackoff bounds it until something is known: callers are refused
	// meanwhile.
	storeFirstBackoff = 300 * time.Millisecond
	// lapseShare is the part of the time that a leaving target may be used for
	// which one whose entry disappeared stays a last resort.
	lapseShare = 0.3
	// unsteadyHold is the same after the store was away: entries that lapsed
	// meanwhile are back within about two seconds.
	unsteadyHold = 2300 * time.Millisecond
	// restoreCold covers two heartbeats of targets and the way through the store.
	restoreCold = 3 * time.Second
	// housekeeping is the interval at which idle and silent connections are closed.
	housekeeping = 100 * time.Millisecond
	// dialTimeout is well above a connection's cost of milliseconds. What was not
	// sent goes to another target then.
	dialTimeout = 200 * time.Millisecond
	// defaultWait is how long a caller is taken to wait that doesn't say.
	defaultWait = 5 * time.Second
	// staleAfter is the age of the picture beyond the longest watch.
	staleAfter = watchWait + 2*time.Second
	// gossipInterval and gossipFanout make three messages a second.
	gossipInterval = time.Second
	gossipFanout   = 2
	gossipEntries  = 24
	gossipForget   = 60 * time.Second
	gossipSettle   = 5 * time.Second
	// meetInterval is how often the peers that are alive are looked up, and
	// aliveWithin how lately they must have been heard of: gossip takes seconds.
	meetInterval = time.Second
	aliveWithin  = 20 * time.Second
	// linkCheck is the time between two liveness checks of links: they carry
	// what is asked again a moment later.
	linkCheck = 250 * time.Millisecond
	// unknownPeers is assumed until others are heard of.
	unknownPeers = 16
)

// Hedging of attempts on the way to targets.
var hedging = hedge.Options{
	Quantile:     0.95, // the published budget allows one in five
	MinDelay:     3 * time.Millisecond,
	InitialDelay: 60 * time.Millisecond,
	MedianRatio:  3,
	MinSamples:   60,
}

// singleHedging is for requests to one service: nothing waits for the slowest
// of many, and a second attempt costs as much as the request.
var singleHedging = hedge.Options{
	Quantile:    0.98,
	MinDelay:    10 * time.Millisecond,
	MaxDelay:    2 * time.Second,
	MedianRatio: 4,
	MinSamples:  40,
}
