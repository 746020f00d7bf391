// Package target decides how many requests one relay may run at one target.
//
// A target is cold until it is proved warm. While it is cold only the relay
// that holds permit 0 of its group uses it, within an allowance that grows with
// completed work. When the ramp has reached the contract's slots, that relay
// grants the other holders the use of their permits. Any holder that sees a
// sign of coldness stops and tells the others. See docs/design/cold-start.md.
//
// The package is pure: no goroutine, socket or clock. The caller serialises
// all calls on a Machine.
package target

import (
	"cmp"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Defaults of Options.
const (
	DefaultMinProbeInterval     = 250 * time.Millisecond
	DefaultMaxProbeInterval     = 5 * time.Second
	DefaultGrantRequestInterval = 1 * time.Second
	DefaultLatencyJumpFactor    = 5
	DefaultLatencyJumpCount     = 8
)

// claimTrust is how long a completed request outweighs a health endpoint that
// claims to be cold.
const claimTrust = 1 * time.Second

// abandonGrace is how long a request that timed out may still take a slot at
// the target, so that shedding is no sign of coldness.
const abandonGrace = 1 * time.Second

// proofTrust is how long a relay without permits still vouches for a target
// that was warm when it gave up the last one.
const proofTrust = 5 * time.Second

// maxPastBoots is the number of former boots that a machine remembers.
const maxPastBoots = 4

// Contract is what the target bears.
type Contract struct {
	// Slots is the number of concurrent requests while warm.
	Slots int
	// ColdSlots is the number of concurrent requests while cold.
	ColdSlots int
	// WarmAfter is the number of completed requests after which a cold target
	// is allowed one more concurrent request.
	WarmAfter int
}

// Options configures a Machine. Zero values mean the Default constants.
type Options struct {
	// Self is the process name of this relay.
	Self string
	// Name is the target's name.
	Name     string
	Contract Contract
	// MinProbeInterval and MaxProbeInterval bound the interval between single requests that try
	// a lost target. It doubles with each failure.
	MinProbeInterval, MaxProbeInterval time.Duration
	// GrantRequestInterval is how often a holder of a cold target asks for a grant.
	GrantRequestInterval time.Duration
	// LatencyJumpFactor and LatencyJumpCount define the latency sign: LatencyJumpCount answers in a
	// row that took LatencyJumpFactor times the learned median.
	LatencyJumpFactor, LatencyJumpCount int
}

func (o Options) withDefaults() Options {
	o.MinProbeInterval = cmp.Or(o.MinProbeInterval, DefaultMinProbeInterval)
	o.MaxProbeInterval = cmp.Or(o.MaxProbeInterval, DefaultMaxProbeInterval)
	o.GrantRequestInterval = cmp.Or(o.GrantRequestInterval, DefaultGrantRequestInterval)
	o.LatencyJumpFactor = cmp.Or(o.LatencyJumpFactor, DefaultLatencyJumpFactor)
	o.LatencyJumpCount = cmp.Or(o.LatencyJumpCount, DefaultLatencyJumpCount)
	return o
}

// Permits is what this relay may use of the target's permits.
type Permits struct {
	// Held is the number of permits that are usable, permit 0 included.
	Held int
	// HoldsZero is true if permit 0 is among them.
	HoldsZero bool
	// WarmOnly forbids use while the target is cold: see permit.ModeWarmOnly.
	WarmOnly bool
	// Peers names the other relays that own permits of the target.
	Peers []string
}

// Kind is how a request to the target ended.
type Kind uint8

// Kinds of outcomes.
const (
	OK          Kind = iota // a full answer
	Shed                    // refused by the target as not run
	ConnRefused             // the connection was refused
	ConnReset               // the connection broke
	Timeout                 // no answer in time
	Canceled                // withdrawn, and confirmed by the target
	VersionMiss             // the index version isn't served
)

// Epoch ties an Outcome to the state in which its request was sent.
type Epoch uint64

// Outcome is the end of one request.
type Outcome struct {
	Kind Kind
	// Epoch is what Sent returned for the request.
	Epoch Epoch
	// BootID is the target's boot id, or empty if there was no answer.
	BootID string
	// ServiceTime is the time that the target took.
	ServiceTime time.Duration
	// Draining is true if the answer said that the target drains.
	Draining bool
}

// Action is something that the caller of a Machine has to do: Notify or ProbeNow.
type Action interface{ action() }

// Notify sends a notice to a relay.
type Notify struct {
	To           string
	Notification wire.TargetNotification
}

// ProbeNow asks for the target's health on a new connection, to be told by
// Machine.Probe.
type ProbeNow struct{ Target string }

func (Notify) action()   {}
func (ProbeNow) action() {}
