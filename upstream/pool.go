package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/share"
	"github.com/juju/errors"
)

// Options configures a Pool.
type Options struct {
	Codec Codec
	// DataCentre is the process's own.
	DataCentre string
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// DrainUse is how long a draining target stays a last resort.
	DrainUse time.Duration
	// Cold bounds the requests to cold targets, from all processes.
	Cold ColdBound
	// Event is told what happens to connections, for logs. It must not block.
	Event func(Event)
}

// Event is something that happened to a connection or a target.
type Event struct {
	What    string
	Target  string
	Service string
	Request string
	Err     error
}

// Pool holds the connections to all targets. Its methods may be called concurrently.
//
// Lock order: mu is taken with no other lock held, and none is taken under it.
type Pool struct {
	opts Options

	mu       sync.Mutex
	targets  map[string]*Target
	services map[string]*service
	view     *catalog.View
	fleet    share.Fleet
	turn     uint64
	busy     map[*conn]struct{}
	buffers  sync.Pool
}

// service is the targets of one service.
type service struct {
	targets []*Target
	// connections bounds those to one target, from all processes.
	connections int
	// warmupRate is what a cold target bears, from all processes; zero if cold
	// targets are only slow.
	warmupRate float64
}

// ColdBound is the published bound on requests to a cold target: in any second
// Overshoot times the rate that its service names, and Slack beside.
type ColdBound struct {
	Overshoot float64
	Slack     float64
}

// New returns a pool that knows no targets.
func New(opts Options) *Pool {
	p := &Pool{
		opts: opts, targets: map[string]*Target{}, services: map[string]*service{},
		busy: map[*conn]struct{}{},
	}
	p.buffers.New = func() any { b := make([]byte, 0, 1024); return &b }
	return p
}

func (p *Pool) buffer() []byte { return (*p.buffers.Get().(*[]byte))[:0] }

func (p *Pool) release(b []byte) { p.buffers.Put(&b) }

// Prepare encodes the part of a call that all attempts share.
func (p *Pool) Prepare(c *Call) { c.prefix = p.opts.Codec.AppendCall(nil, c) }

// SetFleet takes the processes that share the limits of targets.
func (p *Pool) SetFleet(f share.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = f
	for _, svc := range p.services {
		for _, t := range svc.targets {
			p.limit(t, svc)
		}
	}
}

// minConnections lets a request pass while another one is stalled. Targets may
// reset connections beyond their limit; those requests go elsewhere.
const minConnections = 2

// limit works out this process's parts of a target's limits.
func (p *Pool) limit(t *Target, svc *service) {
	t.connections = max(p.fleet.Part(float64(svc.connections), t.ID), minConnections)
	t.coldLimit = p.fleet.Part(svc.warmupRate*p.opts.Cold.Overshoot+p.opts.Cold.Slack, t.ID)
}

// Update takes a new picture of what is published.
func (p *Pool) Update(v *catalog.View) {
	p.mu.Lock()
	done := p.update(v)
	p.mu.Unlock()
	for _, r := range done {
		r.Attempt.results <- r
	}
}

func (p *Pool) update(v *catalog.View) []Result {
	p.view = v
	seen := make(map[string]bool, len(p.targets))
	services := make(map[string]*service, len(p.services))
	v.EachTarget(func(e *catalog.Entry) {
		t := p.targets[e.ID]
		if t != nil && (t.entry.Address != e.Address || t.entry.Born != e.Born || t.Service != e.Service) {
			p.retire(t)
			t = nil
		}
		if t == nil {
			t = &Target{ID: e.ID, Service: e.Service, remote: e.DataCentre != p.opts.DataCentre}
			p.targets[e.ID] = t
		}
		t.entry = e
		t.avoided = v.Evacuated(e.DataCentre)
		seen[e.ID] = true
		svc := services[e.Service]
		if svc == nil {
			svc = &service{connections: minConnections}
			if s := v.Service(e.Service); s != nil {
				svc.connections = s.MaxConnections
				svc.warmupRate = s.WarmupRate
			}
			services[e.Service] = svc
		}
		svc.targets = append(svc.targets, t)
		p.limit(t, svc)
	})
	p.services = services
	var done []Result
	for id, t := range p.targets {
		if !seen[id] {
			p.retire(t)
			delete(p.targets, id)
		}
		if t.gone || t.avoided {
			done = append(done, p.flush(t, errGone)...)
		}
	}
	return done
}

