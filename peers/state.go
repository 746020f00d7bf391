// Package peers tracks the processes that share the limits of targets. They
// find each other through a few seed addresses, which may be stale or down, and
// by gossip: each process sends the members it knows to a few others.
//
// State is pure: time and randomness are passed in, and it does no I/O. It is
// not safe for concurrent use.
package peers

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// Member describes one process in gossip messages.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // host and port
	// Started is the start time in nanoseconds since the Unix epoch. It
	// distinguishes the incarnations of a process.
	Started int64 `cbor:"3,keyasint"`
	// Heartbeat is incremented by the process itself in each round of messages.
	Heartbeat uint64 `cbor:"4,keyasint" json:"Beat"`
	// DataCentre is where the process runs.
	DataCentre string `cbor:"5,keyasint"`
	// Capacity is the processor share of the process, in thousandths of a core; zero if
	// unknown.
	Capacity uint32 `cbor:"6,keyasint,omitempty"`
	// Load is the rate of requests that the process serves; nil if unknown.
	Load *Load `cbor:"7,keyasint,omitempty" json:",omitempty"`
	// CutOff is true if the process reaches no targets.
	CutOff bool `cbor:"8,keyasint,omitempty" json:",omitempty"`
	// ConfigSchema is the catalog.ConfigSchema of the process; zero if it has not told, or
	// if only processes of builds without this field have passed it on.
	ConfigSchema uint32 `cbor:"9,keyasint,omitempty" json:",omitempty"`
}

// Load is the rate of requests that a process serves, in hundredths of a request per second.
type Load struct {
	Sharded uint32 `cbor:"1,keyasint,omitempty"`
	Single  uint32 `cbor:"2,keyasint,omitempty"`
}

// loadUnit is the unit of the fields of Load, in requests per second.
const loadUnit = 0.01

// NewLoad returns the Load that stands for l, or nil if l is nil.
func NewLoad(l *share.Load) *Load {
	if l == nil {
		return nil
	}
	return &Load{Sharded: uint32(min(l.Sharded/loadUnit, math.MaxUint32)), Single: uint32(min(l.Single/loadUnit, math.MaxUint32))}
}

// Share returns the rates in requests per second, or nil if l is nil.
func (l *Load) Share() *share.Load {
	if l == nil {
		return nil
	}
	return &share.Load{Sharded: float64(l.Sharded) * loadUnit, Single: float64(l.Single) * loadUnit}
}

// Message is a gossip message.
type Message struct {
	Members []Member `cbor:"1,keyasint"` // the sender comes first
	// WantReply is true if the sender may not know all members and requests a reply.
	WantReply bool `cbor:"2,keyasint,omitempty"`
	// Reports tell of requests under which targets have ended.
	Reports []quarantine.Report `cbor:"3,keyasint,omitempty"`
	// Quota is a batch of package quota. A message with a batch holds nothing else.
	Quota []byte `cbor:"4,keyasint,omitempty"`
}

// Outgoing is a message to be sent to an address.
type Outgoing struct {
	To      string
	Message Message
	// Local is true if the address is that of a member in the local data centre.
	Local bool
}

// Options configures a State.
type Options struct {
	Self  Member
	Seeds []string
	// Interval is the time between two rounds of messages.
	Interval time.Duration
	// Fanout is the number of members that a round is sent to.
	Fanout int
	// MaxMembers is the maximum number of members in a message, without the
	// sender.
	MaxMembers int
	// ForgetAfter is the time without a new heartbeat after which a member is
	// removed. It is long: a share must not grow because other processes are
	// unreachable for a while.
	ForgetAfter time.Duration
	// AssumedFleetSize is the smallest number of processes that is assumed until the
	// membership has settled.
	AssumedFleetSize int
	// SettleTime is the time after the last new member during which more
	// members are expected.
	SettleTime time.Duration
	Rand       *rand.Rand
}

type record struct {
	Member
	heartbeatAt time.Time // local time at which the heartbeat last increased
}

// State is the membership as one process knows it.
type State struct {
	opts      Options
	members   map[string]*record // without this process
	startedAt time.Time
	lastAdded time.Time // when the last new member was added
	// received is the number of messages since lastAdded, up to settleMessages.
	received  int
	nextRound time.Time
}

// New returns a State that knows only its own process.
func New(now time.Time, opts Options) *State {
	return &State{opts: opts, members: map[string]*record{}, startedAt: now, lastAdded: now}
}

