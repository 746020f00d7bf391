package member

import (
	"cmp"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Defaults of Options.
const (
	DefaultPeers                = 5
	DefaultRemotePeers          = 1
	DefaultHeartbeatInterval    = time.Second
	DefaultAccuseAfter          = 5 * time.Second
	DefaultMinAccusationTimeout = 10 * time.Second
	DefaultMaxAccusationTimeout = 30 * time.Second
	DefaultConfirmations        = 3
	DefaultGoneAfter            = 60 * time.Second
	DefaultRegionTimeout        = 10 * time.Second
	DefaultRecoveryPeriod       = 10 * time.Second
	DefaultUpdatesPerInterval   = 54
	DefaultRetransmitFactor     = 3
)

// Options configures a State. A zero field selects the default constant.
type Options struct {
	// Self is the process that runs the state machine.
	Self wire.Process
	// Region is the region of Self.
	Region string
	// Peers is the number of members that each member chooses to exchange
	// heartbeats with. It also exchanges them with those that chose it, on
	// average as many again.
	Peers int
	// RemotePeers is how many of Peers are in another region, or in another
	// data centre if there is only one region.
	RemotePeers int
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval time.Duration
	// AccuseAfter is the time without a heartbeat of a peer after which the
	// peer is accused.
	AccuseAfter time.Duration
	// MinAccusationTimeout and MaxAccusationTimeout bound the time after which
	// an accused member becomes suspect unless it is shown to be alive:
	// MaxAccusationTimeout with one accuser, MinAccusationTimeout with
	// Confirmations accusers or more. MinAccusationTimeout must leave time for
	// gossip to reach the member and come back.
	MinAccusationTimeout time.Duration
	MaxAccusationTimeout time.Duration
	// Confirmations is the number of accusers that reduces the timeout to
	// MinAccusationTimeout.
	Confirmations int
	// GoneAfter is the time for which a member is suspect before it is gone.
	GoneAfter time.Duration
	// RegionTimeout is the time without contact after which all members of another
	// region are suspect. A contact of any process outside that region counts.
	RegionTimeout time.Duration
	// RecoveryPeriod is how long a process that was paused or isolated must
	// receive heartbeats from enough of its peers before it accuses again.
	RecoveryPeriod time.Duration
	// UpdatesPerInterval is the number of member updates that are sent in one
	// HeartbeatInterval, divided among the heartbeats of that time.
	UpdatesPerInterval int
	// RetransmitFactor times the binary logarithm of the number of members is
	// how often one update is sent.
	RetransmitFactor int
}

// minUpdatesPerHeartbeat is the least number of updates that fit one heartbeat.
const minUpdatesPerHeartbeat = 3

func (o Options) withDefaults() Options {
	o.Peers = cmp.Or(o.Peers, DefaultPeers)
	o.RemotePeers = cmp.Or(o.RemotePeers, DefaultRemotePeers)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, DefaultHeartbeatInterval)
	o.AccuseAfter = cmp.Or(o.AccuseAfter, DefaultAccuseAfter)
	o.MinAccusationTimeout = cmp.Or(o.MinAccusationTimeout, DefaultMinAccusationTimeout)
	o.MaxAccusationTimeout = cmp.Or(o.MaxAccusationTimeout, DefaultMaxAccusationTimeout)
	o.Confirmations = cmp.Or(o.Confirmations, DefaultConfirmations)
	o.GoneAfter = cmp.Or(o.GoneAfter, DefaultGoneAfter)
	o.RegionTimeout = cmp.Or(o.RegionTimeout, DefaultRegionTimeout)
	o.RecoveryPeriod = cmp.Or(o.RecoveryPeriod, DefaultRecoveryPeriod)
	o.UpdatesPerInterval = cmp.Or(o.UpdatesPerInterval, DefaultUpdatesPerInterval)
	o.RetransmitFactor = cmp.Or(o.RetransmitFactor, DefaultRetransmitFactor)
	return o
}
