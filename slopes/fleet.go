package main

import (
	"fmt"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Sizes of the largest fleet that is measured, and the bounds of its targets.
const (
	fleetVMs          = 460
	fleetTargets      = 3000
	fleetShards       = 920
	fleetDataCentres  = 10
	fleetRegions      = 3
	targetsPerGroup   = 2
	replicasPerShard  = 3
	targetSlots       = 2
	targetConnections = 25
	targetColdSlots   = 1
)

// vmCounts and targetCounts are the sizes at which the control plane and the
// memory are measured.
var (
	vmCounts     = []int{115, 230, 460}
	targetCounts = []int{500, 1500, 3000}
)

func dataCentreName(i int) string { return fmt.Sprintf("dc%02d", i%fleetDataCentres) }
func regionName(i int) string     { return fmt.Sprintf("region-%d", i%fleetDataCentres%fleetRegions) }
func vmName(i int) string         { return fmt.Sprintf("vm%03d", i) }

// vmList returns a VM list in which each VM runs a gateway and a relay.
func vmList(sequence uint64, vms int) platformapi.VMList {
	list := platformapi.VMList{Sequence: sequence}
	for i := range vms {
		list.VMs = append(list.VMs, platformapi.VM{
			Name: vmName(i), DataCentre: dataCentreName(i), Region: regionName(i),
			Links: map[wire.Role]string{
				wire.RoleGateway: fmt.Sprintf("10.1.%d.%d:7100", i/250, i%250),
				wire.RoleRelay:   fmt.Sprintf("10.1.%d.%d:7200", i/250, i%250),
			},
		})
	}
	return list
}

func targetName(i int) string {
	return fmt.Sprintf("leaf-%04d-%c", i/targetsPerGroup, 'a'+i%targetsPerGroup)
}

// contracts returns the contracts of a folder with the given number of targets
// and one search, which has shards in proportion to the targets.
func contracts(targets int) *folder.Contracts {
	c := &folder.Contracts{
		Searches:    map[string]folder.Search{},
		Callers:     map[string]folder.Caller{},
		DataCentres: map[string]folder.DataCentre{},
		Targets:     map[string]folder.Target{},
	}
	for i := range fleetDataCentres {
		c.DataCentres[dataCentreName(i)] = folder.DataCentre{Name: dataCentreName(i), Region: regionName(i), State: folder.StateIn}
	}
	for i := range targets {
		name := targetName(i)
		c.Targets[name] = folder.Target{
			Name: name, Address: fmt.Sprintf("10.2.%d.%d:80", i/250, i%250), DataCentre: dataCentreName(i / targetsPerGroup),
			Group: fmt.Sprintf("leaf-%04d", i/targetsPerGroup), Slots: targetSlots, Connections: targetConnections,
			ColdSlots: targetColdSlots, State: folder.StateIn,
		}
	}
	shards := make(map[string][]string)
	for i := range max(1, targets*fleetShards/fleetTargets) {
		for r := range replicasPerShard {
			shard := fmt.Sprintf("s%03d", i)
			shards[shard] = append(shards[shard], targetName((i*replicasPerShard+r*targetsPerGroup+r)%targets))
		}
	}
	c.Searches["all"] = folder.Search{
		Name: "all", Current: "v1", Versions: map[string]folder.Version{"v1": {Sequence: 1, Shards: shards}},
		Deadline: time.Second, StragglerWait: 100 * time.Millisecond, MinCoverage: 0.9, HedgeFraction: 0.05, WarmAfter: 20,
	}
	return c
}
