package balance

import (
	"math"
	"time"
)

// Parameters of what is learned of targets.
const (
	// minLearned is the number of attempts below which a target is taken to be like its siblings.
	minLearned = 4
	// timeGain is the weight of the newest attempt in the relative time. A target that becomes
	// 2.5 times slower exceeds slowerAbove after two attempts.
	timeGain = 0.3
	// fasterGain is the weight of an attempt that took less than the mean divided by fasterBelow.
	// A slow target gets few attempts, so that few must show its recovery.
	fasterGain  = 0.6
	fasterBelow = 1.4
	// slowerAbove is the time relative to siblings from which a target counts as slower; it does
	// until the time falls below slowerBelow. Noise of equal targets stays below slowerAbove
	// most of the time.
	slowerAbove = 1.5
	slowerBelow = 1.25

	// An attempt is sent to an idle slow target, to find out whether it has recovered, once
	// probeInterval has passed and probeChoices choices were made in its service since the last
	// one. After an attempt that was fast, recheckInterval and recheckChoices apply instead.
	probeInterval   = 750 * time.Millisecond
	probeChoices    = 8
	recheckInterval = 200 * time.Millisecond
	recheckChoices  = 3

	// staleTime is the time without a response after which the relative time is dropped.
	staleTime = 30 * time.Second

	// levelGain is the weight of the newest attempt in the times at low and high concurrency. It is
	// low, as noise of several hundred milliseconds must not look like a limit.
	levelGain       = 0.05
	minLevelSamples = 16
	// Growth of the time with the concurrency, relative to siblings, above which the learned
	// concurrency falls, below which it rises to the slots, and below which it rises beyond them.
	growthAbove = 1.4
	growthUsual = 1.15
	growthBelow = 0.75
	limitFactor = 0.9
	// limitInterval is the least time between two reductions of the learned concurrency, so that
	// noise of several hundred milliseconds does not take all of it.
	limitInterval = 500 * time.Millisecond
	// minLimitChange is the difference to the slots from which the learned concurrency is used, so that
	// equal targets are chosen as by their slots.
	minLimitChange = 0.25
	limitStep      = 0.05
	// extraDivisor is the divisor of the slots that yields by how much the learned concurrency may
	// exceed them; it may by one in any case.
	extraDivisor = 2

	// silentFactor is the time without a response, as a multiple of the expected time of an attempt that
	// should have ended, from which the target is taken to be in a pause. Noise makes targets
	// 2.5 times slower.
	silentFactor = 2.0
	// minStalls is the number of attempts met by a pause from which the length of pauses is known.
	minStalls = 3
	// stallUp and stallDown are the gains with which the length of pauses follows longer and
	// shorter stalls. An attempt meets a pause at any time of it and sees only the rest.
	stallUp   = 0.4
	stallDown = 0.02
	// pauseMargin is the time beyond the length of a pause, as a fraction of it, from which an
	// overdue attempt is no longer explained by a pause.
	pauseMargin = 0.5
	// maxStallRun is the number of consecutive stalls, none of which began before the former had
	// ended, from which the target is slow rather than in pauses.
	maxStallRun = 2
	// maxPause bounds what counts as a pause; a target that does not respond for longer is lost.
	maxPause = 2 * time.Second
	// pauseWindow is the number of attempts after which those counted for the frequency of pauses
	// are halved.
	pauseWindow = 500
	// ownPauses is the number of pauses of a target that count as much as its siblings'.
	ownPauses = 8
)

// Group holds what the targets of a service have in common. What is not known of a target
// is taken from its group. The zero value knows nothing.
type Group struct {
	pauses pauses
	// timeSum and growthSum are sums over the members of which the time, or its growth with
	// the concurrency, is known.
	timeSum, growthSum float64
	timeN, growthN     int
	choices            uint64 // number of choices among the members
}

// pauses holds what is known of the pauses of one target or of a group.
type pauses struct {
	length time.Duration
	// stalls and attempts are the numbers of attempts that met a pause, and of all.
	stalls, attempts float64
	expected         time.Duration // mean expected time of the attempts
}

func (p *pauses) attempt(expected time.Duration) {
	p.attempts++
	p.expected += time.Duration(float64(expected-p.expected) / min(p.attempts, 100))
	if p.attempts > pauseWindow {
		p.attempts /= 2
		p.stalls /= 2
	}
}

