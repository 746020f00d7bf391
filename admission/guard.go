package admission

import (
	"math"
	"slices"
	"time"
)

// Parameters of ModeGuard.
const (
	// A guard window ends after guardWindow if it has minGuardSamples samples, and after
	// maxGuardWindow in any case.
	guardWindow     = 100 * time.Millisecond
	minGuardSamples = 6
	maxGuardWindow  = time.Second
	// minSearchSamples is the number of samples from which one search determines the load.
	minSearchSamples = 3
	// maxGuardSamples bounds the latencies that are kept of one search in a window.
	maxGuardSamples = 256
	// toleratedFraction is the tolerated median latency of sub-requests as a fraction of the
	// objective: the slowest of many sub-requests takes two to three times the median. It is
	// held between minToleratedSlowdown and maxToleratedSlowdown times the latency without
	// load. Noise of single targets does not raise a median to the lower bound.
	toleratedFraction    = 0.25
	minToleratedSlowdown = 1.8
	maxToleratedSlowdown = 4.0
	// maxRefusedFraction is the fraction of sub-requests that full targets refuse above which
	// the targets are overloaded. Slow targets fill up too, but are few.
	maxRefusedFraction = 0.15
	// clearlyRefused replaces maxRefusedFraction while there is no limit. With 15% of the targets
	// slow, shards with a slow target are full at 0.8 of the capacity, and 14% of the
	// sub-requests are refused once.
	clearlyRefused = 0.3
	// engageScore is the score at which a limit is set. A window with a latency above
	// engageFactor times the tolerated one adds 1 to the score, and one with many refusals or a
	// latency above clearFactor times the tolerated one clearScore; any other window resets it.
	// A pause of this process fills one window, and bursts at 0.8 of the capacity up to three.
	engageScore  = 4
	clearScore   = 2
	clearFactor  = 2
	engageFactor = 1.5
	// refusingFraction is the fraction of the requests in progress that full targets have
	// refused, as clearlyRefused says, above which a limit is set at once: the queues of
	// targets fill within a tenth of a second.
	refusingFraction = 0.5
	// usefulFraction is the usual latency of a request at the tolerated latency of its
	// sub-requests, as a fraction of the objective. The first limit is the number of requests
	// in progress that have this latency at the measured throughput.
	usefulFraction = 0.5
	// releaseAfter is how long the limit must not have been reached before it is lifted.
	releaseAfter = 2 * time.Second
	// Bounds of the change of the limit in one window.
	minGuardFactor = 0.7
	maxGuardFactor = 0.95
	// maxFailing is the fraction of requests that fail or are late above which the limit is
	// multiplied by failingFactor although most shards are fast: more shards are overloaded than
	// a response may leave out. It sets no limit: lost and slow targets have the same effect.
	maxFailing    = 0.25
	failingFactor = 0.85
	// In guardWindow, an increase is guardIncrease of the limit for no load at all, and at least
	// minGuardStep requests. As all processes that share targets take the same smallest step up
	// and the same fraction down, their limits become equal while the targets are overloaded.
	guardIncrease = 0.3
	minGuardStep  = 0.4
	// maxGuardSteps bounds the steps of a window that took longer than guardWindow.
	maxGuardSteps = 3
	// reserveStep is what is added to the fraction of the limit that is kept for the more urgent
	// priorities after a window with rejections of the most urgent one. Otherwise releaseStep is
	// taken away in guardWindow: the whole in less than 2 s.
	reserveStep = 0.25
	releaseStep = 0.06
	// rateWeight is the weight of one window in the moving average of the throughput.
	rateWeight = 0.2
	// urgentHeadroom is the fraction of the limit by which requests of the most urgent priority
	// may exceed it, so that they need not wait until one of the requests in progress ends.
	urgentHeadroom = 1.0
)

