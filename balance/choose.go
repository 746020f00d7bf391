package balance

import (
	"math"
	"time"
)

// Profile describes the requests that a target is chosen for.
type Profile struct {
	// Expected is the usual time of an attempt.
	Expected time.Duration
	// OverdueAfter is the time of an attempt beyond which its target is likely
	// to be stalled.
	OverdueAfter time.Duration
	// RemotePenalty is the cost, as a time, of using a target in a remote data
	// centre.
	RemotePenalty time.Duration
	// Extra is true for a hedge or a retry, which is not sent to find out whether a slow target
	// has recovered.
	Extra bool
}

// Candidate is a target that may be chosen.
type Candidate struct {
	Stats *Stats
	Slots int
	// Remote is true if the target is in a remote data centre.
	Remote bool
	// Cold is true if the target has started recently.
	Cold bool
	// ColdLimited is true if the target is cold and fails requests beyond a low
	// rate while it is cold.
	ColdLimited bool
	// LastResort is true for a target that is used only if there is no other.
	LastResort bool
	// NeedsConnection is true if no connection to the target is free.
	NeedsConnection bool
	// PriorAttempts is the number of earlier attempts of the request at the
	// target.
	PriorAttempts int
}

// Costs, added to the expected time, of what makes a target a worse choice.
const (
	// overdueCost applies to a target with an overdue attempt while the length of its pauses
	// is not known.
	overdueCost = 150 * time.Millisecond
	// failureCost is the cost of a failed attempt: the time until another
	// target is tried, and an attempt drawn from the retry budget.
	failureCost = 200 * time.Millisecond
	// unreachableCost applies to a target to which connecting has failed.
	unreachableCost = 2 * time.Second
	// priorAttemptCost applies to a target that the request was sent to before.
	priorAttemptCost = 5 * time.Second
	// coldLimitedCost applies to a target with a low rate limit while it is cold, so
	// that it is chosen only if the others cost more.
	coldLimitedCost = time.Second
	// connectCost is the cost of a new connection: a handshake, and processor
	// time at both ends. It is lower than the remote penalty of requests with
	// short latency objectives.
	connectCost = 5 * time.Millisecond
	// lastResortCost applies to a draining or deregistered target.
	lastResortCost = 10 * time.Second
	// coldFactor is the ratio of the expected time of a cold target to that of a
	// warm one.
	coldFactor = 2.0
	// idleTolerance is the divisor of the expected time that yields by how much an idle target may
	// cost more than the best one, its speed aside, to be chosen in its place.
	idleTolerance = 4
)

// Choose returns the index of the candidate with the lowest cost, or -1 if
// there is none. Turn breaks ties: it is the index at which the comparison
// begins, so that successive turns rotate among equal candidates.
func Choose(now time.Time, profile Profile, candidates []Candidate, turn uint64) int {
	best, bestCost := -1, time.Duration(0)
	slower := false
	for n := range candidates {
		i := (n + int(turn%uint64(len(candidates)))) % len(candidates)
		cost := candidates[i].Cost(now, profile)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
		slower = slower || candidates[i].Stats.learned.slower
	}
	if best < 0 || candidates[best].Stats.learned.group == nil {
		return best
	}
	candidates[best].Stats.learned.group.choices++
	if queues := candidates[best].queues(); queues || (slower && !profile.Extra) {
		return chooseIdle(now, profile, candidates, best, bestCost, queues)
	}
	return best
}

// chooseIdle returns an idle target in place of the best one, whose cost is given. If the best
// one lets the attempt wait, any idle target does better for those that follow;
// otherwise one that is slow is chosen if it is time to find out whether it has recovered.
func chooseIdle(now time.Time, profile Profile, candidates []Candidate, best int, bestCost time.Duration, queues bool) int {
	limit := bestCost + max(profile.Expected/idleTolerance, connectCost)
	factor := candidates[best].Stats.factor()
	chosen, chosenCost := best, time.Duration(math.MaxInt64)
	for i := range candidates {
		c := &candidates[i]
		l := &c.Stats.learned
		if i == best || l.group == nil || c.Stats.Outstanding() > 0 {
			continue
		}
		if !queues && (!l.slower || !l.probeDue(now)) {
			continue
		}
		// Its speed aside, a target that is remote, failing or limited stays a worse choice.
		if cost := c.costAt(now, profile, factor); cost <= limit && cost < chosenCost {
			chosen, chosenCost = i, cost
		}
	}
	return chosen
}

// queues reports whether an attempt would wait for earlier ones.
func (c *Candidate) queues() bool { return float64(c.Stats.Outstanding()+1) > c.slots() }

// slots returns the number of attempts that the target handles well at the same time.
func (c *Candidate) slots() float64 {
	if l := &c.Stats.learned; l.group != nil && math.Abs(l.limit-l.slots) >= minLimitChange {
		return l.limit
	}
	return float64(max(c.Slots, 1))
}

// Cost returns the time that an attempt is expected to take, plus the costs of
// what makes the target a worse choice.
func (c *Candidate) Cost(now time.Time, profile Profile) time.Duration {
	c.Stats.decay(now)
	return c.costAt(now, profile, c.Stats.factor())
}

// factor returns the ratio of the time of an attempt that does not wait to the expected one.
func (s *Stats) factor() float64 {
	if s.learned.slower {
		return max(1+s.slowness, s.learned.time)
	}
	return 1 + s.slowness
}

// costAt returns the cost if the target takes the given multiple of the expected time.
func (c *Candidate) costAt(now time.Time, profile Profile, factor float64) time.Duration {
	s := c.Stats
	slots := c.slots()
	work := float64(profile.Expected) * max(factor, 0.2)
	if c.Cold {
		work *= coldFactor
	}
	// Attempts in excess of the slots wait for a free slot.
	queue := max(float64(s.Outstanding()+1)-slots, 0) / slots
	if l := &s.learned; l.group != nil && slots < l.slots {
		queue *= max(l.growth, 1) // an attempt beyond the learned concurrency slows down the others
	}
	load := float64(s.Outstanding()) / slots
	cost := time.Duration(work * (1 + queue + load/4))
	cost += s.stallCost(now)
	cost += time.Duration(s.failureFraction * float64(failureCost))
	if c.ColdLimited {
		cost += coldLimitedCost
	}
	if c.Remote {
		cost += profile.RemotePenalty
	}
	if c.NeedsConnection {
		cost += connectCost
	}
	if now.Before(s.avoidUntil) {
		cost += unreachableCost
	}
	cost += time.Duration(c.PriorAttempts) * priorAttemptCost
	if c.LastResort {
		cost += lastResortCost
	}
	return cost
}

// stallCost returns the expected remaining time of the target's pause.
func (s *Stats) stallCost(now time.Time) time.Duration {
	if left, known := s.pauseLeft(now); known {
		return left
	}
	if s.hasOverdue(now) {
		return overdueCost
	}
	return 0
}