// stall records an attempt that was held up for the given time.
func (p *pauses) stall(held time.Duration) {
	p.stalls++
	gain := stallDown
	if held > p.length {
		gain = max(stallUp, 1/p.stalls)
	}
	p.length += time.Duration(gain * float64(held-p.length))
}

// period returns the mean time from one pause to the next; zero if not known. It follows
// from the fraction of attempts that met a pause, as most pauses meet none.
func (p *pauses) period() time.Duration {
	if p.stalls < minStalls {
		return 0
	}
	return time.Duration(float64(p.length+p.expected) * p.attempts / p.stalls)
}

// learned holds what was learned of one target.
type learned struct {
	group *Group
	slots float64
	// time is the mean ratio of the time of an attempt to the expected one, without the wait
	// behind own attempts and without pauses.
	time    float64
	samples int
	slower  bool // whether the target is slower than its siblings
	fast    bool // whether the last attempt was faster than the mean by fasterBelow
	// limit is the learned concurrency: the number of own attempts in progress beyond which the
	// time grows more than the siblings' does.
	limit     float64
	reducedAt time.Time // when limit was last reduced
	low, high level
	growth    float64 // zero if not known
	pauses    pauses
	lastSent  time.Time
	lastEnd   time.Time
	// stallRun is the number of consecutive stalls, the last of which ended at stallEnd.
	stallRun int
	stallEnd time.Time
	// burstStart is when the first of the latest responses arrived that followed closely on each
	// other, and beforeBurst when the target had responded before.
	burstStart, beforeBurst time.Time
	sentAtTurn              uint64 // Group.choices when an attempt was last sent
	timeCounted             bool   // whether time is part of Group.timeSum
}

// level is the mean ratio of the time of attempts to the expected one at a level of concurrency.
type level struct {
	mean    float64
	samples int
}

func (l *level) add(ratio float64) {
	l.samples++
	l.mean += max(levelGain, 1/float64(l.samples)) * (ratio - l.mean)
}

// Join makes the target a member of a group, if it is not yet, with the slots that its entry names.
// What was learned of the target is kept; its concurrency changes with the slots.
func (s *Stats) Join(g *Group, slots int) {
	l := &s.learned
	former := l.slots
	l.slots = float64(max(slots, 1))
	if former == 0 {
		l.limit = l.slots
	} else {
		l.limit = max(l.limit*l.slots/former, 1)
	}
	l.group = g
}

// Leave ends the membership of the target in its group. Nothing more is learned of the target.
func (s *Stats) Leave() {
	s.Forget()
	s.learned.group = nil
}

// Forget drops what was learned of the target, as it is cold or has ended.
func (s *Stats) Forget() {
	l := &s.learned
	if l.group == nil {
		return
	}
	l.forgetTime()
	l.setGrowth(0)
	l.low, l.high, l.limit = level{}, level{}, l.slots
	l.pauses, l.stallRun = pauses{}, 0
}

// forgetTime drops what was learned of the target's time.
func (l *learned) forgetTime() {
	if l.timeCounted {
		l.group.timeSum -= l.time
		l.group.timeN--
	}
	l.time, l.samples, l.timeCounted, l.slower, l.fast = 0, 0, false, false, false
}

func (l *learned) maxLimit() float64 { return l.slots + max(l.slots/extraDivisor, 1) }

// countTime sets the mean time and keeps the sum of the group.
func (l *learned) countTime(mean float64) {
	g := l.group
	if l.timeCounted {
		g.timeSum -= l.time
		g.timeN--
	}
	l.time = mean
	if l.timeCounted = l.samples >= minLearned; l.timeCounted {
		g.timeSum += mean
		g.timeN++
	}
}

// relative returns the time of the target relative to that of its siblings; 1 if not known.
func (l *learned) relative() float64 {
	if !l.timeCounted || l.group.timeN < 2 {
		return 1
	}
	return l.time / max((l.group.timeSum-l.time)/float64(l.group.timeN-1), 0.05)
}

// queueFactor returns the time of an attempt at a level of concurrency relative to one that
// does not wait.
func (l *learned) queueFactor(level int) float64 {
	return 1 + max(float64(level)-l.limit, 0)/l.limit
}

