package relay

import (
	"strings"
	"testing"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

func TestLeaving(t *testing.T) {
	l := newLeaving()
	links := map[wire.Role]string{wire.RoleRelay: "127.0.0.1:1"}
	list := platformapi.VMList{VMs: []platformapi.VM{
		{Name: "vm1", DataCentre: "bne", Links: links},
		{Name: "vm2", DataCentre: "cns", Links: links},
		{Name: "judge-07", DataCentre: "bne", Leaving: true},
	}}
	if !l.setView(list) || l.setView(list) {
		t.Error("a change of the leaving VMs is not told, or told twice")
	}
	l.setContracts(&folder.Contracts{DataCentres: map[string]folder.DataCentre{"cns": {State: folder.StateOut}}})
	l.announce("vm9/relay", true)
	for relay, want := range map[string]bool{"vm1/relay": false, "vm2/relay": true, "vm9/relay": true} {
		if got := l.relays()[relay]; got != want {
			t.Errorf("%s leaves: %v, want %v", relay, got, want)
		}
	}
	for _, tc := range []struct {
		target folder.Target
		why    string
	}{
		{folder.Target{Name: "a", Group: "a", DataCentre: "bne", State: folder.StateIn}, ""},
		{folder.Target{Name: "b", Group: "b", DataCentre: "bne", State: folder.StateLeaving}, "by the folder"},
		{folder.Target{Name: "c", Group: "c", DataCentre: "cns", State: folder.StateIn}, "data centre cns"},
		{folder.Target{Name: "d", Group: "judge-07", DataCentre: "bne", State: folder.StateIn}, "by the VM list"},
		{folder.Target{Name: "judge-07", Group: "e", DataCentre: "bne", State: folder.StateIn}, "by the VM list"},
	} {
		in, why := l.admin(tc.target)
		if in != (tc.why == "") || !strings.Contains(why, tc.why) {
			t.Errorf("target %s: in %v, %q; want %q", tc.target.Name, in, why, tc.why)
		}
	}
}
