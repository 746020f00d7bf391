package quota

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Limits returns the quota of an organisation in the configuration in force; zero if it has
// none. It returns false if no configuration is known.
type Limits func(ID) (Limit, bool)

// Times of a Coordinator.
const (
	// takeoverTime is how long a coordinator that does not know the past use gathers reports.
	takeoverTime = 300 * time.Millisecond
	// reactionTime is the time in which "limited" reaches the processes, with one repeat.
	reactionTime = 300 * time.Millisecond
	// demandInterval is the interval at which the demand is measured.
	demandInterval = 500 * time.Millisecond
	// broadcastInterval is the least time between two messages to all processes about the mode
	// of an organisation; those that use it are always told.
	broadcastInterval = 3 * time.Second
	minHold           = 5 * time.Millisecond
	maxHoldTime       = 250 * time.Millisecond
	// pingInterval and pingCount give 32 pings a second while a quota is nearly used up:
	// 1.3 KB/s. reachWindow is how long an answer counts, and reachWait the time after which a
	// ping counts as lost.
	pingInterval = 250 * time.Millisecond
	pingCount    = 8
	reachWindow  = 600 * time.Millisecond
	reachWait    = 60 * time.Millisecond
	// ledgerRetention is how long the ledger of an unused organisation is kept. It must exceed
	// the time in which any bucket fills.
	ledgerRetention = 5 * time.Minute
)

// maxAllowance bounds the requests that a process may admit before the next answer.
const maxAllowance = 32

// inCharge is the number of processes that gather the use of an organisation: the coordinator
// and its deputy.
const inCharge = 2

// user is a process that sends requests of an organisation.
type user struct {
	name   string
	serial uint64
	total  uint64
	// pending is the number of requests granted to question pendingAsk, as long as it is not
	// known how many of them were used.
	pending, pendingAsk uint64
	answered, granted   uint64 // last question and the grant
	at                  time.Time
}

// ledger is the account of an organisation at a coordinator.
type ledger struct {
	limit Limit
	level float64
	at    time.Time // of level
	// fresh is true until the reports about the last window have arrived, from createdAt on.
	fresh     bool
	createdAt time.Time
	// before is the use before createdAt that was reported; partial is true if a process
	// reported that has just started, and may have used more in its former life.
	before  float64
	partial bool

	limited     bool
	broadcastAt time.Time

	users map[uint64]*user // by incarnation
	// active is the number of users that reported in the last window.
	active int

	demand      float64 // requests per second
	count       float64 // requests since demandAt
	demandAt    time.Time
	usedAt      time.Time
	rankVersion uint64
	rank        int
	better      []*peer
}

// Coordinator keeps the buckets of the organisations that other processes report to this one.
type Coordinator struct {
	bounds    Bounds
	limits    Limits
	fleet     *fleet
	out       *outbox
	rand      *rand.Rand
	startedAt time.Time
	ledgers   map[ID]*ledger
	pings     uint64
	pingAt    time.Time
	// pingWanted is true if an account needs pings.
	pingWanted bool
	reachAt    time.Time
	reached    float64
	reachOK    bool
	// tellSelf tells this process the mode of an organisation.
	tellSelf func(mode)
	// isolated reports whether no peer has been heard of for seconds.
	isolated func() bool
}

// hot reports whether the ledger has used so much that it matters whether this process
// reaches most others.
func (c *Coordinator) hot(l *ledger) bool {
	if l.demand*c.bounds.Window.Seconds() > unprovenDemandPart*c.bounds.margin(l.limit) {
		return true // with several coordinators, each may see a demand below the quota
	}
	return l.limited || l.fresh || l.level < c.bounds.capacity(l.limit)-unprovenPart/2*c.bounds.margin(l.limit)
}

