// Package peers keeps count of the processes that share the limits of targets.
// They find each other by a few seeds, which may be stale or down, and by
// gossip: each tells a few others of those that it has heard of.
//
// State is pure: time and randomness are passed in, and it does no I/O. It
// isn't safe for concurrent use.
package peers

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/share"
)

// Member is what is told of one process.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // host and port
	// Started tells the incarnations of a process apart: nanoseconds since the
	// Unix epoch.
	Started int64 `cbor:"3,keyasint"`
	// Heartbeat grows with each message of the process itself.
	Heartbeat uint64 `cbor:"4,keyasint" json:"Beat"`
	// DataCentre is where the process runs.
	DataCentre string `cbor:"5,keyasint"`
}

// Message is what a process sends.
type Message struct {
	Members []Member `cbor:"1,keyasint"` // the sender comes first
	// WantReply is true if the sender may not know all and asks for an answer.
	WantReply bool `cbor:"2,keyasint,omitempty"`
}

// Outgoing is an action: send the message to the address.
type Outgoing struct {
	To      string
	Message Message
}

// Options configures a State.
type Options struct {
	Self  Member
	Seeds []string
	// Interval is the time between two rounds of messages.
	Interval time.Duration
	// Fanout is the number of members told in a round.
	Fanout int
	// MaxMembers bounds the members named in a message.
	MaxMembers int
	// ForgetAfter is how long a member that nobody hears of counts. It is long: a
	// share must not grow because others are cut off for a while.
	ForgetAfter time.Duration
	// AssumedFleetSize is the number of processes that is assumed until others are heard of.
	AssumedFleetSize int
	// SettleTime is how long after the last member was found there may be more.
	SettleTime time.Duration
	Rand       *rand.Rand
}

type record struct {
	Member
	heard time.Time // when the beat last grew here
}

// State is the membership as one process sees it.
type State struct {
	opts    Options
	members map[string]*record
	grown   time.Time // when the last new member was found
	next    time.Time
}

// New returns a State that knows only itself.
func New(now time.Time, opts Options) *State {
	return &State{opts: opts, members: map[string]*record{}, grown: now}
}

// Tick returns the messages that are due, and whether members were forgotten.
func (s *State) Tick(now time.Time) []Outgoing {
	s.forget(now)
	if now.Before(s.next) {
		return nil
	}
	s.next = now.Add(s.opts.Interval)
	s.opts.Self.Heartbeat++
	var sends []Outgoing
	for _, to := range s.receivers(now) {
		sends = append(sends, Outgoing{To: to, Message: s.message(now, !s.settled(now))})
	}
	return sends
}

// farRounds is the number of rounds for each that goes to another data centre
// once all are known: the bytes between data centres have their price.
const farRounds = 3

// settled reports whether no member was found lately.
func (s *State) settled(now time.Time) bool { return now.Sub(s.grown) >= s.opts.SettleTime }

// far reports whether the messages of this round may go to other data centres.
func (s *State) far(now time.Time) bool {
	return !s.settled(now) || s.opts.Self.Heartbeat%farRounds == 0
}

// receivers picks members at random, and a seed: mostly in the own data centre
// once all are known.
func (s *State) receivers(now time.Time) []string {
	if len(s.members) == 0 {
		return s.seeds()
	}
	far := s.far(now)
	var addresses []string
	for _, r := range s.members {
		if far || r.DataCentre == s.opts.Self.DataCentre {
			addresses = append(addresses, r.Address)
		}
	}
	slices.Sort(addresses)
	s.opts.Rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), s.opts.Fanout)]
	if seeds := s.seeds(); far && len(seeds) > 0 {
		if seed := seeds[s.opts.Rand.IntN(len(seeds))]; !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// seeds returns the seeds but this process itself.
func (s *State) seeds() []string {
	return slices.DeleteFunc(slices.Clone(s.opts.Seeds), func(a string) bool { return a == s.opts.Self.Address })
}

// message names this process and others at random: any while some may not be
// known, else those heard of last.
func (s *State) message(now time.Time, reply bool) Message {
	known := make([]*record, 0, len(s.members))
	for _, r := range s.members {
		known = append(known, r)
	}
	slices.SortFunc(known, func(a, b *record) int {
		if c := b.heard.Compare(a.heard); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	m := Message{Members: []Member{s.opts.Self}, WantReply: reply}
	entries := s.opts.MaxMembers
	if s.settled(now) {
		entries /= 2 // only the beats are news, and those of the last heard are new
		if s.far(now) {
			entries /= 2
		}
		known = known[:min(len(known), max(len(known)/2, entries))]
	}
	s.opts.Rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	for _, r := range known[:min(len(known), entries)] {
		m.Members = append(m.Members, r.Member)
	}
	return m
}

// Receive takes a message and returns the answer that it asks for, if any, and
// the names of members that are new.
func (s *State) Receive(now time.Time, m Message) (sends []Outgoing, added []string) {
	for i := range m.Members {
		if s.learn(now, m.Members[i]) {
			added = append(added, m.Members[i].Name)
		}
	}
	if m.WantReply && len(m.Members) > 0 {
		sends = append(sends, Outgoing{To: m.Members[0].Address, Message: s.message(now, false)})
	}
	return sends, added
}

func (s *State) learn(now time.Time, m Member) (added bool) {
	if m.Name == s.opts.Self.Name {
		s.outlive(m)
		return false
	}
	if m.Name == "" || m.Address == "" {
		return false
	}
	known := s.members[m.Name]
	if known == nil {
		s.members[m.Name] = &record{Member: m, heard: now}
		s.grown = now
		return true
	}
	newer := m.Started > known.Started || (m.Started == known.Started && m.Heartbeat > known.Heartbeat)
	if newer {
		known.Member, known.heard = m, now
	}
	return false
}

// outlive makes this process newer than what is told of a former one of the same
// name: the time of day may have been set back between their starts.
func (s *State) outlive(m Member) {
	if m.Started > s.opts.Self.Started {
		s.opts.Self.Started = m.Started + 1
	}
}

func (s *State) forget(now time.Time) {
	for name, r := range s.members {
		if now.Sub(r.heard) > s.opts.ForgetAfter {
			delete(s.members, name)
		}
	}
}

// SetSeeds takes the addresses to begin with as they are told now.
func (s *State) SetSeeds(seeds []string) { s.opts.Seeds = seeds }

// Fleet returns the processes that share limits, and how many there may be for
// all that is known.
func (s *State) Fleet(now time.Time) share.Fleet {
	f := share.Fleet{Self: s.opts.Self.Name, Members: []string{s.opts.Self.Name}}
	for name := range s.members {
		f.Members = append(f.Members, name)
	}
	slices.Sort(f.Members)
	if len(s.members) == 0 || !s.settled(now) {
		f.AssumedSize = max(s.opts.AssumedFleetSize, 2*len(f.Members))
	}
	return f
}

// Alive returns the others that were heard of within a span, by name.
func (s *State) Alive(now time.Time, within time.Duration) []Member {
	var out []Member
	for _, r := range s.members {
		if now.Sub(r.heard) <= within {
			out = append(out, r.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Members returns what is known of the others, by name.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, r := range s.members {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}
