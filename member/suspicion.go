package member

import (
	"math"
	"slices"
	"time"
)

// suspicion collects the accusations against one incarnation of a member.
type suspicion struct {
	started  time.Time
	accusers []uint32
}

// confirm adds accusers, up to limit, and tells whether any was new.
func (s *suspicion) confirm(accusers []uint32, limit int) bool {
	grew := false
	for _, a := range accusers {
		if len(s.accusers) >= limit || slices.Contains(s.accusers, a) {
			continue
		}
		s.accusers = append(s.accusers, a)
		grew = true
	}
	return grew
}

// window returns how long the member may stay silent after the first
// accusation. It falls from longest to shortest with the logarithm of the
// number of accusers.
func (s *suspicion) window(shortest, longest time.Duration, confirmations int) time.Duration {
	if len(s.accusers) >= confirmations {
		return shortest
	}
	share := math.Log(float64(max(len(s.accusers), 1))) / math.Log(float64(confirmations))
	return longest - time.Duration(share*float64(longest-shortest))
}

// expired tells whether the window has passed.
func (s *suspicion) expired(now time.Time, o *Options) bool {
	return now.Sub(s.started) >= s.window(o.MinAccusationTimeout, o.MaxAccusationTimeout, o.Confirmations)
}

// refutedBy tells whether a contact at the given time disproves the
// accusation. A contact shortly before the accusation was learned counts,
// since accusations need a while to travel.
func (s *suspicion) refutedBy(contact time.Time, suspectAfter time.Duration) bool {
	return contact.After(s.started.Add(-suspectAfter / 2))
}