// retire takes a target out of use. Attempts in progress end by themselves.
func (p *Pool) retire(t *Target) {
	t.gone = true
	for _, c := range t.idle {
		p.close(c)
	}
	t.idle = nil
}

// flush ends the attempts that wait for a connection.
func (p *Pool) flush(t *Target, why error) []Result {
	var done []Result
	for _, a := range t.waiting {
		a.state = stateDone
		t.record.Canceled(a.SentAt)
		if !a.abandoned {
			done = append(done, Result{Attempt: a, Kind: NotSent, Err: why, At: time.Now()})
		}
	}
	t.waiting = nil
	return done
}

// close closes a connection. The reading goroutine notices by itself.
func (p *Pool) close(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	c.target.open--
	delete(p.busy, c)
	_ = c.net.Close() // nothing more is read or written
}

// Choice is what a target is chosen for.
type Choice struct {
	Service string
	Kind    balance.Kind
	// Tried names the targets that had an attempt, once for each.
	Tried []string
	// NewTarget is false if only targets that were tried may be chosen.
	NewTarget bool
	// Deadline is when the target may stop its work.
	Deadline time.Time
}

// Start sends an attempt to the best target of a service. It returns nil if
// there is none. The result goes to results, which must have room.
func (p *Pool) Start(call *Call, shard int, choice Choice, results chan<- Result) *Attempt {
	now := time.Now()
	p.mu.Lock()
	t := p.choose(now, choice)
	if t == nil {
		p.mu.Unlock()
		return nil
	}
	a := &Attempt{
		Call: call, Shard: shard, Target: t, SentAt: now, Deadline: choice.Deadline,
		results: results, expected: choice.Kind.Expected,
	}
	t.record.Sent(now, choice.Kind.Overdue)
	if t.cold(now) {
		t.coldRate.Add(now)
	}
	c := t.take()
	switch {
	case c != nil:
		p.assign(c, a)
	case t.open < t.connections:
		t.open++
		a.state = stateDialing
		go p.dial(t, t.entry.Address, a)
	default:
		a.state = stateQueued
		t.waiting = append(t.waiting, a)
	}
	p.mu.Unlock()
	if c != nil {
		c.send(a)
	}
	return a
}

func (p *Pool) assign(c *conn, a *Attempt) {
	c.current = a
	c.writing = true
	a.conn = c
	a.state = stateSent
	p.busy[c] = struct{}{}
}

func (p *Pool) choose(now time.Time, choice Choice) *Target {
	svc := p.services[choice.Service]
	if svc == nil {
		return nil
	}
	var room [8]balance.Candidate
	var which [8]*Target
	candidates, targets := room[:0], which[:0]
	for _, t := range svc.targets {
		tried := 0
		for _, id := range choice.Tried {
			if id == t.ID {
				tried++
			}
		}
		if !t.usable(now, p.opts.DrainUse) || (tried == 0 && !choice.NewTarget) {
			continue
		}
		cold := t.cold(now)
		if cold && svc.warmupRate > 0 && !t.coldRate.Allows(now, t.coldLimit) {
			continue
		}
		candidates = append(candidates, balance.Candidate{
			Record: &t.record, Slots: t.entry.Slots, Remote: t.remote,
			Cold: cold, Bounded: cold && svc.warmupRate > 0, Last: t.entry.Lapsed() || t.entry.Draining, Tried: tried,
		})
		targets = append(targets, t)
	}
	if len(candidates) == 0 {
		return nil
	}
	p.turn++
	i := balance.Choose(now, choice.Kind, candidates, p.turn)
	return targets[i]
}

