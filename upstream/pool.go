package upstream

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/reach"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// Options configures a Pool.
type Options struct {
	Codec Codec
	// DataCentre is the local data centre.
	DataCentre string
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// DrainGrace is how long a draining target may still be chosen if there is no
	// other target.
	DrainGrace time.Duration
	// Cold bounds the rate of requests from all processes to a cold target.
	Cold ColdBound
	// MaxBufferedBytes bounds the memory for the bodies that are being received, of all
	// connections together, beyond the first part of each; zero for no bound.
	MaxBufferedBytes int64
	// StartedAt is when the process started. Cold targets with a limited rate get
	// nothing in the second after it, as an earlier incarnation of the process may have
	// used that rate.
	StartedAt time.Time
	// Guard is told how the targets fare that run requests; one that knows nothing if nil.
	Guard *quarantine.Guard
	// OnEvent is called with events of connections for logs and metrics; may be nil.
	// It must not block.
	OnEvent func(Event)
}

// Event describes a failure of a connection or a target, or a request that a target makes
// of its callers. Message is one of a few constant texts.
type Event struct {
	Message   string
	TargetID  string
	Service   string
	RequestID string
	Err       error
	// Details are further keys and values for the log.
	Details []any
}

// Pool holds the connections to all targets. Methods are safe for concurrent use.
//
// Lock order: mu is acquired with no other lock held, and no other lock is
// acquired while it is held.
type Pool struct {
	opts Options

	mu       sync.Mutex
	targets  map[string]*Target
	services map[string]*service
	view     *catalog.View
	fleet    share.Fleet
	// processes are those of fleet, with their loads.
	processes []share.Process
	turn      uint64             // breaks ties between equal targets
	busy      map[*conn]struct{} // connections that are not idle
	// removed holds what targets that are no longer registered have asked for, by ID.
	removed map[string]removedTarget
	// reach is whether targets can be reached at all.
	reach reach.State
	// pathLost is closed while no target can be reached, which lost tells.
	pathLost chan struct{}
	lost     bool
	// unproven holds ends of targets that may be failures of this process's own path.
	unproven []unprovenEnd
	// broken holds the latest runs of targets whose connections ended.
	broken  []brokenRun
	buffers sync.Pool
	// buffered is the number of bytes that count against MaxBufferedBytes.
	buffered atomic.Int64
	traffic  traffic
	// capacityLog bounds the log lines of learned capacities.
	capacityLog capacityLog
}

// service holds the targets and limits of one service.
type service struct {
	targets []*Target
	// maxConns bounds the connections from all processes to one target.
	maxConns int
	// warmupRate is the number of requests per second from all processes that a
	// cold target can serve; zero if cold targets are only slow.
	warmupRate float64
	// configured is false if the limits of the service are not known.
	configured bool
	// sharded is true if the service is a shard of a route.
	sharded bool
	// group holds what the targets have in common for the choice among them.
	group *balance.Group
}

// limitsCold reports whether cold targets of the service get requests at a limited
// rate only. Without a configuration they may be limited.
func (s *service) limitsCold() bool { return s.warmupRate > 0 || !s.configured }

// ColdBound is the published bound on requests from all processes to a cold target:
// in any second, Overshoot times the warm-up rate of its service plus Slack.
type ColdBound struct {
	Overshoot float64
	Slack     float64
}

// New returns a pool without targets.
func New(opts Options) *Pool {
	opts.Guard = opts.Guard.OrNew(slog.New(slog.DiscardHandler))
	p := &Pool{
		opts: opts, targets: map[string]*Target{}, services: map[string]*service{},
		busy: map[*conn]struct{}{}, removed: map[string]removedTarget{}, pathLost: make(chan struct{}),
	}
	p.buffers.New = func() any { b := make([]byte, 0, 1024); return &b }
	return p
}

// Guard returns the guard that is told how the targets fare.
func (p *Pool) Guard() *quarantine.Guard { return p.opts.Guard }

func (p *Pool) getBuffer() []byte { return (*p.buffers.Get().(*[]byte))[:0] }

func (p *Pool) putBuffer(b []byte) { p.buffers.Put(&b) }

// Prepare encodes the part of a call that all attempts share. It must be called
// before Start.
func (p *Pool) Prepare(c *Call) { c.prefix = p.opts.Codec.AppendCall(nil, c) }

// SetFleet sets the processes that share the limits of targets.
func (p *Pool) SetFleet(f share.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = f
	for _, svc := range p.services {
		for _, t := range svc.targets {
			p.setLimits(t, svc)
		}
	}
	p.shareLimits(time.Now())
}

