package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Verdict is what becomes of a request.
type Verdict uint8

// Verdicts.
const (
	// Admit: the request may run.
	Admit Verdict = iota
	// Wait: the coordinator is asked; the outcome follows.
	Wait
	// OverQuota: the organisation has used its quota up.
	OverQuota
	// NoShare: this process does not know the fleet yet.
	NoShare
)

// Decision is the decision about one request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when to come back, unless the request is admitted.
	RetryAfter time.Duration
	// Ticket identifies the request in outcomes if it waits.
	Ticket uint64
}

// Outcome is the later decision about a request that waits.
type Outcome struct {
	Ticket   uint64
	Decision Decision
}

// Options configures a Limiter.
type Options struct {
	Self        string
	Incarnation uint64
	StartedAt   time.Time
	Bounds      Bounds
	Limits      Limits
	// AssumedSize is the number of processes that is assumed if nothing tells how many there
	// are for longer than the time without a share.
	AssumedSize int
	Rand        *rand.Rand
}

// Times of a Limiter.
const (
	// MaxWait is how long a request waits for the word of a coordinator.
	MaxWait = 25 * time.Millisecond
	// deputyAfter is the time without an answer after which the deputy is asked as well, and
	// then the next process.
	deputyAfter = 8 * time.Millisecond
	// reportDelay is the time in which admitted requests are reported, and settledDelay that
	// in which granted ones are, which the coordinator has counted already.
	reportDelay  = 50 * time.Millisecond
	settledDelay = 200 * time.Millisecond
	// resendAfter is the time after which a report without an answer is sent again.
	resendAfter = 150 * time.Millisecond
	maxResends  = 4
	// wordAge is how long an allowance holds, and limitedAge how long a process that hears
	// nothing keeps asking.
	wordAge    = 3 * time.Second
	limitedAge = 30 * time.Second
	// shareless is the time after the start in which a process without a known fleet has no
	// share at all.
	shareless = 2 * time.Second
	// isolatedAfter is the time without any message from a peer after which a process takes
	// itself for cut off. It receives three gossip messages a second.
	isolatedAfter = 3 * time.Second
	// upkeepInterval is the interval of upkeep. accountRetention is how long an unused account
	// is kept; counts of a longer time ago do not matter.
	upkeepInterval   = time.Second
	accountRetention = time.Minute
	// exceededEnd is the time without a refusal after which a quota is no longer exceeded.
	exceededEnd = 10 * time.Second
)

// RetryAfter of refused requests is spread over this span, so that callers do not come back
// together.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 2500 * time.Millisecond
)

const slots = 6 // of a fifth of a window each, the current one included

// account is what a process knows of an organisation.
type account struct {
	id    ID
	name  string
	limit Limit

	// total is the number of admitted requests without those given back, acked the total that
	// the coordinator has answered last.
	total, acked uint64
	slots        [slots]uint32
	slot         int64
	usedAt       time.Time

	// free is the number of requests that may be admitted without the word of a coordinator.
	free      float64
	freeAt    time.Time
	isolation uint64 // as of the last use of free

	limited   bool
	limitedAt time.Time
	allowance uint64
	allowedAt time.Time
	holdUntil time.Time

	serial, settled, asked uint64
	ask                    *ask
	waiting                []ticket

	dueAt   time.Time // of the next report; zero if there is nothing to report
	sentAt  time.Time // of a report without an answer; zero if there is none
	resends int

	order        []candidate
	orderVersion uint64

	exceededAt, refusedAt   time.Time
	admitted, refused       uint64 // since exceededAt
	refusedTotal, fallbacks uint64
}

type ticket struct {
	number uint64
	at     time.Time
}

// ask is a question that is not answered yet.
type ask struct {
	number  uint64
	tickets []ticket
	sentAt  time.Time
	sentTo  []candidate
	// exhausted is true if there is nobody else to ask.
	exhausted bool
}

// Event tells that an organisation has begun to exceed its quota, or no longer does.
type Event struct {
	Name  string
	Limit Limit
	Ended bool
	// Since is when it began; Admitted and Refused are the requests since.
	Since             time.Time
	Admitted, Refused uint64
}

