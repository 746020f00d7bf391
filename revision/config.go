package revision

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
)

// Defaults of Options.
const (
	DefaultStartupPeers     = 3
	DefaultStartupWait      = 5 * time.Second
	DefaultPeerTimeout      = 2 * time.Second
	DefaultReadTimeout      = 5 * time.Second
	DefaultRetryMin         = 250 * time.Millisecond
	DefaultRetryMax         = 10 * time.Second
	DefaultMaxParallelReads = 2
	DefaultReadBurst        = 16
	DefaultFleetReadRate    = 800
	DefaultMaxWatchers      = 200
	DefaultWatchWait        = 20 * time.Second
	DefaultWatchJitter      = 500 * time.Millisecond
	DefaultPollInterval     = 15 * time.Second
	DefaultWatchRetryMin    = 500 * time.Millisecond
	DefaultWatchRetryMax    = 30 * time.Second
)

// maxResponseBytes bounds the file contents in one response to a peer, so that
// it fits into a frame. The peer requests the rest again.
const maxResponseBytes = 2 << 20

// ValidateFunc validates the files of a revision, sorted by name, as a whole and
// returns the contracts that they define.
type ValidateFunc func([]folder.File) (*folder.Contracts, error)

// Options configures a State and a Pacer. A zero field means its default;
// Validate and Rand are required.
type Options struct {
	Validate ValidateFunc
	Rand     *rand.Rand
	// StartupPeers is the number of peers whose revision a new process must
	// know before it is ready, or all peers if there are fewer.
	StartupPeers int
	// StartupWait is the time after which a new process is ready without
	// them, if it has a revision in force.
	StartupWait time.Duration
	// PeerTimeout bounds the wait for a peer's response.
	PeerTimeout time.Duration
	// ReadTimeout bounds a file read.
	ReadTimeout time.Duration
	// RetryMin and RetryMax bound the backoff before a failed read or request
	// is repeated. It doubles from one to the other, and half of it is jitter.
	RetryMin time.Duration
	RetryMax time.Duration
	// MaxParallelReads is the largest number of file reads in progress at once.
	MaxParallelReads int
	// ReadBurst is the largest number of files that one process reads in a
	// burst, before its share of FleetReadRate limits it.
	ReadBurst int
	// FleetReadRate is the number of file reads per second that all processes
	// together may make. Each process has an even share of it.
	FleetReadRate int
	// MaxWatchers is the largest number of processes that watch the service. The
	// others poll it every PollInterval and receive changes from peers.
	MaxWatchers int
	// WatchWait is how long the service holds a watch.
	WatchWait time.Duration
	// WatchJitter bounds the random delay before a watch is renewed.
	WatchJitter time.Duration
	// PollInterval is the mean time between two polls.
	PollInterval time.Duration
	// WatchRetryMin and WatchRetryMax bound the backoff after a failed watch or
	// poll.
	WatchRetryMin time.Duration
	WatchRetryMax time.Duration
}

func (o Options) withDefaults() Options {
	o.StartupPeers = cmp.Or(o.StartupPeers, DefaultStartupPeers)
	o.StartupWait = cmp.Or(o.StartupWait, DefaultStartupWait)
	o.PeerTimeout = cmp.Or(o.PeerTimeout, DefaultPeerTimeout)
	o.ReadTimeout = cmp.Or(o.ReadTimeout, DefaultReadTimeout)
	o.RetryMin = cmp.Or(o.RetryMin, DefaultRetryMin)
	o.RetryMax = cmp.Or(o.RetryMax, DefaultRetryMax)
	o.MaxParallelReads = cmp.Or(o.MaxParallelReads, DefaultMaxParallelReads)
	o.ReadBurst = cmp.Or(o.ReadBurst, DefaultReadBurst)
	o.FleetReadRate = cmp.Or(o.FleetReadRate, DefaultFleetReadRate)
	o.MaxWatchers = cmp.Or(o.MaxWatchers, DefaultMaxWatchers)
	o.WatchWait = cmp.Or(o.WatchWait, DefaultWatchWait)
	o.WatchJitter = cmp.Or(o.WatchJitter, DefaultWatchJitter)
	o.PollInterval = cmp.Or(o.PollInterval, DefaultPollInterval)
	o.WatchRetryMin = cmp.Or(o.WatchRetryMin, DefaultWatchRetryMin)
	o.WatchRetryMax = cmp.Or(o.WatchRetryMax, DefaultWatchRetryMax)
	return o
}

// backoff returns the delay after the given number of consecutive failures.
func backoff(r *rand.Rand, failures int, shortest, longest time.Duration) time.Duration {
	delay := shortest
	for i := 1; i < failures && delay < longest; i++ {
		delay *= 2
	}
	delay = min(delay, longest)
	return delay/2 + jitter(r, delay/2)
}

// jitter returns a random duration below limit.
func jitter(r *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(r.Int64N(int64(limit)))
}
