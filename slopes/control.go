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

// Durations of the measurements of control.
const (
	idlePeriod = 2 * time.Second
	beatPeriod = 120 // intervals between heartbeats
	tickPeriod = 100 * time.Millisecond
)

// measureControl takes what a process spends on control while nothing is asked
// of it, in bytes and in processor time.
func measureControl() ([]slope, error) {
	pings, err := pingBytes()
	if err != nil {
		return nil, err
	}
	links, err := linksIdle()
	if err != nil {
		return nil, err
	}
	slopes := []slope{heartbeatBytes(), heartbeatTime(), listBytes(), listTime(), pings, links}
	idle, err := relayIdle()
	if err != nil {
		return nil, err
	}
	views, err := relayViews()
	if err != nil {
		return nil, err
	}
	folders, err := relayFolders()
	if err != nil {
		return nil, err
	}
	return append(slopes, idle, views[0], views[1], folders), nil
}

// heartbeatBytes takes the encoded size of the heartbeats that one process
// sends per second in a fleet without changes. It receives as many on average.
func heartbeatBytes() slope {
	var points []point
	for _, vms := range vmCounts {
		sent := 0
		beat(newMembers(vms), func(f *wire.Frame) {
			data, err := wire.Encode(f)
			if err == nil {
				sent += len(data)
			}
		})
		points = append(points, point{float64(2 * vms), float64(sent) / beatPeriod})
	}
	return newSlope("control: heartbeats sent, no change", "bytes/s", "member (2 per VM)", points)
}

// heartbeatTime takes the processor time of the membership's state machine.
func heartbeatTime() slope {
	var points []point
	for _, vms := range vmCounts {
		s := newMembers(vms)
		before := ownTime()
		beat(s, func(*wire.Frame) {})
		points = append(points, point{float64(2 * vms), float64((ownTime() - before).Microseconds()) / beatPeriod})
	}
	return newSlope("control: membership", "us of processor/s", "member (2 per VM)", points)
}

// beat runs a membership for beatPeriod seconds of scripted time, in which each
// peer answers every heartbeat with one of the same content.
func beat(s *member.State, sent func(*wire.Frame)) {
	offer := &wire.FolderOffer{Revision: 1234, Digest: fmt.Sprintf("%064d", 0)}
	view := &wire.VMListOffer{Sequence: 1234, AgeMillis: 500}
	for now := start; now.Before(start.Add(beatPeriod * time.Second)); now = now.Add(tickPeriod) {
		for _, h := range s.Tick(now).Heartbeats {
			sent(&wire.Frame{Members: h.Updates, FolderOffer: offer, VMListOffer: view})
			s.Receive(now, h.To, 1, h.Updates)
		}
	}
}

// listBytes takes the size of one read of the VM list.
func listBytes() slope {
	var points []point
	for _, vms := range vmCounts {
		data, err := json.Marshal(vmList(1, vms))
		if err == nil {
			points = append(points, point{float64(vms), float64(len(data))})
		}
	}
	return newSlope("control: one read of the VM list", "bytes", "VM", points)
}

// listTime takes the processor time of parsing one read of the VM list.
func listTime() slope {
	const reads = 200
	var points []point
	for _, vms := range vmCounts {
		data, err := json.Marshal(vmList(1, vms))
		if err != nil {
			continue
		}
		before := ownTime()
		for range reads {
			var list platformapi.VMList
			_ = json.Unmarshal(data, &list)
		}
		points = append(points, point{float64(vms), millis(ownTime()-before) / reads})
	}
	return newSlope("control: parsing the VM list", "ms of processor", "VM", points)
}