// Tick removes the members that have had no new heartbeat for ForgetAfter, and
// returns the messages that are due.
func (s *State) Tick(now time.Time) []Outgoing {
	s.removeStale(now)
	if now.Before(s.nextRound) {
		return nil
	}
	s.nextRound = now.Add(s.opts.Interval)
	s.opts.Self.Heartbeat++
	var messages []Outgoing
	for _, to := range s.receivers(now) {
		messages = append(messages, Outgoing{To: to, Message: s.message(now, !s.settled(now)), Local: s.isLocal(to)})
	}
	return messages
}

// remoteRoundInterval is the interval, in rounds, at which messages may go to remote
// data centres once the membership has settled: traffic between data centres has a
// cost.
const remoteRoundInterval = 3

// startRounds is the number of rounds after the start in which messages may go to all data
// centres: a process must first learn of members at all.
const startRounds = 5

// settleMessages is the number of messages without a new member after which the
// membership may have settled. A process that receives no messages learns of no
// member either.
const settleMessages = 3

// settled reports whether messages arrived and no member was added within the settle
// time.
func (s *State) settled(now time.Time) bool {
	return s.received >= settleMessages && now.Sub(s.lastAdded) >= s.opts.SettleTime
}

// remoteRound reports whether the messages of this round may go to remote data
// centres.
func (s *State) remoteRound(now time.Time) bool {
	return s.opts.Self.Heartbeat <= startRounds || s.opts.Self.Heartbeat%remoteRoundInterval == 0
}

