package target

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// turnCold stops the use of all permits above 0, restarts the ramp, and
// notifies the other holders. It does not notify them if they know already that
// the target is cold and its boot is the same.
func (m *Machine) turnCold(now time.Time, reason string, newBoot bool) []Action {
	notify := !m.coldByEvidence || newBoot
	m.becomeCold(reason)
	if !notify {
		return nil
	}
	return m.reportEvidence(now, wire.TargetEvidence{NewBoot: newBoot})
}

func (m *Machine) becomeCold(reason string) {
	m.warm = false
	m.coldByEvidence = true
	m.completedSinceCold = false
	m.reason = reason
	m.epoch++
	m.latency.consecutiveSlow = 0
	m.restartRamp()
}

func (m *Machine) restartRamp() {
	m.rampLimit = m.contract.ColdSlots
	m.rampCompleted = 0
}

// turnUnavailable is turnCold for a target that takes no requests at all: the
// holder of permit 0 probes it at growing intervals.
func (m *Machine) turnUnavailable(now time.Time, reason string) []Action {
	if m.unavailable {
		m.reason = reason
		return nil
	}
	notify := !m.coldByEvidence
	m.becomeUnavailable(now, reason)
	if !notify {
		return nil
	}
	return m.reportEvidence(now, wire.TargetEvidence{Unavailable: true})
}

func (m *Machine) becomeUnavailable(now time.Time, reason string) {
	m.becomeCold(reason)
	m.unavailable = true
	m.probeInterval = 0
	m.backOffProbe(now)
}

// backOffProbe doubles the interval between probes of an unavailable target and
// schedules the next one.
func (m *Machine) backOffProbe(now time.Time) {
	m.probeInterval = min(max(2*m.probeInterval, m.opts.MinProbeInterval), m.opts.MaxProbeInterval)
	m.probeAt = now.Add(m.probeInterval)
}

func (m *Machine) turnWarm(now time.Time, bootID, reason string) []Action {
	m.setBootID(bootID)
	m.warm = true
	m.coldByEvidence = false
	m.evidence = nil
	m.unavailable = false
	m.reason = reason
	m.latency.consecutiveSlow = 0
	if !m.permits.HoldsZero {
		return nil
	}
	var out []Action
	for _, peer := range m.permits.Peers {
		out = append(out, m.grant(now, peer))
	}
	return out
}

// finishRamp turns the target warm once the ramp has reached the contract's
// slots and this relay's requests in progress fit into its own permits again.
func (m *Machine) finishRamp(now time.Time) []Action {
	if m.warm || m.unavailable || !m.completedSinceCold || !m.permits.HoldsZero || m.bootID == "" {
		return nil
	}
	if m.rampLimit < m.contract.Slots || m.inflight > m.permits.Held {
		return nil
	}
	return m.turnWarm(now, m.bootID, "proved warm by completed work")
}

// needsGrant reports whether this relay holds permits that it cannot use
// without a grant by the holder of permit 0.
func (m *Machine) needsGrant() bool {
	return m.enabled && !m.warm && m.permits.Held > 0 && !m.permits.HoldsZero
}

// dropWarm discards the proof that the target is warm, without evidence that
// would concern the other holders.
func (m *Machine) dropWarm(now time.Time, reason string) {
	m.warm = false
	m.completedSinceCold = false
	m.reason = reason
	m.restartRamp()
	m.requiredAck = m.nextSeq(now)
}

// requestGrant requests a grant from the other holders. It repeats the known
// evidence in case an earlier notification was lost.
func (m *Machine) requestGrant(now time.Time) []Action {
	m.grantRequestAt = now.Add(m.opts.GrantRequestInterval)
	n := wire.TargetNotification{State: wire.TargetUnknown, BootID: m.bootID, Seq: m.nextSeq(now), RequestGrant: true}
	n.Evidence = slices.Clone(m.evidence)
	return m.broadcast(n)
}

// reportEvidence notifies the other holders of evidence that this relay itself
// has observed.
func (m *Machine) reportEvidence(now time.Time, e wire.TargetEvidence) []Action {
	e.Origin = m.opts.Self
	e.BootID = m.bootID
	e.Seq = m.nextSeq(now)
	m.addEvidence(e)
	return m.broadcastEvidence(now)
}

