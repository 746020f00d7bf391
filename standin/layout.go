package standin

import (
	"fmt"
	"slices"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/corpus"
)

// Setup is the name of a set of searches, targets and callers.
type Setup string

// Setups. The first two have the sizes of the systems of the firms Competitions and
// Hrabovsky.
const (
	SetupCompetitions Setup = "competitions"
	SetupHrabovsky    Setup = "hrabovsky"
	SetupSmall        Setup = "small"
	// SetupStragglers has one search of 40 shards with two replicas each.
	SetupStragglers Setup = "stragglers"
)

// Names of the two index versions of each search.
const (
	FirstVersion  = "v1"
	SecondVersion = "v2"
)

const (
	region           = "region-1"
	replicas         = 2
	colocatedTargets = 2 // targets of an instance, in the searches whose instances have several
	addedShards      = 1 // shards that only the second version has
)

// Layout describes the searches and targets of a stand-in.
type Layout struct {
	Seed        uint64         `json:"seed"`
	Records     int            `json:"records"`
	DataCentres []string       `json:"data_centres"`
	Searches    []SearchLayout `json:"searches"`
	Targets     []TargetLayout `json:"targets"`
}

// SearchLayout describes one search.
type SearchLayout struct {
	Name     string          `json:"name"`
	Kind     corpus.Kind     `json:"kind"`
	Versions []VersionLayout `json:"versions"`
}

// VersionLayout describes one index version.
type VersionLayout struct {
	Name     string        `json:"name"`
	Sequence int           `json:"sequence"`
	Shards   []ShardLayout `json:"shards"`
}

// ShardNames returns the names of the version's shards.
func (v VersionLayout) ShardNames() []string {
	names := make([]string, len(v.Shards))
	for i, s := range v.Shards {
		names[i] = s.Name
	}
	return names
}

// ShardLayout names the targets that hold a shard.
type ShardLayout struct {
	Name    string   `json:"name"`
	Targets []string `json:"targets"`
}

// TargetLayout describes one target and its limits.
type TargetLayout struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Group      string `json:"group"`
	Search     string `json:"search"`
	Slots      int    `json:"slots"`
	// Connections is the maximum number of open connections.
	Connections int `json:"connections"`
	ColdSlots   int `json:"cold_slots"`
	// ConnectTime is the time that passes before the target reads the first request
	// on a new connection.
	ConnectTime Duration `json:"connect_time"`
}

// app describes the targets of one application.
type app struct {
	name               string
	kind               corpus.Kind
	instances          int
	targetsPerInstance int
	shards             int
	slots              int
	connections        int
	connectTime        Duration
}

const millisecond = Duration(1e6)

var setups = map[Setup][]app{
	SetupCompetitions: {
		{"judges", corpus.Competition, 20, colocatedTargets, 20, 2, 25, 6 * millisecond},
		{"portal", corpus.Competition, 30, colocatedTargets, 30, 2, 25, 6 * millisecond},
		{"entrants", corpus.Competition, 13, 1, 13, 3, 100, millisecond},
		{"results", corpus.Competition, 6, 1, 6, 3, 100, millisecond},
	},
	SetupHrabovsky: {
		{"workbench", corpus.Substance, 20, colocatedTargets, 20, 2, 25, 6 * millisecond},
		{"registrants", corpus.Substance, 30, colocatedTargets, 30, 2, 25, 6 * millisecond},
		{"viewer", corpus.Substance, 5, 1, 5, 4, 45, millisecond},
		{"drafting", corpus.Substance, 3, 1, 3, 4, 45, millisecond},
	},
	SetupSmall: {
		{"small", corpus.Competition, 8, 1, 4, 2, 25, millisecond},
	},
	SetupStragglers: {
		{"wide", corpus.Competition, 80, 1, 40, 2, 25, millisecond},
	},
}

// NewLayout returns the layout of the named setups. The addresses of targets are
// empty until their listeners are open.
func NewLayout(seed uint64, records int, names ...Setup) (Layout, error) {
	layout := Layout{Seed: seed, Records: records, DataCentres: []string{"dc1", "dc2", "dc3"}}
	for _, name := range names {
		apps, ok := setups[name]
		if !ok {
			return Layout{}, errors.NotValidf("setup %q", name)
		}
		for _, a := range apps {
			layout.add(a)
		}
	}
	return layout, nil
}

func (l *Layout) add(a app) {
	targets := a.targets(l.DataCentres)
	l.Targets = append(l.Targets, targets...)
	l.Searches = append(l.Searches, SearchLayout{
		Name: a.name,
		Kind: a.kind,
		Versions: []VersionLayout{
			{Name: FirstVersion, Sequence: 1, Shards: placeShards(a.shards, targets)},
			{Name: SecondVersion, Sequence: 2, Shards: placeShards(a.shards+addedShards, targets)},
		},
	})
}

func (a app) targets(dataCentres []string) []TargetLayout {
	var targets []TargetLayout
	for i := range a.instances {
		instance := fmt.Sprintf("%s-%02d", a.name, i+1)
		for j := range a.targetsPerInstance {
			name := instance
			if a.targetsPerInstance > 1 {
				name = fmt.Sprintf("%s-%c", instance, 'a'+j)
			}
			targets = append(targets, TargetLayout{
				Name: name, Group: instance, Search: a.name,
				DataCentre: dataCentres[i%len(dataCentres)],
				Slots:      a.slots, Connections: a.connections, ColdSlots: 1,
				ConnectTime: a.connectTime,
			})
		}
	}
	return targets
}

// placeShards assigns each shard to two of the targets with the fewest shards, in
// different data centres.
func placeShards(shards int, targets []TargetLayout) []ShardLayout {
	load := make([]int, len(targets)) // shards of each target
	out := make([]ShardLayout, shards)
	for s := range out {
		out[s].Name = fmt.Sprintf("s%02d", s)
		first := leastLoaded(targets, load, "")
		load[first]++
		second := leastLoaded(targets, load, targets[first].DataCentre)
		load[second]++
		out[s].Targets = []string{targets[first].Name, targets[second].Name}
	}
	return out
}

// leastLoaded returns the index of the target with the fewest shards outside
// excludedDataCentre.
func leastLoaded(targets []TargetLayout, load []int, excludedDataCentre string) int {
	best := -1
	for i, t := range targets {
		if t.DataCentre != excludedDataCentre && (best < 0 || load[i] < load[best]) {
			best = i
		}
	}
	return best
}

// search returns the layout of the named search.
func (l *Layout) search(name string) (SearchLayout, bool) {
	i := slices.IndexFunc(l.Searches, func(s SearchLayout) bool { return s.Name == name })
	if i < 0 {
		return SearchLayout{}, false
	}
	return l.Searches[i], true
}
