package target

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Machine is one relay's state machine of one target. The caller serialises
// all calls. Each event returns the actions that it causes.
type Machine struct {
	opts     Options
	contract Contract
	permits  Permits
	inflight int

	admin    bool   // the operators' settings allow use
	adminWhy string // why not

	warm   bool
	signed bool   // cold by a sign, not for want of knowledge
	proved bool   // a request that was sent since the turn to cold was completed
	why    string // reason for the state
	epoch  Epoch  // grows with each turn to cold
	ramp   int    // the permit-0 holder's allowance while cold
	done   int    // completed requests since the last step of the ramp

	lost    bool // nothing listens, or it drains: probed at growing intervals
	tryAt   time.Time
	tryWait time.Duration

	boot      string
	pastBoots []string

	seq     uint64                // of the last notice sent
	coldSeq uint64                // a grant has to acknowledge it
	signs   []wire.TargetEvidence // known since the target was last warm
	heard   map[string]uint64     // highest notice Seq by sender
	seen    map[string]uint64     // highest sign Seq by origin
	askAt   time.Time

	probing   bool
	lastOK    time.Time
	unheld    time.Time // when the last permit was given up
	abandoned time.Time // the last timeout
	latency   latency
}

// New returns a machine that knows nothing of the target: cold, not held, and
// taken out until SetAdmin allows its use.
func New(opts Options) *Machine {
	opts = opts.withDefaults()
	return &Machine{
		opts:     opts,
		contract: opts.Contract,
		ramp:     opts.Contract.ColdSlots,
		epoch:    1,
		adminWhy: "not yet in service",
		why:      "not yet proved warm",
		heard:    map[string]uint64{},
		seen:     map[string]uint64{},
	}
}

// SetContract puts a contract in force.
func (m *Machine) SetContract(now time.Time, c Contract) []Action {
	m.contract = c
	m.ramp = min(max(m.ramp, c.ColdSlots), max(c.Slots, c.ColdSlots))
	return m.settle(now)
}

// SetAdminState says whether the operators allow use, and if not, why. A warm
// target that returns to service is cold.
func (m *Machine) SetAdminState(now time.Time, in bool, why string) []Action {
	returned := in && !m.admin
	m.admin = in
	m.adminWhy = why
	if !returned {
		return nil
	}
	if m.warm {
		m.becomeCold("back in service")
		m.coldSeq = m.nextSeq(now)
	}
	return m.ask(now)
}

// SetPermits says what this relay may use.
func (m *Machine) SetPermits(now time.Time, p Permits) []Action {
	before := m.permits
	m.permits = p
	resumed := before.Held == 0 && p.Held > 0
	if before.Held > 0 && p.Held == 0 {
		m.unheld = now
	}
	if resumed && !p.HoldsZero && m.warm {
		m.renounce(now, "waits for a grant after a suspension")
	}
	gainedZero := p.HoldsZero && !before.HoldsZero
	if gainedZero && !m.warm {
		m.restartRamp()
	}
	if resumed || gainedZero {
		return append(m.ask(now), m.settle(now)...)
	}
	return m.settle(now)
}

// AdoptWarm takes over the former holder's proof that the target is warm in this boot.
func (m *Machine) AdoptWarm(now time.Time, boot string) []Action {
	if m.warm || m.signed || slices.Contains(m.pastBoots, boot) {
		return nil
	}
	if m.boot != "" && m.boot != boot {
		return nil
	}
	return m.turnWarm(now, boot, "taken over as warm")
}

// Limit returns the number of requests that this relay may run at once now.
func (m *Machine) Limit() int {
	switch {
	case !m.admin || m.permits.Held == 0:
		return 0
	case m.warm:
		return m.permits.Held
	case !m.permits.HoldsZero || m.permits.WarmOnly:
		return 0
	case m.lost:
		return 0
	case m.ramp >= m.contract.Slots:
		return m.permits.Held
	default:
		return m.ramp
	}
}

// Inflight returns the number of requests in progress.
func (m *Machine) Inflight() int { return m.inflight }

// State returns the target's state for the gateways.
func (m *Machine) State() wire.TargetState {
	switch {
	case !m.admin:
		return wire.TargetOutOfService
	case m.warm:
		return wire.TargetWarm
	case m.lost:
		return wire.TargetOutOfService
	default:
		return wire.TargetCold
	}
}

// Reason returns the reason for the state, for logs and dumps.
func (m *Machine) Reason() string {
	if !m.admin {
		return m.adminWhy
	}
	return m.why
}

// WarmBoot returns the boot in which the target is proved warm, for a hand-over.
// The proof ends some time after the last permit was given up.
func (m *Machine) WarmBoot(now time.Time) (boot string, ok bool) {
	current := m.permits.Held > 0 || now.Sub(m.unheld) < proofTrust
	return m.boot, m.warm && current
}