// guard sets a limit on requests in progress only while the targets are overloaded.
type guard struct {
	engaged bool
	score   int
	// samples, failed, served and refusedSum are of the requests that ended in the window.
	windowStart time.Time
	samples     int
	failed      int
	served      float64
	refusedSum  float64
	// reached is true if the limit was reached in the window, and reachedAt when it was last.
	reached   bool
	reachedAt time.Time
	// changedAt is when the limit was last lowered: requests that started earlier do not show
	// its effect.
	changedAt time.Time
	// load is the ratio of the measured to the tolerated latency in the last window, and
	// refused the fraction of sub-requests that full targets refused.
	// fasterLoad is like load for Result.FasterLatency.
	load       float64
	fasterLoad float64
	refused    float64
	failing    float64 // the fraction of requests that failed or were late
	engages    uint64
	// refusing is the number of requests in progress that Refused has recorded.
	refusing int
	// rate is the moving average of the requests per second that were served.
	rate float64
	// callers is the number of callers with requests that are queued or running, by priority.
	callers [numPriorities]int
	// running is the number of requests in progress, by priority.
	running [numPriorities]int
	// reserved is the fraction of the limit that the least urgent priority may not use, and
	// urgentRefused is true if a request of the most urgent one was rejected in the window.
	reserved      float64
	urgentRefused bool
	// credit is, by priority, the admissions that a less urgent priority may have before more
	// urgent ones.
	credit [numPriorities]float64
	// priorities are those that requests may have, in ascending order.
	priorities []int
}

// SetPriorities sets the priorities that requests may have, in ascending order. In ModeGuard
// the more urgent ones may exceed the limit on requests in progress to some extent.
func (c *Controller) SetPriorities(priorities []int) {
	g := c.limit.guard
	if g == nil {
		return
	}
	g.priorities = nil
	for _, p := range priorities {
		g.priorities = append(g.priorities, min(max(p, 0), numPriorities-1))
	}
	g.priorities = slices.Compact(g.priorities)
}

// maxCredit bounds the credit of a priority, so that it gains little from the time in which it
// had no requests.
const maxCredit = 2

// addCredit records an admission while there is a limit. Options.LowPriorityFraction of the
// admissions are kept for the less urgent priorities, the more for the more urgent of them.
func (c *Controller) addCredit(priority int) {
	g := c.limit.guard
	if g == nil || !g.engaged || len(g.priorities) < 2 {
		return
	}
	g.credit[priority] = max(g.credit[priority]-1, -maxCredit)
	lower := g.priorities[1:]
	for i, p := range lower {
		part := 2 * float64(len(lower)-i) / float64(len(lower)*(len(lower)+1))
		g.credit[p] = min(g.credit[p]+c.opts.LowPriorityFraction*part, maxCredit)
	}
}

// hasCredit reports whether requests of a priority go before more urgent ones.
func (c *Controller) hasCredit(priority int) bool {
	return c.limit.guard != nil && c.limit.guard.credit[priority] >= 1
}

// nextGuarded returns nextToRun in ModeGuard: of the requests that are within the limits of their
// priorities and callers, one of a priority with credit, or else of the most urgent one.
func (c *Controller) nextGuarded() *entry {
	var next *callerQueue
	for i := range c.queue.classes {
		if next != nil && !c.hasCredit(i) {
			continue
		}
		if cq := c.nextOfClass(&c.queue.classes[i]); cq != nil {
			if next = cq; c.hasCredit(i) {
				break
			}
		}
	}
	if next == nil {
		return nil
	}
	return c.queue.serveFrom(next)
}

// hasRoom reports whether a request of a caller may start. Requests in progress that are less
// urgent do not count: they are more than the limit allows only until they end.
func (c *Controller) hasRoom(k *caller) (room bool, excess, limit int) {
	g := c.limit.guard
	if g == nil {
		limit = c.limit.value()
		return len(c.running) < limit, 0, limit
	}
	running := 0
	for _, n := range g.running[:k.queue.priority+1] {
		running += n
	}
	if c.hasCredit(k.queue.priority) {
		running = g.running[k.queue.priority]
	}
	limit = c.limitOf(k)
	return running < limit, max(running-limit, 0), limit
}

// nextOfClass returns the queue to serve next of those within their limits, or nil.
func (c *Controller) nextOfClass(class *priorityClass) *callerQueue {
	var next *callerQueue
	for _, cq := range class.active {
		if next != nil && cq.virtualTime >= next.virtualTime {
			continue
		}
		if room, _, _ := c.hasRoom(cq.entries[0].caller); room {
			next = cq
		}
	}
	return next
}

