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
	return m.broadcastSign(now, wire.TargetNotice{State: wire.TargetCold, NewBoot: newBoot})
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
// permit 0 tries it with single requests at growing intervals.
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
	return m.broadcastSign(now, wire.TargetNotice{State: wire.TargetOut})
}

func (m *Machine) becomeLost(now time.Time, why string) {
	m.becomeCold(why)
	m.lost = true
	m.tryWait = 0
	m.delayTry(now)
}

// delayTry doubles the interval between tries.
func (m *Machine) delayTry(now time.Time) {
	m.tryWait = min(max(2*m.tryWait, m.opts.TryMin), m.opts.TryMax)
	m.tryAt = now.Add(m.tryWait)
	m.tryDue = false
}

func (m *Machine) turnWarm(now time.Time, boot, why string) []Action {
	m.setBoot(boot)
	m.warm = true
	m.signed = false
	m.lost = false
	m.why = why
	m.latency.run = 0
	if !m.permits.Zero {
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
	if m.warm || m.lost || !m.proved || !m.permits.Zero || m.boot == "" {
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
	return m.admin && !m.warm && m.permits.Held > 0 && !m.permits.Zero
}

// renounce gives up the belief that the target is warm, without a sign that
// would concern the other holders.
func (m *Machine) renounce(now time.Time, why string) {
	m.becomeCold(why)
	m.signed = false
	m.renew(now)
}

// renew makes grants void that were sent before the holder of permit 0 hears
// from this relay again.
func (m *Machine) renew(now time.Time) {
	m.coldSeq = m.nextSeq(now)
	m.sign = wire.TargetNotice{State: wire.TargetUnknown, Boot: m.boot, Seq: m.coldSeq}
}

// ask asks the other holders for their view. A relay that is cold by a sign
// repeats the sign, in case it was lost.
func (m *Machine) ask(now time.Time) []Action {
	m.askAt = now.Add(m.opts.AskInterval)
	n := wire.TargetNotice{State: wire.TargetUnknown, Boot: m.boot, Seq: m.nextSeq(now)}
	if m.coldSeq > 0 && !m.warm {
		n = m.sign
	}
	n.Ask = true
	return m.broadcast(n)
}

// broadcastSign tells the other holders of a sign of coldness. A later grant
// has to acknowledge it.
func (m *Machine) broadcastSign(now time.Time, n wire.TargetNotice) []Action {
	n.Boot = m.boot
	n.Seq = m.nextSeq(now)
	m.coldSeq = n.Seq
	m.sign = n
	m.askAt = now.Add(m.opts.AskInterval)
	return m.broadcast(n)
}

func (m *Machine) broadcast(n wire.TargetNotice) []Action {
	var out []Action
	for _, peer := range m.permits.Peers {
		out = append(out, m.notify(peer, n))
	}
	return out
}

func (m *Machine) notify(to string, n wire.TargetNotice) Action {
	n.Target = m.opts.Name
	n.Owner = m.permits.Zero
	n.Ack = m.heard[to]
	return Notify{To: to, Notice: n}
}

// grant tells a holder that the target is warm.
func (m *Machine) grant(now time.Time, to string) Action {
	return m.notify(to, wire.TargetNotice{State: wire.TargetWarm, Boot: m.boot, Seq: m.nextSeq(now)})
}

// nextSeq returns a sequence number that also grows over restarts of the process.
func (m *Machine) nextSeq(now time.Time) uint64 {
	m.seq = max(m.seq+1, uint64(now.UnixNano()))
	return m.seq
}

// Notice takes a notice of another holder.
func (m *Machine) Notice(now time.Time, from string, n wire.TargetNotice) []Action {
	fresh := n.Seq > m.heard[from]
	if fresh {
		m.heard[from] = n.Seq
	}
	var out []Action
	switch {
	case !fresh:
	case n.State == wire.TargetWarm:
		out = m.takeGrant(now, n)
	case n.State == wire.TargetCold || n.State == wire.TargetOut:
		out = m.takeSign(now, n)
	}
	if n.Ask && m.warm && m.permits.Held > 0 && (m.permits.Zero || n.Owner) {
		out = append(out, m.grant(now, from))
	}
	return append(out, m.settle(now)...)
}

// takeGrant turns the target warm if the sender knew of this relay's last sign.
// The holder of permit 0 itself takes another holder's word only if it has
// seen no sign.
func (m *Machine) takeGrant(now time.Time, n wire.TargetNotice) []Action {
	if m.warm || n.Ack < m.coldSeq || slices.Contains(m.pastBoots, n.Boot) {
		return nil
	}
	if m.permits.Zero && (m.signed || n.Owner) {
		return nil
	}
	if !m.permits.Zero && !n.Owner {
		return nil
	}
	return m.turnWarm(now, n.Boot, "granted")
}

// takeSign takes another holder's sign of coldness, unless it is about a boot
// that is past, or about the start of the boot that is known already. A relay
// that turns cold by it tells the sign on, so that no holder misses it.
func (m *Machine) takeSign(now time.Time, n wire.TargetNotice) []Action {
	known := n.NewBoot && n.Boot == m.boot
	if known || slices.Contains(m.pastBoots, n.Boot) {
		return nil
	}
	told := m.signed
	m.setBoot(n.Boot)
	if n.State == wire.TargetOut && m.lost {
		return nil
	}
	if n.State == wire.TargetOut {
		m.becomeLost(now, "lost, as told by another holder")
	} else {
		m.becomeCold("cold, as told by another holder")
	}
	if told {
		m.renew(now)
		return nil
	}
	return m.broadcastSign(now, wire.TargetNotice{State: n.State, NewBoot: n.NewBoot})
}
