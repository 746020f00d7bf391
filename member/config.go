package member

import (
	"cmp"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Defaults of Options.
const (
	DefaultPeers         = 5
	DefaultFarPeers      = 1
	DefaultInterval      = time.Second
	DefaultSuspectAfter  = 5 * time.Second
	DefaultMinWindow     = 10 * time.Second
	DefaultMaxWindow     = 30 * time.Second
	DefaultConfirmations = 3
	DefaultGoneAfter     = 60 * time.Second
	DefaultRegionSilence = 10 * time.Second
	DefaultQuiet         = 10 * time.Second
	DefaultUpdates       = 54
	DefaultSpread        = 3
)

// Options configures a State. A zero field means the default constant.
type Options struct {
	// Self is the process that runs the state machine.
	Self wire.Process
	// Region is the region of Self.
	Region string
	// Peers is the number of members that each member chooses to exchange
	// heartbeats with. It also exchanges them with those that chose it, on
	// average as many again.
	Peers int
	// FarPeers is how many of Peers stand in another region, or in another
	// data centre if there is one region only.
	FarPeers int
	// Interval is the time between two heartbeats to the same peer.
	Interval time.Duration
	// SuspectAfter is the silence of a peer after which it is accused.
	SuspectAfter time.Duration
	// MinWindow and MaxWindow bound the time that an accused member has to
	// show a sign of life before it becomes suspect: MaxWindow with one
	// accuser, MinWindow with Confirmations accusers or more. MinWindow must
	// leave time for gossip to travel to the member and back.
	MinWindow time.Duration
	MaxWindow time.Duration
	// Confirmations is the number of accusers that shortens the window fully.
	Confirmations int
	// GoneAfter is the time that a member stays suspect before it counts as gone.
	GoneAfter time.Duration
	// RegionSilence is the time without a contact between anyone here and
	// anyone in another region after which all members there are suspect.
	RegionSilence time.Duration
	// Quiet is how long a process that was paused or cut off must hear enough
	// of its peers before it accuses again.
	Quiet time.Duration
	// Updates is the number of member updates that are sent in one Interval,
	// shared by the heartbeats of that time.
	Updates int
	// Spread times the binary logarithm of the number of members is how often
	// one update is sent.
	Spread int
}

// minUpdates is the least number of updates in one heartbeat.
const minUpdates = 3

func (o Options) withDefaults() Options {
	o.Peers = cmp.Or(o.Peers, DefaultPeers)
	o.FarPeers = cmp.Or(o.FarPeers, DefaultFarPeers)
	o.Interval = cmp.Or(o.Interval, DefaultInterval)
	o.SuspectAfter = cmp.Or(o.SuspectAfter, DefaultSuspectAfter)
	o.MinWindow = cmp.Or(o.MinWindow, DefaultMinWindow)
	o.MaxWindow = cmp.Or(o.MaxWindow, DefaultMaxWindow)
	o.Confirmations = cmp.Or(o.Confirmations, DefaultConfirmations)
	o.GoneAfter = cmp.Or(o.GoneAfter, DefaultGoneAfter)
	o.RegionSilence = cmp.Or(o.RegionSilence, DefaultRegionSilence)
	o.Quiet = cmp.Or(o.Quiet, DefaultQuiet)
	o.Updates = cmp.Or(o.Updates, DefaultUpdates)
	o.Spread = cmp.Or(o.Spread, DefaultSpread)
	return o
}
