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

// candidates returns the live processes in the order in which they coordinate.
func (l *Limiter) candidates(a *account) []candidate {
	if a.orderVersion != l.fleet.version {
		a.order, a.orderVersion = l.fleet.candidates(a.id), l.fleet.version
	}
	return a.order
}

// inCharge returns the coordinator and its deputy.
func (l *Limiter) inCharge(a *account) []candidate {
	order := l.candidates(a)
	return order[:min(inCharge, len(order))]
}

// reachable returns the first n candidates that answer.
func (l *Limiter) reachable(now time.Time, a *account, n int) []candidate {
	var out []candidate
	for _, c := range l.candidates(a) {
		if len(out) == n {
			break
		}
		// A process that is cut off does not coordinate: with 195 of them, even one request
		// each is more than the margin.
		if (c.peer == nil && !l.isolated) || (c.peer != nil && !c.peer.down(now)) {
			out = append(out, c)
		}
	}
	return out
}

// due sets when the account must be looked at again at the latest.
func (l *Limiter) due(a *account, at time.Time) {
	if a.dueAt.IsZero() || at.Before(a.dueAt) {
		a.dueAt = at
	}
	l.wake(a, at)
}

func (l *Limiter) wake(a *account, at time.Time) {
	l.active[a.id] = a
	if at.Before(l.next) {
		l.next = at
	}
}

// enqueue makes a request wait for the coordinator. If that is this process, the decision is
// final.
func (l *Limiter) enqueue(now time.Time, a *account) Decision {
	l.tickets++
	t := ticket{l.tickets, now}
	if a.ask != nil {
		a.waiting = append(a.waiting, t)
		return Decision{Verdict: Wait, Ticket: t.number}
	}
	first := len(l.outcomes)
	l.startAsk(now, a, []ticket{t})
	for i := first; i < len(l.outcomes); i++ {
		if l.outcomes[i].Ticket == t.number {
			d := l.outcomes[i].Decision
			l.outcomes = slices.Delete(l.outcomes, i, i+1)
			return d
		}
	}
	return Decision{Verdict: Wait, Ticket: t.number}
}

func (l *Limiter) startAsk(now time.Time, a *account, tickets []ticket) {
	a.asked++
	a.ask = &ask{number: a.asked, tickets: tickets, sentAt: now}
	first := l.reachable(now, a, 1)
	if len(first) == 0 {
		l.giveUp(now, a)
		return
	}
	l.sendAsk(now, a, first[0])
}

// sendAsk sends the open question to a process.
func (l *Limiter) sendAsk(now time.Time, a *account, to candidate) {
	a.ask.sentTo = append(a.ask.sentTo, to)
	l.wake(a, now.Add(deputyAfter))
	l.send(now, a, to, kindReport)
}

// send sends a report with the open question to a process.
func (l *Limiter) send(now time.Time, a *account, to candidate, k kind) {
	a.serial++
	r := report{id: a.id, serial: a.serial, total: a.total, window: l.used(now, a), settled: a.settled}
	if a.ask != nil && k == kindReport {
		r.ask, r.n = a.ask.number, uint64(len(a.ask.tickets))
	}
	if to.peer != nil {
		l.out.add(to.name, &entry{kind: k, report: r})
		return
	}
	h := l.headerNow()
	defer l.wakeCoordinator()
	if reply, ok := l.coord.receive(now, &h, &r); ok && k == kindReport {
		l.answered(now, &reply)
	}
}

// report reports the account to its coordinators now.
func (l *Limiter) report(a *account, now time.Time) {
	a.dueAt = time.Time{}
	told := map[string]bool{}
	for i, c := range l.reachable(now, a, inCharge) {
		told[c.name] = true
		k := kindCopy
		if i == 0 && !a.limited {
			k = kindReport
		}
		l.send(now, a, c, k)
	}
	// A coordinator that seems to be down may only be slow, and serve others.
	for _, c := range l.inCharge(a) {
		if !told[c.name] {
			l.send(now, a, c, kindCopy)
		}
	}
	if !a.limited && a.acked != a.total {
		a.sentAt = now
		l.wake(a, now.Add(resendAfter))
	}
}

// answered handles the answer of a coordinator.
func (l *Limiter) answered(now time.Time, r *answer) {
	a := l.accounts[r.id]
	if a == nil {
		return
	}
	if !r.limited {
		if gained := int64(r.total - a.acked); gained > 0 {
			a.free = min(l.freeCapacity(a.limit), a.free+float64(gained))
		}
		a.allowance, a.allowedAt = r.allowance, now
	}
	a.acked = min(a.acked, a.total) // requests that were given back
	if r.total > a.acked && r.total <= a.total {
		a.acked = r.total
	}
	a.sentAt, a.resends = time.Time{}, 0
	l.setMode(now, mode{r.id, r.limited})
	if a.ask == nil || a.ask.number != r.ask {
		return
	}
	tickets := a.ask.tickets
	granted := min(int(r.granted), len(tickets))
	for _, t := range tickets[:granted] {
		l.admit(now, a)
		l.counts.Granted++
		l.outcomes = append(l.outcomes, Outcome{t.number, Decision{Verdict: Admit}})
	}
	if granted > 0 && !r.limited {
		// The coordinator has counted them.
		a.acked += uint64(granted)
	}
	if granted < len(tickets) {
		a.holdUntil = now.Add(r.hold)
	}
	for _, t := range tickets[granted:] {
		l.outcomes = append(l.outcomes, Outcome{t.number, l.refuse(now, a)})
	}
	l.settle(now, a)
}

