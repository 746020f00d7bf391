package replica

import (
	"math/rand/v2"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// maxCandidates is the number of routes that one choice looks at.
const maxCandidates = 32

// Purpose tells what the choice is for.
type Purpose uint8

// Purposes of a choice.
const (
	// FirstAttempt is a first attempt, or one that replaces an attempt of which no
	// byte reached a target.
	FirstAttempt Purpose = iota
	// ExtraAttempt is a hedge or a retry. It never goes to a cold target, nor to one
	// that has just failed or shed work.
	ExtraAttempt
)

// Choice is the way that a sub-request takes.
type Choice struct {
	Relay  string
	Target string
	State  wire.TargetState
}

// Exclusion excludes routes from a choice. An empty field stands for any relay or
// any target.
type Exclusion struct {
	Relay  string
	Target string
}

func (a Exclusion) matches(relay, target string) bool {
	return (a.Relay == "" || a.Relay == relay) && (a.Target == "" || a.Target == target)
}

// candidates is the set of routes that one choice draws from.
type candidates struct {
	routes [maxCandidates]*route
	count  int
	weight int
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
// cold targets that already carry their limit, and else code.NoReplica. Pick
// doesn't allocate. The same state, arguments and random source give the same
// choice.
func (t *Table) Pick(now time.Time, rng *rand.Rand, targets []string, purpose Purpose, avoid []Exclusion) (Choice, code.Code) {
	var healthy, demoted candidates
	full := false
	for _, name := range targets {
		tg, ok := t.targets[name]
		if !ok || !tg.in {
			continue
		}
		for _, r := range tg.routes {
			if r.limit == 0 || avoided(avoid, r.relay, name) {
				continue
			}
			if r.state == wire.TargetCold && (purpose == ExtraAttempt || t.load(now, r) >= r.limit) {
				full = true
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
	case full && purpose == FirstAttempt:
		return Choice{}, code.TargetCold
	default:
		return Choice{}, code.NoReplica
	}
}

func avoided(avoid []Exclusion, relay, target string) bool {
	for _, a := range avoid {
		if a.matches(relay, target) {
			return true
		}
	}
	return false
}

// choose draws two routes and returns the better one. A cold route that is
// drawn first is taken at once: it has room, and only completed work warms the
// target. A cold route drawn second yields to a warm one.
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

// better tells whether route a is expected to answer sooner than route b. Only
// on a tie the data centre decides.
func (t *Table) better(now time.Time, a, b *route) bool {
	costA, costB := t.cost(now, a), t.cost(now, b)
	if costA != costB {
		return costA < costB
	}
	near := t.opts.DataCentre
	return a.target.dataCentre == near && b.target.dataCentre != near
}

// cost is the expected time until a new request is answered: the service time,
// once for itself and once for each round of requests ahead of it.
func (t *Table) cost(now time.Time, r *route) float64 {
	rounds := float64(t.load(now, r)) / float64(r.limit)
	service := t.serviceTime(now, r.target)
	if service <= t.opts.Tolerance*t.meanService {
		service = t.meanService
	}
	return max(service, 1) * (1 + rounds)
}

func (r *route) choice() Choice {
	return Choice{Relay: r.relay, Target: r.target.name, State: r.state}
}
