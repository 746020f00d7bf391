package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet runs the state machines of many processes on simulated time and delivers
// their heartbeats to each other.
type fleet struct {
	t       *testing.T
	now     time.Time
	step    time.Duration
	entries []Entry
	states  map[string]*State
	index   map[string]*Entry
	paused  map[string]bool
	// drops reports whether heartbeats from one member to another are lost.
	drops func(from, to *Entry) bool
	// onChange is called for each change of status at a member.
	onChange func(at *Entry, c StatusChange)
	// onSend is called for each heartbeat, including those that are lost.
	onSend func(from *Entry, h Heartbeat)
}

// newEntries returns a gateway and a relay for each VM, with the VMs spread
// evenly over the data centres, and these over the regions.
func newEntries(vms, regions, dataCentres int) []Entry {
	var entries []Entry
	for i := range vms {
		dc := i % dataCentres
		for _, role := range []wire.Role{wire.RoleGateway, wire.RoleRelay} {
			p := wire.Process{VM: fmt.Sprintf("entry-%04d", i), Role: role}
			entries = append(entries, Entry{
				Name: p.Name(), DataCentre: fmt.Sprintf("dc-%d", dc), Region: fmt.Sprintf("region-%d", dc%regions),
			})
		}
	}
	return entries
}

func process(e Entry, incarnation time.Time) wire.Process {
	vm, role := e.Name[:len("entry-0000")], e.Name[len("entry-0000/"):]
	return wire.Process{VM: vm, Role: wire.Role(role), DataCentre: e.DataCentre, Incarnation: uint64(incarnation.UnixNano())}
}

// newFleet starts all entries and runs them until they are healthy enough to
// accuse others.
func newFleet(t *testing.T, step time.Duration, entries []Entry) *fleet {
	f := &fleet{t: t, now: startTime, step: step, entries: entries, states: map[string]*State{}, paused: map[string]bool{}, index: map[string]*Entry{}}
	for i := range entries {
		f.index[entries[i].Name] = &entries[i]
		f.start(&entries[i], startTime)
	}
	f.run(30 * time.Second)
	return f
}

// start starts a process, or restarts it without its earlier state.
func (f *fleet) start(e *Entry, incarnation time.Time) {
	s := New(Options{Self: process(*e, incarnation), Region: e.Region})
	s.SetVMList(f.now, f.entries)
	f.states[e.Name] = s
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(f.step)
		for i := range f.entries {
			if e := &f.entries[i]; !f.paused[e.Name] {
				f.tick(e)
			}
		}
	}
}

func (f *fleet) tick(e *Entry) {
	result := f.states[e.Name].Tick(f.now)
	for _, c := range result.Changes {
		if f.onChange != nil {
			f.onChange(e, c)
		}
	}
	for _, h := range result.Heartbeats {
		if f.onSend != nil {
			f.onSend(e, h)
		}
		to := f.index[h.To]
		if f.paused[h.To] || (f.drops != nil && f.drops(e, to)) {
			continue
		}
		f.states[h.To].Receive(f.now, e.Name, f.states[e.Name].opts.Self.Incarnation, h.Updates)
	}
}

// countWrong counts the pairs of a running member and a matching member for
// which the first does not report the wanted status of the second.
func (f *fleet) countWrong(match func(*Entry) bool, want wire.MemberStatus) int {
	wrong := 0
	for i := range f.entries {
		if f.paused[f.entries[i].Name] {
			continue
		}
		for _, m := range f.states[f.entries[i].Name].Members() {
			if match(&m.Entry) && m.Status != want {
				wrong++
			}
		}
	}
	return wrong
}

// runUntil runs the fleet until all running members report the wanted status of
// the matching members. It fails the test if that takes longer than limit.
func (f *fleet) runUntil(limit time.Duration, match func(*Entry) bool, want wire.MemberStatus) {
	f.t.Helper()
	began := f.now
	for f.countWrong(match, want) > 0 {
		if f.now.Sub(began) >= limit {
			f.t.Fatalf("after %v %d reported statuses are still wrong", limit, f.countWrong(match, want))
		}
		f.run(f.step)
	}
	f.t.Logf("all members agree after %v", f.now.Sub(began))
}

func everyone(*Entry) bool { return true }

func named(name string) func(*Entry) bool {
	return func(e *Entry) bool { return e.Name == name }
}