// Counts are totals since the start.
type Counts struct {
	// Open, Granted and Free are requests that were admitted with an allowance, by a
	// coordinator, and without either. Unanswered is the number of those that waited in vain.
	Open       uint64 `json:"open"`
	Granted    uint64 `json:"granted"`
	Free       uint64 `json:"free"`
	Unanswered uint64 `json:"unanswered"`
	OverQuota  uint64 `json:"over_quota"`
	NoShare    uint64 `json:"no_share"`
	Returned   uint64 `json:"returned"`
	PeersLost  uint64 `json:"peers_lost"`
}

// Limiter decides about the requests of organisations at one process.
type Limiter struct {
	opts     Options
	fleet    fleet
	out      outbox
	coord    *Coordinator
	accounts map[ID]*account
	active   map[ID]*account // those with something to report or to ask
	outcomes []Outcome
	events   []Event
	counts   Counts
	tickets  uint64
	heardAt  time.Time
	isolated bool
	// isolation counts the times that the process was cut off.
	isolation uint64
	next      time.Time
	upkeepAt  time.Time
	now       time.Time // of the latest call
	lost      []string  // peers that do not answer, since the last call of LostPeers
}

// New returns a Limiter with its Coordinator.
func New(opts Options) *Limiter {
	l := &Limiter{
		opts: opts, fleet: newFleet(opts.Self, opts.StartedAt), accounts: map[ID]*account{}, active: map[ID]*account{},
		heardAt: opts.StartedAt, next: opts.StartedAt, upkeepAt: opts.StartedAt, now: opts.StartedAt,
	}
	l.out = newOutbox(func() Header { return l.headerNow() })
	l.coord = &Coordinator{
		bounds: opts.Bounds, limits: opts.Limits, fleet: &l.fleet, out: &l.out, rand: opts.Rand, startedAt: opts.StartedAt,
		ledgers: map[ID]*ledger{}, tellSelf: func(m mode) { l.setMode(l.now, m) }, isolated: func() bool { return l.isolated },
	}
	return l
}

func (l *Limiter) headerNow() Header {
	size := uint64(0)
	if l.fleet.known > 0 && l.fleet.known == len(l.fleet.peers)+1 {
		size = uint64(l.fleet.known)
	}
	return Header{Size: size, Name: l.opts.Self, Incarnation: l.opts.Incarnation, Young: l.now.Sub(l.opts.StartedAt) < l.opts.Bounds.Window}
}

// SetFleet sets what is known of the fleet.
func (l *Limiter) SetFleet(now time.Time, f Fleet) {
	l.now = now
	before := l.fleet.version
	restarted := l.fleet.set(now, f)
	if l.fleet.version == before && len(restarted) == 0 {
		return
	}
	for _, a := range l.recent(now) {
		old := a.order[:min(inCharge, len(a.order))]
		for i, c := range l.inCharge(a) {
			if i >= len(old) || old[i].name != c.name || slices.Contains(restarted, c.name) {
				l.report(a, now)
				break
			}
		}
	}
}

// recent returns the accounts with requests in the last window, in a fixed order.
func (l *Limiter) recent(now time.Time) []*account {
	var out []*account
	for _, a := range l.accounts {
		if now.Sub(a.usedAt) <= l.opts.Bounds.Window {
			out = append(out, a)
		}
	}
	sortAccounts(out)
	return out
}

// sortAccounts sorts accounts by ID, so that the same input has the same effect.
func sortAccounts(accounts []*account) {
	slices.SortFunc(accounts, func(a, b *account) int { return cmp.Compare(a.id, b.id) })
}

// Heard records that a message of a peer has arrived.
func (l *Limiter) Heard(now time.Time) {
	l.heardAt, l.isolated = now, false
}

// size returns the number of processes that quotas are divided by without a coordinator.
func (l *Limiter) size() int {
	if l.fleet.size > 0 {
		return l.fleet.size
	}
	return l.opts.AssumedSize
}

func (l *Limiter) account(now time.Time, name string, limit Limit) *account {
	id := IDOf(name)
	a := l.accounts[id]
	if a == nil {
		a = &account{id: id, name: name, limit: limit, freeAt: now, usedAt: now}
		if l.fleet.size > 0 {
			a.free = l.firstFree(limit)
		}
		l.accounts[id] = a
	}
	if a.name == "" {
		a.name = name // a coordinator told of the organisation before its first request
	}
	if a.limit != limit {
		a.limit, a.holdUntil = limit, time.Time{}
		a.free = min(a.free, l.freeCapacity(limit))
	}
	return a
}