// sent records the start of an attempt.
func (l *learned) sent(now time.Time, profile Profile) {
	l.lastSent, l.sentAtTurn = now, l.group.choices
	l.pauses.attempt(profile.Expected)
	l.group.pauses.attempt(profile.Expected)
}

// silence returns how long the target had been silent at a time at which an attempt in progress should
// have ended before, and whether that is so long that it indicates a pause. LastEnd is when the
// target last responded before.
func (l *learned) silence(at, lastEnd time.Time, a *attempt) (silent time.Duration, paused bool) {
	usual := time.Duration(max(l.usual(), 1) * l.queueFactor(a.sentLevel) * float64(a.expected))
	due := a.sent.Add(usual)
	if lastEnd.After(due) {
		due = lastEnd
	}
	silent = at.Sub(due)
	return silent, a.expected > 0 && silent > time.Duration(silentFactor*float64(usual))
}

// responded learns from an attempt that has ended with a response. It reports whether a pause
// of usual length explains its time, which then tells nothing of the target's speed.
func (l *learned) responded(now time.Time, a attempt, expected time.Duration) (paused bool) {
	known := l.pause() > 0
	if now.Sub(l.lastEnd) > a.expected {
		l.burstStart, l.beforeBurst = now, l.lastEnd
	}
	l.lastEnd = now
	if stalled := l.stalled(&a); stalled || expected <= 0 {
		return stalled && known
	}
	ratio := min(float64(now.Sub(a.sent))/float64(expected), maxSlowness)
	l.observe(ratio / l.queueFactor(a.sentLevel))
	l.observeLevel(now, ratio, &a)
	return false
}

// abandoned learns from an attempt whose response was not waited for: its time would have been
// at least that until now.
func (l *learned) abandoned(now time.Time, a attempt) {
	if _, paused := l.silence(now, l.lastEnd, &a); a.expected <= 0 || paused {
		return // a pause of unknown length, or a lost connection
	}
	if ratio := float64(now.Sub(a.sent)) / float64(a.expected) / l.queueFactor(a.sentLevel); ratio > l.time {
		l.observe(min(ratio, maxSlowness))
	}
}

// stalled reports whether an attempt that has ended met a pause, and learns its length. After a
// pause the attempts in progress end together, so that it is the silence before the first of them
// that tells.
func (l *learned) stalled(a *attempt) bool {
	silent, paused := l.silence(l.burstStart, l.beforeBurst, a)
	if !paused || silent > maxPause {
		l.stallRun = 0
		return false
	}
	if a.sent.After(l.stallEnd) {
		l.stallRun++
	}
	l.stallEnd = l.lastEnd
	if l.stallRun >= maxStallRun {
		return false
	}
	l.pauses.stall(silent)
	l.group.pauses.stall(silent)
	return true
}

// usual returns the mean time, or the siblings' if it is not known.
func (l *learned) usual() float64 {
	switch {
	case l.samples >= minLearned:
		return l.time
	case l.group.timeN > 0:
		return l.group.timeSum / float64(l.group.timeN)
	}
	return 1
}

func (l *learned) observe(ratio float64) {
	l.samples++
	gain := timeGain
	if l.fast = ratio*fasterBelow < l.time; l.fast {
		gain = fasterGain
	}
	l.countTime(l.time + max(gain, 1/float64(l.samples))*(ratio-l.time))
	switch relative := l.relative(); {
	case relative > slowerAbove:
		l.slower = true
	case relative < slowerBelow:
		l.slower = false
	}
}