// SetProcesses sets the processes that share the limits of targets, with their loads.
func (p *Pool) SetProcesses(processes []share.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes = processes
	p.shareLimits(time.Now())
}

// minConnections is the smallest limit of this process's connections to a target, so
// that a request can proceed while another one is stalled. Targets may reset
// connections beyond their own limit; those requests are retried at other targets.
const minConnections = 2

// setLimits sets this process's shares of the limits of a target. mu must be held.
func (p *Pool) setLimits(t *Target, svc *service) {
	t.maxConns = max(p.fleet.Share(float64(svc.maxConns), t.ID), minConnections)
	t.coldRateLimit = 0
	if svc.configured {
		t.coldRateLimit = p.fleet.Share(svc.warmupRate*p.opts.Cold.Overshoot+p.opts.Cold.Slack, t.ID)
	}
}

// allowsCold reports whether a cold target with a limited rate may get a request.
func (p *Pool) allowsCold(now time.Time, t *Target) bool {
	return now.Sub(p.opts.StartedAt) >= share.RateWindow && t.coldRate.Allows(now, t.coldRateLimit)
}

// Update replaces the view that targets and services are taken from. Attempts that
// wait for a connection to a target that was removed or evacuated end as not sent.
func (p *Pool) Update(v *catalog.View) {
	p.mu.Lock()
	done := p.update(v)
	p.mu.Unlock()
	deliver(done)
}

// update implements Update and returns the results to send once mu is released. mu
// must be held.
func (p *Pool) update(v *catalog.View) []*Result {
	now := time.Now()
	p.view = v
	seen := make(map[string]bool, len(p.targets))
	services := make(map[string]*service, len(p.services))
	shards := v.Shards()
	v.EachTarget(func(e *catalog.Entry) {
		t := p.targets[e.ID]
		var coldRate share.RateLimiter
		if t != nil && (t.entry.Address != e.Address || t.entry.Incarnation != e.Incarnation || t.Service != e.Service) {
			p.retire(t)
			p.remember(now, t)
			p.proveReplaced(now, t)
			coldRate = t.coldRate
			t = nil
		}
		if t == nil {
			t = &Target{
				ID: e.ID, Service: e.Service, remote: e.DataCentre != p.opts.DataCentre, coldRate: coldRate,
				pushback: p.recall(e),
			}
			p.targets[e.ID] = t
		}
		t.entry = e
		t.evacuated = v.Evacuated(e.DataCentre)
		seen[e.ID] = true
		svc := services[e.Service]
		if svc == nil {
			svc = &service{maxConns: minConnections, sharded: shards[e.Service], group: p.group(e.Service)}
			if s := v.Service(e.Service); s != nil {
				svc.maxConns = s.MaxConnections
				svc.warmupRate = s.WarmupRate
				svc.configured = true
			}
			services[e.Service] = svc
		}
		svc.targets = append(svc.targets, t)
		t.stats.Join(svc.group, e.Slots)
		p.setLimits(t, svc)
	})
	p.services = services
	p.shareLimits(now)
	p.forgetRemoved(now)
	var done []*Result
	for id, t := range p.targets {
		if !seen[id] {
			p.retire(t)
			p.remember(now, t)
			p.proveReplaced(now, t)
			delete(p.targets, id)
		}
		if t.removed || t.evacuated {
			done = append(done, p.failWaiting(t, errTargetRemoved)...)
		}
	}
	return done
}

// retire marks a target as removed and closes its idle connections. Attempts in
// progress continue. mu must be held.
func (p *Pool) retire(t *Target) {
	t.removed = true
	t.stats.Leave()
	for _, c := range t.idle {
		p.closeConn(c)
	}
	t.idle = nil
}

// deliver sends results to the calling code. No lock may be held.
func deliver(done []*Result) {
	for _, r := range done {
		r.Attempt.results <- r
	}
}

// failWaiting ends the attempts that wait for a connection. It returns the results
// to send once mu is released. mu must be held.
func (p *Pool) failWaiting(t *Target, err error) []*Result {
	var done []*Result
	for _, a := range t.waiting {
		a.state = stateDone
		t.stats.Canceled(a.StartedAt)
		if !a.abandoned {
			done = append(done, &Result{Attempt: a, Outcome: NotSent, Err: err, EndedAt: time.Now()})
		}
	}
	t.waiting = nil
	return done
}

