package replica

import (
	"math/rand/v2"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// maxCandidates is the maximum number of routes that one choice considers.
const maxCandidates = 32

// Purpose is the kind of attempt that a choice is for.
type Purpose uint8

// Kinds of attempts.
const (
	// FirstAttempt is a first attempt, or one that replaces an attempt of which
	// no byte reached a target.
	FirstAttempt Purpose = iota
	// ExtraAttempt is a hedge or a retry. It is never routed to a cold target, nor
	// to a demoted one.
	ExtraAttempt
)

// Choice is the route chosen for a sub-request, with the target's state.
type Choice struct {
	Relay  string
	Target string
	State  wire.TargetState
}

// Exclusion excludes routes from a choice. An empty field stands for any relay
// or any target.
type Exclusion struct {
	Relay  string
	Target string
}

func (e Exclusion) matches(relay, target string) bool {
	return (e.Relay == "" || e.Relay == relay) && (e.Target == "" || e.Target == target)
}

// candidates is the set of routes that one choice draws from.
type candidates struct {
	routes [maxCandidates]*route
	count  int
	weight int // sum of the limits of routes
}

func (c *candidates) add(r *route) {
	if c.count < maxCandidates {
		c.routes[c.count] = r
		c.count++
		c.weight += r.limit
	}
}

// draw removes and returns a route at random in proportion to its limit.
func (c *candidates) draw(rng *rand.Rand) *route {
	at := rng.IntN(c.weight)
	i := 0
	for ; i < c.count-1; i++ {
		at -= c.routes[i].limit
		if at < 0 {
			break
		}
	}
	r := c.routes[i]
	c.count--
	c.routes[i] = c.routes[c.count]
	c.weight -= r.limit
	return r
}

// Pick chooses the route for a shard that the given targets hold. The code is
// code.OK if there is one, code.TargetCold if the only usable routes lead to
// cold targets that have reached their limit, and otherwise code.NoReplica. Pick
// does not allocate. The same state, arguments and random source give the same
// choice.
func (t *Table) Pick(now time.Time, rng *rand.Rand, targets []string, purpose Purpose, exclude []Exclusion) (Choice, code.Code) {
	var healthy, demoted candidates
	coldAtLimit := false
	for _, name := range targets {
		tg, ok := t.targets[name]
		if !ok || !tg.inService {
			continue
		}
		for _, r := range tg.routes {
			if r.limit == 0 || excluded(exclude, r.relay, name) {
				continue
			}
			if r.state == wire.TargetCold && (purpose == ExtraAttempt || t.load(now, r) >= r.limit) {
				coldAtLimit = true
				continue
			}
			if r.demotion.active(now) || tg.demotion.active(now) {
				demoted.add(r)
				continue
			}
			healthy.add(r)
		}
	}
	switch {
	case healthy.count > 0:
		return t.choose(now, rng, &healthy), code.OK
	case demoted.count > 0 && purpose == FirstAttempt:
		return t.choose(now, rng, &demoted), code.OK
	case coldAtLimit && purpose == FirstAttempt:
		return Choice{}, code.TargetCold
	default:
		return Choice{}, code.NoReplica
	}
}

func excluded(exclude []Exclusion, relay, target string) bool {
	for _, e := range exclude {
		if e.matches(relay, target) {
			return true
		}
	}
	return false
}

// choose draws two routes and returns the better one. A route to a cold target
// that is drawn first is taken without comparison: it is below its limit, and
// only completed work warms the target. One that is drawn second is never taken.
func (t *Table) choose(now time.Time, rng *rand.Rand, c *candidates) Choice {
	first := c.draw(rng)
	if c.count == 0 || first.state == wire.TargetCold || t.opts.Mode == ModeRandom {
		return first.choice()
	}
	second := c.draw(rng)
	if second.state != wire.TargetCold && t.better(now, second, first) {
		return second.choice()
	}
	return first.choice()
}

// better reports whether a response by route a is expected sooner than by route
// b. If the costs are equal, a target in the local data centre is better than
// one in a remote data centre.
func (t *Table) better(now time.Time, a, b *route) bool {
	costA, costB := t.cost(now, a), t.cost(now, b)
	if costA != costB {
		return costA < costB
	}
	local := t.opts.DataCentre
	return a.target.dataCentre == local && b.target.dataCentre != local
}

// cost returns the expected time in nanoseconds until the response to a new
// request: the service time, once for the request and once for each round of
// requests ahead of it.
func (t *Table) cost(now time.Time, r *route) float64 {
	rounds := float64(t.load(now, r)) / float64(r.limit)
	service := t.serviceTime(now, r.target)
	if service <= t.opts.Tolerance*t.meanServiceTime {
		service = t.meanServiceTime
	}
	return max(service, 1) * (1 + rounds)
}

func (r *route) choice() Choice {
	return Choice{Relay: r.relay, Target: r.target.name, State: r.state}
}