// dial opens a connection for an attempt.
func (p *Pool) dial(t *Target, address string, a *Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), p.opts.DialTimeout)
	nc, err := p.opts.Dial(ctx, "tcp", address)
	cancel()
	if err != nil {
		p.dialFailed(t, a, err)
		return
	}
	c := &conn{pool: p, target: t, net: nc, read: bufio.NewReaderSize(nc, readBuffer), idleLimit: defaultIdleLimit}
	p.mu.Lock()
	switch {
	case t.gone || (a.abandoned && t.avoided):
		t.open--
		a.state = stateDone
		t.record.Canceled(a.SentAt)
		p.mu.Unlock()
		_ = nc.Close() // nothing was sent
		if !a.abandoned {
			a.results <- Result{Attempt: a, Kind: NotSent, Err: errGone, At: time.Now()}
		}
		return
	case a.abandoned:
		a.state = stateDone
		t.record.Canceled(a.SentAt)
		next := p.next(c)
		p.mu.Unlock()
		if next != nil {
			c.send(next)
		}
	default:
		p.assign(c, a)
		p.mu.Unlock()
		c.send(a)
	}
	c.run()
}

func (p *Pool) dialFailed(t *Target, a *Attempt, err error) {
	now := time.Now()
	p.mu.Lock()
	t.open--
	a.state = stateDone
	t.record.Unreachable(now, a.SentAt, isTimeout(err))
	done := []Result{}
	if !a.abandoned {
		done = append(done, Result{Attempt: a, Kind: NotSent, Err: errors.Annotate(err, "connect"), At: now})
	}
	if t.open == 0 {
		done = append(done, p.flush(t, err)...)
	}
	p.mu.Unlock()
	p.event(Event{What: "target unreachable", Target: t.ID, Service: t.Service, Request: a.Call.ID, Err: err})
	for _, r := range done {
		r.Attempt.results <- r
	}
}

// isTimeout reports whether nothing came back, rather than a refusal.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (p *Pool) event(e Event) {
	if p.opts.Event != nil {
		p.opts.Event(e)
	}
}

// next gives a free connection to the next attempt that waits, or makes it idle.
func (p *Pool) next(c *conn) *Attempt {
	t := c.target
	now := time.Now()
	c.current = nil
	delete(p.busy, c)
	if t.gone {
		p.close(c)
		return nil
	}
	if len(t.waiting) > 0 && t.usable(now, p.opts.DrainUse) {
		a := t.waiting[0]
		t.waiting = t.waiting[1:]
		p.assign(c, a)
		return a
	}
	c.idleSince = now
	t.idle = append(t.idle, c)
	return nil
}

func (p *Pool) currentOf(c *conn) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.current
}

// written records that a request was written, wholly or in part.
func (p *Pool) written(c *conn, a *Attempt, n int, err error) {
	p.mu.Lock()
	c.writing = false
	var next *Attempt
	if c.early && err == nil && !c.closed {
		c.early = false
		next = p.next(c)
	}
	p.mu.Unlock()
	switch {
	case next != nil:
		c.send(next)
	case err == nil:
	case n == 0:
		p.unsent(c, a, err)
	default:
		p.ended(c, a, errors.Annotate(err, "write the request"))
	}
}

// unsent ends an attempt of which nothing left. The connection is closed.
func (p *Pool) unsent(c *conn, a *Attempt, err error) {
	p.mu.Lock()
	p.close(c)
	mine := c.current == a && a.state != stateDone
	if mine {
		c.current = nil
		a.state = stateDone
		c.target.record.Canceled(a.SentAt)
	}
	tell := mine && !a.abandoned
	p.mu.Unlock()
	if tell {
		a.results <- Result{Attempt: a, Kind: NotSent, Err: err, At: time.Now()}
	}
	p.reopen(c.target)
}

// ended closes a connection; its attempt, if any, may have run.
func (p *Pool) ended(c *conn, a *Attempt, err error) {
	now := time.Now()
	p.mu.Lock()
	p.close(c)
	c.target.drop(c)
	mine := a != nil && c.current == a && a.state != stateDone
	if mine {
		c.current = nil
		a.state = stateDone
		switch {
		case errors.Is(err, errNoAnswer) && now.After(a.Deadline):
			c.target.record.Unreachable(now, a.SentAt, true)
		case a.abandoned:
			c.target.record.Canceled(a.SentAt)
		default:
			c.target.record.Failed(now, a.SentAt)
		}
	}
	tell := mine && !a.abandoned
	p.mu.Unlock()
	if tell {
		p.event(Event{What: "attempt broken", Target: c.target.ID, Service: c.target.Service, Request: a.Call.ID, Err: err})
		a.results <- Result{Attempt: a, Kind: Broken, Err: err, At: now}
	}
	p.reopen(c.target)
}

