package folder

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goldcrestmux/goldcrestmux/jsonc"
)

// Merged is the result of Load. A process that only enforces the contracts
// retains Contracts and drops the rest, which is several times larger.
type Merged struct {
	Contracts *Contracts

	root *jsonc.Node
}

// Fields returns the effective values with their origins, sorted by path. Each
// call decodes the folder again.
func (m *Merged) Fields() []Field {
	d := &decoder{recording: true}
	d.contracts(m.root)
	slices.SortFunc(d.fields, func(a, b Field) int { return strings.Compare(a.Path, b.Path) })
	return d.fields
}

// Load merges files in the order of their names, which need not be their order
// in the slice, and validates the result. Objects are merged recursively,
// scalars and lists are replaced, and null deletes a value.
//
// If the folder has any fault, Load returns a *FaultError that holds all of them.
func Load(files []File) (*Merged, error) {
	m := newMerger()
	for _, f := range sortFiles(files) {
		m.add(f)
	}
	d := &decoder{faults: m.faults, incomplete: m.incomplete}
	contracts := d.contracts(m.root)
	d.checkReferences(contracts)
	if len(d.faults) > 0 {
		return nil, &FaultError{Faults: jsonc.SortFaults(d.faults)}
	}
	return &Merged{Contracts: contracts, root: m.root}, nil
}

func (d *decoder) contracts(root *jsonc.Node) *Contracts {
	o := d.newObject(root, "")
	c := &Contracts{
		Searches:    map[string]Search{},
		Callers:     map[string]Caller{},
		DataCentres: map[string]DataCentre{},
		Targets:     map[string]Target{},
	}
	for _, e := range o.entries("searches") {
		c.Searches[e.name] = d.search(e)
	}
	for _, e := range o.entries("callers") {
		c.Callers[e.name] = d.caller(e)
	}
	for _, e := range o.entries("data_centres") {
		c.DataCentres[e.name] = d.dataCentre(e)
	}
	addresses := map[string]string{}
	for _, e := range o.entries("targets") {
		c.Targets[e.name] = d.target(e, addresses)
	}
	o.finish()
	return c
}

func (d *decoder) search(e entry) Search {
	o := d.newObject(e.node, e.path)
	s := Search{
		Name:          e.name,
		Current:       read(o, "current", nameRule),
		Versions:      d.versions(o),
		Deadline:      read(o, "deadline", deadlineRule),
		MinCoverage:   read(o, "min_coverage", minCoverageRule),
		HedgeFraction: read(o, "hedge_share", hedgeFractionRule),
		WarmAfter:     read(o, "warm_after", warmAfterRule),
	}
	s.StragglerWait = read(o, "wait", stragglerWaitRule.withDefault(s.Deadline))
	if s.StragglerWait > s.Deadline {
		d.fault(o.origin("wait"), o.fieldPath("wait"), s.StragglerWait.String()+" is longer than the deadline",
			"at most "+s.Deadline.String())
	}
	if _, ok := s.Versions[s.Current]; !ok && s.Current != "" {
		d.addReference("version of this search", s.Current, o.fieldPath("current"), noIndex, o.node.Members["current"])
	}
	o.finish()
	return s
}

func (d *decoder) versions(o *object) map[string]Version {
	const allowed = "an object of one or more versions by name"
	list := o.entries("versions")
	if len(list) == 0 {
		o.missing("versions", allowed)
	}
	versions := make(map[string]Version, len(list))
	sequences := map[int]string{}
	for _, e := range list {
		child := d.newObject(e.node, e.path)
		v := Version{
			Sequence: read(child, "sequence", sequenceRule),
			Shards:   d.shards(child),
		}
		child.finish()
		if other, ok := sequences[v.Sequence]; ok && v.Sequence != 0 {
			d.fault(child.origin("sequence"), child.fieldPath("sequence"),
				fmt.Sprintf("%d is also the sequence of version %s", v.Sequence, other),
				"a number that no other version of the search has")
		}
		sequences[v.Sequence] = e.name
		versions[e.name] = v
	}
	return versions
}