// reach returns the fraction of the other processes that answer pings. It returns false if
// too few were pinged.
func (c *Coordinator) reach(now time.Time) (float64, bool) {
	if now.Sub(c.reachAt) < 20*time.Millisecond {
		return c.reached, c.reachOK
	}
	sent, answered := 0, 0
	for _, p := range c.fleet.peers {
		age := now.Sub(p.pingedAt)
		if age > reachWindow {
			continue
		}
		if !p.heardAt.Before(p.pingedAt) {
			sent++
			answered++
		} else if age >= reachWait {
			sent++
		}
	}
	c.reachAt, c.reachOK = now, sent >= min(len(c.fleet.peers), pingCount)
	if c.reachOK && sent > 0 {
		c.reached = float64(answered) / float64(sent)
	}
	return c.reached, c.reachOK
}

// authority returns the part of the quota that this process may grant. It returns false while
// that is not known.
func (c *Coordinator) authority(now time.Time, id ID, l *ledger) (float64, bool) {
	f := c.fleet
	if f.size <= 1 {
		return 1, f.size == 1
	}
	c.updateRank(id, l)
	if l.rank >= inCharge {
		for _, p := range l.better {
			if now.Sub(p.heardAt) < 2*reachWindow {
				return minorityPart / 2, true
			}
		}
	}
	if len(f.peers) == 0 || c.isolated() {
		return minorityPart / float64(f.size), true
	}
	reached, ok := c.reach(now)
	if !ok {
		return 1, false
	}
	part := (reached*float64(len(f.peers)) + 1) / float64(f.size)
	switch {
	case !f.settled():
		return part, true
	case part > 0.5:
		return 1, true
	}
	return minorityPart * part, true
}

func (c *Coordinator) updateRank(id ID, l *ledger) {
	if l.rankVersion == c.fleet.version {
		return
	}
	l.rankVersion, l.rank, l.better = c.fleet.version, candidatesKept, nil
	for i, cand := range c.fleet.candidates(id) {
		if cand.peer == nil {
			l.rank = i
			break
		}
		if i < inCharge {
			l.better = append(l.better, cand.peer)
		}
	}
}

// ledger returns the ledger of an organisation, with its quota as it is now.
func (c *Coordinator) ledger(now time.Time, id ID, limit Limit) *ledger {
	l := c.ledgers[id]
	if l == nil {
		l = &ledger{limit: limit, at: now, createdAt: now, demandAt: now, users: map[uint64]*user{}}
		c.updateRank(id, l)
		known := now.Sub(c.fleet.changedAt) > c.bounds.Window && now.Sub(c.startedAt) > c.bounds.Window
		if c.fleet.size == 1 {
			known = now.Sub(c.startedAt) > c.bounds.Window
		}
		l.level = c.bounds.capacity(limit)
		if !known || l.rank >= inCharge {
			l.fresh, l.limited, l.level = true, true, c.bounds.fresh(limit)
		}
		c.ledgers[id] = l
	}
	if l.limit != limit {
		if more := c.bounds.capacity(limit) - c.bounds.capacity(l.limit); more > 0 && !l.fresh {
			l.level += more
		}
		l.limit = limit
		l.level = min(l.level, c.bounds.capacity(limit))
	}
	return l
}

// refill adds the tokens since the last call.
func (c *Coordinator) refill(now time.Time, id ID, l *ledger) {
	part, known := c.authority(now, id, l)
	capacity, rate := c.bounds.capacity(l.limit), l.limit.Rate*ratePart
	if known && part < 1 {
		capacity, rate = max(1, part*capacity), rate*part
	}
	if now.After(l.at) {
		if l.level < capacity {
			l.level = min(capacity, l.level+rate*now.Sub(l.at).Seconds())
		}
		l.at = now
	}
	if known && part < minorityPart {
		l.level = min(l.level, capacity)
	} else if known && part < 1 {
		l.level = min(l.level, max(capacity, c.bounds.fresh(l.limit)))
	}
	l.level = max(l.level, -c.bounds.capacity(l.limit))
	if l.fresh && known && part >= 1 && now.Sub(l.createdAt) >= takeoverTime {
		l.fresh = false
		if !l.partial {
			full := c.bounds.capacity(l.limit)
			l.level = min(full, l.level+full-c.bounds.fresh(l.limit)+l.limit.Rate*c.bounds.Window.Seconds()-l.before)
		}
	}
	if now.Sub(l.demandAt) >= demandInterval {
		l.demand = (l.demand + l.count/now.Sub(l.demandAt).Seconds()) / 2
		l.count, l.demandAt = 0, now
		l.active = 0
		for incarnation, u := range l.users {
			// The use in the last window that a process reports may be older by a fifth. A
			// shorter retention counts it twice.
			if idle := now.Sub(u.at); idle > 2*c.bounds.Window {
				delete(l.users, incarnation)
			} else if idle <= c.bounds.Window {
				l.active++
			}
		}
	}
}