// reopen opens a connection for the attempts that wait if there is room now.
func (p *Pool) reopen(t *Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(t.waiting) == 0 || t.gone || t.open >= t.connections {
		return
	}
	a := t.waiting[0]
	t.waiting = t.waiting[1:]
	t.open++
	a.state = stateDialing
	go p.dial(t, t.entry.Address, a)
}

// answered ends an attempt with an answer and reports whether the connection
// goes on.
func (p *Pool) answered(c *conn, r Result, keep bool, idleLimit time.Duration) bool {
	a := r.Attempt
	p.mu.Lock()
	if c.closed || c.current != a {
		p.mu.Unlock()
		return false
	}
	a.state = stateDone
	t := c.target
	switch r.Kind {
	case Answered:
		if r.Status >= 500 {
			t.record.Failed(r.At, a.SentAt)
		} else {
			t.record.Answered(r.At, a.SentAt, a.expected)
		}
	default:
		t.record.Failed(r.At, a.SentAt)
	}
	if idleLimit > 0 {
		c.idleLimit = idleLimit
	}
	var next *Attempt
	if r.Kind == Misdirected {
		p.retire(t)
	}
	switch {
	case keep && c.writing:
		c.current = nil
		c.early = true
	case keep:
		next = p.next(c)
	default:
		c.current = nil
		p.close(c)
	}
	open := !c.closed
	tell := !a.abandoned
	p.mu.Unlock()
	if tell {
		a.results <- r
	}
	if next != nil {
		c.send(next)
	}
	if !open {
		p.reopen(t)
	}
	return open
}

// Abandon tells that an attempt's answer is not needed any more. An answer that
// comes within linger keeps the connection; then it is closed.
func (p *Pool) Abandon(a *Attempt, linger time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.state == stateDone {
		return
	}
	a.abandoned = true
	if a.state == stateQueued && a.Target.unqueue(a) {
		a.state = stateDone
		a.Target.record.Canceled(a.SentAt)
		return
	}
	a.closeAt = time.Now().Add(linger)
}

// Timings of connections.
const (
	// defaultIdleLimit is used until a target tells its own idle time-out.
	defaultIdleLimit = 30 * time.Second
	// idleUse is the part of a target's idle time-out for which a connection
	// is kept: a request must not cross the target's close.
	idleUse = 0.7
	// answerSlack is how long after its deadline an answer may still arrive.
	answerSlack = 50 * time.Millisecond
)

// Tick closes connections that have been idle or without an answer for too long.
func (p *Pool) Tick(now time.Time) {
	var silent []*conn
	p.mu.Lock()
	for _, t := range p.targets {
		kept := t.idle[:0]
		for _, c := range t.idle {
			if now.Sub(c.idleSince) > time.Duration(idleUse*float64(c.idleLimit)) {
				p.close(c)
				continue
			}
			kept = append(kept, c)
		}
		clear(t.idle[len(kept):])
		t.idle = kept
	}
	for c := range p.busy {
		a := c.current
		if a == nil {
			continue
		}
		over := now.After(a.Deadline.Add(answerSlack)) || (a.abandoned && now.After(a.closeAt))
		if over {
			silent = append(silent, c)
		}
	}
	p.mu.Unlock()
	for _, c := range silent {
		if a := p.currentOf(c); a != nil {
			p.ended(c, a, errNoAnswer)
		}
	}
}

// Stats is a summary of the pool.
type Stats struct {
	Targets     int `json:"targets"`
	Connections int `json:"connections"`
	Busy        int `json:"busy"`
	Waiting     int `json:"waiting"`
}

// Stats returns a summary.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Targets: len(p.targets), Busy: len(p.busy)}
	for _, t := range p.targets {
		s.Connections += t.open
		s.Waiting += len(t.waiting)
	}
	return s
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		p.retire(t)
	}
	for c := range p.busy {
		p.close(c)
	}
}
