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
