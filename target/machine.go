package target

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Machine is one relay's state machine for one target. Each event method
// returns the actions that the event causes. A Machine is not safe for
// concurrent use.
type Machine struct {
	opts     Options
	contract Contract
	permits  Permits
	inflight int

	enabled        bool   // the operators allow use
	disabledReason string // why they do not

	warm               bool
	coldByEvidence     bool   // false if the target is cold only because nothing is known of it
	completedSinceCold bool   // a request started since the last turn to cold was completed
	reason             string // of the current state
	epoch              Epoch  // incremented with each turn to cold
	rampLimit          int    // concurrent requests of the holder of permit 0 while cold
	rampCompleted      int    // requests completed since the last step of the ramp

	unavailable   bool // nothing listens, or the target is draining: probed at growing intervals
	probeAt       time.Time
	probeInterval time.Duration

	bootID      string
	pastBootIDs []string

	seq            uint64                // of the last notification sent
	requiredAck    uint64                // the lowest Ack of a valid grant
	evidence       []wire.TargetEvidence // collected since the target was last warm
	receivedSeq    map[string]uint64     // highest notification Seq by sender
	evidenceSeq    map[string]uint64     // highest evidence Seq by origin
	grantRequestAt time.Time

	probing           bool
	lastCompletion    time.Time
	permitsReleasedAt time.Time // when the last permit was given up
	lastTimeout       time.Time
	latency           latencyDetector
}

// New returns a machine that knows nothing of the target: it is cold, no
// permits are held, and its use is disabled until SetAdminState enables it.
func New(opts Options) *Machine {
	opts = opts.withDefaults()
	return &Machine{
		opts:           opts,
		contract:       opts.Contract,
		rampLimit:      opts.Contract.ColdSlots,
		epoch:          1,
		disabledReason: "not yet in service",
		reason:         "not yet proved warm",
		receivedSeq:    map[string]uint64{},
		evidenceSeq:    map[string]uint64{},
	}
}

// SetContract replaces the contract.
func (m *Machine) SetContract(now time.Time, c Contract) []Action {
	m.contract = c
	m.rampLimit = min(max(m.rampLimit, c.ColdSlots), max(c.Slots, c.ColdSlots))
	return m.finishRamp(now)
}

// SetAdminState records whether the operators allow use of the target, and the
// reason if they do not. A warm target that returns to service becomes cold.
func (m *Machine) SetAdminState(now time.Time, enabled bool, reason string) []Action {
	returned := enabled && !m.enabled
	m.enabled = enabled
	m.disabledReason = reason
	if !returned {
		return nil
	}
	if m.warm {
		m.becomeCold("back in service")
		m.requiredAck = m.nextSeq(now)
	}
	return m.requestGrant(now)
}

// SetPermits records the permits that this relay may use.
func (m *Machine) SetPermits(now time.Time, p Permits) []Action {
	before := m.permits
	m.permits = p
	resumed := before.Held == 0 && p.Held > 0
	if before.Held > 0 && p.Held == 0 {
		m.permitsReleasedAt = now
	}
	if resumed && !p.HoldsZero && m.warm {
		m.dropWarm(now, "waits for a grant after a suspension")
	}
	gainedZero := p.HoldsZero && !before.HoldsZero
	if gainedZero && !m.warm {
		m.restartRamp()
	}
	if resumed || gainedZero {
		return append(m.requestGrant(now), m.finishRamp(now)...)
	}
	return m.finishRamp(now)
}

// AdoptWarm takes over a former holder's proof that the target is warm in the
// given boot.
func (m *Machine) AdoptWarm(now time.Time, bootID string) []Action {
	if m.warm || m.coldByEvidence || slices.Contains(m.pastBootIDs, bootID) {
		return nil
	}
	if m.bootID != "" && m.bootID != bootID {
		return nil
	}
	return m.turnWarm(now, bootID, "taken over as warm")
}

// Limit returns the number of requests that this relay may run concurrently.
func (m *Machine) Limit() int {
	switch {
	case !m.enabled || m.permits.Held == 0:
		return 0
	case m.warm:
		return m.permits.Held
	case !m.permits.HoldsZero || m.permits.WarmOnly:
		return 0
	case m.unavailable:
		return 0
	case m.rampLimit >= m.contract.Slots:
		return m.permits.Held
	default:
		return m.rampLimit
	}
}

// Inflight returns the number of requests in progress.
func (m *Machine) Inflight() int { return m.inflight }

// State returns the target's state as reported to the gateways.
func (m *Machine) State() wire.TargetState {
	switch {
	case !m.enabled:
		return wire.TargetOutOfService
	case m.warm:
		return wire.TargetWarm
	case m.unavailable:
		return wire.TargetOutOfService
	default:
		return wire.TargetCold
	}
}

// Reason returns the reason for the state, for logs and dumps.
func (m *Machine) Reason() string {
	if !m.enabled {
		return m.disabledReason
	}
	return m.reason
}

// WarmBoot returns the ID of the boot in which the target is proved warm, for a
// handover. The proof expires some time after the last permit was given up.
func (m *Machine) WarmBoot(now time.Time) (bootID string, ok bool) {
	current := m.permits.Held > 0 || now.Sub(m.permitsReleasedAt) < proofLifetime
	return m.bootID, m.warm && current
}

// Start records that a request is about to be written. The returned epoch
// belongs in the request's Outcome.
func (m *Machine) Start(time.Time) Epoch {
	m.inflight++
	return m.epoch
}