// Start tells that a request is about to be written.
func (m *Machine) Start(time.Time) Epoch {
	m.inflight++
	return m.epoch
}

// Done tells how a request ended.
func (m *Machine) Done(now time.Time, o Outcome) []Action {
	m.inflight--
	if o.Epoch != m.epoch && slices.Contains(m.pastBoots, o.BootID) {
		return m.settle(now)
	}
	out := m.seeBoot(now, o.BootID)
	switch {
	case o.Draining:
		out = append(out, m.lose(now, "draining")...)
	case o.Kind == OK:
		out = append(out, m.completed(now, o)...)
	case o.Kind == Shed:
		out = append(out, m.shed(now, o)...)
	case o.Kind == ConnRefused:
		out = append(out, m.lose(now, "connection refused")...)
	case o.Kind == ConnReset && m.news(o):
		out = append(out, m.turnCold(now, "connection reset", false)...)
	case o.Kind == Timeout:
		m.abandoned = now
		out = append(out, m.probe()...)
	}
	return append(out, m.settle(now)...)
}

// completed counts a full answer: for the ramp only if it was sent since the
// target turned cold.
func (m *Machine) completed(now time.Time, o Outcome) []Action {
	m.lastOK = now
	if m.latency.jumped(o.ServiceTime, m.opts.LatencyJumpFactor, m.opts.LatencyJumpCount) && m.warm {
		return m.turnCold(now, "latency jump", false)
	}
	if m.warm || o.Epoch != m.epoch {
		return nil
	}
	m.lost = false
	m.proved = true
	m.done++
	if m.done < m.contract.WarmAfter {
		return nil
	}
	m.done = 0
	m.ramp = min(m.ramp+1, max(m.contract.Slots, m.contract.ColdSlots))
	return nil
}

// news reports whether the failure of a request tells more than what turned
// the target cold after the request was sent.
func (m *Machine) news(o Outcome) bool { return o.Epoch == m.epoch || !m.signed }

// shed takes shedding for a sign of coldness, since the permits in use by all
// relays fit into the contract. A request that was given up on explains it.
func (m *Machine) shed(now time.Time, o Outcome) []Action {
	if !m.news(o) {
		return nil
	}
	if !m.abandoned.IsZero() && now.Sub(m.abandoned) < abandonGrace {
		return nil
	}
	return m.turnCold(now, "sudden shedding", false)
}

// seeBoot takes note of the boot that the target shows now.
func (m *Machine) seeBoot(now time.Time, boot string) []Action {
	if boot == "" || boot == m.boot {
		return nil
	}
	known := m.boot != ""
	m.setBoot(boot)
	if !known {
		return nil
	}
	return m.turnCold(now, "new boot", true)
}

func (m *Machine) setBoot(boot string) {
	if boot == "" || boot == m.boot {
		return
	}
	m.pastBoots = slices.DeleteFunc(m.pastBoots, func(past string) bool { return past == boot })
	if m.boot != "" {
		m.pastBoots = append(m.pastBoots, m.boot)
	}
	if len(m.pastBoots) > maxPastBoots {
		m.pastBoots = m.pastBoots[1:]
	}
	m.boot = boot
}

// ProbeDone tells the result of a health request on a new connection. A claim to be
// warm counts for nothing.
func (m *Machine) ProbeDone(now time.Time, ok bool, boot string, claimsWarm bool) []Action {
	m.probing = false
	if !ok {
		if m.lost {
			m.delayTry(now)
		}
		return append(m.lose(now, "probe failed"), m.settle(now)...)
	}
	out := m.seeBoot(now, boot)
	if m.lost {
		m.lost = false
		m.why = "answers again, not yet proved warm"
	}
	if !claimsWarm && m.warm && now.Sub(m.lastOK) > claimTrust {
		out = append(out, m.turnCold(now, "claims to be cold", false)...)
	}
	return append(out, m.settle(now)...)
}

func (m *Machine) probe() []Action {
	if m.probing {
		return nil
	}
	m.probing = true
	return []Action{ProbeNow{Target: m.opts.Name}}
}

// Tick lets time take effect. Call it at NextTick at the latest.
func (m *Machine) Tick(now time.Time) []Action {
	if m.mayTry() && !m.tryAt.After(now) {
		return append(m.probe(), m.settle(now)...)
	}
	if m.wantsGrant() && !m.askAt.After(now) {
		return append(m.ask(now), m.settle(now)...)
	}
	return m.settle(now)
}

// mayTry reports whether this relay looks when a lost target answers again.
func (m *Machine) mayTry() bool {
	return m.lost && m.admin && m.permits.HoldsZero && !m.probing
}

// NextTick returns when Tick is due at the latest, or the zero time.
func (m *Machine) NextTick() time.Time {
	var next time.Time
	if m.mayTry() {
		next = m.tryAt
	}
	if m.wantsGrant() && (next.IsZero() || m.askAt.Before(next)) {
		next = m.askAt
	}
	return next
}