// freeCapacity returns how many requests a process may have admitted without the word of a
// coordinator.
func (l *Limiter) freeCapacity(limit Limit) float64 { return max(1, l.freePart(limit)) }

// firstFree is that of an organisation without requests so far. After a start of the whole
// fleet, one at each process would be more than the margin.
func (l *Limiter) firstFree(limit Limit) float64 {
	if l.fleet.settled() {
		return l.freeCapacity(limit)
	}
	return l.freePart(limit)
}

func (l *Limiter) freePart(limit Limit) float64 {
	return freeMarginPart * l.opts.Bounds.margin(limit) / float64(l.size())
}

// refillFree adds the free requests since the last call. While the process is cut off, it has
// a first one only for some organisations: others may be cut off as well.
func (l *Limiter) refillFree(now time.Time, a *account) {
	part := l.freePart(a.limit)
	if now.After(a.freeAt) {
		a.free = min(l.freeCapacity(a.limit), a.free+part*now.Sub(a.freeAt).Seconds()/l.opts.Bounds.Window.Seconds())
		a.freeAt = now
	}
	if l.isolated && a.isolation != l.isolation {
		a.isolation = l.isolation
		if f := fractionOf(uint64(a.id), l.fleet.selfHash); f >= part {
			a.free = min(a.free, 1-f)
		}
	}
}

// Ready reports whether requests of organisations with a quota are served: a process that does
// not know its fleet has no share for some time.
func (l *Limiter) Ready(now time.Time) bool {
	return l.fleet.size > 0 || now.Sub(l.opts.StartedAt) >= shareless
}

// Admit decides about a request of an organisation.
func (l *Limiter) Admit(now time.Time, name string, limit Limit) Decision {
	l.now = now
	l.checkIsolation(now)
	a := l.account(now, name, limit)
	a.usedAt = now
	if a.limited && now.Sub(a.limitedAt) > limitedAge {
		a.limited = false
	}
	l.refillFree(now, a)
	if l.fleet.size == 0 {
		if !l.Ready(now) {
			l.counts.NoShare++
			return Decision{Verdict: NoShare, RetryAfter: 200*time.Millisecond + l.jitter(400*time.Millisecond)}
		}
		return l.fallback(now, a)
	}
	unanswered := int64(a.total - a.acked)
	switch {
	case !a.limited && now.Sub(a.allowedAt) < wordAge && unanswered < int64(a.allowance):
		l.counts.Open++
		l.admit(now, a)
		l.due(a, now.Add(reportDelay))
		return Decision{Verdict: Admit}
	case !a.limited && a.free >= 1 && !l.coordinates(now, a):
		a.free--
		l.counts.Free++
		l.admit(now, a)
		l.due(a, now)
		return Decision{Verdict: Admit}
	case now.Before(a.holdUntil):
		return l.refuse(now, a)
	}
	return l.enqueue(now, a)
}

// coordinates reports whether this process coordinates the organisation itself.
func (l *Limiter) coordinates(now time.Time, a *account) bool {
	first := l.reachable(now, a, 1)
	return len(first) > 0 && first[0].peer == nil
}

func (l *Limiter) checkIsolation(now time.Time) {
	if !l.isolated && l.fleet.size > 1 && now.Sub(l.heardAt) > isolatedAfter {
		l.isolated = true
		l.isolation++
	}
}

func (l *Limiter) jitter(span time.Duration) time.Duration {
	return time.Duration(l.opts.Rand.Int64N(int64(span)))
}

// slotOf returns the number of the slot that a time is in.
func (l *Limiter) slotOf(now time.Time) int64 {
	return now.UnixNano() / (int64(l.opts.Bounds.Window) / (slots - 1))
}

// advance empties the slots that have passed.
func (l *Limiter) advance(now time.Time, a *account) {
	s := l.slotOf(now)
	for n := 0; a.slot < s && n < slots; n++ {
		a.slot++
		a.slots[a.slot%slots] = 0
	}
	a.slot = max(a.slot, s)
	// A slot that was skipped is empty already: all were emptied.
}

// used returns the requests of the last window, and up to a fifth of the one before.
func (l *Limiter) used(now time.Time, a *account) uint64 {
	l.advance(now, a)
	sum := uint64(0)
	for _, n := range a.slots {
		sum += uint64(n)
	}
	return sum
}