// closeConn closes a connection, which ends its readLoop. If its request has no
// response, the connection is reset: bytes that were not delivered yet must not reach
// the target after the attempt has ended. mu must be held.
func (p *Pool) closeConn(c *conn) {
	if c.closed {
		return
	}
	if tcp, ok := c.netConn.(*net.TCPConn); ok && c.current != nil {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	c.closed = true
	c.target.openConns--
	delete(p.busy, c)
	_ = c.netConn.Close() // the connection is not used again
}

// AttemptOptions describes an attempt for the choice of its target.
type AttemptOptions struct {
	Service string
	Profile balance.Profile
	// Tried holds the target ID of each earlier attempt at the same shard.
	Tried []string
	// Only holds the IDs of the targets that may be chosen; nil for all.
	Only []string
	// Deadline is when the target may stop working on the attempt.
	Deadline time.Time
	// Extra is true for a hedge or a retry.
	Extra bool
}

// Start sends an attempt to the best target of a service. It returns nil if no
// target may be chosen, with the time at which one may be; zero if that is not known. The
// result is sent to results, which must have buffer space for it.
func (p *Pool) Start(call *Call, shard int, opts AttemptOptions, results chan<- *Result) (*Attempt, time.Time) {
	now := time.Now()
	opts.Profile.Extra = opts.Extra
	p.mu.Lock()
	t, availableAt := p.chooseTarget(now, opts)
	if t == nil {
		p.mu.Unlock()
		return nil, availableAt
	}
	a := &Attempt{
		Call: call, Shard: shard, Target: t, StartedAt: now, Deadline: opts.Deadline, Extra: opts.Extra,
		results: results, expected: opts.Profile.Expected, overdueAfter: opts.Profile.OverdueAfter,
	}
	t.stats.Started(now, opts.Profile)
	t.pushback.Sent(now, opts.Extra)
	if t.isCold(now) {
		t.coldRate.Add(now)
	}
	c := t.takeIdle(call.ID)
	if c == nil && t.openConns >= t.maxConns && len(t.idle) > 0 {
		p.closeConn(t.takeIdle("")) // makes room for a connection that the request has not used
	}
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
	return a, time.Time{}
}

// AvailableAt returns for each of the services when one of its targets may receive a
// request: now or earlier if at once, zero if it has no target that may. A target that is
// only busy or cold counts as available.
func (p *Pool) AvailableAt(now time.Time, services []string) []time.Time {
	out := make([]time.Time, len(services))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, name := range services {
		if svc := p.services[name]; svc != nil {
			out[i] = svc.availableAt(now, p.opts.DrainGrace)
		}
	}
	return out
}

func (s *service) availableAt(now time.Time, drainGrace time.Duration) (earliest time.Time) {
	for _, t := range s.targets {
		if !t.usable(now, drainGrace) {
			continue
		}
		if at := t.pushback.Available(now, false); earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// assign assigns a connection to an attempt. mu must be held.
func (p *Pool) assign(c *conn, a *Attempt) {
	c.current = a
	c.lastID = a.Call.ID
	c.writing = true
	a.sentAt = time.Now()
	p.reach.Sent(a.sentAt, a.Target.ID, a.overdueAfter)
	a.conn = c
	a.state = stateSent
	p.busy[c] = struct{}{}
}

// chooseTarget returns the best target for an attempt. If there is none, it returns nil and
// the time at which a limit or a pause that a target has asked for allows one; zero if there
// is no such time. mu must be held.
func (p *Pool) chooseTarget(now time.Time, opts AttemptOptions) (best *Target, availableAt time.Time) {
	svc := p.services[opts.Service]
	if svc == nil {
		return nil, time.Time{}
	}
	var candidateArray [8]balance.Candidate
	var targetArray [8]*Target
	candidates, targets := candidateArray[:0], targetArray[:0]
	coldSkipped := false
	for _, t := range svc.targets {
		if t.isCold(now) {
			t.stats.Forget()
		}
		candidate, excluded, at := p.candidate(now, svc, t, &opts)
		switch excluded {
		case "":
			candidates = append(candidates, candidate)
			targets = append(targets, t)
		case excludedCold:
			coldSkipped = true
		case excludedLimited:
			if availableAt.IsZero() || at.Before(availableAt) {
				availableAt = at
			}
		}
	}
	if len(candidates) == 0 && coldSkipped {
		return nil, time.Time{}
	}
	if len(candidates) == 0 {
		return nil, availableAt
	}
	p.turn++
	i := balance.Choose(now, opts.Profile, candidates, p.turn)
	return targets[i], time.Time{}
}
