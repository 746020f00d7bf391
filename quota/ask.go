package quota

import (
	"slices"
	"time"
)

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