func (l *Limiter) admit(now time.Time, a *account) {
	l.advance(now, a)
	a.slots[a.slot%slots]++
	a.total++
	a.admitted++
}

// refuse returns the decision to refuse a request.
func (l *Limiter) refuse(now time.Time, a *account) Decision {
	l.counts.OverQuota++
	a.refusedTotal++
	if a.exceededAt.IsZero() {
		a.exceededAt, a.admitted, a.refused = now, 0, 0
		l.events = append(l.events, Event{Name: a.name, Limit: a.limit, Since: now})
	}
	a.refused++
	a.refusedAt = now
	return Decision{Verdict: OverQuota, RetryAfter: minRetryAfter + l.jitter(maxRetryAfter-minRetryAfter)}
}

// fallback decides without the word of a coordinator.
func (l *Limiter) fallback(now time.Time, a *account) Decision {
	l.refillFree(now, a)
	if a.free < 1 {
		return l.refuse(now, a)
	}
	a.free--
	a.fallbacks++
	l.counts.Free++
	l.admit(now, a)
	l.due(a, now)
	return Decision{Verdict: Admit}
}

// GiveBack takes back a request that was admitted and did not run.
func (l *Limiter) GiveBack(now time.Time, name string) {
	a := l.accounts[IDOf(name)]
	if a == nil || l.used(now, a) == 0 || a.total == 0 {
		return
	}
	for i := a.slot; i > a.slot-slots; i-- {
		if n := &a.slots[((i%slots)+slots)%slots]; *n > 0 {
			*n--
			break
		}
	}
	a.total--
	l.counts.Returned++
	l.due(a, now.Add(reportDelay))
}

// Receive handles a batch of a process. It returns an error if it can't be decoded, and the
// name of the sender.
func (l *Limiter) Receive(now time.Time, data []byte) (from string, err error) {
	l.now = now
	h, entries, err := decode(data)
	if err != nil || h.Name == l.opts.Self {
		return h.Name, err
	}
	l.Heard(now)
	if !h.Young {
		l.fleet.tell(int(h.Size))
	}
	if p := l.fleet.peers[h.Name]; p != nil {
		p.heard(now)
		if p.incarnation != h.Incarnation {
			known := p.incarnation != 0
			p.incarnation = h.Incarnation
			if known {
				l.reportAllTo(now, h.Name)
			}
		}
	}
	for i := range entries {
		e := &entries[i]
		switch e.kind {
		case kindReport, kindCopy:
			reply, ok := l.coord.receive(now, &h, &e.report)
			if ok && e.kind == kindReport {
				l.out.add(h.Name, &entry{kind: kindAnswer, answer: reply})
			} else if e.kind == kindReport {
				l.out.add(h.Name, &entry{kind: kindPong}) // a sign of life
			}
			l.wakeCoordinator()
		case kindAnswer:
			l.answered(now, &e.answer)
		case kindMode:
			l.setMode(now, e.mode)
		case kindPing:
			l.out.add(h.Name, &entry{kind: kindPong, ping: e.ping})
		}
	}
	return h.Name, nil
}

// wakeCoordinator makes Tick be called when the coordinator needs pings.
func (l *Limiter) wakeCoordinator() {
	if c := l.coord; c.pingWanted && c.pingAt.Before(l.next) {
		l.next = c.pingAt
	}
}

// reportAllTo reports the use of the last window to a process that has restarted.
func (l *Limiter) reportAllTo(now time.Time, name string) {
	for _, a := range l.recent(now) {
		for _, c := range l.inCharge(a) {
			if c.name == name {
				l.send(now, a, c, kindCopy)
			}
		}
	}
}

// Next returns when Tick must be called next.
func (l *Limiter) Next() time.Time { return l.next }

// Outgoing returns the batches to send since the last call.
func (l *Limiter) Outgoing() []Outgoing { return l.out.take() }

// Outcomes returns the decisions about waiting requests since the last call.
func (l *Limiter) Outcomes() []Outcome {
	out := l.outcomes
	l.outcomes = nil
	return out
}

// Events returns the events since the last call.
func (l *Limiter) Events() []Event {
	out := l.events
	l.events = nil
	return out
}

// LostPeers returns the peers that have ceased to answer since the last call.
func (l *Limiter) LostPeers() []string {
	out := l.lost
	l.lost = nil
	return out
}

// Counts returns the totals since the start.
func (l *Limiter) Counts() Counts { return l.counts }
