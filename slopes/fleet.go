package main

import (
	"fmt"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// The large fleet whose parts are measured, and the sizes below it.
const (
	fleetVMs       = 460
	fleetTargets   = 3000
	fleetShards    = 920
	fleetCentres   = 10
	fleetRegions   = 3
	groupTargets   = 2 // targets of one group
	shardReplicas  = 3
	targetSlots    = 2
	targetConns    = 25
	targetColdSlot = 1
)

// vmCounts and targetCounts are the sizes at which control is measured.
var (
	vmCounts     = []int{115, 230, 460}
	targetCounts = []int{500, 1500, 3000}
)

func centre(i int) string { return fmt.Sprintf("dc%02d", i%fleetCentres) }
func region(i int) string { return fmt.Sprintf("region-%d", i%fleetCentres%fleetRegions) }
func vmName(i int) string { return fmt.Sprintf("vm%03d", i) }

// vmList returns a list of VMs that each run a gateway and a relay.
func vmList(sequence uint64, vms int) platformapi.VMList {
	list := platformapi.VMList{Sequence: sequence}
	for i := range vms {
		list.VMs = append(list.VMs, platformapi.VM{
			Name: vmName(i), DataCentre: centre(i), Region: region(i),
			Links: map[wire.Role]string{
				wire.RoleGateway: fmt.Sprintf("10.1.%d.%d:7100", i/250, i%250),
				wire.RoleRelay:   fmt.Sprintf("10.1.%d.%d:7200", i/250, i%250),
			},
		})
	}
	return list
}

func targetName(i int) string { return fmt.Sprintf("leaf-%04d-%c", i/groupTargets, 'a'+i%groupTargets) }

// contracts returns contracts of one search over the targets.
func contracts(targets int) *folder.Contracts {
	c := &folder.Contracts{
		Searches:    map[string]folder.Search{},
		Callers:     map[string]folder.Caller{},
		DataCentres: map[string]folder.DataCentre{},
		Targets:     map[string]folder.Target{},
	}
	for i := range fleetCentres {
		c.DataCentres[centre(i)] = folder.DataCentre{Name: centre(i), Region: region(i), State: folder.StateIn}
	}
	for i := range targets {
		name := targetName(i)
		c.Targets[name] = folder.Target{
			Name: name, Address: fmt.Sprintf("10.2.%d.%d:80", i/250, i%250), DataCentre: centre(i / groupTargets),
			Group: fmt.Sprintf("leaf-%04d", i/groupTargets), Slots: targetSlots, Connections: targetConns,
			ColdSlots: targetColdSlot, State: folder.StateIn,
		}
	}
	shards := make(map[string][]string)
	for i := range max(1, targets*fleetShards/fleetTargets) {
		for r := range shardReplicas {
			shard := fmt.Sprintf("s%03d", i)
			shards[shard] = append(shards[shard], targetName((i*shardReplicas+r*groupTargets+r)%targets))
		}
	}
	c.Searches["all"] = folder.Search{
		Name: "all", Current: "v1", Versions: map[string]folder.Version{"v1": {Sequence: 1, Shards: shards}},
		Deadline: time.Second, StragglerWait: 100 * time.Millisecond, MinCoverage: 0.9, HedgeFraction: 0.05, WarmAfter: 20,
	}
	return c
}