// addEvidence keeps the last evidence of each origin.
func (m *Machine) addEvidence(e wire.TargetEvidence) {
	m.evidenceSeq[e.Origin] = e.Seq
	m.evidence = slices.DeleteFunc(m.evidence, func(old wire.TargetEvidence) bool { return old.Origin == e.Origin })
	m.evidence = append(m.evidence, e)
}

// broadcastEvidence notifies the other holders of the known evidence. A later
// grant has to acknowledge that notification.
func (m *Machine) broadcastEvidence(now time.Time) []Action {
	m.requiredAck = m.nextSeq(now)
	m.grantRequestAt = now.Add(m.opts.GrantRequestInterval)
	n := wire.TargetNotification{State: wire.TargetCold, BootID: m.bootID, Seq: m.requiredAck, Evidence: slices.Clone(m.evidence)}
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
	n.Ack = m.receivedSeq[to]
	return Notify{To: to, Notification: n}
}

// grant notifies another holder that the target is warm.
func (m *Machine) grant(now time.Time, to string) Action {
	return m.notify(to, wire.TargetNotification{State: wire.TargetWarm, BootID: m.bootID, Seq: m.nextSeq(now)})
}

// nextSeq returns the next sequence number. Sequence numbers also grow across
// restarts of the process.
func (m *Machine) nextSeq(now time.Time) uint64 {
	m.seq = max(m.seq+1, uint64(now.UnixNano()))
	return m.seq
}

// Receive handles a notification from another holder.
func (m *Machine) Receive(now time.Time, from string, n wire.TargetNotification) []Action {
	fresh := n.Seq > m.receivedSeq[from]
	if fresh {
		m.receivedSeq[from] = n.Seq
	}
	out := m.mergeEvidence(now, n.Evidence)
	if fresh && n.State == wire.TargetWarm {
		out = append(out, m.acceptGrant(now, n)...)
	}
	if n.RequestGrant && m.warm && m.permits.Held > 0 && (m.permits.HoldsZero || n.HoldsZero) {
		out = append(out, m.grant(now, from))
	}
	return append(out, m.finishRamp(now)...)
}

// acceptGrant turns the target warm if the sender knew of the last evidence
// that this relay sent. The holder of permit 0 itself accepts the grant of
// another holder only if it has seen no evidence that the target is cold.
func (m *Machine) acceptGrant(now time.Time, n wire.TargetNotification) []Action {
	if m.warm || n.Ack < m.requiredAck {
		return nil
	}
	if m.permits.HoldsZero && (m.coldByEvidence || n.HoldsZero) {
		return nil
	}
	if !m.permits.HoldsZero && !n.HoldsZero {
		return nil
	}
	return m.turnWarm(now, n.BootID, "granted")
}

// mergeEvidence turns the target cold if other holders have observed new
// evidence. It forwards the evidence so that it reaches every holder.
func (m *Machine) mergeEvidence(now time.Time, evidence []wire.TargetEvidence) []Action {
	added, unavailable := false, false
	for _, e := range evidence {
		if e.Seq <= m.evidenceSeq[e.Origin] {
			continue
		}
		m.evidenceSeq[e.Origin] = e.Seq
		if m.isOutdated(e) {
			continue
		}
		m.addEvidence(e)
		added = true
		unavailable = unavailable || e.Unavailable
	}
	if !added {
		return nil
	}
	alreadyNotified := m.coldByEvidence
	if unavailable && !m.unavailable {
		m.becomeUnavailable(now, "lost, as told by another holder")
	} else {
		m.becomeCold("cold, as told by another holder")
	}
	if alreadyNotified {
		m.requiredAck = m.nextSeq(now)
		return nil
	}
	return m.broadcastEvidence(now)
}

// isOutdated reports whether evidence concerns a past boot, or the start of
// the boot that is already known.
func (m *Machine) isOutdated(e wire.TargetEvidence) bool {
	known := e.NewBoot && e.BootID == m.bootID
	return known || slices.Contains(m.pastBootIDs, e.BootID)
}
