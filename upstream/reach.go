package upstream

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/reach"
)

// A process that has lost its path to all targets finds their connections broken and refused,
// as if all had ended. Ends are therefore told to the guard only once the path is known to
// work, or once the store says that the run of the target is over.

// Bounds of the ends of targets that are not proven yet.
const (
	maxBrokenRuns  = 256
	unprovenMaxAge = 15 * time.Second // targets that ended are back, or gone from the store, within it
)

// brokenRun is a run of a target whose connection ended while it ran a request.
type brokenRun struct {
	request *quarantine.Request
	run     quarantine.Run
}

// unprovenEnd is a target that refuses connections, while this process may have lost its
// path to all.
type unprovenEnd struct {
	target      string
	incarnation int64
	at          time.Time
	// recoveries is reach.State.Recoveries at that time.
	recoveries int
}

// keepBroken keeps a run for the time in which its end may be proven. mu must be held.
func (p *Pool) keepBroken(b brokenRun) {
	if len(p.broken) == maxBrokenRuns {
		p.broken = append(p.broken[:0], p.broken[1:]...)
	}
	p.broken = append(p.broken, b)
}

// confirmEnd tells the guard whether the run of a target has ended. If only this process's
// path may be at fault, it is told later.
func (p *Pool) confirmEnd(target string, incarnation int64, ended bool) {
	now := time.Now()
	p.mu.Lock()
	unproven := false
	if ended {
		p.startProbes(now)
		unproven = p.reach.Doubtful()
	}
	if unproven {
		p.unproven = append(p.unproven, unprovenEnd{target, incarnation, now, p.reach.Recoveries()})
	}
	p.mu.Unlock()
	if !unproven {
		p.opts.Guard.Confirm(now, target, incarnation, ended)
	}
}

// proveReplaced tells the guard that a run of a target has ended that is no longer
// registered, if it seemed to have ended before. mu must be held; the guard's lock is taken.
func (p *Pool) proveReplaced(now time.Time, t *Target) {
	for i, u := range p.unproven {
		if u.target == t.ID && u.incarnation == t.entry.Incarnation {
			p.unproven = append(p.unproven[:i], p.unproven[i+1:]...)
			p.tellEnd(now, u)
			return
		}
	}
}

// tellEnd tells the guard of an end with what the target ran, which the guard may have
// forgotten. mu must be held.
func (p *Pool) tellEnd(now time.Time, u unprovenEnd) {
	for _, b := range p.broken {
		if b.run.Target == u.target && b.run.Incarnation == u.incarnation && now.Sub(b.run.EndedAt) <= unprovenMaxAge {
			p.opts.Guard.Broke(now, b.request, b.run)
		}
	}
	p.opts.Guard.Confirm(now, u.target, u.incarnation, true)
}

// settleEnds tells the guard of the ends that are proven by now, and drops those that were
// failures of the path. mu must be held.
func (p *Pool) settleEnds(now time.Time) {
	doubtful := p.reach.Doubtful()
	kept := p.unproven[:0]
	for _, u := range p.unproven {
		switch {
		case now.Sub(u.at) > unprovenMaxAge || u.recoveries != p.reach.Recoveries():
		case doubtful:
			kept = append(kept, u)
		default:
			p.tellEnd(now, u)
		}
	}
	p.unproven = kept
}

// CheckPath probes targets if this process may have lost its path to them. It must be called
// at short intervals. It returns whether targets can be reached, since when that is so, and
// whether probes have begun that may change it.
func (p *Pool) CheckPath(now time.Time) (mode reach.Mode, since time.Time, suspected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	suspected = p.startProbes(now)
	p.settleEnds(now)
	p.signalPath()
	mode, since = p.reach.Mode()
	return mode, since, suspected
}

// startProbes probes targets if it is time to, and reports whether it does. mu must be held.
func (p *Pool) startProbes(now time.Time) bool {
	n := p.reach.Tick(now)
	targets := p.probeTargets(now, n)
	if n > 0 && len(targets) == 0 {
		p.reach.Abort()
	}
	for _, t := range targets {
		p.reach.Probing()
		t.openConns++
		go p.probe(t, t.entry.Address)
	}
	return len(targets) > 0
}