func (d *decoder) shards(o *object) map[string][]string {
	list := o.entries("shards")
	if len(list) == 0 {
		o.missing("shards", "an object of one or more shards, each a list of targets")
	}
	shards := make(map[string][]string, len(list))
	for _, e := range list {
		shards[e.name] = d.names(e.node, e.path, "target")
	}
	return shards
}

func (d *decoder) caller(e entry) Caller {
	o := d.newObject(e.node, e.path)
	c := Caller{
		Name:        e.name,
		TokenSHA256: read(o, "token_sha256", tokenRule),
		Actions:     read(o, "actions", actionsRule),
		Rate:        read(o, "rate", rateRule),
		Burst:       read(o, "burst", burstRule),
		Concurrency: read(o, "concurrency", concurrencyRule),
		Priority:    read(o, "priority", priorityRule),
	}
	if n := o.find("searches"); n != nil {
		c.Searches = d.names(n, o.fieldPath("searches"), "search")
	} else {
		o.missing("searches", "a list of one or more names of a search")
	}
	o.finish()
	return c
}

func (d *decoder) dataCentre(e entry) DataCentre {
	o := d.newObject(e.node, e.path)
	dc := DataCentre{
		Name:   e.name,
		Region: read(o, "region", nameRule),
		State:  read(o, "state", dataCentreStateRule),
	}
	o.finish()
	return dc
}

// target decodes one target. addresses maps the addresses of earlier targets to
// their names: a server with two names would get twice its limit.
func (d *decoder) target(e entry, addresses map[string]string) Target {
	o := d.newObject(e.node, e.path)
	t := Target{
		Name:        e.name,
		Address:     read(o, "address", addressRule),
		DataCentre:  read(o, "data_centre", nameRule),
		Group:       read(o, "group", nameRule.withDefault(e.name)),
		Slots:       read(o, "slots", slotsRule),
		Connections: read(o, "connections", connectionsRule),
		ColdSlots:   read(o, "cold_slots", coldSlotsRule),
		State:       read(o, "state", targetStateRule),
	}
	o.finish()
	if t.DataCentre != "" {
		d.addReference("data centre", t.DataCentre, o.fieldPath("data_centre"), noIndex, o.node.Members["data_centre"])
	}
	d.checkLimits(o, t)
	if other, ok := addresses[t.Address]; ok && t.Address != "" {
		d.fault(o.origin("address"), o.fieldPath("address"),
			fmt.Sprintf("%q is also the address of target %s", t.Address, other),
			"an address that no other target has")
	}
	addresses[t.Address] = e.name
	return t
}

// checkLimits reports limits of a target that contradict each other.
func (d *decoder) checkLimits(o *object, t Target) {
	if t.Slots == 0 || t.Connections == 0 {
		return
	}
	if t.ColdSlots > t.Slots {
		d.fault(o.origin("cold_slots"), o.fieldPath("cold_slots"),
			fmt.Sprintf("%d is more than the target's slots", t.ColdSlots),
			fmt.Sprintf("a whole number from 1 to %d", t.Slots))
	}
	if t.Connections < t.Slots {
		d.fault(o.origin("connections"), o.fieldPath("connections"),
			fmt.Sprintf("%d is less than the target's slots", t.Connections),
			fmt.Sprintf("a whole number from %d to %d", t.Slots, maxConnections))
	}
}

// checkReferences reports references to names that the folder does not define.
func (d *decoder) checkReferences(c *Contracts) {
	if d.incomplete {
		return
	}
	for _, r := range d.references {
		if !isDefined(c, r) {
			d.fault(r.node.Origin, r.field(), fmt.Sprintf("there is no %s %q", r.kind, r.name),
				"the name of a "+r.kind+" that the folder defines")
		}
	}
}

func isDefined(c *Contracts, r reference) bool {
	var ok bool
	switch r.kind {
	case "target":
		_, ok = c.Targets[r.name]
	case "data centre":
		_, ok = c.DataCentres[r.name]
	case "search":
		_, ok = c.Searches[r.name]
	}
	return ok
}
