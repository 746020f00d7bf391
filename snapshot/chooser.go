// Package snapshot chooses the index version that a query pins.
//
// A query uses one version and its shard map throughout; if the version
// disappears, the whole query restarts on another one. The chooser learns from
// responses and refusals which targets serve which version, and switches to a
// new version only once a target of every shard has shown that it serves it. The
// version is then trusted until all targets of a shard lack it. The package does
// not read the clock: the current time is passed in.
package snapshot

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
)

// Default values of Options.
const (
	DefaultNotLoadedTTL     = 1 * time.Second
	DefaultGoneTTL          = 10 * time.Second
	DefaultMinProbeInterval = 250 * time.Millisecond
	DefaultMaxProbeInterval = 10 * time.Second
	DefaultQueriesPerProbe  = 100
	DefaultCooldown         = 2 * time.Second
)

// renewalsPerTTL bounds how often the information that a target lacks a version
// is renewed within its time to live.
const renewalsPerTTL = 4

// Options configures a Chooser. A zero field selects its default.
type Options struct {
	// NotLoadedTTL is how long a target that has not loaded a version yet is
	// assumed to lack it.
	NotLoadedTTL time.Duration
	// GoneTTL is how long a target that no longer serves a version is assumed to
	// lack it.
	GoneTTL time.Duration
	// MinProbeInterval is the shortest time between two queries that probe, that
	// is, pin a version that is not trusted.
	MinProbeInterval time.Duration
	// QueriesPerProbe is the number of queries of which at most one probes. It
	// does not apply once MaxProbeInterval has passed since the last probe.
	QueriesPerProbe  int
	MaxProbeInterval time.Duration
	// Cooldown is how long a version that became unusable is not chosen again
	// while another one is usable.
	Cooldown time.Duration
}

func (o Options) withDefaults() Options {
	o.NotLoadedTTL = cmp.Or(o.NotLoadedTTL, DefaultNotLoadedTTL)
	o.GoneTTL = cmp.Or(o.GoneTTL, DefaultGoneTTL)
	o.MinProbeInterval = cmp.Or(o.MinProbeInterval, DefaultMinProbeInterval)
	o.MaxProbeInterval = cmp.Or(o.MaxProbeInterval, DefaultMaxProbeInterval)
	o.QueriesPerProbe = cmp.Or(o.QueriesPerProbe, DefaultQueriesPerProbe)
	o.Cooldown = cmp.Or(o.Cooldown, DefaultCooldown)
	return o
}

// Chooser chooses versions of one search. It is not safe for concurrent use.
type Chooser struct {
	opts    Options
	current string
	// order holds the versions by preference: the current one first, then by
	// descending sequence.
	order []*version
	// queries is the number of queries that a version was chosen for.
	queries  uint64
	expiries []expiry
}

// expiry is the time at which the availability of a version at a target may
// expire.
type expiry struct {
	at      time.Time
	target  *versionTarget
	version *version
}

// New returns a chooser without versions.
func New(opts Options) *Chooser { return &Chooser{opts: opts.withDefaults()} }

// SetVersions replaces the versions with those of the search's contract. What is
// known about targets is kept for versions that remain.
func (c *Chooser) SetVersions(now time.Time, search folder.Search) {
	old := c.order
	c.order = make([]*version, 0, len(search.Versions))
	c.current = search.Current
	for name, v := range search.Versions {
		next := newVersion(name, v)
		if was := find(old, name); was != nil {
			next.copyFrom(was)
		}
		c.order = append(c.order, next)
	}
	slices.SortFunc(c.order, c.prefer)
	c.rebuildExpiries()
	c.expire(now)
}

// prefer orders versions by preference.
func (c *Chooser) prefer(a, b *version) int {
	if (a.name == c.current) != (b.name == c.current) {
		return boolToInt(b.name == c.current) - boolToInt(a.name == c.current)
	}
	if bySequence := cmp.Compare(b.sequence, a.sequence); bySequence != 0 {
		return bySequence
	}
	return cmp.Compare(a.name, b.name)
}

func find(versions []*version, name string) *version {
	for _, v := range versions {
		if v.name == name {
			return v
		}
	}
	return nil
}

// RecordServed records that a target has served the version.
func (c *Chooser) RecordServed(now time.Time, target, name string) {
	c.expire(now)
	v := find(c.order, name)
	if v == nil {
		return
	}
	t, ok := v.targets[target]
	if !ok || t.availability == available {
		return
	}
	c.markAvailable(v, t)
}

