package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/member"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Durations of the control-plane measurements.
const (
	idleDuration     = 2 * time.Second
	simulatedSeconds = 120 // a heartbeat to each peer is sent once a second
	tickInterval     = 100 * time.Millisecond
)

// measureControlPlane measures the bytes and the CPU time that a process spends
// on the control plane while it serves no requests.
func measureControlPlane() ([]measurement, error) {
	pings, err := pingBytesSent()
	if err != nil {
		return nil, err
	}
	links, err := idleLinkTime()
	if err != nil {
		return nil, err
	}
	measurements := []measurement{heartbeatBytes(), membershipTime(), vmListBytes(), vmListParseTime(), pings, links}
	idle, err := idleRelayTime()
	if err != nil {
		return nil, err
	}
	vmLists, err := relayVMListTime()
	if err != nil {
		return nil, err
	}
	contractsTime, err := relayContractsTime()
	if err != nil {
		return nil, err
	}
	return append(measurements, idle, vmLists[0], vmLists[1], contractsTime), nil
}

// heartbeatBytes measures the encoded size of the heartbeats that one process
// sends per second in a fleet without changes. On average it receives as many
// bytes as it sends.
func heartbeatBytes() measurement {
	var points []point
	for _, vms := range vmCounts {
		sent := 0
		runHeartbeats(newMembership(vms), func(f *wire.Frame) {
			data, err := wire.Encode(f)
			if err == nil {
				sent += len(data)
			}
		})
		points = append(points, point{float64(2 * vms), float64(sent) / simulatedSeconds})
	}
	return newMeasurement("control: heartbeats sent, no change", "bytes/s", "member (2 per VM)", points)
}

// membershipTime measures the CPU time of the membership state machine.
func membershipTime() measurement {
	var points []point
	for _, vms := range vmCounts {
		s := newMembership(vms)
		before := selfCPUTime()
		runHeartbeats(s, func(*wire.Frame) {})
		points = append(points, point{float64(2 * vms), float64((selfCPUTime() - before).Microseconds()) / simulatedSeconds})
	}
	return newMeasurement("control: membership", "us of processor/s", "member (2 per VM)", points)
}

// runHeartbeats runs a membership for simulatedSeconds of simulated time, in
// which each peer responds to every heartbeat with one of the same content. It
// calls onSend with each frame that the membership sends.
func runHeartbeats(s *member.State, onSend func(*wire.Frame)) {
	folderOffer := &wire.FolderOffer{Revision: 1234, Digest: fmt.Sprintf("%064d", 0)}
	vmListOffer := &wire.VMListOffer{Sequence: 1234, AgeMillis: 500}
	for now := startTime; now.Before(startTime.Add(simulatedSeconds * time.Second)); now = now.Add(tickInterval) {
		for _, h := range s.Tick(now).Heartbeats {
			onSend(&wire.Frame{Members: h.Updates, FolderOffer: folderOffer, VMListOffer: vmListOffer})
			s.Receive(now, h.To, 1, h.Updates)
		}
	}
}

// vmListBytes measures the size of one response with the VM list.
func vmListBytes() measurement {
	var points []point
	for _, vms := range vmCounts {
		data, err := json.Marshal(vmList(1, vms))
		if err == nil {
			points = append(points, point{float64(vms), float64(len(data))})
		}
	}
	return newMeasurement("control: one read of the VM list", "bytes", "VM", points)
}

// vmListParseTime measures the CPU time of parsing the VM list once.
func vmListParseTime() measurement {
	const repetitions = 200
	var points []point
	for _, vms := range vmCounts {
		data, err := json.Marshal(vmList(1, vms))
		if err != nil {
			continue
		}
		before := selfCPUTime()
		for range repetitions {
			var list platformapi.VMList
			_ = json.Unmarshal(data, &list)
		}
		points = append(points, point{float64(vms), milliseconds(selfCPUTime()-before) / repetitions})
	}
	return newMeasurement("control: parsing the VM list", "ms of processor", "VM", points)
}

