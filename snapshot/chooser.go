// Package snapshot chooses the index version that a query pins.
//
// A query uses one version and its shard map throughout; if the version
// vanishes, the whole query restarts on another one. The chooser learns from
// answers and refusals which targets serve which version, and switches to a
// new version only once every shard has shown it. The package is pure: time is
// passed in.
package snapshot

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
)

// Defaults of Options.
const (
	DefaultNotLoadedTTL     = 1 * time.Second
	DefaultGoneTTL          = 10 * time.Second
	DefaultMinProbeInterval = 250 * time.Millisecond
	DefaultMaxProbeInterval = 10 * time.Second
	DefaultQueriesPerProbe  = 100
	DefaultCooldown         = 2 * time.Second
)

// evidenceRenewals bounds how often the evidence about a target is renewed
// within its time to live.
const evidenceRenewals = 4

// Options sets up a Chooser. A zero field means its default.
type Options struct {
	// NotLoadedTTL is how long a target that hasn't loaded a version yet is
	// taken to lack it.
	NotLoadedTTL time.Duration
	// GoneTTL is how long a target that no longer serves a version is taken to
	// lack it.
	GoneTTL time.Duration
	// MinProbeInterval is the shortest time between two queries that try a version
	// which not every shard has shown.
	MinProbeInterval time.Duration
	// QueriesPerProbe is the number of queries of which at most one tries such a
	// version. It gives way when MaxProbeGap has passed since the last.
	QueriesPerProbe  int
	MaxProbeInterval time.Duration
	// Cooldown is how long a version that became unusable isn't chosen again while
	// another one is usable.
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

// Chooser chooses versions of one search. It is not locked; the caller serialises.
type Chooser struct {
	opts    Options
	current string
	// order holds the versions by preference: the current one first, then by
	// descending sequence.
	order []*version
	// queries is the number of queries that a version was chosen for.
	queries uint64
	expires []expiry
}

// expiry is a point in time at which evidence may end.
type expiry struct {
	at     time.Time
	holder *holder
	in     *version
}

// New returns a chooser without versions.
func New(opts Options) *Chooser { return &Chooser{opts: opts.withDefaults()} }

// SetVersions replaces the versions by those of the search's contract. What is
// known about targets is kept for versions that stay.
func (c *Chooser) SetVersions(now time.Time, search folder.Search) {
	old := c.order
	c.order = make([]*version, 0, len(search.Versions))
	c.current = search.Current
	for name, v := range search.Versions {
		next := newVersion(name, v)
		if was := find(old, name); was != nil {
			next.carry(was)
		}
		c.order = append(c.order, next)
	}
	slices.SortFunc(c.order, c.prefer)
	c.rebuildExpiries()
	c.expire(now)
}

func (c *Chooser) prefer(a, b *version) int {
	if (a.name == c.current) != (b.name == c.current) {
		return boolToInt(b.name == c.current) - boolToInt(a.name == c.current)
	}
	if byAge := cmp.Compare(b.sequence, a.sequence); byAge != 0 {
		return byAge
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

// RecordServed records that a target has answered for the version.
func (c *Chooser) RecordServed(now time.Time, target, name string) {
	c.expire(now)
	v := find(c.order, name)
	if v == nil {
		return
	}
	h, ok := v.holders[target]
	if !ok || h.evidence == serves {
		return
	}
	c.learnServes(v, h)
}

// RecordRefusal records that a target has refused the version with reason
// code.VersionGone or code.VersionNotLoaded, and which versions it serves
// instead; nil if it didn't say. Other reasons are ignored.
func (c *Chooser) RecordRefusal(now time.Time, target, name string, reason code.Code, served []string) {
	if reason != code.VersionGone && reason != code.VersionNotLoaded {
		return
	}
	c.expire(now)
	for _, v := range c.order {
		h, ok := v.holders[target]
		if !ok {
			continue
		}
		switch {
		case v.name == name:
			c.learnLacks(now, v, h, reason)
		case slices.Contains(served, v.name):
			c.learnServes(v, h)
		case len(served) > 0:
			c.learnLacks(now, v, h, code.VersionNotLoaded)
		}
	}
}

func (c *Chooser) learnServes(v *version, h *holder) {
	v.set(h, serves, time.Time{})
	if v.shown() {
		v.trusted = true
	}
}

func (c *Chooser) learnLacks(now time.Time, v *version, h *holder, reason code.Code) {
	ttl := c.opts.NotLoadedTTL
	if reason == code.VersionGone {
		ttl = c.opts.GoneTTL
	}
	until := now.Add(ttl)
	if h.evidence != lacks || until.Sub(h.until) > ttl/evidenceRenewals {
		v.set(h, lacks, until)
		c.addExpiry(expiry{at: until, holder: h, in: v})
	}
	if v.trusted && v.blocked > 0 {
		v.trusted = false
		v.heldUntil = now.Add(c.opts.Cooldown)
	}
}

// Lacks tells whether the target is known to lack the version, so that no
// sub-request for it should go there.
func (c *Chooser) Lacks(now time.Time, target, name string) bool {
	v := find(c.order, name)
	if v == nil {
		return false
	}
	h, ok := v.holders[target]
	return ok && h.evidence == lacks && now.Before(h.until)
}

// Choose returns the version for a new query to pin: the most preferred one
// that every shard has shown, or now and then a more preferred one to find out
// whether it is served by now. If no version is confirmed, it is the most
// preferred one of which each shard has a target that isn't known to lack it.
//
// With ok false no version can cover every shard; name is then the one that
// covers most of them, or empty if there are no versions.
func (c *Chooser) Choose(now time.Time) (name string, ok bool) {
	c.expire(now)
	c.queries++
	settled := c.settled(now, "")
	if settled != nil && settled.trusted {
		if probe := c.probe(now, settled); probe != nil {
			return probe.name, true
		}
	}
	if settled != nil {
		return settled.name, true
	}
	return c.mostCovered(""), false
}

// ChooseOther returns another version for a query whose pinned version can't be
// completed any more. The rules are those of Choose, but it never probes.
func (c *Chooser) ChooseOther(now time.Time, pinned string) (name string, ok bool) {
	c.expire(now)
	if v := c.settled(now, pinned); v != nil {
		return v.name, true
	}
	return c.mostCovered(pinned), false
}

// settled returns the most preferred version but except that is confirmed, or
// else the most preferred one that isn't blocked; nil if all are.
func (c *Chooser) settled(now time.Time, except string) *version {
	var possible *version
	for _, v := range c.order {
		if v.blocked > 0 || len(v.shards) == 0 || v.name == except {
			continue
		}
		if v.trusted && !now.Before(v.heldUntil) {
			return v
		}
		if possible == nil || v.trusted && !possible.trusted {
			possible = v
		}
	}
	return possible
}

// probe returns a version preferred to the settled one that is due to be tried.
func (c *Chooser) probe(now time.Time, settled *version) *version {
	for _, v := range c.order {
		if v == settled {
			return nil
		}
		possible := v.blocked == 0 && len(v.shards) > 0 && !v.trusted
		if possible && !now.Before(v.heldUntil) && c.probeDue(now, v) {
			v.probedAt, v.probedNumber = now, c.queries
			return v
		}
	}
	return nil
}

// probeDue tells whether enough time and queries have passed since the last
// query that tried the version.
func (c *Chooser) probeDue(now time.Time, v *version) bool {
	gap := now.Sub(v.probedAt)
	queries := c.queries - v.probedNumber
	return v.probedNumber == 0 || gap >= c.opts.MaxProbeInterval ||
		gap >= c.opts.MinProbeInterval && queries >= uint64(c.opts.QueriesPerProbe)
}

// mostCovered returns the version but except with the largest share of shards
// that aren't blocked.
func (c *Chooser) mostCovered(except string) string {
	name := ""
	best := -1.0
	for _, v := range c.order {
		if v.name == except || len(v.shards) == 0 {
			continue
		}
		share := 1 - float64(v.blocked)/float64(len(v.shards))
		if share > best {
			name, best = v.name, share
		}
	}
	return name
}
