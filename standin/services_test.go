package standin_test

import (
	"encoding/json"
	"testing"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/standin"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

func TestConfigurationFaults(t *testing.T) {
	b := newBench(t, standin.Options{})
	config := platformapi.NewConfigClient(platformapi.ClientOptions{Address: b.s.PlatformAddress(), DataCentre: "dc1"})
	other := platformapi.NewConfigClient(platformapi.ClientOptions{Address: b.s.PlatformAddress(), DataCentre: "dc2"})
	watched := make(chan platformapi.Manifest, 1)
	go func() {
		m, _, _ := config.Watch(b.ctx, 1, ample)
		watched <- m
	}()
	name := "50-note.json"
	for _, data := range []string{`{"a":1}`, `{"a":2}`} {
		if _, err := b.admin.PutFile(b.ctx, name, []byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	if m := <-watched; m.Revision < 2 {
		t.Fatalf("the watch gave revision %d", m.Revision)
	}

	fault := func(f standin.ConfigFault) {
		if err := b.admin.SetConfigFault(b.ctx, f); err != nil {
			t.Fatal(err)
		}
	}
	read := func(c *platformapi.ConfigClient) (uint64, error) {
		m, err := c.Manifest(b.ctx)
		if err != nil {
			return 0, err
		}
		for _, f := range m.Files {
			if _, err := c.File(b.ctx, f); err != nil {
				return 0, err
			}
		}
		return m.Revision, nil
	}
	fault(standin.ConfigFault{Mode: standin.ConfigTorn})
	var torn *platformapi.TornReadError
	if _, err := read(config); !errors.As(err, &torn) || torn.Name != name {
		t.Fatalf("a torn read gave %v", err)
	}
	fault(standin.ConfigFault{Mode: standin.ConfigStale, Revision: 1})
	if revision, err := read(config); err != nil || revision != 1 {
		t.Fatalf("stale: revision %d, %v", revision, err)
	}
	fault(standin.ConfigFault{Mode: standin.ConfigUp})
	fault(standin.ConfigFault{Mode: standin.ConfigDown, DataCentres: []string{"dc1"}})
	var down *platformapi.UnavailableError
	if _, err := read(config); !errors.As(err, &down) {
		t.Fatalf("down: %v", err)
	}
	if revision, err := read(other); err != nil || revision != 3 {
		t.Fatalf("another data centre: revision %d, %v", revision, err)
	}
}

func TestCablesCutDataCentres(t *testing.T) {
	b := newBench(t, standin.Options{})
	yes := true
	links := map[wire.Role]string{wire.RoleRelay: b.s.AdminAddress()} // any listener will do
	change := standin.VMsChange{Cables: &yes, VMs: []platformapi.VM{{Name: "vm1", DataCentre: "dc1", Links: links}}}
	if err := b.admin.SetVMs(b.ctx, change); err != nil {
		t.Fatal(err)
	}
	through := func(from string) *standin.AdminClient {
		list, err := platformapi.NewVMListClient(platformapi.ClientOptions{Address: b.s.PlatformAddress(), DataCentre: from}).List(b.ctx)
		if err != nil || len(list.VMs) != 1 {
			t.Fatalf("list %v, %v", list, err)
		}
		return standin.NewAdminClient(list.VMs[0].Links[wire.RoleRelay])
	}
	works := func(a *standin.AdminClient) bool {
		_, err := a.Layout(b.ctx)
		return err == nil
	}
	cut := through("dc2")
	for _, mode := range []standin.CableMode{standin.CableUp, standin.CableDown, standin.CableUp} {
		if err := b.admin.SetCables(b.ctx, standin.CableChange{Mode: mode, From: "dc1", To: "dc2"}); err != nil {
			t.Fatal(err)
		}
		if works(cut) != (mode == standin.CableUp) || !works(through("dc3")) {
			t.Fatalf("cable is %s: the wrong data centre is cut off", mode)
		}
	}
}

func TestLayoutsSpreadReplicas(t *testing.T) {
	for _, setup := range []standin.Setup{standin.SetupCompetitions, standin.SetupHrabovsky, standin.SetupSmall} {
		layout, err := standin.NewLayout(1, 0, setup)
		if err != nil {
			t.Fatal(err)
		}
		places := make(map[string]string)
		for _, target := range layout.Targets {
			places[target.Name] = target.DataCentre
		}
		for _, search := range layout.Searches {
			for _, shard := range search.Versions[0].Shards {
				if len(shard.Targets) != 2 || places[shard.Targets[0]] == places[shard.Targets[1]] {
					t.Errorf("%s/%s is on %v", search.Name, shard.Name, shard.Targets)
				}
			}
		}
		for _, f := range standin.FolderFiles(layout, 1) {
			if !json.Valid(f.Data) {
				t.Errorf("file %s isn't JSON", f.Name)
			}
		}
	}
}