// settle ends the open question.
func (l *Limiter) settle(now time.Time, a *account) {
	a.settled = a.ask.number
	a.ask = nil
	l.due(a, now.Add(settledDelay))
	waiting := a.waiting
	a.waiting = nil
	if len(waiting) == 0 {
		return
	}
	if now.Before(a.holdUntil) {
		for _, t := range waiting {
			l.outcomes = append(l.outcomes, Outcome{t.number, l.refuse(now, a)})
		}
		return
	}
	l.startAsk(now, a, waiting)
}

// giveUp decides about the requests of the open question without an answer.
func (l *Limiter) giveUp(now time.Time, a *account) {
	for _, c := range a.ask.sentTo {
		if c.peer != nil && c.peer.heardAt.Before(a.ask.sentAt) && c.peer.missed(now) {
			l.counts.PeersLost++
			l.lost = append(l.lost, c.name)
		}
	}
	for _, t := range a.ask.tickets {
		l.counts.Unanswered++
		l.outcomes = append(l.outcomes, Outcome{t.number, l.fallback(now, a)})
	}
	l.settle(now, a)
}

func (l *Limiter) setMode(now time.Time, m mode) {
	a := l.accounts[m.id]
	if a == nil {
		if !m.limited {
			return
		}
		limit, ok := l.opts.Limits(m.id)
		if !ok || limit.Rate <= 0 {
			return
		}
		a = &account{id: m.id, limit: limit, freeAt: now, usedAt: now}
		a.free = l.firstFree(limit)
		l.accounts[m.id] = a
	}
	a.limited = m.limited
	if m.limited {
		a.limitedAt, a.allowance = now, 0
	} else {
		a.holdUntil = time.Time{}
	}
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

// Tick does what is due: reports, questions to the deputy, and the end of waiting.
func (l *Limiter) Tick(now time.Time) {
	l.now = now
	l.checkIsolation(now)
	l.next = now.Add(upkeepInterval)
	active := make([]*account, 0, len(l.active))
	for _, a := range l.active {
		active = append(active, a)
	}
	sortAccounts(active)
	for _, a := range active {
		l.tickAccount(now, a)
	}
	if at := l.coord.tick(now); !at.IsZero() && at.Before(l.next) {
		l.next = at
	}
	if now.Sub(l.upkeepAt) >= upkeepInterval {
		l.upkeep(now)
	}
}

func (l *Limiter) tickAccount(now time.Time, a *account) {
	if a.ask != nil {
		switch age := now.Sub(a.ask.tickets[0].at); {
		case age >= MaxWait:
			l.giveUp(now, a)
		case now.Sub(a.ask.sentAt) >= time.Duration(len(a.ask.sentTo))*deputyAfter && !a.ask.exhausted:
			l.askNext(now, a)
		}
	}
	if !a.sentAt.IsZero() && now.Sub(a.sentAt) >= resendAfter {
		l.resend(now, a)
	}
	if !a.dueAt.IsZero() && !now.Before(a.dueAt) {
		l.report(a, now)
	}
	idle := true
	for _, at := range []time.Time{a.dueAt, a.nextAsk(), a.nextResend()} {
		if !at.IsZero() {
			idle = false
			if at.Before(l.next) {
				l.next = at
			}
		}
	}
	if idle {
		delete(l.active, a.id)
	}
}

// askNext sends the open question to the deputy, and then to the coordinator again if there is
// a sign of life, else to the next process.
func (l *Limiter) askNext(now time.Time, a *account) {
	sent := a.ask.sentTo
	first := sent[0]
	a.ask.exhausted = len(sent) >= inCharge
	if first.peer == nil || first.peer.heardAt.After(a.ask.sentAt) {
		if len(sent) >= inCharge {
			l.sendAsk(now, a, first)
			return
		}
	}
	c := l.reachable(now, a, inCharge+1)
	if len(c) > len(sent) {
		l.sendAsk(now, a, c[len(sent)])
		return
	}
	a.ask.exhausted = true
	if first.peer == nil || first.peer.heardAt.After(a.ask.sentAt) {
		l.sendAsk(now, a, first)
	}
}

func (a *account) nextAsk() time.Time {
	if a.ask == nil {
		return time.Time{}
	}
	end := a.ask.tickets[0].at.Add(MaxWait)
	if !a.ask.exhausted {
		if at := a.ask.sentAt.Add(time.Duration(len(a.ask.sentTo)) * deputyAfter); at.Before(end) {
			return at
		}
	}
	return end
}

func (a *account) nextResend() time.Time {
	if a.sentAt.IsZero() {
		return time.Time{}
	}
	return a.sentAt.Add(resendAfter)
}

// resend repeats a report that has not been answered.
func (l *Limiter) resend(now time.Time, a *account) {
	sentAt := a.sentAt
	a.sentAt = time.Time{}
	if c := l.reachable(now, a, 1); len(c) > 0 && c[0].peer != nil && c[0].peer.heardAt.Before(sentAt) && c[0].peer.missed(now) {
		l.counts.PeersLost++
		l.lost = append(l.lost, c[0].name)
	}
	if a.resends++; a.resends <= maxResends {
		l.report(a, now)
	}
}

// upkeep ends what has passed.
func (l *Limiter) upkeep(now time.Time) {
	l.upkeepAt = now
	for id, a := range l.accounts {
		if !a.exceededAt.IsZero() && now.Sub(a.refusedAt) > exceededEnd {
			l.events = append(l.events, Event{Name: a.name, Limit: a.limit, Ended: true, Since: a.exceededAt, Admitted: a.admitted, Refused: a.refused})
			a.exceededAt = time.Time{}
		}
		if now.Sub(a.usedAt) > accountRetention && a.ask == nil && now.Sub(a.limitedAt) > limitedAge {
			delete(l.accounts, id)
			delete(l.active, id)
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
