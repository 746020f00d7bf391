// Package replica chooses the relay and the target that serve a shard, from
// the holdings that relays push and the load that this gateway has seen.
//
// The choice is the better of two routes drawn at random in proportion to
// their limits, which needs no shared state and doesn't herd. The package is
// pure: time and randomness are passed in.
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

// Modes. ModeRandom serves as a baseline.
const (
	// ModeP2C takes the better of two routes drawn at random.
	ModeP2C Mode = "p2c"
	// ModeRandom takes the first route that is drawn.
	ModeRandom Mode = "random"
)

// Options sets up a Table. A zero duration means its default.
type Options struct {
	// Mode is how a replica is chosen; ModeP2C if empty.
	Mode Mode
	// DataCentre is where the gateway stands; it breaks ties only.
	DataCentre string
	// ShedBackoff is how long a target that shed work is demoted, if its refusal
	// doesn't say.
	ShedBackoff time.Duration
	// FailureBackoff is how long a route or target that failed is demoted.
	FailureBackoff time.Duration
	// MaxBackoff bounds the demotion, which doubles with each failure in a row.
	MaxBackoff time.Duration
	// QueueMaxAge is how long a queue length reported by a relay is believed.
	QueueMaxAge time.Duration
	// ServiceDecay is the time in which an unused target's measured service
	// time falls half way back to the mean of all, so that it is tried again.
	ServiceDecay time.Duration
	// Tolerance is the multiple of the mean service time of all targets up to
	// which a target's own counts as the mean. A replica that is a little
	// slower is not avoided: the budget of hedges to a target follows its
	// first attempts, so that each replica needs its part of them.
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

// Table holds the routes to all targets. It is not locked; the caller serialises.
type Table struct {
	opts    Options
	targets map[string]*target
	// meanService is the moving mean of service times over all targets.
	meanService float64
}

// target is one back end with its routes.
type target struct {
	name       string
	dataCentre string
	in         bool
	routes     []*route
	service    estimate
	demotion   demotion
}

// route is the way to one target through one relay.
type route struct {
	relay  string
	target *target
	state  wire.TargetState
	limit  int
	// outstanding is the number of this gateway's requests in progress.
	outstanding int
	// queue is the relay's own count when it last replied, at queueAt.
	queue    int
	queueAt  time.Time
	demotion demotion
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{opts: opts.withDefaults(), targets: map[string]*target{}}
}

// SetTarget sets a target's data centre and whether new work may go to it. It
// is false when the target or its data centre is out of service or leaving.
func (t *Table) SetTarget(name, dataCentre string, in bool) {
	tg := t.target(name)
	tg.dataCentre = dataCentre
	tg.in = in
}

// RemoveTarget takes a target out that is no longer in the contracts. Requests
// in progress at it are still counted down by Done.
func (t *Table) RemoveTarget(name string) {
	if tg, ok := t.targets[name]; ok {
		tg.in = false
		t.prune(tg)
	}
}

// SetGrants applies the holdings of one frame from a relay. If one of them
// is marked Full, all earlier holdings of the relay are void.
func (t *Table) SetGrants(relay string, holdings []wire.Grant) {
	if slices.ContainsFunc(holdings, func(h wire.Grant) bool { return h.Full }) {
		t.RemoveRelay(relay)
	}
	for _, h := range holdings {
		if h.Target != "" {
			t.set(relay, h)
		}
	}
}

// SetGrant applies one holding, as SetHoldings does.
func (t *Table) SetGrant(relay string, h wire.Grant) {
	t.SetGrants(relay, []wire.Grant{h})
}

func (t *Table) set(relay string, h wire.Grant) {
	tg := t.target(h.Target)
	r := tg.route(relay)
	if r == nil {
		if h.Limit == 0 {
			t.prune(tg)
			return
		}
		r = &route{relay: relay, target: tg}
		at, _ := slices.BinarySearchFunc(tg.routes, relay, byRelay)
		tg.routes = slices.Insert(tg.routes, at, r)
	}
	if h.State > r.state {
		tg.demotion.failures = 0
	}
	r.state = h.State
	r.limit = int(h.Limit)
	if h.State != wire.TargetCold && h.State != wire.TargetWarm {
		r.limit = 0
	}
	t.prune(tg)
}

// RemoveRelay voids all holdings of a relay whose link is gone.
func (t *Table) RemoveRelay(relay string) {
	for _, tg := range t.targets {
		if r := tg.route(relay); r != nil {
			r.limit = 0
			t.prune(tg)
		}
	}
}

// prune removes routes without limit and work, and targets without use.
func (t *Table) prune(tg *target) {
	tg.routes = slices.DeleteFunc(tg.routes, func(r *route) bool {
		return r.limit == 0 && r.outstanding == 0
	})
	if len(tg.routes) == 0 && !tg.in {
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
	i, ok := slices.BinarySearchFunc(tg.routes, relay, byRelay)
	if !ok {
		return nil
	}
	return tg.routes[i]
}

func byRelay(r *route, relay string) int { return strings.Compare(r.relay, relay) }
