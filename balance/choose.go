package balance

import "time"

// Profile describes the requests that a target is chosen for.
type Profile struct {
	// Expected is the usual time of an attempt.
	Expected time.Duration
	// OverdueAfter is the time of an attempt beyond which its target is likely to
	// be stalled.
	OverdueAfter time.Duration
	// RemotePenalty is what it is worth to stay in the own data centre, as a time.
	RemotePenalty time.Duration
}

// Candidate is a target that may be chosen.
type Candidate struct {
	Stats *Stats
	Slots int
	// Remote is true if the target is in another data centre.
	Remote bool
	// Cold is true if the target has started lately.
	Cold bool
	// ColdLimited is true if a cold target bears few requests and fails beyond them.
	ColdLimited bool
	// LastResort is true for a target that is taken only if there is no other.
	LastResort bool
	// NeedsConnection is true if no connection to the target is free.
	NeedsConnection bool
	// PriorAttempts is the number of earlier attempts of the request at the target.
	PriorAttempts int
}

// Costs, beside the expected time, of what makes a target a worse choice.
const (
	// stalledCost is for a target that has an overdue attempt: its pauses last
	// some hundreds of milliseconds.
	stalledCost = 150 * time.Millisecond
	// failingCost is the cost of a failed attempt: the time until another
	// target is asked, and an attempt of the budget.
	failingCost = 200 * time.Millisecond
	// avoidCost is for a target that could not be connected to.
	avoidCost = 2 * time.Second
	// triedCost is for a target that the request has been sent to before.
	triedCost = 5 * time.Second
	// boundedCost keeps requests from a target that bears few, unless the others
	// are worse off.
	boundedCost = time.Second
	// connectCost is for a new connection: a handshake, and processor time here
	// and there. It is below what staying in the own data centre is worth to
	// requests with short aims.
	connectCost = 5 * time.Millisecond
	// lastCost is for a target that is on its way out.
	lastCost = 10 * time.Second
	// coldFactor is how much slower a cold target is expected to be.
	coldFactor = 2.0
)

// Choose returns the index of the candidate with the lowest cost, or -1 if
// there is none. Turn breaks ties: equal candidates take turns.
func Choose(now time.Time, kind Profile, candidates []Candidate, turn uint64) int {
	best, bestCost := -1, time.Duration(0)
	for n := range candidates {
		i := (n + int(turn%uint64(len(candidates)))) % len(candidates)
		cost := candidates[i].Cost(now, kind)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Cost returns the time that an attempt is expected to take, with additions
// for what makes the target a worse choice.
func (c *Candidate) Cost(now time.Time, kind Profile) time.Duration {
	r := c.Stats
	r.fade(now)
	slots := float64(max(c.Slots, 1))
	work := float64(kind.Expected) * max(1+r.slowness, 0.2)
	if c.Cold {
		work *= coldFactor
	}
	// Attempts beyond the slots wait for one.
	queue := max(float64(r.Outstanding()+1)-slots, 0) / slots
	load := float64(r.Outstanding()) / slots
	cost := time.Duration(work * (1 + queue + load/4))
	if r.stalled(now) {
		cost += stalledCost
	}
	cost += time.Duration(r.failing * float64(failingCost))
	if c.ColdLimited {
		cost += boundedCost
	}
	if c.Remote {
		cost += kind.RemotePenalty
	}
	if c.NeedsConnection {
		cost += connectCost
	}
	if now.Before(r.avoidUntil) {
		cost += avoidCost
	}
	cost += time.Duration(c.PriorAttempts) * triedCost
	if c.LastResort {
		cost += lastCost
	}
	return cost
}
