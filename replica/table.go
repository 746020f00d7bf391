// Package replica chooses the relay and the target that serve a shard, from the
// grants that relays push and the load that this gateway has observed.
//
// The choice is the better of two routes drawn at random in proportion to their
// limits. It needs no state shared between gateways, and gateways do not all
// choose the same target at once. The package reads neither a clock nor a global
// random source: both are passed in.
package replica

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Defaults of Options.
const (
	DefaultShedBackoff    = 250 * time.Millisecond
	DefaultFailureBackoff = 1 * time.Second
	DefaultMaxBackoff     = 8 * time.Second
	DefaultQueueMaxAge    = 100 * time.Millisecond
	DefaultServiceDecay   = 5 * time.Second
	DefaultTolerance      = 2.0
)

// Mode selects how a replica is chosen.
type Mode string

// Values of Mode.
const (
	// ModeP2C takes the better of two routes drawn at random.
	ModeP2C Mode = "p2c"
	// ModeRandom takes the first route drawn; it is a baseline for comparison.
	ModeRandom Mode = "random"
)

// Options configures a Table. Zero fields other than DataCentre stand for their
// defaults.
type Options struct {
	// Mode is how a replica is chosen; ModeP2C if empty.
	Mode Mode
	// DataCentre is the gateway's data centre. It decides only between routes of
	// equal cost.
	DataCentre string
	// ShedBackoff is how long a target that shed work is demoted, unless it
	// requests a longer delay.
	ShedBackoff time.Duration
	// FailureBackoff is how long a route or target that failed is demoted.
	FailureBackoff time.Duration
	// MaxBackoff bounds the demotion, which doubles with each consecutive failure.
	MaxBackoff time.Duration
	// QueueMaxAge is how long a queue length reported by a relay is used.
	QueueMaxAge time.Duration
	// ServiceDecay is the time in which the estimated service time of an unused
	// target decays half way to the mean of all targets, so that the target is
	// tried again.
	ServiceDecay time.Duration
	// Tolerance is the multiple of the mean service time of all targets up to
	// which a target's own service time counts as the mean. A slightly slower
	// replica still gets its proportion of first attempts, because the budget of
	// hedges to a target depends on the number of its first attempts.
	Tolerance float64
}

func (o Options) withDefaults() Options {
	o.ShedBackoff = cmp.Or(o.ShedBackoff, DefaultShedBackoff)
	o.FailureBackoff = cmp.Or(o.FailureBackoff, DefaultFailureBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	o.QueueMaxAge = cmp.Or(o.QueueMaxAge, DefaultQueueMaxAge)
	o.ServiceDecay = cmp.Or(o.ServiceDecay, DefaultServiceDecay)
	o.Tolerance = cmp.Or(o.Tolerance, DefaultTolerance)
	return o
}

// Table holds the routes to all targets. It is not safe for concurrent use.
type Table struct {
	opts    Options
	targets map[string]*target
	// meanServiceTime is the moving average of service times over all targets, in
	// nanoseconds.
	meanServiceTime float64
}

// target is one target with its routes.
type target struct {
	name        string
	dataCentre  string
	inService   bool
	routes      []*route
	serviceTime estimate
	demotion    demotion
}

// route is the path to one target through one relay.
type route struct {
	relay  string
	target *target
	state  wire.TargetState
	limit  int
	// outstanding is the number of this gateway's requests in progress.
	outstanding int
	// queueLength is the relay's own count in its last response, at queueLengthAt.
	queueLength   int
	queueLengthAt time.Time
	demotion      demotion
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{opts: opts.withDefaults(), targets: map[string]*target{}}
}

// SetTarget sets a target's data centre and whether new work may be sent to it.
// inService must be false for a target that is out of service or leaving, or whose
// data centre is.
func (t *Table) SetTarget(name, dataCentre string, inService bool) {
	tg := t.target(name)
	tg.dataCentre = dataCentre
	tg.inService = inService
}

// RemoveTarget removes a target that is no longer in the contracts. Done must
// still be called for its requests in progress.
func (t *Table) RemoveTarget(name string) {
	if tg, ok := t.targets[name]; ok {
		tg.inService = false
		t.prune(tg)
	}
}

// SetGrants applies the grants of one frame from a relay. If one of them is
// marked Full, all earlier grants of the relay are void.
func (t *Table) SetGrants(relay string, grants []wire.Grant) {
	if slices.ContainsFunc(grants, func(g wire.Grant) bool { return g.Full }) {
		t.RemoveRelay(relay)
	}
	for _, g := range grants {
		if g.Target != "" {
			t.applyGrant(relay, g)
		}
	}
}

// SetGrant applies one grant, as SetGrants does.
func (t *Table) SetGrant(relay string, g wire.Grant) {
	t.SetGrants(relay, []wire.Grant{g})
}

func (t *Table) applyGrant(relay string, g wire.Grant) {
	tg := t.target(g.Target)
	r := tg.route(relay)
	if r == nil {
		if g.Limit == 0 {
			t.prune(tg)
			return
		}
		r = &route{relay: relay, target: tg}
		at, _ := slices.BinarySearchFunc(tg.routes, relay, compareRelay)
		tg.routes = slices.Insert(tg.routes, at, r)
	}
	if g.State > r.state {
		tg.demotion.failures = 0
	}
	r.state = g.State
	r.limit = int(g.Limit)
	if g.State != wire.TargetCold && g.State != wire.TargetWarm {
		r.limit = 0
	}
	t.prune(tg)
}

// RemoveRelay voids all grants of a relay whose link is lost.
func (t *Table) RemoveRelay(relay string) {
	for _, tg := range t.targets {
		if r := tg.route(relay); r != nil {
			r.limit = 0
			t.prune(tg)
		}
	}
}

// prune removes the target's routes that have neither a limit nor requests in
// progress, and the target itself if it has no routes and is not in service.
func (t *Table) prune(tg *target) {
	tg.routes = slices.DeleteFunc(tg.routes, func(r *route) bool {
		return r.limit == 0 && r.outstanding == 0
	})
	if len(tg.routes) == 0 && !tg.inService {
		delete(t.targets, tg.name)
	}
}

func (t *Table) target(name string) *target {
	tg, ok := t.targets[name]
	if !ok {
		tg = &target{name: name}
		t.targets[name] = tg
	}
	return tg
}

func (t *Table) route(relay, name string) *route {
	tg, ok := t.targets[name]
	if !ok {
		return nil
	}
	return tg.route(relay)
}

func (tg *target) route(relay string) *route {
	i, ok := slices.BinarySearchFunc(tg.routes, relay, compareRelay)
	if !ok {
		return nil
	}
	return tg.routes[i]
}

func compareRelay(r *route, relay string) int { return strings.Compare(r.relay, relay) }
