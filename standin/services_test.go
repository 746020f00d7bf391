package standin_test

import (
	"encoding/json"
	"testing"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/standin"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

func TestConfigFaults(t *testing.T) {
	f := newFixture(t, standin.Options{})
	config := platformapi.NewConfigClient(platformapi.ClientOptions{Address: f.s.PlatformAddress(), DataCentre: "dc1"})
	other := platformapi.NewConfigClient(platformapi.ClientOptions{Address: f.s.PlatformAddress(), DataCentre: "dc2"})
	watched := make(chan platformapi.Manifest, 1)
	go func() {
		manifest, _, _ := config.Watch(f.ctx, 1, testTimeout)
		watched <- manifest
	}()
	name := "50-note.json"
	for _, data := range []string{`{"a":1}`, `{"a":2}`} {
		if _, err := f.admin.PutFile(f.ctx, name, []byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	if m := <-watched; m.Revision < 2 {
		t.Fatalf("the watch returned revision %d, want 2 or later", m.Revision)
	}

	setFault := func(fault standin.ConfigFault) {
		if err := f.admin.SetConfigFault(f.ctx, fault); err != nil {
			t.Fatal(err)
		}
	}
	read := func(c *platformapi.ConfigClient) (uint64, error) {
		m, err := c.Manifest(f.ctx)
		if err != nil {
			return 0, err
		}
		for _, file := range m.Files {
			if _, err := c.File(f.ctx, file); err != nil {
				return 0, err
			}
		}
		return m.Revision, nil
	}
	setFault(standin.ConfigFault{Mode: standin.ConfigTorn})
	var torn *platformapi.TornReadError
	if _, err := read(config); !errors.As(err, &torn) || torn.Name != name {
		t.Fatalf("torn read: got %v, want a TornReadError of the changed file", err)
	}
	setFault(standin.ConfigFault{Mode: standin.ConfigStale, Revision: 1})
	if revision, err := read(config); err != nil || revision != 1 {
		t.Fatalf("stale service: got revision %d, %v, want 1", revision, err)
	}
	setFault(standin.ConfigFault{Mode: standin.ConfigUp})
	setFault(standin.ConfigFault{Mode: standin.ConfigDown, DataCentres: []string{"dc1"}})
	var down *platformapi.UnavailableError
	if _, err := read(config); !errors.As(err, &down) {
		t.Fatalf("service that is down: got %v, want an UnavailableError", err)
	}
	if revision, err := read(other); err != nil || revision != 3 {
		t.Fatalf("data centre without the fault: got revision %d, %v, want 3", revision, err)
	}
}

func TestCableDownSeparatesDataCentres(t *testing.T) {
	f := newFixture(t, standin.Options{})
	yes := true
	links := map[wire.Role]string{wire.RoleRelay: f.s.AdminAddress()} // any HTTP server of the test
	change := standin.VMsChange{Cables: &yes, VMs: []platformapi.VM{{Name: "vm1", DataCentre: "dc1", Links: links}}}
	if err := f.admin.SetVMs(f.ctx, change); err != nil {
		t.Fatal(err)
	}
	adminVia := func(from string) *standin.AdminClient {
		list, err := platformapi.NewVMListClient(platformapi.ClientOptions{Address: f.s.PlatformAddress(), DataCentre: from}).List(f.ctx)
		if err != nil || len(list.VMs) != 1 {
			t.Fatalf("VM list: got %v, %v, want one VM", list, err)
		}
		return standin.NewAdminClient(list.VMs[0].Links[wire.RoleRelay])
	}
	reachable := func(a *standin.AdminClient) bool {
		_, err := a.Layout(f.ctx)
		return err == nil
	}
	affected := adminVia("dc2")
	for _, mode := range []standin.CableMode{standin.CableUp, standin.CableDown, standin.CableUp} {
		if err := f.admin.SetCables(f.ctx, standin.CableChange{Mode: mode, From: "dc1", To: "dc2"}); err != nil {
			t.Fatal(err)
		}
		if reachable(affected) != (mode == standin.CableUp) || !reachable(adminVia("dc3")) {
			t.Fatalf("cable between dc1 and dc2 is %s: wrong reachability from dc2 or dc3", mode)
		}
	}
}

func TestLayoutsSpreadReplicas(t *testing.T) {
	for _, setup := range []standin.Setup{standin.SetupCompetitions, standin.SetupHrabovsky, standin.SetupSmall} {
		layout, err := standin.NewLayout(1, 0, setup)
		if err != nil {
			t.Fatal(err)
		}
		dataCentres := make(map[string]string)
		for _, target := range layout.Targets {
			dataCentres[target.Name] = target.DataCentre
		}
		for _, search := range layout.Searches {
			for _, shard := range search.Versions[0].Shards {
				if len(shard.Targets) != 2 || dataCentres[shard.Targets[0]] == dataCentres[shard.Targets[1]] {
					t.Errorf("replicas of %s/%s are on %v, want two data centres", search.Name, shard.Name, shard.Targets)
				}
			}
		}
		for _, file := range standin.FolderFiles(layout, 1) {
			if !json.Valid(file.Data) {
				t.Errorf("file %s is not valid JSON", file.Name)
			}
		}
	}
}
