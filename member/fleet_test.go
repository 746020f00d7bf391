package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet delivers the heartbeats of many state machines to each other.
type fleet struct {
	t       *testing.T
	now     time.Time
	step    time.Duration
	entries []Entry
	states  map[string]*State
	index   map[string]*Entry
	paused  map[string]bool
	// cut tells whether frames from one member to another are lost.
	cut func(from, to *Entry) bool
	// changed sees each event.
	changed func(at *Entry, c StatusChange)
	// sent sees each heartbeat.
	sent func(from *Entry, h Heartbeat)
}

func entries(vms, regions, centres int) []Entry {
	var list []Entry
	for i := range vms {
		dc := i % centres
		for _, role := range []wire.Role{wire.RoleGateway, wire.RoleRelay} {
			p := wire.Process{VM: fmt.Sprintf("entry-%04d", i), Role: role}
			list = append(list, Entry{
				Name: p.Name(), DataCentre: fmt.Sprintf("dc-%d", dc), Region: fmt.Sprintf("region-%d", dc%regions),
			})
		}
	}
	return list
}

func process(e Entry, incarnation time.Time) wire.Process {
	vm, role := e.Name[:len("entry-0000")], e.Name[len("entry-0000/"):]
	return wire.Process{VM: vm, Role: wire.Role(role), DataCentre: e.DataCentre, Incarnation: uint64(incarnation.UnixNano())}
}

func newFleet(t *testing.T, step time.Duration, list []Entry) *fleet {
	f := &fleet{t: t, now: start, step: step, entries: list, states: map[string]*State{}, paused: map[string]bool{}, index: map[string]*Entry{}}
	for i := range list {
		f.index[list[i].Name] = &list[i]
		f.boot(&list[i], start)
	}
	f.run(30 * time.Second)
	return f
}

func (f *fleet) boot(e *Entry, incarnation time.Time) {
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
		if f.changed != nil {
			f.changed(e, c)
		}
	}
	for _, h := range result.Heartbeats {
		if f.sent != nil {
			f.sent(e, h)
		}
		to := f.index[h.To]
		if f.paused[h.To] || (f.cut != nil && f.cut(e, to)) {
			continue
		}
		f.states[h.To].Receive(f.now, e.Name, f.states[e.Name].opts.Self.Incarnation, h.Updates)
	}
}

// differing counts the pairs of running members of which the first does not
// hold the second in the wanted status.
func (f *fleet) differing(about func(*Entry) bool, want wire.MemberStatus) int {
	wrong := 0
	for i := range f.entries {
		if f.paused[f.entries[i].Name] {
			continue
		}
		for _, m := range f.states[f.entries[i].Name].Members() {
			if about(&m.Entry) && m.Status != want {
				wrong++
			}
		}
	}
	return wrong
}

// until runs the fleet until no view differs, at most for the limit.
func (f *fleet) until(limit time.Duration, about func(*Entry) bool, want wire.MemberStatus) {
	f.t.Helper()
	began := f.now
	for f.differing(about, want) > 0 {
		if f.now.Sub(began) >= limit {
			f.t.Fatalf("after %v %d views differ", limit, f.differing(about, want))
		}
		f.run(f.step)
	}
	f.t.Logf("all views agree after %v", f.now.Sub(began))
}

func everyone(*Entry) bool { return true }

func named(name string) func(*Entry) bool {
	return func(e *Entry) bool { return e.Name == name }
}
