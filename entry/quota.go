package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/forward"
	"github.com/goldcrestmux/goldcrestmux/peers"
	"github.com/goldcrestmux/goldcrestmux/quota"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// Reasons of responses to requests that a quota refuses.
const (
	reasonOverQuota = "the organisation has used up its quota"
	reasonNoShare   = "the process does not know yet how quotas are divided"
)

const (
	// quotaAssumedFleet is the number of processes that is assumed if no peer has been heard
	// of. It is large, as all processes may be in this state.
	quotaAssumedFleet = 200
	// quotaStateSize is the number of organisations on the state page.
	quotaStateSize = 100
	// peerLostLogInterval is the least time between two log lines about peers that do not
	// answer.
	peerLostLogInterval = 10 * time.Second
	// quotaFleetInterval is the interval at which the fleet is looked at.
	quotaFleetInterval = time.Second
)

// quotas holds requests of organisations to their quotas. Its methods are safe for concurrent
// use.
//
// Lock order: no other lock is acquired while mu is held.
type quotas struct {
	log    *slog.Logger
	node   atomic.Pointer[peers.Node] // nil without peers
	limits atomic.Pointer[map[quota.ID]quota.Limit]
	wake   chan struct{}

	mu      sync.Mutex
	limiter *quota.Limiter
	waiters map[uint64]chan quota.Decision // by ticket
	// addresses holds the last known address of each peer.
	addresses  map[string]string
	wakeAt     time.Time // when run looks at the limiter next
	lostLogged time.Time
}

func newQuotas(s *Settings, startedAt time.Time, log *slog.Logger) *quotas {
	q := &quotas{log: log, wake: make(chan struct{}, 1), waiters: map[uint64]chan quota.Decision{}, addresses: map[string]string{}}
	incarnation := uint64(startedAt.UnixNano())
	q.limiter = quota.New(quota.Options{
		Self: s.Name, Incarnation: incarnation, StartedAt: startedAt, Bounds: s.Quota, Limits: q.limitOf, AssumedSize: quotaAssumedFleet,
		Rand: rand.New(rand.NewPCG(incarnation, 4)),
	})
	if s.PeerListen == "" {
		q.limiter.SetFleet(startedAt, quota.Fleet{Size: 1})
	}
	return q
}

// limitOf returns the quota of an organisation in the configuration in force.
func (q *quotas) limitOf(id quota.ID) (quota.Limit, bool) {
	limits := q.limits.Load()
	if limits == nil {
		return quota.Limit{}, false
	}
	return (*limits)[id], true
}

// publish puts the quotas of a view in force.
func (q *quotas) publish(v *catalog.View) {
	if !v.Configured() {
		return
	}
	limits := map[quota.ID]quota.Limit{}
	v.Organisations().Each(func(o *catalog.Organisation) {
		if o.Limited() {
			limits[quota.IDOf(o.Name)] = quota.Limit{Rate: o.Rate, Burst: o.Burst}
		}
	})
	q.limits.Store(&limits)
}

// Admit decides about a request of an organisation with a quota. It returns the response if
// the request is refused. A request waits for the coordinator's word, at most quota.MaxWait.
func (q *quotas) Admit(ctx context.Context, o *catalog.Organisation) *forward.Response {
	q.mu.Lock()
	d := q.limiter.Admit(time.Now(), o.Name, quota.Limit{Rate: o.Rate, Burst: o.Burst})
	var decided chan quota.Decision
	if d.Verdict == quota.Wait {
		decided = make(chan quota.Decision, 1)
		q.waiters[d.Ticket] = decided
	}
	messages := q.take()
	q.mu.Unlock()
	q.send(messages)
	if decided != nil {
		d = q.await(ctx, o.Name, d.Ticket, decided)
	}
	switch d.Verdict {
	case quota.Admit:
		return nil
	case quota.NoShare:
		return &forward.Response{Status: http.StatusServiceUnavailable, RetryAfter: d.RetryAfter, Reason: reasonNoShare}
	default:
		return &forward.Response{Status: http.StatusTooManyRequests, RetryAfter: d.RetryAfter, Reason: reasonOverQuota}
	}
}

// await waits for the decision about a request. If the caller has left, the request is given
// back once it is admitted.
func (q *quotas) await(ctx context.Context, name string, ticket uint64, decided chan quota.Decision) quota.Decision {
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
	}
	q.mu.Lock()
	delete(q.waiters, ticket)
	q.mu.Unlock()
	select {
	case d := <-decided:
		if d.Verdict == quota.Admit {
			q.GiveBack(name)
		}
	default:
	}
	return quota.Decision{Verdict: quota.OverQuota}
}

// GiveBack takes back a request of an organisation that was admitted and did not run.
func (q *quotas) GiveBack(name string) {
	q.mu.Lock()
	q.limiter.GiveBack(time.Now(), name)
	q.wakeIfDue()
	q.mu.Unlock()
}

// outgoing is a batch for an address.
type outgoing struct {
	address string
	data    []byte
}

// take passes decisions to the requests that wait, and returns the batches to send. mu must
// be held.
func (q *quotas) take() []outgoing {
	for _, o := range q.limiter.Outcomes() {
		if c := q.waiters[o.Ticket]; c != nil {
			c <- o.Decision
			delete(q.waiters, o.Ticket)
		}
	}
	batches := q.limiter.Outgoing()
	if len(batches) == 0 {
		q.wakeIfDue()
		return nil
	}
	messages := make([]outgoing, 0, len(batches))
	for _, b := range batches {
		if address := q.addresses[b.To]; address != "" {
			messages = append(messages, outgoing{address, b.Data})
		}
	}
	q.wakeIfDue()
	return messages
}