// A coordinator grants unprovenPart of the margin before it knows whether it reaches most
// processes, and unprovenFreshPart if it does not know the use before it either. The answers
// to its first pings take milliseconds.
const (
	unprovenPart      = 0.15
	unprovenFreshPart = 0.05
	// unprovenDemandPart of the margin is what processes may use in a window without a
	// coordinator that sends pings.
	unprovenDemandPart = 0.2
)

// available returns the number of requests that may be granted.
func (c *Coordinator) available(now time.Time, id ID, l *ledger) float64 {
	if _, known := c.authority(now, id, l); known {
		return l.level
	}
	margin := c.bounds.margin(l.limit)
	if l.fresh {
		return l.level - c.bounds.fresh(l.limit) + unprovenFreshPart*margin
	}
	return l.level - c.bounds.capacity(l.limit) + unprovenPart*margin
}

// receive handles a report. It returns the answer; false if there is none.
func (c *Coordinator) receive(now time.Time, h *Header, r *report) (answer, bool) {
	limit, ok := c.limits(r.id)
	if !ok {
		return answer{}, false
	}
	if limit.Rate <= 0 {
		delete(c.ledgers, r.id)
		return answer{id: r.id, total: r.total, allowance: maxAllowance, ask: r.ask, granted: r.n}, true
	}
	l := c.ledger(now, r.id, limit)
	c.refill(now, r.id, l)
	l.usedAt = now
	u := c.charge(now, l, h, r)
	a := answer{id: r.id, total: r.total, ask: r.ask}
	if r.n > 0 && c.withholds(now, l, u, r) {
		c.pingWanted = true
		return answer{}, false
	}
	if r.n > 0 {
		a.granted, a.hold = c.grant(now, r, l, u)
	}
	c.updateMode(now, r.id, l)
	c.pingWanted = c.pingWanted || c.hot(l)
	a.limited = l.limited
	if !l.limited {
		a.allowance = uint64(max(1, min((l.level-c.reserve(l))/float64(2*max(l.active, 1)), maxAllowance)))
	}
	return a, true
}

// withholds reports whether the answer to a question must wait for the answers to pings. The
// process asks again.
func (c *Coordinator) withholds(now time.Time, l *ledger, u *user, r *report) bool {
	if r.ask <= u.answered || c.fleet.size <= 1 {
		return false
	}
	_, known := c.authority(now, r.id, l)
	return !known && float64(r.n) > c.available(now, r.id, l)
}

// charge takes what a process has used from the bucket.
func (c *Coordinator) charge(now time.Time, l *ledger, h *Header, r *report) *user {
	u := l.users[h.Incarnation]
	if u == nil {
		u = &user{name: h.Name, serial: r.serial, total: r.total, at: now}
		l.users[h.Incarnation] = u
		l.active++
		used := float64(min(r.window, r.total))
		if l.fresh {
			l.before += used
			l.partial = l.partial || h.Young
		} else {
			l.level -= used
		}
		return u
	}
	u.at = now
	if r.serial < u.serial {
		return u // an older report that was delayed
	}
	if u.pending > 0 && r.settled >= u.pendingAsk {
		l.level += float64(u.pending)
		u.pending = 0
	}
	used := float64(int64(r.total - u.total))
	l.count += max(used, 0)
	// After a partition, only the use of the last window matters.
	l.level -= min(used, float64(r.window)+1)
	u.serial, u.total = r.serial, r.total
	return u
}