// observeLevel learns the concurrency from an attempt: from those that were sent when the learned
// concurrency was just reached, and from those that few others were in progress with.
func (l *learned) observeLevel(now time.Time, ratio float64, a *attempt) {
	full := max(int(math.Ceil(l.limit)), 2)
	switch {
	case a.sentLevel == full:
		l.high.add(ratio)
	case float64(a.level) <= max(l.limit/2, 1):
		l.low.add(ratio)
		return
	default:
		return
	}
	if l.high.samples < minLevelSamples || l.low.samples < minLevelSamples {
		return
	}
	l.setGrowth(l.high.mean / max(l.low.mean, 0.05))
	if l.group.growthN < 2 {
		return
	}
	defer func() {
		if max(int(math.Ceil(l.limit)), 2) != full {
			l.high = level{} // of another concurrency
		}
	}()
	siblings := (l.group.growthSum - l.growth) / float64(l.group.growthN-1)
	switch growth := l.growth / max(siblings, 0.05); {
	case growth > growthAbove && now.Sub(l.reducedAt) < limitInterval:
	case growth > growthAbove:
		l.limit, l.reducedAt = max(l.limit*limitFactor, 1), now
	case growth < growthUsual && l.limit < l.slots:
		l.limit = min(l.limit+limitStep, l.slots)
	case growth < growthBelow && l.growth < growthUsual:
		l.limit = min(l.limit+limitStep, l.maxLimit())
	case l.limit > l.slots:
		l.limit = max(l.limit-limitStep, l.slots)
	}
}

// setGrowth sets the growth and keeps the sum of the group.
func (l *learned) setGrowth(growth float64) {
	if l.growth > 0 {
		l.group.growthSum -= l.growth
		l.group.growthN--
	}
	if l.growth = growth; growth > 0 {
		l.group.growthSum += growth
		l.group.growthN++
	}
}

// probeDue reports whether an attempt should find out whether the target has recovered.
func (l *learned) probeDue(now time.Time) bool {
	interval, choices := probeInterval, uint64(probeChoices)
	if l.fast {
		interval, choices = recheckInterval, recheckChoices
	}
	return now.Sub(l.lastSent) >= interval && l.group.choices-l.sentAtTurn >= choices
}

// pause returns the length of the target's pauses, in which its own weigh more the more of
// them were seen; zero if it is not known.
func (l *learned) pause() time.Duration {
	g := &l.group.pauses
	if g.stalls < minStalls {
		return 0
	}
	own := l.pauses.stalls / (l.pauses.stalls + ownPauses)
	return g.length + time.Duration(own*float64(l.pauses.length-g.length))
}

// pauseLeft returns the expected remaining time of the pause that the attempts in progress
// indicate. Known is false if nothing is known of pauses, or if the attempts take longer
// than a pause explains.
func (s *Stats) pauseLeft(now time.Time) (left time.Duration, known bool) {
	l := &s.learned
	if l.group == nil || len(s.inProgress) == 0 {
		return 0, false
	}
	length := l.pause()
	if length == 0 {
		return 0, false
	}
	oldest := &s.inProgress[0]
	silent, paused := l.silence(now, l.lastEnd, oldest)
	if !paused || silent > length+time.Duration(pauseMargin*float64(length)) {
		return 0, false
	}
	left = max(length-silent, 0)
	if !l.lastEnd.IsZero() { // the pause may have begun before the attempt was sent
		left -= min(max(oldest.sent.Sub(l.lastEnd), 0), left) / 2
	}
	return left, true
}

// Learned describes what was learned of a target.
type Learned struct {
	// Concurrency is the learned concurrency, and Slots that of the target's entry.
	Concurrency float64
	Slots       int
	// RelativeTime is the usual time relative to that of the siblings.
	RelativeTime float64
	// Pause and PausePeriod are the usual length of a pause and the time from one to the next;
	// zero if they are not known.
	Pause, PausePeriod time.Duration
	// PauseLeft is the expected remaining time of a pause; zero if the target is in none.
	PauseLeft time.Duration
	Samples   int
}

// Learned returns what was learned of the target.
func (s *Stats) Learned(now time.Time) Learned {
	l := &s.learned
	out := Learned{Concurrency: l.limit, Slots: int(l.slots), RelativeTime: 1, Samples: l.samples}
	if l.group == nil {
		return out
	}
	out.RelativeTime = l.relative()
	out.Pause, out.PausePeriod = l.pause(), l.pauses.period()
	if out.PausePeriod == 0 {
		out.PausePeriod = l.group.pauses.period()
	}
	out.PauseLeft, _ = s.pauseLeft(now)
	return out
}

// Capacity returns the learned capacity as a fraction of what the target's entry and the speed
// of its siblings let expect; at most 1.
func (l Learned) Capacity() float64 {
	if l.Slots == 0 {
		return 1
	}
	return min(l.Concurrency/float64(l.Slots), 1) / max(l.RelativeTime, 1)
}
