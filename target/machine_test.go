package target

import (
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// warmHolder returns the machine of the holder of permit 0 of 1, whose target
// is warm with an estimated service time of 10 ms.
func warmHolder(now time.Time) *Machine {
	m := New(Options{Self: "a", Name: targetName, Contract: Contract{Slots: 1, ColdSlots: 1, WarmAfter: 1}})
	m.SetAdminState(now, true, "")
	m.SetPermits(now, Permits{Held: 1, HoldsZero: true, Peers: []string{"b"}})
	for range 60 {
		m.runOne(now, Outcome{BootID: "1", ServiceTime: 10 * time.Millisecond})
	}
	return m
}

// runOne starts a request that ends with the given outcome.
func (m *Machine) runOne(now time.Time, o Outcome) []Action {
	o.Epoch = m.Start(now)
	return m.Done(now, o)
}

func TestEvidenceOfColdTarget(t *testing.T) {
	now := time.Unix(1e9, 0)
	later := now.Add(time.Minute)
	slow := Outcome{BootID: "1", ServiceTime: 200 * time.Millisecond}
	for _, tt := range []struct {
		name  string
		event func(m *Machine) []Action
		want  wire.TargetState
	}{
		{"one slow response", func(m *Machine) []Action { return m.runOne(now, slow) }, wire.TargetWarm},
		{"latency jump", func(m *Machine) (out []Action) {
			for range DefaultLatencyJumpCount {
				out = m.runOne(now, slow)
			}
			return out
		}, wire.TargetCold},
		{"new boot", func(m *Machine) []Action { return m.runOne(now, Outcome{BootID: "2"}) }, wire.TargetCold},
		{"connection refused", func(m *Machine) []Action { return m.runOne(now, Outcome{Kind: ConnRefused}) }, wire.TargetOutOfService},
		{"connection reset", func(m *Machine) []Action { return m.runOne(now, Outcome{Kind: ConnReset}) }, wire.TargetCold},
		{"shed", func(m *Machine) []Action { return m.runOne(now, Outcome{Kind: Shed, BootID: "1"}) }, wire.TargetCold},
		{"canceled", func(m *Machine) []Action { return m.runOne(now, Outcome{Kind: Canceled}) }, wire.TargetWarm},
		{"draining", func(m *Machine) []Action { return m.runOne(now, Outcome{BootID: "1", Draining: true}) }, wire.TargetOutOfService},
		{"silent connection", func(m *Machine) []Action {
			m.runOne(now, Outcome{Kind: Timeout})
			return m.ProbeDone(now, true, "1", true)
		}, wire.TargetWarm},
		{"silent target", func(m *Machine) []Action {
			m.runOne(now, Outcome{Kind: Timeout})
			return m.ProbeDone(now, false, "", false)
		}, wire.TargetOutOfService},
		{"health lags behind a completed request", func(m *Machine) []Action { return m.ProbeDone(now, true, "1", false) }, wire.TargetWarm},
		{"health of an idle target", func(m *Machine) []Action { return m.ProbeDone(later, true, "1", false) }, wire.TargetCold},
		{"evidence of another holder", func(m *Machine) []Action {
			return m.Receive(now, "b", wire.TargetNotification{Seq: 1, Evidence: []wire.TargetEvidence{{Origin: "b", Seq: 1, BootID: "1"}}})
		}, wire.TargetCold},
		{"evidence of another holder about a past boot", func(m *Machine) []Action {
			m.pastBootIDs = []string{"0"}
			return m.Receive(now, "b", wire.TargetNotification{Seq: 1, Evidence: []wire.TargetEvidence{{Origin: "b", Seq: 1, BootID: "0"}}})
		}, wire.TargetWarm},
	} {
		m := warmHolder(now)
		actions := tt.event(m)
		if m.State() != tt.want {
			t.Errorf("%s: state %v (%s), want %v", tt.name, m.State(), m.Reason(), tt.want)
		}
		if notified := len(actions) > 0; notified != (tt.want != wire.TargetWarm) {
			t.Errorf("%s: actions %v, want some only if the state changes", tt.name, actions)
		}
	}
}

func TestHealthNeverWarmsAndTimeoutRequestsOneProbe(t *testing.T) {
	now := time.Unix(1e9, 0)
	m := warmHolder(now)
	if first, second := m.runOne(now, Outcome{Kind: Timeout}), m.runOne(now, Outcome{Kind: Timeout}); len(first) != 1 || len(second) != 0 {
		t.Errorf("actions after two timeouts: %v and %v, want one probe after the first", first, second)
	}
	m.runOne(now, Outcome{Kind: ConnRefused})
	m.ProbeDone(now, true, "1", true)
	if m.State() != wire.TargetCold || m.Limit() != m.contract.ColdSlots {
		t.Errorf("state %v, limit %d after the target reported itself as warm, want cold and its limit", m.State(), m.Limit())
	}
}

func TestUnavailableTargetIsProbedUntilItResponds(t *testing.T) {
	now := time.Unix(1e9, 0)
	m := warmHolder(now)
	m.runOne(now, Outcome{Kind: ConnRefused})
	wait := DefaultMinProbeInterval
	for range 4 {
		if m.State() != wire.TargetOutOfService || m.Limit() != 0 {
			t.Fatalf("state %v, limit %d of an unavailable target, want out of service, 0", m.State(), m.Limit())
		}
		if early := m.Tick(now.Add(wait - 1)); len(early) != 0 {
			t.Fatalf("actions %v before the probe is due, want none", early)
		}
		now = m.NextTick()
		if due := m.Tick(now); len(due) != 1 || due[0] != (ProbeNow{Target: m.opts.Name}) {
			t.Fatalf("actions %v, want a probe", due)
		}
		m.ProbeDone(now, false, "", false)
		wait *= 2
	}
	m.Tick(m.NextTick())
	m.ProbeDone(now, true, "2", false)
	if m.State() != wire.TargetCold || m.Limit() != m.contract.ColdSlots {
		t.Fatalf("state %v, limit %d after a response, want cold and the limit of a cold target", m.State(), m.Limit())
	}
}