// grant answers a question. The answer to a repeated question is the same.
func (c *Coordinator) grant(now time.Time, r *report, l *ledger, u *user) (granted uint64, hold time.Duration) {
	if r.ask > u.answered {
		available := c.available(now, r.id, l)
		granted = uint64(max(0, min(float64(r.n), available)))
		l.level -= float64(granted)
		u.answered, u.granted, u.pendingAsk = r.ask, granted, r.ask
		u.pending += granted
		l.count += float64(r.n)
	} else if r.ask == u.answered {
		granted = u.granted
	}
	if granted >= r.n {
		return granted, 0
	}
	// Each process asks up to 2.5 times as often as it gets a token if all get the same.
	rate := l.limit.Rate * ratePart
	wait := max(0.4*float64(l.active), 1-l.level) / rate
	return granted, max(minHold, min(time.Duration(min(wait, 1)*float64(time.Second)), maxHoldTime))
}

// reserve returns the level below which processes must ask: the requests that may arrive
// until they know, and one at each process as far as the margin does not cover them.
func (c *Coordinator) reserve(l *ledger) float64 {
	unasked := max(0, float64(l.active)-freeMarginPart*c.bounds.margin(l.limit))
	return min(l.demand*reactionTime.Seconds()+unasked, c.bounds.capacity(l.limit)/2)
}

// openAbove is the part of the capacity by which the level must exceed the reserve before
// processes need not ask any more.
const openAbove = 0.2

func (c *Coordinator) updateMode(now time.Time, id ID, l *ledger) {
	reserve := c.reserve(l)
	limited := l.limited
	switch {
	case l.fresh || l.level < reserve || l.level < 1:
		limited = true
	case l.level >= reserve+openAbove*c.bounds.capacity(l.limit):
		limited = false
	}
	// Processes that have no requests yet are told before they admit some by themselves.
	scarce := l.fresh && l.broadcastAt.IsZero() && l.level < c.bounds.fresh(l.limit)/2
	if limited == l.limited && !scarce {
		return
	}
	l.limited = limited
	e := entry{kind: kindMode, mode: mode{id, limited}}
	c.tellSelf(e.mode)
	if limited && now.Sub(l.broadcastAt) >= broadcastInterval {
		l.broadcastAt = now
		for name, p := range c.fleet.peers {
			if p.Alive {
				c.out.add(name, &e)
			}
		}
		return
	}
	for _, u := range l.users {
		if u.name != c.fleet.self {
			c.out.add(u.name, &e)
		}
	}
}

// tick sends the pings that are due, and returns when the next are; zero if none are needed.
func (c *Coordinator) tick(now time.Time) time.Time {
	needed := false
	c.pingWanted = false
	for id, l := range c.ledgers {
		if now.Sub(l.usedAt) > ledgerRetention {
			delete(c.ledgers, id)
			continue
		}
		if now.Sub(l.usedAt) < 2*time.Second && c.hot(l) {
			needed = true
			if now.Before(c.pingAt) || l.rank < inCharge {
				continue
			}
			for _, p := range l.better {
				c.ping(now, p)
			}
		}
	}
	if !needed {
		return time.Time{}
	}
	if !now.Before(c.pingAt) {
		c.pingAt = now.Add(pingInterval)
		for _, p := range c.pick() {
			c.ping(now, p)
		}
	}
	return c.pingAt
}

// ping asks a process whether it is reached, unless it was asked just now.
func (c *Coordinator) ping(now time.Time, p *peer) {
	if now.Sub(p.pingedAt) < pingInterval/2 {
		return
	}
	p.pingedAt = now
	c.pings++
	c.out.add(p.Name, &entry{kind: kindPing, ping: c.pings})
}

// pick returns a few random peers.
func (c *Coordinator) pick() []*peer {
	all := make([]*peer, 0, len(c.fleet.peers))
	for _, p := range c.fleet.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *peer) int { return strings.Compare(a.Name, b.Name) })
	c.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), pingCount)]
}