// wakeIfDue wakes run if the limiter has something to do before run looks at it. mu must be
// held.
func (q *quotas) wakeIfDue() {
	if q.limiter.Next().Before(q.wakeAt) {
		q.wakeAt = q.limiter.Next()
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

func (q *quotas) send(messages []outgoing) {
	node := q.node.Load()
	if node == nil {
		return
	}
	for _, m := range messages {
		node.SendQuota(m.address, m.data)
	}
}

// Receive handles a batch of a peer. It waits for no lock but that of the limiter.
func (q *quotas) Receive(now time.Time, from string, data []byte) {
	q.mu.Lock()
	name, err := q.limiter.Receive(now, data)
	if err == nil {
		q.addresses[name] = from
	}
	messages := q.take()
	q.mu.Unlock()
	if err != nil {
		q.log.Warn("decoding a quota message failed; message ignored", "from", from, "error", err)
		return
	}
	q.send(messages)
}

// Heard records that a message of a peer has arrived.
func (q *quotas) Heard(now time.Time) {
	q.mu.Lock()
	q.limiter.Heard(now)
	q.mu.Unlock()
}

// setFleet tells the limiter the fleet, as this process knows it.
func (q *quotas) setFleet(now time.Time, known share.Fleet, members, alive []peers.Member, s *Settings) {
	live := make(map[string]bool, len(alive))
	for i := range alive {
		live[alive[i].Name] = true
	}
	f := quota.Fleet{Size: known.Size(), Members: make([]quota.Member, 0, len(members))}
	f.Settling = known.AssumedSize > len(known.Members) && known.AssumedSize <= max(assumedFleetSize, 2*len(known.Members))
	if aloneFleet(s, members) {
		f.Size = 1
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	seen := make(map[string]bool, len(members))
	for i := range members {
		m := &members[i]
		seen[m.Name] = true
		q.addresses[m.Name] = m.Address
		f.Members = append(f.Members, quota.Member{Name: m.Name, Started: m.Started, Alive: live[m.Name]})
	}
	for name := range q.addresses {
		if !seen[name] {
			delete(q.addresses, name)
		}
	}
	q.limiter.SetFleet(now, f)
	q.wakeIfDue()
}

// run does what the limiter has to do at certain times, until dying is closed.
func (q *quotas) run(dying <-chan struct{}, fleet func(now time.Time)) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var fleetAt time.Time
	for {
		select {
		case <-dying:
			return nil
		case <-q.wake:
		case <-timer.C:
		}
		now := time.Now()
		if now.Sub(fleetAt) >= quotaFleetInterval {
			fleetAt = now
			fleet(now)
		}
		q.mu.Lock()
		if !now.Before(q.limiter.Next()) {
			q.limiter.Tick(now)
		}
		q.wakeAt = q.limiter.Next()
		messages, events, lost := q.take(), q.limiter.Events(), q.limiter.LostPeers()
		wait := time.Until(q.wakeAt)
		q.mu.Unlock()
		q.send(messages)
		q.logEvents(now, events, lost)
		timer.Reset(max(0, min(wait, quotaFleetInterval)))
	}
}

func (q *quotas) logEvents(now time.Time, events []quota.Event, lost []string) {
	for i := range events {
		e := &events[i]
		if e.Ended {
			q.log.Info("quota no longer exceeded", "organisation", e.Name, "rate", e.Limit.Rate, "burst", e.Limit.Burst, "since", e.Since, "admitted", e.Admitted, "refused", e.Refused)
		} else {
			q.log.Info("quota exceeded", "organisation", e.Name, "rate", e.Limit.Rate, "burst", e.Limit.Burst)
		}
	}
	if len(lost) > 0 && now.Sub(q.lostLogged) >= peerLostLogInterval {
		q.lostLogged = now
		q.log.Warn("quota coordinators do not answer; others are asked", "peers", lost)
	}
}

// counts returns the totals since the start.
func (q *quotas) counts() quota.Counts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Counts()
}

// ready reports whether requests of organisations with a quota are served, if there are any.
func (q *quotas) ready(now time.Time) bool {
	if limits := q.limits.Load(); limits == nil || len(*limits) == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Ready(now)
}

// state returns the content of the state page.
func (q *quotas) state() any {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.State(time.Now(), quotaStateSize)
}

// organisation returns the state of one organisation, and whether it has been used here of late.
func (q *quotas) organisation(now time.Time, name string) (quota.OrganisationState, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Organisation(now, name)
}

// updateQuotaFleet tells the quotas what is known of the fleet.
func (p *process) updateQuotaFleet(now time.Time) {
	if p.peers == nil {
		return
	}
	p.quotas.setFleet(now, p.peers.Fleet(now), p.peers.Members(), p.peers.Alive(aliveWithin), &p.settings)
}

// aloneFleet reports whether no other process is known and the settings name none.
func aloneFleet(s *Settings, members []peers.Member) bool {
	for _, seed := range s.Seeds {
		if seed != s.PeerListen {
			return false
		}
	}
	return len(members) == 0
}