// greedyReserve is the fraction of the limit that callers may not use that have more than
// greedyShares even shares of it: the requests of others need not wait until one of theirs ends.
const (
	greedyReserve = 0.3
	greedyShares  = 2
)

// limitOf returns the limit on requests in progress up to which requests of a caller start.
func (c *Controller) limitOf(k *caller) int {
	priority := k.queue.priority
	g := c.limit.guard
	if g == nil || !g.engaged || len(g.priorities) < 2 {
		return c.limit.value()
	}
	if c.hasCredit(priority) {
		priority = g.priorities[0]
	}
	lower := 0
	for _, p := range g.priorities {
		if p > priority {
			lower++
		}
	}
	rank := 1 - float64(lower)/float64(len(g.priorities)-1) // 0 for the most urgent
	limit := c.limit.limit * (1 + urgentHeadroom*(1-rank)) * (1 - g.reserved*rank)
	if share := limit / float64(g.callers[k.queue.priority]); float64(k.running) > greedyShares*max(share, 1) {
		limit *= 1 - greedyReserve
	}
	return int(math.Ceil(max(limit, float64(min(c.opts.MinLimit, c.limit.opts.MaxLimit)))))
}

// GuardStats holds the inputs of the limit for operators.
type GuardStats struct {
	// Limited is true while requests in progress are limited.
	Limited bool `json:"limited"`
	// Times is how often a limit was set since the start.
	Times uint64 `json:"times_limited"`
	// Latency is the median latency of sub-requests in the last window relative to the
	// tolerated one, and Refused the fraction of them that full targets refused.
	Latency float64 `json:"latency_of_tolerated"`
	Refused float64 `json:"refused_by_targets"`
}

func (g *guard) stats() *GuardStats {
	return &GuardStats{Limited: g.engaged, Times: g.engages, Latency: g.load, Refused: g.refused}
}

// observeGuarded updates the statistics with a finished request, and the limit at the end
// of a window.
func (l *limiter) observeGuarded(now time.Time, request *runningRequest, s *latencyStats, r Result, saturated bool) {
	g := l.guard
	l.addToMean(float64(r.Latency))
	if g.windowStart.IsZero() {
		g.windowStart = now
	}
	s.objective = float64(request.objective)
	if saturated && g.engaged {
		g.reached, g.reachedAt = true, now
	}
	g.served += r.ServedFraction
	if !now.Add(-r.Latency).Before(g.changedAt) {
		g.samples++
		g.refusedSum += r.RefusedFraction
		if !r.OK || r.Latency > request.objective {
			g.failed++
		}
		latency := float64(r.subRequestLatency())
		// The median of a request that ended before half of its sub-requests is only a lower
		// bound: it tells nothing if it is low.
		known := r.ServedFraction >= 0.5 || (s.baseline > 0 && latency > s.tolerated())
		if known && len(s.window) < maxGuardSamples {
			s.window = append(s.window, latency)
			if r.FasterLatency > 0 {
				latency = float64(r.FasterLatency)
			}
			s.faster = append(s.faster, latency)
		}
	}
	length := now.Sub(g.windowStart)
	if length < guardWindow || g.samples < minGuardSamples && length < maxGuardWindow {
		return
	}
	if g.samples > 0 {
		l.adaptGuard(now, length)
	}
	g.windowStart, g.samples, g.failed, g.served, g.refusedSum, g.reached = now, 0, 0, 0, 0, false
}

