package target

import (
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// warmHolder returns a machine with permit 0 of 1 that believes its target to
// be warm, and has learned a service time of 10 ms.
func warmHolder(now time.Time) *Machine {
	m := New(Options{Self: "a", Name: leaf, Contract: Contract{Slots: 1, ColdSlots: 1, WarmAfter: 1}})
	m.SetAdminState(now, true, "")
	m.SetPermits(now, Permits{Held: 1, HoldsZero: true, Peers: []string{"b"}})
	for range 60 {
		m.one(now, Outcome{BootID: "1", ServiceTime: 10 * time.Millisecond})
	}
	return m
}

func (m *Machine) one(now time.Time, o Outcome) []Action {
	o.Epoch = m.Start(now)
	return m.Done(now, o)
}

func TestSignsOfColdness(t *testing.T) {
	now := time.Unix(1e9, 0)
	later := now.Add(time.Minute)
	slow := Outcome{BootID: "1", ServiceTime: 200 * time.Millisecond}
	for _, tt := range []struct {
		name  string
		event func(m *Machine) []Action
		want  wire.TargetState
	}{
		{"one straggler", func(m *Machine) []Action { return m.one(now, slow) }, wire.TargetWarm},
		{"latency jump", func(m *Machine) (out []Action) {
			for range DefaultLatencyJumpCount {
				out = m.one(now, slow)
			}
			return out
		}, wire.TargetCold},
		{"new boot", func(m *Machine) []Action { return m.one(now, Outcome{BootID: "2"}) }, wire.TargetCold},
		{"refused", func(m *Machine) []Action { return m.one(now, Outcome{Kind: ConnRefused}) }, wire.TargetOutOfService},
		{"reset", func(m *Machine) []Action { return m.one(now, Outcome{Kind: ConnReset}) }, wire.TargetCold},
		{"shed", func(m *Machine) []Action { return m.one(now, Outcome{Kind: Shed, BootID: "1"}) }, wire.TargetCold},
		{"canceled", func(m *Machine) []Action { return m.one(now, Outcome{Kind: Canceled}) }, wire.TargetWarm},
		{"draining", func(m *Machine) []Action { return m.one(now, Outcome{BootID: "1", Draining: true}) }, wire.TargetOutOfService},
		{"silent connection", func(m *Machine) []Action {
			m.one(now, Outcome{Kind: Timeout})
			return m.ProbeDone(now, true, "1", true)
		}, wire.TargetWarm},
		{"silent target", func(m *Machine) []Action {
			m.one(now, Outcome{Kind: Timeout})
			return m.ProbeDone(now, false, "", false)
		}, wire.TargetOutOfService},
		{"lagging health", func(m *Machine) []Action { return m.ProbeDone(now, true, "1", false) }, wire.TargetWarm},
		{"health of an idle target", func(m *Machine) []Action { return m.ProbeDone(later, true, "1", false) }, wire.TargetCold},
		{"another's sign", func(m *Machine) []Action {
			return m.Receive(now, "b", wire.TargetNotification{Seq: 1, Evidence: []wire.TargetEvidence{{Origin: "b", Seq: 1, BootID: "1"}}})
		}, wire.TargetCold},
		{"another's sign of a past boot", func(m *Machine) []Action {
			m.pastBoots = []string{"0"}
			return m.Receive(now, "b", wire.TargetNotification{Seq: 1, Evidence: []wire.TargetEvidence{{Origin: "b", Seq: 1, BootID: "0"}}})
		}, wire.TargetWarm},
	} {
		m := warmHolder(now)
		actions := tt.event(m)
		if m.State() != tt.want {
			t.Errorf("%s: state %v (%s), want %v", tt.name, m.State(), m.Reason(), tt.want)
		}
		if told := len(actions) > 0; told != (tt.want != wire.TargetWarm) {
			t.Errorf("%s: actions %v", tt.name, actions)
		}
	}
}

func TestHealthNeverWarmsAndTimeoutAsksForOneProbe(t *testing.T) {
	now := time.Unix(1e9, 0)
	m := warmHolder(now)
	if first, second := m.one(now, Outcome{Kind: Timeout}), m.one(now, Outcome{Kind: Timeout}); len(first) != 1 || len(second) != 0 {
		t.Errorf("probes asked for: %v, %v", first, second)
	}
	m.one(now, Outcome{Kind: ConnRefused})
	m.ProbeDone(now, true, "1", true)
	if m.State() != wire.TargetCold || m.Limit() != m.contract.ColdSlots {
		t.Errorf("state %v, limit %d after a claim to be warm", m.State(), m.Limit())
	}
}

func TestLostTargetIsProbedUntilItAnswers(t *testing.T) {
	now := time.Unix(1e9, 0)
	m := warmHolder(now)
	m.one(now, Outcome{Kind: ConnRefused})
	wait := DefaultMinProbeInterval
	for range 4 {
		if m.State() != wire.TargetOutOfService || m.Limit() != 0 {
			t.Fatalf("state %v, limit %d of a lost target", m.State(), m.Limit())
		}
		if early := m.Tick(now.Add(wait - 1)); len(early) != 0 {
			t.Fatalf("actions %v before the probe is due", early)
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
		t.Fatalf("state %v, limit %d after an answer, want cold", m.State(), m.Limit())
	}
}