// RecordRefusal records that a target has refused the version with reason
// code.VersionGone or code.VersionNotLoaded. served lists the versions that it
// serves instead, or is nil if they are not known. Other reasons are ignored.
func (c *Chooser) RecordRefusal(now time.Time, target, name string, reason code.Code, served []string) {
	if reason != code.VersionGone && reason != code.VersionNotLoaded {
		return
	}
	c.expire(now)
	for _, v := range c.order {
		t, ok := v.targets[target]
		if !ok {
			continue
		}
		switch {
		case v.name == name:
			c.markMissing(now, v, t, reason)
		case slices.Contains(served, v.name):
			c.markAvailable(v, t)
		case len(served) > 0:
			c.markMissing(now, v, t, code.VersionNotLoaded)
		}
	}
}

func (c *Chooser) markAvailable(v *version, t *versionTarget) {
	v.set(t, available, time.Time{})
	if v.allConfirmed() {
		v.trusted = true
	}
}

func (c *Chooser) markMissing(now time.Time, v *version, t *versionTarget, reason code.Code) {
	ttl := c.opts.NotLoadedTTL
	if reason == code.VersionGone {
		ttl = c.opts.GoneTTL
	}
	until := now.Add(ttl)
	if t.availability != missing || until.Sub(t.until) > ttl/renewalsPerTTL {
		v.set(t, missing, until)
		c.addExpiry(expiry{at: until, target: t, version: v})
	}
	if v.trusted && v.blocked > 0 {
		v.trusted = false
		v.cooldownUntil = now.Add(c.opts.Cooldown)
	}
}

// Lacks reports whether the target is known to lack the version. No sub-request
// for the version should be sent to such a target.
func (c *Chooser) Lacks(now time.Time, target, name string) bool {
	v := find(c.order, name)
	if v == nil {
		return false
	}
	t, ok := v.targets[target]
	return ok && t.availability == missing && now.Before(t.until)
}

// Choose returns the version for a new query to pin: the most preferred trusted
// one, or occasionally a more preferred one, to probe whether it is served now.
// If no version is trusted, it is the most preferred one of which each
// shard has a target that is not known to lack it.
//
// If ok is false, no version can cover every shard; name is then the version
// that covers the most shards, or empty if there are no versions.
func (c *Chooser) Choose(now time.Time) (name string, ok bool) {
	c.expire(now)
	c.queries++
	best := c.bestUsable(now, "")
	if best != nil && best.trusted {
		if probe := c.probe(now, best); probe != nil {
			return probe.name, true
		}
	}
	if best != nil {
		return best.name, true
	}
	return c.mostCovered(""), false
}

// ChooseOther returns a version other than pinned, for a query that can no
// longer complete on its pinned version. The rules are those of Choose, but it
// never probes.
func (c *Chooser) ChooseOther(now time.Time, pinned string) (name string, ok bool) {
	c.expire(now)
	if v := c.bestUsable(now, pinned); v != nil {
		return v.name, true
	}
	return c.mostCovered(pinned), false
}

// bestUsable returns the most preferred version other than except that is
// trusted and not in its cooldown. Without one it returns the most preferred
// version that is not blocked, trusted ones first, or nil if all are blocked.
func (c *Chooser) bestUsable(now time.Time, except string) *version {
	var fallback *version
	for _, v := range c.order {
		if v.blocked > 0 || len(v.shards) == 0 || v.name == except {
			continue
		}
		if v.trusted && !now.Before(v.cooldownUntil) {
			return v
		}
		if fallback == nil || v.trusted && !fallback.trusted {
			fallback = v
		}
	}
	return fallback
}

// probe returns a version preferred to best that is due to be probed, or nil.
func (c *Chooser) probe(now time.Time, best *version) *version {
	for _, v := range c.order {
		if v == best {
			return nil
		}
		mayProbe := v.blocked == 0 && len(v.shards) > 0 && !v.trusted
		if mayProbe && !now.Before(v.cooldownUntil) && c.probeDue(now, v) {
			v.probedAt, v.probedQuery = now, c.queries
			return v
		}
	}
	return nil
}

// probeDue reports whether enough time and queries have passed since the last
// query that probed the version.
func (c *Chooser) probeDue(now time.Time, v *version) bool {
	elapsed := now.Sub(v.probedAt)
	queries := c.queries - v.probedQuery
	return v.probedQuery == 0 || elapsed >= c.opts.MaxProbeInterval ||
		elapsed >= c.opts.MinProbeInterval && queries >= uint64(c.opts.QueriesPerProbe)
}

// mostCovered returns the version other than except with the largest fraction of
// shards that are not blocked.
func (c *Chooser) mostCovered(except string) string {
	name := ""
	best := -1.0
	for _, v := range c.order {
		if v.name == except || len(v.shards) == 0 {
			continue
		}
		fraction := 1 - float64(v.blocked)/float64(len(v.shards))
		if fraction > best {
			name, best = v.name, fraction
		}
	}
	return name
}
