package delegate

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
)

// picked are the peers that requests are handed to, and how they fare.
type picked struct {
	peers []Peer
	stats map[string]*balance.Stats // by name
	turn  uint64
}

func newPicked() picked { return picked{stats: map[string]*balance.Stats{}} }

// set replaces the peers.
func (c *picked) set(peers []Peer) {
	c.peers = peers
	stats := make(map[string]*balance.Stats, len(peers))
	for _, p := range peers {
		if stats[p.Name] = c.stats[p.Name]; stats[p.Name] == nil {
			stats[p.Name] = &balance.Stats{}
		}
	}
	c.stats = stats
}

// Picked returns the names of the picked peers. Links to them should be kept open.
func (c *picked) Picked() []string {
	var names []string
	for _, p := range c.peers {
		names = append(names, p.Name)
	}
	return names
}

// choose returns the peer with the lowest cost among those that are acceptable, or "".
func (c *picked) choose(now time.Time, profile balance.Profile, acceptable func(p Peer, cost time.Duration) bool, dataCentre string) string {
	var candidates []balance.Candidate
	var names []string
	for _, p := range c.peers {
		candidate := balance.Candidate{Stats: c.stats[p.Name], Slots: slots, Remote: p.DataCentre != dataCentre}
		if acceptable(p, candidate.Cost(now, profile)) {
			candidates = append(candidates, candidate)
			names = append(names, p.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	c.turn++
	return names[balance.Choose(now, profile, candidates, c.turn)]
}

// Sent records that a request was handed to a peer.
func (c *picked) Sent(now time.Time, peer string, profile balance.Profile) {
	if s := c.stats[peer]; s != nil {
		s.Sent(now, profile.OverdueAfter)
	}
}

// Result is how a request that was handed to a peer ended.
type Result int

// Results.
const (
	Responded  Result = iota + 1 // the peer responded
	Refused                      // the peer has not begun with the request
	Late                         // the peer did not respond before the deadline, but its link lives
	Lost                         // the link was lost
	Canceled                     // the caller left
	Overloaded                   // the peer refused the request as its targets are overloaded
)

// Ended records the result of a request that was handed to a peer at the given time.
func (c *picked) Ended(now, sent time.Time, peer string, result Result, profile balance.Profile) {
	s := c.stats[peer]
	if s == nil {
		return
	}
	switch result {
	case Responded:
		s.Responded(now, sent, profile.Expected)
	case Refused:
		s.Unreachable(now, sent, false)
	case Late:
		s.Failed(now, sent)
	case Lost:
		s.Unreachable(now, sent, true)
	default:
		s.Canceled(sent)
	}
}
