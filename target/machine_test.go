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
	m.SetAdmin(now, true, "")
	m.SetPermits(now, Permits{Held: 1, Zero: true, Peers: []string{"b"}})
	for range 60 {
		m.one(now, Outcome{Boot: "1", Service: 10 * time.Millisecond})
	}
	return m
}

func (m *Machine) one(now time.Time, o Outcome) []Action {
	o.Ticket = m.Sent(now)
	return m.Done(now, o)
}

func TestSignsOfColdness(t *testing.T) {
	now := time.Unix(1e9, 0)
	later := now.Add(time.Minute)
	slow := Outcome{Boot: "1", Service: 200 * time.Millisecond}
	for _, tt := range []struct {
		name  string
		event func(m *Machine) []Action
		want  wire.TargetState
	}{
		{"one straggler", func(m *Machine) []Action { return m.one(now, slow) }, wire.TargetWarm},
		{"latency jump", func(m *Machine) (out []Action) {
			for range DefaultJumpCount {
				out = m.one(now, slow)
			}
			return out
		}, wire.TargetCold},
		{"new boot", func(m *Machine) []Action { return m.one(now, Outcome{Boot: "2"}) }, wire.TargetCold},
		{"refused", func(m *Machine) []Action { return m.one(now, Outcome{Kind: Refused}) }, wire.TargetOut},
		{"reset", func(m *Machine) []Action { return m.one(now, Outcome{Kind: Reset}) }, wire.TargetCold},
		{"shed", func(m *Machine) []Action { return m.one(now, Outcome{Kind: Shed, Boot: "1"}) }, wire.TargetCold},
		{"canceled", func(m *Machine) []Action { return m.one(now, Outcome{Kind: Canceled}) }, wire.TargetWarm},
		{"draining", func(m *Machine) []Action { return m.one(now, Outcome{Boot: "1", Draining: true}) }, wire.TargetOut},
		{"silent connection", func(m *Machine) []Action {
			m.one(now, Outcome{Kind: Timeout})
			return m.Probe(now, true, "1", true)
		}, wire.TargetWarm},
		{"silent target", func(m *Machine) []Action {
			m.one(now, Outcome{Kind: Timeout})
			return m.Probe(now, false, "", false)
		}, wire.TargetOut},
		{"lagging health", func(m *Machine) []Action { return m.Probe(now, true, "1", false) }, wire.TargetWarm},
		{"health of an idle target", func(m *Machine) []Action { return m.Probe(later, true, "1", false) }, wire.TargetCold},
		{"another's sign", func(m *Machine) []Action {
			return m.Notice(now, "b", wire.TargetNotice{Seq: 1, Signs: []wire.TargetSign{{Origin: "b", Seq: 1, Boot: "1"}}})
		}, wire.TargetCold},
		{"another's sign of a past boot", func(m *Machine) []Action {
			m.pastBoots = []string{"0"}
			return m.Notice(now, "b", wire.TargetNotice{Seq: 1, Signs: []wire.TargetSign{{Origin: "b", Seq: 1, Boot: "0"}}})
		}, wire.TargetWarm},
	} {
		m := warmHolder(now)
		actions := tt.event(m)
		if m.State() != tt.want {
			t.Errorf("%s: state %v (%s), want %v", tt.name, m.State(), m.Why(), tt.want)
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
	m.one(now, Outcome{Kind: Refused})
	m.Probe(now, true, "1", true)
	if m.State() != wire.TargetCold || m.Limit() != m.contract.ColdSlots {
		t.Errorf("state %v, limit %d after a claim to be warm", m.State(), m.Limit())
	}
}

func TestLostTargetIsProbedUntilItAnswers(t *testing.T) {
	now := time.Unix(1e9, 0)
	m := warmHolder(now)
	m.one(now, Outcome{Kind: Refused})
	wait := DefaultTryMin
	for range 4 {
		if m.State() != wire.TargetOut || m.Limit() != 0 {
			t.Fatalf("state %v, limit %d of a lost target", m.State(), m.Limit())
		}
		if early := m.Tick(now.Add(wait - 1)); len(early) != 0 {
			t.Fatalf("actions %v before the probe is due", early)
		}
		now = m.NextTick()
		if due := m.Tick(now); len(due) != 1 || due[0] != (ProbeNow{Target: m.opts.Name}) {
			t.Fatalf("actions %v, want a probe", due)
		}
		m.Probe(now, false, "", false)
		wait *= 2
	}
	m.Tick(m.NextTick())
	m.Probe(now, true, "2", false)
	if m.State() != wire.TargetCold || m.Limit() != m.contract.ColdSlots {
		t.Fatalf("state %v, limit %d after an answer, want cold", m.State(), m.Limit())
	}
}
