package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/share"
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
	// DrainGrace is how long a draining target stays a last resort.
	DrainGrace time.Duration
	// Cold bounds the requests to cold targets, from all processes.
	Cold ColdBound
	// OnEvent is told what happens to connections, for logs. It must not block.
	OnEvent func(Event)
}

// Event is something that happened to a connection or a target.
type Event struct {
	Message   string
	TargetID  string
	Service   string
	RequestID string
	Err       error
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

func (p *Pool) getBuffer() []byte { return (*p.buffers.Get().(*[]byte))[:0] }

func (p *Pool) putBuffer(b []byte) { p.buffers.Put(&b) }

// Prepare encodes the part of a call that all attempts share.
func (p *Pool) Prepare(c *Call) { c.prefix = p.opts.Codec.AppendCall(nil, c) }

// SetFleet takes the processes that share the limits of targets.
func (p *Pool) SetFleet(f share.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = f
	for _, svc := range p.services {
		for _, t := range svc.targets {
			p.setLimits(t, svc)
		}
	}
}

// minConnections lets a request pass while another one is stalled. Targets may
// reset connections beyond their limit; those requests go elsewhere.
const minConnections = 2

// setLimits works out this process's parts of a target's limits.
func (p *Pool) setLimits(t *Target, svc *service) {
	t.maxConns = max(p.fleet.Share(float64(svc.connections), t.ID), minConnections)
	t.coldRateLimit = p.fleet.Share(svc.warmupRate*p.opts.Cold.Overshoot+p.opts.Cold.Slack, t.ID)
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

func (p *Pool) update(v *catalog.View) []*Result {
	p.view = v
	seen := make(map[string]bool, len(p.targets))
	services := make(map[string]*service, len(p.services))
	v.EachTarget(func(e *catalog.Entry) {
		t := p.targets[e.ID]
		if t != nil && (t.entry.Address != e.Address || t.entry.Incarnation != e.Incarnation || t.Service != e.Service) {
			p.retire(t)
			t = nil
		}
		if t == nil {
			t = &Target{ID: e.ID, Service: e.Service, remote: e.DataCentre != p.opts.DataCentre}
			p.targets[e.ID] = t
		}
		t.entry = e
		t.evacuated = v.Evacuated(e.DataCentre)
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
		p.setLimits(t, svc)
	})
	p.services = services
	var done []*Result
	for id, t := range p.targets {
		if !seen[id] {
			p.retire(t)
			delete(p.targets, id)
		}
		if t.removed || t.evacuated {
			done = append(done, p.failWaiting(t, errTargetRemoved)...)
		}
	}
	return done
}

// retire takes a target out of use. Attempts in progress end by themselves.
func (p *Pool) retire(t *Target) {
	t.removed = true
	for _, c := range t.idle {
		p.closeConn(c)
	}
	t.idle = nil
}

// failWaiting ends the attempts that wait for a connection.
func (p *Pool) failWaiting(t *Target, why error) []*Result {
	var done []*Result
	for _, a := range t.waiting {
		a.state = stateDone
		t.stats.Canceled(a.StartedAt)
		if !a.abandoned {
			done = append(done, &Result{Attempt: a, Outcome: NotSent, Err: why, EndedAt: time.Now()})
		}
	}
	t.waiting = nil
	return done
}

// closeConn closes a connection. The reading goroutine notices by itself.
func (p *Pool) closeConn(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	c.target.openConns--
	delete(p.busy, c)
	_ = c.netConn.Close() // nothing more is read or written
}

// AttemptOptions is what a target is chosen for.
type AttemptOptions struct {
	Service string
	Profile balance.Profile
	// Tried names the targets that had an attempt, once for each.
	Tried []string
	// AllowNewTarget is false if only targets that were tried may be chosen.
	AllowNewTarget bool
	// Deadline is when the target may stop its work.
	Deadline time.Time
}

// Start sends an attempt to the best target of a service. It returns nil if
// there is none. The result goes to results, which must have room.
func (p *Pool) Start(call *Call, shard int, choice AttemptOptions, results chan<- *Result) *Attempt {
	now := time.Now()
	p.mu.Lock()
	t := p.chooseTarget(now, choice)
	if t == nil {
		p.mu.Unlock()
		return nil
	}
	a := &Attempt{
		Call: call, Shard: shard, Target: t, StartedAt: now, Deadline: choice.Deadline,
		results: results, expected: choice.Profile.Expected,
	}
	t.stats.Sent(now, choice.Profile.OverdueAfter)
	if t.isCold(now) {
		t.coldRate.Add(now)
	}
	c := t.takeIdle()
	switch {
	case c != nil:
		p.assign(c, a)
	case t.openConns < t.maxConns:
		t.openConns++
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

func (p *Pool) chooseTarget(now time.Time, choice AttemptOptions) *Target {
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
		if !t.usable(now, p.opts.DrainGrace) || (tried == 0 && !choice.AllowNewTarget) {
			continue
		}
		cold := t.isCold(now)
		if cold && svc.warmupRate > 0 && !t.coldRate.Allows(now, t.coldRateLimit) {
			continue
		}
		candidates = append(candidates, balance.Candidate{
			Stats: &t.stats, Slots: t.entry.Slots, Remote: t.remote, NeedsConnection: len(t.idle) == 0,
			Cold: cold, ColdLimited: cold && svc.warmupRate > 0, LastResort: t.entry.Deregistered() || t.entry.Draining, PriorAttempts: tried,
		})
		targets = append(targets, t)
	}
	if len(candidates) == 0 {
		return nil
	}
	p.turn++
	i := balance.Choose(now, choice.Profile, candidates, p.turn)
	return targets[i]
}
