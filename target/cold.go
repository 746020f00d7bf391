package target

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// turnCold stops the use of every permit above 0, starts the ramp anew, and
// tells the other holders unless they were told before.
func (m *Machine) turnCold(now time.Time, why string, newBoot bool) []Action {
	tell := !m.signed || newBoot
	m.becomeCold(why)
	if !tell {
		return nil
	}
	return m.sign(now, wire.TargetEvidence{NewBoot: newBoot})
}

func (m *Machine) becomeCold(why string) {
	m.warm = false
	m.signed = true
	m.proved = false
	m.why = why
	m.epoch++
	m.latency.run = 0
	m.restartRamp()
}

func (m *Machine) restartRamp() {
	m.ramp = m.contract.ColdSlots
	m.done = 0
}

// lose is turnCold for a target that takes no requests at all: the holder of
// permit 0 probes it at growing intervals.
func (m *Machine) lose(now time.Time, why string) []Action {
	if m.lost {
		m.why = why
		return nil
	}
	tell := !m.signed
	m.becomeLost(now, why)
	if !tell {
		return nil
	}
	return m.sign(now, wire.TargetEvidence{Unavailable: true})
}

func (m *Machine) becomeLost(now time.Time, why string) {
	m.becomeCold(why)
	m.lost = true
	m.tryWait = 0
	m.delayTry(now)
}

// delayTry doubles the interval between probes of a lost target.
func (m *Machine) delayTry(now time.Time) {
	m.tryWait = min(max(2*m.tryWait, m.opts.MinProbeInterval), m.opts.MaxProbeInterval)
	m.tryAt = now.Add(m.tryWait)
}

func (m *Machine) turnWarm(now time.Time, boot, why string) []Action {
	m.setBoot(boot)
	m.warm = true
	m.signed = false
	m.signs = nil
	m.lost = false
	m.why = why
	m.latency.run = 0
	if !m.permits.HoldsZero {
		return nil
	}
	var out []Action
	for _, peer := range m.permits.Peers {
		out = append(out, m.grant(now, peer))
	}
	return out
}

// settle ends the ramp: it has reached the contract's slots, and this relay's
// own use is back down to its own permits.
func (m *Machine) settle(now time.Time) []Action {
	if m.warm || m.lost || !m.proved || !m.permits.HoldsZero || m.boot == "" {
		return nil
	}
	if m.ramp < m.contract.Slots || m.inflight > m.permits.Held {
		return nil
	}
	return m.turnWarm(now, m.boot, "proved warm by completed work")
}

// wantsGrant reports whether this relay holds permits that it can't use
// without a grant by the holder of permit 0.
func (m *Machine) wantsGrant() bool {
	return m.admin && !m.warm && m.permits.Held > 0 && !m.permits.HoldsZero
}

// renounce gives up the belief that the target is warm, without a sign that
// would concern the other holders.
func (m *Machine) renounce(now time.Time, why string) {
	m.warm = false
	m.proved = false
	m.why = why
	m.restartRamp()
	m.coldSeq = m.nextSeq(now)
}

// ask asks the other holders for their view, and repeats the known signs in
// case that they were lost.
func (m *Machine) ask(now time.Time) []Action {
	m.askAt = now.Add(m.opts.GrantRequestInterval)
	n := wire.TargetNotification{State: wire.TargetUnknown, BootID: m.boot, Seq: m.nextSeq(now), RequestGrant: true}
	n.Evidence = slices.Clone(m.signs)
	return m.broadcast(n)
}

// sign tells the other holders of a sign that this relay saw itself.
func (m *Machine) sign(now time.Time, s wire.TargetEvidence) []Action {
	s.Origin = m.opts.Self
	s.BootID = m.boot
	s.Seq = m.nextSeq(now)
	m.addSign(s)
	return m.announce(now)
}

