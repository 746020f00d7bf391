package relay

import (
	"strings"
	"testing"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// A relay or target is leaving because it announced that, because the folder or the VM
// list says so, or because its data centre is out.
func TestLeavingSet(t *testing.T) {
	l := newLeavingSet()
	links := map[wire.Role]string{wire.RoleRelay: "127.0.0.1:1"}
	list := platformapi.VMList{VMs: []platformapi.VM{
		{Name: "vm1", DataCentre: "bne", Links: links},
		{Name: "vm2", DataCentre: "cns", Links: links},
		{Name: "judge-07", DataCentre: "bne", Leaving: true},
	}}
	if !l.setVMList(list) || l.setVMList(list) {
		t.Error("setVMList does not report a change of the leaving VMs, or reports it twice")
	}
	l.setContracts(&folder.Contracts{DataCentres: map[string]folder.DataCentre{"cns": {State: folder.StateOut}}})
	l.setAnnounced("vm9/relay", true)
	for relay, want := range map[string]bool{"vm1/relay": false, "vm2/relay": true, "vm9/relay": true} {
		if got := l.leavingByRelay()[relay]; got != want {
			t.Errorf("%s is leaving: %v, want %v", relay, got, want)
		}
	}
	for _, tc := range []struct {
		target folder.Target
		reason string
	}{
		{folder.Target{Name: "a", Group: "a", DataCentre: "bne", State: folder.StateIn}, ""},
		{folder.Target{Name: "b", Group: "b", DataCentre: "bne", State: folder.StateLeaving}, "by the folder"},
		{folder.Target{Name: "c", Group: "c", DataCentre: "cns", State: folder.StateIn}, "data centre cns"},
		{folder.Target{Name: "d", Group: "judge-07", DataCentre: "bne", State: folder.StateIn}, "by the VM list"},
		{folder.Target{Name: "judge-07", Group: "e", DataCentre: "bne", State: folder.StateIn}, "by the VM list"},
	} {
		enabled, reason := l.adminState(tc.target)
		if enabled != (tc.reason == "") || !strings.Contains(reason, tc.reason) {
			t.Errorf("target %s: enabled %v, reason %q; want a reason with %q", tc.target.Name, enabled, reason, tc.reason)
		}
	}
}

// Relays that reach no target hand their permits to those that do. If none does, the targets
// are down for all: permits must stay where they are, or nobody holds them when targets return.
func TestPermitsStayIfNoRelayReachesTargets(t *testing.T) {
	l := newLeavingSet()
	links := map[wire.Role]string{wire.RoleRelay: "127.0.0.1:1"}
	l.setVMList(platformapi.VMList{VMs: []platformapi.VM{
		{Name: "vm1", DataCentre: "bne", Links: links},
		{Name: "vm2", DataCentre: "bne", Links: links},
		{Name: "vm3", DataCentre: "cns", Links: links},
	}})
	l.setAnnounced("vm3/relay", true)
	l.setPathLost("vm1/relay", true)
	l.setPathLost("vm8/relay", true) // not listed
	for relay, want := range map[string]bool{"vm1/relay": true, "vm2/relay": false, "vm3/relay": true, "vm8/relay": false} {
		if got := l.leavingByRelay()[relay]; got != want {
			t.Errorf("%s is leaving: %v, want %v", relay, got, want)
		}
	}
	l.setPathLost("vm2/relay", true)
	for relay, want := range map[string]bool{"vm1/relay": false, "vm2/relay": false, "vm3/relay": true} {
		if got := l.leavingByRelay()[relay]; got != want {
			t.Errorf("with no path at any relay, %s is leaving: %v, want %v", relay, got, want)
		}
	}
	l.setPathLost("vm1/relay", false)
	if l.leavingByRelay()["vm1/relay"] || !l.leavingByRelay()["vm2/relay"] {
		t.Error("a relay whose path is back is still left out, or the other one is not")
	}
}