// pingBytes takes the encoded size of the pings and answers that one end of
// idle links sends per second, without the overhead of WebSocket, TCP and IP.
func pingBytes() (slope, error) {
	data, err := wire.Encode(&wire.Frame{Ping: &wire.Ping{Seq: uint64(start.UnixNano())}})
	if err != nil {
		return slope{}, errors.Trace(err)
	}
	const check = 50 * time.Millisecond
	near := link.NewLiveness(link.LivenessOptions{}, start)
	far := link.NewLiveness(link.LivenessOptions{}, start)
	frames := 0
	for now := start; now.Before(start.Add(beatPeriod * time.Second)); now = now.Add(check) {
		if near.Check(now) == link.DecisionPing || far.Check(now) == link.DecisionPing {
			near.Received(now)
			far.Received(now)
			frames++ // each end sends either the ping or the answer
		}
	}
	var points []point
	for _, n := range linkCounts {
		points = append(points, point{float64(n), float64(n*frames*len(data)) / beatPeriod})
	}
	return newSlope("control: pings sent on idle links", "bytes/s", "link", points), nil
}

// linksIdle takes the processor time of idle links, per end. What the pools at
// the far ends use by themselves is taken off.
func linksIdle() (slope, error) {
	var points []point
	for _, n := range linkCounts {
		with, err := idleTime(n, holdLinks)
		if err != nil {
			return slope{}, err
		}
		without, err := idleTime(n, holdPools)
		if err != nil {
			return slope{}, err
		}
		points = append(points, point{float64(n), with - without})
	}
	return newSlope("control: idle links", "us of processor/s", "link end", points), nil
}

// idleTime returns the processor time in microseconds a second that n parts use
// while they are held.
func idleTime(n int, hold func(int) (func(), error)) (float64, error) {
	release, err := hold(n)
	if err != nil {
		return 0, err
	}
	defer release()
	time.Sleep(settle)
	before := ownTime()
	time.Sleep(idlePeriod)
	return float64((ownTime() - before).Microseconds()) / idlePeriod.Seconds(), nil
}

// relayIdle takes the processor time of a relay that has nothing to do.
func relayIdle() (slope, error) {
	var points []point
	for _, targets := range targetCounts {
		used, err := idleTime(targets, holdRelay)
		if err != nil {
			return slope{}, errors.Trace(err)
		}
		points = append(points, point{float64(targets), used})
	}
	return newSlope("control: relay's ticks, idle", "us of processor/s", "target", points), nil
}

// relayViews takes the processor time of a read of the VM list at a relay,
// first of one without a change and then of one in which a VM is replaced.
func relayViews() ([]slope, error) {
	var same, changed []point
	for _, vms := range vmCounts {
		r, release, err := newRelay(fleetTargets, vms)
		if err != nil {
			return nil, errors.Trace(err)
		}
		idle := timeOf(func(int) {})
		unchanged := vmList(1, vms)
		one := timeOf(func(int) { r.SetVMList(unchanged, time.Now()) })
		other := timeOf(func(i int) {
			list := vmList(uint64(2+i), vms)
			list.VMs[1+i].Name = fmt.Sprintf("new%d", i)
			r.SetVMList(list, time.Now())
		})
		release()
		same = append(same, point{float64(vms), one - idle})
		changed = append(changed, point{float64(vms), other - idle})
	}
	at := fmt.Sprintf("VM list at a relay of %d targets", fleetTargets)
	return []slope{
		newSlope("control: unchanged "+at, "ms of processor", "VM", same),
		newSlope("control: changed "+at, "ms of processor", "VM", changed),
	}, nil
}

// timeOf returns the processor time in milliseconds of an event and of what it
// sets off, as the mean of a few, each with time to come to rest.
func timeOf(event func(i int)) float64 {
	const events = 4
	time.Sleep(settle)
	before := ownTime()
	for i := range events {
		event(i)
		time.Sleep(settle)
	}
	return millis(ownTime()-before) / events
}

// relayFolders takes the processor time of putting contracts in force.
func relayFolders() (slope, error) {
	var points []point
	for _, targets := range targetCounts {
		r, release, err := newRelay(targets, fleetVMs)
		if err != nil {
			return slope{}, errors.Trace(err)
		}
		idle := timeOf(func(int) {})
		c := contracts(targets)
		used := timeOf(func(int) { r.SetContracts(c) })
		release()
		points = append(points, point{float64(targets), used - idle})
	}
	return newSlope("control: a change of the folder at a relay", "ms of processor", "target", points), nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