// signalPath ends the waiting of those who wait for the loss of the path. mu must be held.
func (p *Pool) signalPath() {
	mode, _ := p.reach.Mode()
	switch lost := mode == reach.Cut; {
	case lost && !p.lost:
		close(p.pathLost)
	case !lost && p.lost:
		p.pathLost = make(chan struct{})
	}
	p.lost = mode == reach.Cut
}

// pathWorks records that a connection to a target was opened. mu must be held.
func (p *Pool) pathWorks(now time.Time) {
	p.reach.Connected(now)
	p.signalPath()
}

// PathLost returns a channel that is closed once no target can be reached.
func (p *Pool) PathLost() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pathLost
}

// Path returns whether targets can be reached, and since when that is so.
func (p *Pool) Path() (mode reach.Mode, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.Mode()
}

// probeTargets returns up to n targets that may be connected to. Those that have responded
// most recently come first: they are up. Those that were last unreachable come last. A target
// may be probed by one connection beyond this process's share, which is then closed at once:
// the few that are still up are often in full use. mu must be held.
func (p *Pool) probeTargets(now time.Time, n int) []*Target {
	if n == 0 {
		return nil
	}
	var targets []*Target
	for _, svc := range p.services {
		for _, t := range svc.targets {
			if t.usable(now, 0) && t.openConns <= t.maxConns && (!t.isCold(now) || !svc.limitsCold()) {
				targets = append(targets, t)
			}
		}
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	slices.SortStableFunc(targets, func(a, b *Target) int {
		if a.stats.Avoided(now) != b.stats.Avoided(now) {
			return cmp.Compare(boolRank(a.stats.Avoided(now)), boolRank(b.stats.Avoided(now)))
		}
		return b.heardAt.Truncate(heardResolution).Compare(a.heardAt.Truncate(heardResolution))
	})
	return targets[:min(len(targets), n)]
}

// heardResolution is the resolution with which targets are ordered by their last response, so
// that probes spread over those that have responded just now.
const heardResolution = 200 * time.Millisecond

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// probe opens a connection to a target, which is then used for requests.
func (p *Pool) probe(t *Target, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), p.opts.DialTimeout)
	nc, err := p.opts.Dial(ctx, "tcp", address)
	cancel()
	now := time.Now()
	p.mu.Lock()
	t.openConns--
	p.reach.Probed(now, err == nil)
	if err != nil {
		t.stats.Avoid(now, isTimeout(err))
	}
	p.startProbes(now)
	p.signalPath()
	p.settleEnds(now)
	p.mu.Unlock()
	if err == nil {
		p.adopt(t, nc)
	}
}

// Direct reports whether a request that needs the given services is sent to targets by this
// process, rather than by a peer that reaches them.
func (p *Pool) Direct(now time.Time, services []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	mode, _ := p.reach.Mode()
	return p.reach.Direct(now, mode == reach.Narrow && p.connected(now, services))
}

// connected reports whether there is a free connection to a target of each service. mu must
// be held.
func (p *Pool) connected(now time.Time, services []string) bool {
	for _, name := range services {
		svc, found := p.services[name], false
		if svc != nil {
			for _, t := range svc.targets {
				found = found || (len(t.idle) > 0 && t.usable(now, p.opts.DrainGrace))
			}
		}
		if !found {
			return false
		}
	}
	return true
}

// Helps reports whether this process may serve a request of a peer that does not reach the
// given services: it reaches a target of each.
func (p *Pool) Helps(now time.Time, services []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.reach.Helps(now) {
		return false
	}
	for _, name := range services {
		if usable, reached := p.reached(now, name); !usable || !reached {
			return false
		}
	}
	return true
}

// Blocked reports whether connections to all targets of a service have failed just now.
func (p *Pool) Blocked(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, reached := p.reached(now, name)
	return usable && !reached
}

// reached reports whether a service has targets that may get requests, and whether one of
// them has a free connection, or has not just failed to accept one. mu must be held.
func (p *Pool) reached(now time.Time, name string) (usable, reached bool) {
	svc := p.services[name]
	if svc == nil {
		return false, false
	}
	for _, t := range svc.targets {
		if t.usable(now, p.opts.DrainGrace) {
			usable = true
			reached = reached || len(t.idle) > 0 || !t.stats.Avoided(now)
		}
	}
	return usable, reached
}