// adaptGuard sets, changes or lifts the limit at the end of a window.
func (l *limiter) adaptGuard(now time.Time, length time.Duration) {
	g := l.guard
	enough := g.samples >= minGuardSamples
	var objective float64
	g.load, objective = l.guardLoad()
	g.refused = g.refusedSum / float64(g.samples)
	g.failing = float64(g.failed) / float64(g.samples)
	// inProgress is the number of requests in progress if each took its whole objective.
	rate := g.served / length.Seconds()
	g.rate += rateWeight * (rate - g.rate)
	inProgress := max(rate, g.rate) * objective / float64(time.Second)
	if !g.engaged {
		g.assess(enough)
		if g.score >= engageScore {
			l.engage(now, inProgress)
		}
		return
	}
	steps := length.Seconds() / guardWindow.Seconds()
	if g.urgentRefused {
		g.reserved = min(g.reserved+reserveStep, 1)
	} else {
		g.reserved = max(g.reserved-releaseStep*steps, 0)
	}
	g.urgentRefused = false
	switch {
	case now.Sub(g.reachedAt) >= releaseAfter:
		g.engaged, g.score, g.reserved = false, 0, 0
		return
	case g.load > 1 || g.refused > maxRefusedFraction:
		if !enough {
			return
		}
		l.limit *= min(max(1/g.load, minGuardFactor), maxGuardFactor)
		g.changedAt = now
	case g.failing > maxFailing:
		l.limit *= failingFactor
		g.changedAt = now
	case g.reached:
		l.limit += max(minGuardStep, l.limit*guardIncrease*(1-g.load)) * min(steps, maxGuardSteps)
	}
	l.boundGuard()
}

// engage sets the first limit.
func (l *limiter) engage(now time.Time, inProgress float64) {
	g := l.guard
	g.engaged, g.reachedAt, g.changedAt = true, now, now
	g.engages++
	l.limit = usefulFraction * inProgress
	l.boundGuard()
}

// Refused records that full targets have refused the given fraction of the sub-requests of a
// request in progress.
func (c *Controller) Refused(now time.Time, id uint64, fraction float64) {
	g, r := c.limit.guard, c.running[id]
	if g == nil || r == nil || r.refusing || fraction <= clearlyRefused {
		return
	}
	r.refusing = true
	g.refusing++
	if n := float64(g.refusing); !g.engaged && n >= minGuardSamples && n > refusingFraction*float64(len(c.running)) {
		c.limit.engage(now, g.rate*float64(r.objective)/float64(time.Second))
	}
}

func (l *limiter) boundGuard() {
	l.limit = min(max(l.limit, float64(min(l.opts.MinLimit, l.opts.MaxLimit))), float64(l.opts.MaxLimit))
}

// assess updates the score of a guard that sets no limit.
func (g *guard) assess(enough bool) {
	over, refusing := g.load > engageFactor && g.fasterLoad > 1, g.refused > clearlyRefused
	switch {
	case !enough:
	case !over && !refusing:
		g.score = 0
	default:
		if refusing || min(g.load, g.fasterLoad) > clearFactor {
			g.score += clearScore
		} else {
			g.score++
		}
	}
}

// guardLoad returns the ratio of the window's median latencies to the tolerated ones, that of
// the worst search or the mean, whichever is higher, and the mean objective, both weighted by
// the samples of each search. Searches with a short objective are late first, and the mean
// would hide them if they are few. It updates the latencies without load and resets the
// windows of the searches.
func (l *limiter) guardLoad() (load, objective float64) {
	samples, worst := 0.0, 0.0
	l.guard.fasterLoad = 0
	for _, s := range l.searches {
		n := float64(len(s.window))
		if n == 0 {
			continue
		}
		slices.Sort(s.window)
		median := s.window[len(s.window)/2]
		switch {
		case s.baseline == 0:
			s.baseline = median
		case !l.guard.engaged && l.guard.score == 0:
			s.baseline = min(median, s.baseline*baselineGrowth)
		default:
			s.baseline = min(median, s.baseline)
		}
		load += n * median / s.tolerated()
		if n >= minSearchSamples {
			worst = max(worst, median/s.tolerated())
		}
		objective += n * s.objective
		slices.Sort(s.faster)
		l.guard.fasterLoad += n * s.faster[len(s.faster)/2] / s.tolerated()
		s.faster = s.faster[:0]
		samples += n
		s.window = s.window[:0]
	}
	if samples == 0 {
		return 1, 0
	}
	l.guard.fasterLoad /= samples
	return max(load/samples, worst), objective / samples
}

// tolerated returns the median latency of sub-requests above which the targets count as
// overloaded.
func (s *latencyStats) tolerated() float64 {
	t := toleratedFraction * s.objective
	return math.Max(min(max(t, minToleratedSlowdown*s.baseline), maxToleratedSlowdown*s.baseline), 1)
}
