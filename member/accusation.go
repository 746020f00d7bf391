package member

import (
	"math"
	"slices"
	"time"
)

// accusation collects the accusers of one incarnation of a member.
type accusation struct {
	started  time.Time
	accusers []uint32
}

// add adds accusers, up to limit in total, and reports whether any was new.
func (a *accusation) add(accusers []uint32, limit int) bool {
	added := false
	for _, accuser := range accusers {
		if len(a.accusers) >= limit || slices.Contains(a.accusers, accuser) {
			continue
		}
		a.accusers = append(a.accusers, accuser)
		added = true
	}
	return added
}

// timeout returns the time after the first accusation at which a silent member
// becomes suspect. It falls from longest to shortest with the logarithm of the
// number of accusers.
func (a *accusation) timeout(shortest, longest time.Duration, confirmations int) time.Duration {
	if len(a.accusers) >= confirmations {
		return shortest
	}
	fraction := math.Log(float64(max(len(a.accusers), 1))) / math.Log(float64(confirmations))
	return longest - time.Duration(fraction*float64(longest-shortest))
}

// expired reports whether the timeout has passed.
func (a *accusation) expired(now time.Time, o *Options) bool {
	return now.Sub(a.started) >= a.timeout(o.MinAccusationTimeout, o.MaxAccusationTimeout, o.Confirmations)
}

// refutedBy reports whether a contact at the given time disproves the
// accusation. A contact up to accuseAfter/2 before the accusation arrived
// counts too, because accusations take time to spread.
func (a *accusation) refutedBy(contact time.Time, accuseAfter time.Duration) bool {
	return contact.After(a.started.Add(-accuseAfter / 2))
}