// addSign keeps the last sign of each origin.
func (m *Machine) addSign(s wire.TargetEvidence) {
	m.seen[s.Origin] = s.Seq
	m.signs = slices.DeleteFunc(m.signs, func(old wire.TargetEvidence) bool { return old.Origin == s.Origin })
	m.signs = append(m.signs, s)
}

// announce tells the other holders of the known signs. A later grant has to
// acknowledge that.
func (m *Machine) announce(now time.Time) []Action {
	m.coldSeq = m.nextSeq(now)
	m.askAt = now.Add(m.opts.GrantRequestInterval)
	n := wire.TargetNotification{State: wire.TargetCold, BootID: m.boot, Seq: m.coldSeq, Evidence: slices.Clone(m.signs)}
	return m.broadcast(n)
}

func (m *Machine) broadcast(n wire.TargetNotification) []Action {
	var out []Action
	for _, peer := range m.permits.Peers {
		out = append(out, m.notify(peer, n))
	}
	return out
}

func (m *Machine) notify(to string, n wire.TargetNotification) Action {
	n.Target = m.opts.Name
	n.HoldsZero = m.permits.HoldsZero
	n.Ack = m.heard[to]
	return Notify{To: to, Notification: n}
}

// grant tells a holder that the target is warm.
func (m *Machine) grant(now time.Time, to string) Action {
	return m.notify(to, wire.TargetNotification{State: wire.TargetWarm, BootID: m.boot, Seq: m.nextSeq(now)})
}

// nextSeq returns a sequence number that also grows over restarts of the process.
func (m *Machine) nextSeq(now time.Time) uint64 {
	m.seq = max(m.seq+1, uint64(now.UnixNano()))
	return m.seq
}

// Receive takes a notice of another holder.
func (m *Machine) Receive(now time.Time, from string, n wire.TargetNotification) []Action {
	fresh := n.Seq > m.heard[from]
	if fresh {
		m.heard[from] = n.Seq
	}
	out := m.takeSigns(now, n.Evidence)
	if fresh && n.State == wire.TargetWarm {
		out = append(out, m.takeGrant(now, n)...)
	}
	if n.RequestGrant && m.warm && m.permits.Held > 0 && (m.permits.HoldsZero || n.HoldsZero) {
		out = append(out, m.grant(now, from))
	}
	return append(out, m.settle(now)...)
}

// takeGrant turns the target warm if the sender knew of this relay's last sign.
// The holder of permit 0 itself takes another holder's word only if it has
// seen no sign.
func (m *Machine) takeGrant(now time.Time, n wire.TargetNotification) []Action {
	if m.warm || n.Ack < m.coldSeq {
		return nil
	}
	if m.permits.HoldsZero && (m.signed || n.HoldsZero) {
		return nil
	}
	if !m.permits.HoldsZero && !n.HoldsZero {
		return nil
	}
	return m.turnWarm(now, n.BootID, "granted")
}

// takeSigns turns the target cold by signs that other holders saw, and tells
// them on, so that no holder misses them.
func (m *Machine) takeSigns(now time.Time, signs []wire.TargetEvidence) []Action {
	news, lost := false, false
	for _, s := range signs {
		if s.Seq <= m.seen[s.Origin] {
			continue
		}
		m.seen[s.Origin] = s.Seq
		if m.outdated(s) {
			continue
		}
		m.addSign(s)
		news = true
		lost = lost || s.Unavailable
	}
	if !news {
		return nil
	}
	told := m.signed
	if lost && !m.lost {
		m.becomeLost(now, "lost, as told by another holder")
	} else {
		m.becomeCold("cold, as told by another holder")
	}
	if told {
		m.coldSeq = m.nextSeq(now)
		return nil
	}
	return m.announce(now)
}

// outdated reports whether a sign is about a boot that is past, or about the
// start of the boot that is known already.
func (m *Machine) outdated(s wire.TargetEvidence) bool {
	known := s.NewBoot && s.BootID == m.boot
	return known || slices.Contains(m.pastBoots, s.BootID)
}