// receivers returns the addresses of random members, and of a random seed in
// remote rounds. Other rounds stay in the local data centre. If no member is known,
// it returns all seeds.
func (s *State) receivers(now time.Time) []string {
	if len(s.members) == 0 {
		return s.seeds()
	}
	remote := s.remoteRound(now)
	var addresses []string
	for _, r := range s.members {
		if remote || r.DataCentre == s.opts.Self.DataCentre {
			addresses = append(addresses, r.Address)
		}
	}
	slices.Sort(addresses)
	s.opts.Rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), s.opts.Fanout)]
	if seeds := s.seeds(); remote && len(seeds) > 0 {
		if seed := seeds[s.opts.Rand.IntN(len(seeds))]; !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// seeds returns the seeds without this process.
func (s *State) seeds() []string {
	return slices.DeleteFunc(slices.Clone(s.opts.Seeds), func(a string) bool { return a == s.opts.Self.Address })
}

// message returns a message with this process and a random choice of members:
// of all members until the membership has settled, then of those with the most
// recent heartbeats.
func (s *State) message(now time.Time, wantReply bool) Message {
	known := make([]*record, 0, len(s.members))
	for _, r := range s.members {
		known = append(known, r)
	}
	slices.SortFunc(known, func(a, b *record) int {
		if c := b.heartbeatAt.Compare(a.heartbeatAt); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	m := Message{Members: []Member{s.opts.Self}, WantReply: wantReply}
	limit := s.opts.MaxMembers
	if s.settled(now) {
		// Only heartbeats still change, so fewer members are sent, and the most
		// recent ones are those that receivers may not have yet.
		limit /= 2
		if s.remoteRound(now) {
			limit /= 2
		}
		known = known[:min(len(known), max(len(known)/2, limit))]
	}
	s.opts.Rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	for _, r := range known[:min(len(known), limit)] {
		m.Members = append(m.Members, r.Member)
	}
	return m
}

// Receive merges a message. It returns the reply if the sender requested one,
// and the names of the members that are new.
func (s *State) Receive(now time.Time, m Message) (replies []Outgoing, added []string) {
	s.received = min(s.received+1, settleMessages)
	for i := range m.Members {
		if s.merge(now, m.Members[i]) {
			added = append(added, m.Members[i].Name)
		}
	}
	if m.WantReply && len(m.Members) > 0 {
		replies = append(replies, s.reply(&m.Members[0], s.message(now, false)))
	}
	return replies, added
}

// reply returns a message to the sender of another one.
func (s *State) reply(to *Member, m Message) Outgoing {
	return Outgoing{To: to.Address, Message: m, Local: to.DataCentre == s.opts.Self.DataCentre}
}

// merge updates the record of a member and reports whether it is new.
func (s *State) merge(now time.Time, m Member) (added bool) {
	if m.Name == s.opts.Self.Name {
		s.supersede(m)
		return false
	}
	if m.Name == "" || m.Address == "" {
		return false
	}
	known := s.members[m.Name]
	if known == nil {
		s.members[m.Name] = &record{Member: m, heartbeatAt: now}
		s.lastAdded, s.received = now, 0
		return true
	}
	newer := m.Started > known.Started || (m.Started == known.Started && m.Heartbeat > known.Heartbeat)
	if newer {
		if m.Started == known.Started {
			m.ConfigSchema = max(m.ConfigSchema, known.ConfigSchema) // earlier builds drop it when they pass a member on
		}
		known.Member, known.heartbeatAt = m, now
	}
	return false
}

// supersede makes this process newer than m, an earlier incarnation of the same
// name: the clock may have been set back between the two starts.
func (s *State) supersede(m Member) {
	if m.Started > s.opts.Self.Started && m.Started < math.MaxInt64 {
		s.opts.Self.Started = m.Started + 1
	}
}

func (s *State) removeStale(now time.Time) {
	for name, r := range s.members {
		if now.Sub(r.heartbeatAt) > s.opts.ForgetAfter {
			delete(s.members, name)
		}
	}
}

// SetLoad sets the load that the other processes are told.
func (s *State) SetLoad(l *Load) { s.opts.Self.Load = l }

// SetCutOff sets whether the other processes are told that this one reaches no targets. It
// returns messages for up to n of those that are alive within the given time, if that is new.
func (s *State) SetCutOff(now time.Time, cutOff bool, within time.Duration, n int) []Outgoing {
	if s.opts.Self.CutOff == cutOff {
		return nil
	}
	s.opts.Self.CutOff = cutOff
	s.opts.Self.Heartbeat++ // makes receivers take it for newer
	return s.Spread(now, within, n, nil)
}

// SetSeeds replaces the seed addresses.
func (s *State) SetSeeds(seeds []string) { s.opts.Seeds = seeds }

// Fleet returns the processes that share limits, with the number of processes to
// assume while some may be unknown.
//
// Processes that cannot reach each other after a start know a part of the fleet only.
// All processes have about the same seeds, so the fraction of the seeds that a process
// knows as members is taken for the fraction of the fleet that it knows: the shares of
// separate parts of the fleet add up to the whole. After ForgetAfter, seeds that are
// still unknown are taken for stale.
func (s *State) Fleet(now time.Time) share.Fleet {
	f := share.Fleet{Self: s.opts.Self.Name}
	seeds, known := s.countSeeds()
	if known < seeds && len(s.members) == 0 {
		return f
	}
	f.Members = []string{s.opts.Self.Name}
	for name := range s.members {
		f.Members = append(f.Members, name)
	}
	slices.Sort(f.Members)
	size := len(f.Members)
	switch {
	case now.Sub(s.startedAt) >= s.opts.ForgetAfter:
	case known == 0:
		size *= staleSeedsFactor
	case known < seeds:
		size = (size*seeds + known - 1) / known
	}
	if len(s.members) == 0 || !s.settled(now) {
		size = max(s.opts.AssumedFleetSize, 2*size)
	}
	if size > len(f.Members) {
		f.AssumedSize = size
	}
	return f
}

// staleSeedsFactor is the assumed ratio of all processes to the known ones if no seed
// is known: either all seeds are stale, or they are in other parts of the fleet.
const staleSeedsFactor = 6

// countSeeds returns the number of seeds, and how many of them are known members or
// this process itself.
func (s *State) countSeeds() (seeds, known int) {
	for _, seed := range s.opts.Seeds {
		if seed == s.opts.Self.Address || s.hasAddress(seed) {
			known++
		}
	}
	return len(s.opts.Seeds), known
}

func (s *State) hasAddress(address string) bool {
	for _, r := range s.members {
		if r.Address == address {
			return true
		}
	}
	return false
}

// isLocal reports whether the address is that of a member in the local data centre.
func (s *State) isLocal(address string) bool {
	for _, r := range s.members {
		if r.Address == address {
			return r.DataCentre == s.opts.Self.DataCentre
		}
	}
	return false
}

// Alive returns the peers whose heartbeat has increased within the given time,
// sorted by name.
func (s *State) Alive(now time.Time, within time.Duration) []Member {
	var out []Member
	for _, r := range s.members {
		if now.Sub(r.heartbeatAt) <= within {
			out = append(out, r.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Spread returns a message with the reports for up to n random peers that are alive.
func (s *State) Spread(now time.Time, within time.Duration, n int, reports []quarantine.Report) []Outgoing {
	alive := s.Alive(now, within)
	s.opts.Rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	var messages []Outgoing
	for _, m := range alive[:min(len(alive), n)] {
		messages = append(messages, s.reply(&m, Message{Members: []Member{s.opts.Self}, Reports: reports}))
	}
	return messages
}

// Members returns the known peers, sorted by name.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, r := range s.members {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}