// Done records the outcome of a request.
func (m *Machine) Done(now time.Time, o Outcome) []Action {
	m.inflight--
	if o.Epoch != m.epoch && slices.Contains(m.pastBootIDs, o.BootID) {
		return m.finishRamp(now)
	}
	out := m.observeBootID(now, o.BootID)
	switch {
	case o.Draining:
		out = append(out, m.turnUnavailable(now, "draining")...)
	case o.Kind == OK:
		out = append(out, m.recordCompletion(now, o)...)
	case o.Kind == Shed:
		out = append(out, m.recordShed(now, o)...)
	case o.Kind == ConnRefused:
		out = append(out, m.turnUnavailable(now, "connection refused")...)
	case o.Kind == ConnReset && m.isNewFailure(o):
		out = append(out, m.turnCold(now, "connection reset", false)...)
	case o.Kind == Timeout:
		m.lastTimeout = now
		out = append(out, m.startProbe()...)
	}
	return append(out, m.finishRamp(now)...)
}

// recordCompletion records a complete response. It counts for the ramp only if
// its request was started since the target turned cold.
func (m *Machine) recordCompletion(now time.Time, o Outcome) []Action {
	m.lastCompletion = now
	if m.latency.observe(o.ServiceTime, m.opts.LatencyJumpFactor, m.opts.LatencyJumpCount) && m.warm {
		return m.turnCold(now, "latency jump", false)
	}
	if m.warm || o.Epoch != m.epoch {
		return nil
	}
	m.unavailable = false
	m.completedSinceCold = true
	m.rampCompleted++
	if m.rampCompleted < m.contract.WarmAfter {
		return nil
	}
	m.rampCompleted = 0
	m.rampLimit = min(m.rampLimit+1, max(m.contract.Slots, m.contract.ColdSlots))
	return nil
}

// isNewFailure reports whether the failure of a request is evidence in addition to
// that which turned the target cold after the request was started.
func (m *Machine) isNewFailure(o Outcome) bool { return o.Epoch == m.epoch || !m.coldByEvidence }

// recordShed takes shedding as evidence that the target turned cold, because
// the permits in use by all relays fit into the contract. A recent timeout
// explains it otherwise: its request may still occupy a slot.
func (m *Machine) recordShed(now time.Time, o Outcome) []Action {
	if !m.isNewFailure(o) {
		return nil
	}
	if !m.lastTimeout.IsZero() && now.Sub(m.lastTimeout) < timeoutGracePeriod {
		return nil
	}
	return m.turnCold(now, "sudden shedding", false)
}

// observeBootID turns the target cold if its boot ID has changed.
func (m *Machine) observeBootID(now time.Time, bootID string) []Action {
	if bootID == "" || bootID == m.bootID {
		return nil
	}
	known := m.bootID != ""
	m.setBootID(bootID)
	if !known {
		return nil
	}
	return m.turnCold(now, "new boot", true)
}

// BootID returns the ID of the target's present boot, as far as known.
func (m *Machine) BootID() string { return m.bootID }

func (m *Machine) setBootID(bootID string) {
	if bootID == "" || bootID == m.bootID {
		return
	}
	m.pastBootIDs = slices.DeleteFunc(m.pastBootIDs, func(past string) bool { return past == bootID })
	if m.bootID != "" {
		m.pastBootIDs = append(m.pastBootIDs, m.bootID)
	}
	if len(m.pastBootIDs) > maxPastBootIDs {
		m.pastBootIDs = m.pastBootIDs[1:]
	}
	m.bootID = bootID
}

// ProbeDone records the result of a health request on a new connection. A
// target that reports itself as warm is not taken to be warm.
func (m *Machine) ProbeDone(now time.Time, ok bool, bootID string, reportsWarm bool) []Action {
	m.probing = false
	if !ok {
		if m.unavailable {
			m.backOffProbe(now)
		}
		return append(m.turnUnavailable(now, "probe failed"), m.finishRamp(now)...)
	}
	out := m.observeBootID(now, bootID)
	if m.unavailable {
		m.unavailable = false
		m.reason = "answers again, not yet proved warm"
	}
	if !reportsWarm && m.warm && now.Sub(m.lastCompletion) > recentCompletion {
		out = append(out, m.turnCold(now, "claims to be cold", false)...)
	}
	return append(out, m.finishRamp(now)...)
}

// ProbeAborted records that a probe told nothing of the target: no target can be reached from
// here.
func (m *Machine) ProbeAborted(now time.Time) {
	m.probing = false
	if m.unavailable {
		m.backOffProbe(now)
	}
}

func (m *Machine) startProbe() []Action {
	if m.probing {
		return nil
	}
	m.probing = true
	return []Action{ProbeNow{Target: m.opts.Name}}
}

// Tick handles the passage of time. It must be called no later than NextTick.
func (m *Machine) Tick(now time.Time) []Action {
	if m.mayProbe() && !m.probeAt.After(now) {
		return append(m.startProbe(), m.finishRamp(now)...)
	}
	if m.needsGrant() && !m.grantRequestAt.After(now) {
		return append(m.requestGrant(now), m.finishRamp(now)...)
	}
	return m.finishRamp(now)
}

// mayProbe reports whether this relay is the one that probes an unavailable
// target, and no probe is in progress.
func (m *Machine) mayProbe() bool {
	return m.unavailable && m.enabled && m.permits.HoldsZero && !m.probing
}

// NextTick returns the latest time for the next Tick, or the zero time if none
// is needed.
func (m *Machine) NextTick() time.Time {
	var next time.Time
	if m.mayProbe() {
		next = m.probeAt
	}
	if m.needsGrant() && (next.IsZero() || m.grantRequestAt.Before(next)) {
		next = m.grantRequestAt
	}
	return next
}
