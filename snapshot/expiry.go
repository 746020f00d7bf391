package snapshot

import (
	"slices"
	"time"
)

// expire resets the availability that has expired by now.
func (c *Chooser) expire(now time.Time) {
	done := 0
	for _, e := range c.expiries {
		if e.at.After(now) {
			break
		}
		// If the availability was renewed since, the newer one has its own entry.
		if e.target.availability == missing && e.target.until.Equal(e.at) {
			e.version.set(e.target, unknown, time.Time{})
		}
		done++
	}
	if done > 0 {
		c.expiries = slices.Delete(c.expiries, 0, done)
	}
}

// addExpiry inserts an entry in order of time.
func (c *Chooser) addExpiry(e expiry) {
	at := len(c.expiries)
	for at > 0 && c.expiries[at-1].at.After(e.at) {
		at--
	}
	c.expiries = slices.Insert(c.expiries, at, e)
}

func (c *Chooser) rebuildExpiries() {
	c.expiries = c.expiries[:0]
	for _, v := range c.order {
		for _, t := range v.targets {
			if t.availability == missing {
				c.addExpiry(expiry{at: t.until, target: t, version: v})
			}
		}
	}
}

// VersionState describes one version on the state page.
type VersionState struct {
	Name       string    `json:"name"`
	Sequence   int       `json:"sequence"`
	Shards     int       `json:"shards"`
	Confirmed  int       `json:"confirmed_shards"`
	Blocked    int       `json:"blocked_shards"`
	Trusted    bool      `json:"trusted"`
	Probed     time.Time `json:"probed"`
	InCooldown bool      `json:"held"`
}

// Versions returns the state of every version in order of preference.
func (c *Chooser) Versions(now time.Time) []VersionState {
	c.expire(now)
	states := make([]VersionState, 0, len(c.order))
	for _, v := range c.order {
		states = append(states, VersionState{
			Name:       v.name,
			Sequence:   v.sequence,
			Shards:     len(v.shards),
			Confirmed:  v.confirmed,
			Blocked:    v.blocked,
			Trusted:    v.trusted,
			Probed:     v.probedAt,
			InCooldown: now.Before(v.cooldownUntil),
		})
	}
	return states
}
