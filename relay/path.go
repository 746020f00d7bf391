package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/reach"
	"github.com/goldcrestmux/goldcrestmux/target"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
)

// pathProbeTimeout bounds a probe of the path. Targets respond to it within milliseconds.
const pathProbeTimeout = 300 * time.Millisecond

// announceDelay is how long a changed path must last until the relay's permits are handed over
// to others, or taken back. Targets that crash together are back within it.
const announceDelay = 600 * time.Millisecond

// path is whether this relay reaches any target. A relay that has lost its path finds all
// targets failing. It must neither tell other relays that they are cold or lost, nor keep
// gateways from using the permits of others.
//
// applying is taken with no lock held, and orders the changes that targets are told of. mu is a
// leaf lock.
type path struct {
	relay *Relay

	applying sync.Mutex
	mu       sync.Mutex
	state    reach.State
	// decided is closed when no probe is in progress; nil if none has been.
	decided chan struct{}
	// logged is the mode as last logged, since loggedSince.
	logged      reach.Mode
	loggedSince time.Time
	// announced is true while the relay tells others that it reaches no target.
	announced bool
	// onAnnounce is called with each announcement; may be nil.
	onAnnounce func(lost bool)
}

// OnPath sets the function that is called when this relay announces that it reaches no
// target, or that it reaches targets again.
func (r *Relay) OnPath(f func(lost bool)) {
	r.path.mu.Lock()
	defer r.path.mu.Unlock()
	r.path.onAnnounce = f
}

// observe records how a request to a target ended.
func (p *path) observe(now time.Time, e *targetEntry, result *targetapi.Result) {
	p.mu.Lock()
	switch {
	case result.Response != nil || result.Refusal != nil || result.Code == code.BadResponse:
		p.state.Heard()
	case result.Code == code.Unreachable:
		p.state.Unreachable(now, e.name)
	case result.Code == code.ConnectionBroken:
		p.state.Broke(now, e.name)
	}
	p.mu.Unlock()
	p.tick(now)
}

// sent records that a request is sent to a target that usually responds within the given
// time.
func (p *path) sent(now time.Time, e *targetEntry, usual time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Sent(now, e.name, usual)
}

// tick probes targets if the path may be lost, and applies changes of it.
func (p *path) tick(now time.Time) {
	entries := p.relay.allEntries()
	p.mu.Lock()
	n := p.state.Tick(now)
	if entries = sample(entries, n); n > 0 && len(entries) == 0 {
		p.state.Abort()
	}
	if len(entries) > 0 && (p.decided == nil || isClosed(p.decided)) {
		p.decided = make(chan struct{})
	}
	for range entries {
		p.state.Probing()
	}
	p.mu.Unlock()
	for _, e := range entries {
		p.relay.tomb.Go(func() error {
			p.probe(e)
			return nil
		})
	}
	p.apply()
	p.announce(now)
}

// sample returns up to n random entries.
func sample(entries []*targetEntry, n int) []*targetEntry {
	if n == 0 {
		return nil
	}
	entries = slices.Clone(entries)
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries[:min(n, len(entries))]
}

// announce tells the other relays if the path has been lost, or back, for announceDelay.
func (p *path) announce(now time.Time) {
	p.mu.Lock()
	mode, since := p.state.Mode()
	lost := mode == reach.Cut
	due := lost != p.announced && now.Sub(since) >= announceDelay
	if due {
		p.announced = lost
	}
	onAnnounce := p.onAnnounce
	p.mu.Unlock()
	if !due {
		return
	}
	p.relay.SetPeerPathLost(p.relay.opts.Self.Name(), lost)
	if onAnnounce != nil {
		onAnnounce(lost)
	}
}

// probe probes a target.
func (p *path) probe(e *targetEntry) {
	ctx, cancel := context.WithTimeout(p.relay.tomb.Context(context.Background()), pathProbeTimeout)
	health, err := e.client.Probe(ctx)
	cancel()
	p.probed(err == nil || health.BootID != "")
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// probed records the result of a probe.
func (p *path) probed(responded bool) {
	now := time.Now()
	p.mu.Lock()
	p.state.Probed(now, responded)
	if responded {
		p.state.Heard()
	}
	mode, _ := p.state.Mode()
	if !isClosed(p.decided) && (responded || !p.state.Undecided() || mode != reach.Open) {
		close(p.decided)
	}
	p.mu.Unlock()
	p.tick(now)
}

// apply logs a change of the mode. When the path is lost, no target gets requests through
// this relay; when it is back, each target is probed first, as it may have become cold.
func (p *path) apply() {
	p.applying.Lock()
	defer p.applying.Unlock()
	p.mu.Lock()
	mode, since := p.state.Mode()
	before, beforeSince := p.logged, p.loggedSince
	p.logged, p.loggedSince = mode, since
	p.mu.Unlock()
	if mode == before {
		return
	}
	log := p.relay.opts.Logger
	if mode == reach.Open {
		log.Info("targets can be reached again", "before", before.String(), "after", since.Sub(beforeSince))
	} else {
		log.Warn("targets cannot be reached", "path", mode.String(), "before", before.String(), "since", since)
	}
	for _, e := range p.relay.allEntries() {
		e.setPath(mode)
	}
}

// await returns the mode once no probe that may change it is in progress.
func (p *path) await() reach.Mode {
	p.mu.Lock()
	mode, _ := p.state.Mode()
	decided := p.decided
	undecided := mode == reach.Open && p.state.Undecided()
	p.mu.Unlock()
	if !undecided {
		return mode
	}
	select {
	case <-decided:
	case <-p.relay.tomb.Dying():
	}
	mode, _ = p.current()
	return mode
}

// undecided reports whether the path may be at fault if a target fails.
func (p *path) undecided() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Doubtful()
}

func (p *path) current() (reach.Mode, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Mode()
}

// setPath stops the use of the target when no target can be reached. When they can be again,
// it probes the target, which is used again once the result of the probe is known.
func (e *targetEntry) setPath(mode reach.Mode) {
	e.mu.Lock()
	wasCut := e.pathLost
	e.pathLost = wasCut || mode == reach.Cut
	e.mu.Unlock()
	switch {
	case mode == reach.Cut && !wasCut:
		e.applyEvent(func(time.Time, *target.Machine) []target.Action { return nil }) // voids the grant
	case mode == reach.Open && wasCut:
		e.relay.startProbe(e)
	}
}

// pathRestored allows the use of the target again. mu must be held.
func (e *targetEntry) pathRestored() {
	if mode, _ := e.relay.path.current(); mode != reach.Cut {
		e.pathLost = false
	}
}

// limit returns the number of requests that this relay may run at the target. mu must be
// held.
func (e *targetEntry) limit() int {
	if e.pathLost {
		return 0
	}
	return e.machine.Limit()
}

// isEvidence reports whether the outcome of a request speaks against its target, or against
// the path to all targets.
func isEvidence(kind target.Kind) bool {
	return kind == target.ConnRefused || kind == target.ConnReset || kind == target.Timeout
}

// done passes the outcome of a request to the target's machine. If the path may be at fault,
// it first waits for the result of the probes.
func (r *Relay) done(e *targetEntry, o target.Outcome) {
	apply := func() {
		e.applyEvent(func(now time.Time, m *target.Machine) []target.Action { return m.Done(now, o) })
	}
	if !isEvidence(o.Kind) || !r.path.undecided() {
		apply()
		return
	}
	r.tomb.Go(func() error {
		if r.path.await() != reach.Open {
			o.Kind = target.Canceled
		}
		apply()
		return nil
	})
}
