package quota

import (
	"time"
)

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
