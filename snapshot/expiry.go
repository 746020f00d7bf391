package snapshot

import (
	"slices"
	"time"
)

// expire drops the evidence whose time is up.
func (c *Chooser) expire(now time.Time) {
	done := 0
	for _, e := range c.expires {
		if e.at.After(now) {
			break
		}
		// Newer evidence about the same target has its own entry.
		if e.holder.evidence == lacks && e.holder.until.Equal(e.at) {
			e.in.set(e.holder, unknown, time.Time{})
		}
		done++
	}
	if done > 0 {
		c.expires = slices.Delete(c.expires, 0, done)
	}
}

// addExpiry keeps the entries in order of time.
func (c *Chooser) addExpiry(e expiry) {
	at := len(c.expires)
	for at > 0 && c.expires[at-1].at.After(e.at) {
		at--
	}
	c.expires = slices.Insert(c.expires, at, e)
}

func (c *Chooser) rebuildExpiries() {
	c.expires = c.expires[:0]
	for _, v := range c.order {
		for _, h := range v.holders {
			if h.evidence == lacks {
				c.addExpiry(expiry{at: h.until, holder: h, in: v})
			}
		}
	}
}

// VersionState describes one version for a dump of the process's state.
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
			InCooldown: now.Before(v.heldUntil),
		})
	}
	return states
}