// pingBytesSent measures the encoded size of the pings and of the responses to
// them that one end of idle links sends per second, without the overhead of
// WebSocket, TCP and IP.
func pingBytesSent() (measurement, error) {
	data, err := wire.Encode(&wire.Frame{Ping: &wire.Ping{Seq: uint64(startTime.UnixNano())}})
	if err != nil {
		return measurement{}, errors.Trace(err)
	}
	const checkInterval = 50 * time.Millisecond
	local := link.NewLiveness(link.LivenessOptions{}, startTime)
	remote := link.NewLiveness(link.LivenessOptions{}, startTime)
	frames := 0
	for now := startTime; now.Before(startTime.Add(simulatedSeconds * time.Second)); now = now.Add(checkInterval) {
		if local.Check(now) == link.DecisionPing || remote.Check(now) == link.DecisionPing {
			local.Received(now)
			remote.Received(now)
			frames++ // each end sends either the ping or the response to it
		}
	}
	var points []point
	for _, n := range linkCounts {
		points = append(points, point{float64(n), float64(n*frames*len(data)) / simulatedSeconds})
	}
	return newMeasurement("control: pings sent on idle links", "bytes/s", "link", points), nil
}

// idleLinkTime measures the CPU time of idle links, per end. The CPU time that
// the pools at the remote ends use without links is subtracted.
func idleLinkTime() (measurement, error) {
	var points []point
	for _, n := range linkCounts {
		with, err := idleCPUTime(n, setupLinks)
		if err != nil {
			return measurement{}, err
		}
		without, err := idleCPUTime(n, setupPools)
		if err != nil {
			return measurement{}, err
		}
		points = append(points, point{float64(n), with - without})
	}
	return newMeasurement("control: idle links", "us of processor/s", "link end", points), nil
}

// idleCPUTime returns the CPU time, in microseconds per second, that this
// process uses after setup(n) while it is otherwise idle.
func idleCPUTime(n int, setup func(int) (func(), error)) (float64, error) {
	teardown, err := setup(n)
	if err != nil {
		return 0, err
	}
	defer teardown()
	time.Sleep(settleTime)
	before := selfCPUTime()
	time.Sleep(idleDuration)
	return float64((selfCPUTime() - before).Microseconds()) / idleDuration.Seconds(), nil
}

// idleRelayTime measures the CPU time of an idle relay.
func idleRelayTime() (measurement, error) {
	var points []point
	for _, targets := range targetCounts {
		used, err := idleCPUTime(targets, setupRelay)
		if err != nil {
			return measurement{}, errors.Trace(err)
		}
		points = append(points, point{float64(targets), used})
	}
	return newMeasurement("control: relay's ticks, idle", "us of processor/s", "target", points), nil
}

// relayVMListTime measures the CPU time that a relay spends on a new copy of the
// VM list. It returns two measurements: one of an unchanged list, and one of a
// list in which a VM is replaced.
func relayVMListTime() ([]measurement, error) {
	var unchangedPoints, changedPoints []point
	for _, vms := range vmCounts {
		r, teardown, err := newRelay(fleetTargets, vms)
		if err != nil {
			return nil, errors.Trace(err)
		}
		idle := meanEventTime(func(int) {})
		unchanged := vmList(1, vms)
		unchangedTime := meanEventTime(func(int) { r.SetVMList(unchanged, time.Now()) })
		changedTime := meanEventTime(func(i int) {
			list := vmList(uint64(2+i), vms)
			list.VMs[1+i].Name = fmt.Sprintf("new%d", i)
			r.SetVMList(list, time.Now())
		})
		teardown()
		unchangedPoints = append(unchangedPoints, point{float64(vms), unchangedTime - idle})
		changedPoints = append(changedPoints, point{float64(vms), changedTime - idle})
	}
	suffix := fmt.Sprintf("VM list at a relay of %d targets", fleetTargets)
	return []measurement{
		newMeasurement("control: unchanged "+suffix, "ms of processor", "VM", unchangedPoints),
		newMeasurement("control: changed "+suffix, "ms of processor", "VM", changedPoints),
	}, nil
}

// meanEventTime returns the mean CPU time, in milliseconds, of an event and of
// the background work that it starts. Each event is followed by settleTime, so
// that this work is finished before the next one.
func meanEventTime(event func(i int)) float64 {
	const events = 4
	time.Sleep(settleTime)
	before := selfCPUTime()
	for i := range events {
		event(i)
		time.Sleep(settleTime)
	}
	return milliseconds(selfCPUTime()-before) / events
}

// relayContractsTime measures the CPU time that a relay spends on putting new
// contracts into force.
func relayContractsTime() (measurement, error) {
	var points []point
	for _, targets := range targetCounts {
		r, teardown, err := newRelay(targets, fleetVMs)
		if err != nil {
			return measurement{}, errors.Trace(err)
		}
		idle := meanEventTime(func(int) {})
		c := contracts(targets)
		used := meanEventTime(func(int) { r.SetContracts(c) })
		teardown()
		points = append(points, point{float64(targets), used - idle})
	}
	return newMeasurement("control: a change of the folder at a relay", "ms of processor", "target", points), nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
