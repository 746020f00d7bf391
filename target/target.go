// Package target decides how many requests one relay may run at one target.
//
// A target is cold until it is proved warm. While it is cold, only the relay
// that holds permit 0 of its group sends requests to it, within a limit that
// grows with the number of completed requests (the ramp). When the ramp has
// reached the contract's slots, that relay grants the other holders the use of
// their permits. A holder that sees evidence that the target has turned cold
// stops using its permits above 0 and notifies the other holders. See
// docs/design/cold-start.md.
//
// The package uses no goroutines, sockets or clocks.
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

// recentCompletion is how long a completed request outweighs a health endpoint
// that reports the target as cold.
const recentCompletion = 1 * time.Second

// timeoutGracePeriod is how long a request that timed out may still occupy a
// slot at the target. During that time shedding is no evidence of a cold target.
const timeoutGracePeriod = 1 * time.Second

// proofLifetime is how long after giving up its last permit a relay still
// passes on its proof that the target is warm.
const proofLifetime = 5 * time.Second

// maxPastBootIDs is the number of former boot IDs that a machine remembers.
const maxPastBootIDs = 4

// Contract limits the requests to a target.
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
	// MinProbeInterval and MaxProbeInterval bound the interval between probes
	// of an unavailable target. It doubles with each failure.
	MinProbeInterval, MaxProbeInterval time.Duration
	// GrantRequestInterval is the interval at which a holder of permits of a
	// cold target requests a grant.
	GrantRequestInterval time.Duration
	// LatencyJumpFactor and LatencyJumpCount define a latency jump, which is
	// evidence of a cold target: LatencyJumpCount responses in a row that took
	// more than LatencyJumpFactor times the estimated median.
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

// Permits describes the permits of the target that this relay may use.
type Permits struct {
	// Held is the number of usable permits, including permit 0.
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
	OK          Kind = iota // a complete response
	Shed                    // refused by the target as not run
	ConnRefused             // the connection was refused
	ConnReset               // the connection broke
	Timeout                 // no response in time
	Canceled                // canceled, and confirmed by the target
	VersionMiss             // the target does not serve the index version
)

// Epoch numbers the periods between two turns of the target to cold. It ties an
// Outcome to the period in which its request was started.
type Epoch uint64

// Outcome is the result of one request.
type Outcome struct {
	Kind Kind
	// Epoch is the value that Machine.Start returned for the request.
	Epoch Epoch
	// BootID is the target's boot ID, or empty if there was no response.
	BootID string
	// ServiceTime is the time that the target took.
	ServiceTime time.Duration
	// Draining is true if the response said that the target is draining.
	Draining bool
}

// Action is a step that the code driving a Machine must carry out: Notify or
// ProbeNow.
type Action interface{ action() }

// Notify sends a notification to another relay.
type Notify struct {
	To           string
	Notification wire.TargetNotification
}

// ProbeNow requests a health check of the target on a new connection. Its
// result is passed to Machine.ProbeDone.
type ProbeNow struct{ Target string }

func (Notify) action()   {}
func (ProbeNow) action() {}
