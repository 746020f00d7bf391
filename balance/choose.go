package balance

import "time"

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
	// overdueCost applies to a target with an overdue attempt: pauses of targets
	// last several hundred milliseconds.
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
)

// Choose returns the index of the candidate with the lowest cost, or -1 if
// there is none. Turn breaks ties: it is the index at which the comparison
// begins, so that successive turns rotate among equal candidates.
func Choose(now time.Time, profile Profile, candidates []Candidate, turn uint64) int {
	best, bestCost := -1, time.Duration(0)
	for n := range candidates {
		i := (n + int(turn%uint64(len(candidates)))) % len(candidates)
		cost := candidates[i].Cost(now, profile)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Cost returns the time that an attempt is expected to take, plus the costs of
// what makes the target a worse choice.
func (c *Candidate) Cost(now time.Time, profile Profile) time.Duration {
	s := c.Stats
	s.decay(now)
	slots := float64(max(c.Slots, 1))
	work := float64(profile.Expected) * max(1+s.slowness, 0.2)
	if c.Cold {
		work *= coldFactor
	}
	// Attempts in excess of the slots wait for a free slot.
	queue := max(float64(s.Outstanding()+1)-slots, 0) / slots
	load := float64(s.Outstanding()) / slots
	cost := time.Duration(work * (1 + queue + load/4))
	if s.hasOverdue(now) {
		cost += overdueCost
	}
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
