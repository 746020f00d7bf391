// Package revision decides which revision of the operators' folder is in force
// in one process, and how the process gets it: from the configuration service,
// or from peers while the service is down or stale.
//
// The state machine does no I/O and reads no clock. It isn't safe for
// concurrent use: the caller serialises all calls and passes times that never
// go back.
package revision

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Counts counts events since the start.
type Counts struct {
	// Accepted, RejectedRevisions and Conflicts count revisions.
	Accepted  uint64 `json:"accepted"`
	Rejected  uint64 `json:"rejected"`
	Conflicts uint64 `json:"conflicts"`
	// HashMismatches counts contents that didn't match their hash.
	HashMismatches uint64 `json:"torn"`
	// Outdated counts manifests and answers below the revision in force.
	Outdated uint64 `json:"older"`
	// Malformed counts manifests that no revision can have.
	Malformed uint64 `json:"malformed"`
	// Reads and Asks count file reads and questions to peers.
	Reads        uint64 `json:"reads"`
	PeerRequests uint64 `json:"asks"`
}

// Status describes the revision in force.
type Status struct {
	Revision uint64
	Digest   string
	Source   Source
	// Since is when the revision came into force here.
	Since  time.Time
	Counts Counts
}

// State is the order of revisions as one process sees it.
type State struct {
	opts       Options
	started    time.Time
	processes  int
	peers      []string
	peersKnown bool
	inForce    *candidate
	since      time.Time
	candidates map[key]*candidate
	rejected   map[key]bool
	disputed   map[key]bool
	contents   map[string][]byte // by SHA-256
	latest     *candidate        // what the service named last
	reads      reads
	asks       asks
	startup    startup
	counts     Counts
}

// New returns a State with no revision in force.
func New(now time.Time, opts Options) *State {
	opts = opts.withDefaults()
	return &State{
		opts:       opts,
		started:    now,
		processes:  1,
		candidates: map[key]*candidate{},
		rejected:   map[key]bool{},
		disputed:   map[key]bool{},
		contents:   map[string][]byte{hashOf(nil): nil},
		reads:      newReads(now),
		asks:       asks{},
		startup:    newStartup(),
	}
}

// SetPeers tells which peers can be asked, and how many processes share the
// budget of the configuration service.
func (s *State) SetPeers(now time.Time, peers []string, processes int) []Action {
	s.peers = slices.Clone(peers)
	s.peersKnown = true
	s.processes = max(processes, 1)
	return s.advance(now)
}

// ManifestReceived takes a manifest that a source named.
func (s *State) ManifestReceived(now time.Time, source Source, m platformapi.Manifest) []Action {
	c := newCandidate(&m, source)
	if c == nil {
		s.counts.Malformed++
		return nil
	}
	actions := s.consider(c)
	return append(actions, s.advance(now)...)
}

// FileRead takes the content of a file that ReadFile asked for.
func (s *State) FileRead(now time.Time, name, sha256 string, data []byte) []Action {
	if hashOf(data) != sha256 {
		s.counts.HashMismatches++
		return s.ReadFailed(now, name, sha256)
	}
	s.reads.done(sha256)
	s.contents[sha256] = data
	return s.advance(now)
}

// ReadFailed tells that a ReadFile failed.
func (s *State) ReadFailed(now time.Time, _, sha256 string) []Action {
	s.reads.failed(now, &s.opts, sha256)
	return s.advance(now)
}

// OfferReceived takes a peer's word on its revision in force; revision 0 means none.
func (s *State) OfferReceived(now time.Time, peer string, offer wire.FolderOffer) []Action {
	s.startup.answered(peer)
	k := key{offer.Revision, offer.Digest}
	if s.wants(k) {
		s.asks.offered(k, peer)
	}
	return s.advance(now)
}

// ResponseReceived takes a peer's answer to AskPeer.
func (s *State) ResponseReceived(now time.Time, peer string, answer wire.FolderResponse) []Action {
	s.startup.answered(peer)
	s.asks.answered(peer)
	if answer.Revision == 0 {
		return s.advance(now)
	}
	m := platformapi.Manifest{Revision: answer.Revision}
	for _, f := range answer.Files {
		m.Files = append(m.Files, platformapi.ManifestFile{Name: f.Name, SHA256: f.SHA256})
	}
	c := newCandidate(&m, Source{Peer: peer})
	if c == nil {
		s.counts.Malformed++
		return s.advance(now)
	}
	actions := s.consider(c)
	if s.candidates[c.key] != nil {
		s.keep(answer.Files)
		s.asks.offered(c.key, peer)
	}
	return append(actions, s.advance(now)...)
}

// keep holds the contents of files that match their hashes.
func (s *State) keep(files []wire.FolderFile) {
	for _, f := range files {
		if len(f.Data) == 0 {
			continue
		}
		if hashOf(f.Data) != f.SHA256 {
			s.counts.HashMismatches++
			continue
		}
		s.contents[f.SHA256] = f.Data
	}
}

// Respond answers a peer's question with the revision in force, or with
// revision 0 if there is none. Contents that don't fit into one answer are
// left out; the peer asks again.
func (s *State) Respond(ask wire.FolderRequest) wire.FolderResponse {
	if s.inForce == nil {
		return wire.FolderResponse{}
	}
	answer := wire.FolderResponse{Revision: s.inForce.revision}
	size := 0
	for _, f := range s.inForce.files {
		file := wire.FolderFile{Name: f.Name, SHA256: f.SHA256}
		data := s.contents[f.SHA256]
		if !slices.Contains(ask.Have, f.SHA256) && (size == 0 || size+len(data) <= maxAnswerBytes) {
			file.Data = data
			size += len(data)
		}
		answer.Files = append(answer.Files, file)
	}
	return answer
}

// Tick lets time pass. The caller calls it several times a second.
func (s *State) Tick(now time.Time) []Action {
	s.reads.expire(now, &s.opts)
	s.asks.expire(now, &s.opts)
	return s.advance(now)
}

// Paused tells that this process did not run for a while. Its peers count as not
// asked; reads and asks in progress start anew.
func (s *State) Paused(now time.Time) []Action {
	s.reads.expire(now.Add(s.opts.ReadTimeout), &s.opts)
	s.asks.expire(now.Add(s.opts.PeerTimeout), &s.opts)
	s.startup = newStartup()
	s.started = now
	return s.advance(now)
}

// CurrentOffer returns the offer to send with heartbeats; revision 0 means none.
func (s *State) CurrentOffer() wire.FolderOffer {
	if s.inForce == nil {
		return wire.FolderOffer{}
	}
	return wire.FolderOffer{Revision: s.inForce.revision, Digest: s.inForce.digest}
}

// Status returns the revision in force and the counts.
func (s *State) Status() Status {
	status := Status{Counts: s.counts}
	if c := s.inForce; c != nil {
		status.Revision, status.Digest, status.Source, status.Since = c.revision, c.digest, c.source, s.since
	}
	return status
}

// Ready tells whether the process may serve, else why not. Once ready it
// stays so until a Gap.
func (s *State) Ready(now time.Time) (ready bool, why string) {
	waited := now.Sub(s.started) >= s.opts.StartupWait
	switch {
	case s.startup.ready:
		return true, ""
	case s.inForce == nil:
		return false, "no folder revision is in force"
	case !waited && !s.peersKnown:
		return false, "the peers are not known"
	case !waited && len(s.startup.peers) < min(s.opts.StartupPeers, len(s.peers)):
		return false, "too few peers have told their folder revision"
	case !waited && s.asks.newest() > s.inForce.revision:
		return false, fmt.Sprintf("folder revision %d is being fetched", s.asks.newest())
	}
	s.startup.ready = true
	return true, ""
}

// wants tells whether the content could come into force.
func (s *State) wants(k key) bool {
	if k.revision == 0 || s.rejected[k] {
		return false
	}
	if s.inForce == nil || k.revision != s.inForce.revision {
		return s.inForce == nil || k.revision > s.inForce.revision
	}
	return k.digest != s.inForce.digest && !s.disputed[k]
}

// consider adds a candidate, or settles why it is none.
func (s *State) consider(c *candidate) []Action {
	if c.service {
		s.confirm(c)
	}
	if !s.wants(c.key) {
		if s.inForce != nil && c.revision < s.inForce.revision {
			s.counts.Outdated++
		}
		return nil
	}
	if s.inForce != nil && c.revision == s.inForce.revision && !c.beats(s.inForce) {
		return s.dispute(s.inForce, c, c.source)
	}
	if s.candidates[c.key] == nil {
		s.candidates[c.key] = c
	}
	if c.service {
		s.serviceNamed(c)
	}
	return nil
}

// confirm notes that the service itself names content known from peers.
func (s *State) confirm(c *candidate) {
	if s.inForce != nil && s.inForce.key == c.key {
		s.inForce.service = true
	}
	if known := s.candidates[c.key]; known != nil {
		known.service = true
	}
	if s.inForce != nil && !s.inForce.service {
		delete(s.disputed, c.key)
	}
}

// serviceNamed makes c the revision whose files are read from the service. A
// lower one, from a stale replica, doesn't replace a higher one.
func (s *State) serviceNamed(c *candidate) {
	if s.latest != nil && s.latest.revision > c.revision && !s.rejected[s.latest.key] {
		s.counts.Outdated++
		return
	}
	s.latest = s.candidates[c.key]
}

func (s *State) dispute(kept, dropped *candidate, source Source) []Action {
	s.disputed[dropped.key] = true
	s.asks.drop(dropped.key)
	s.counts.Conflicts++
	return []Action{Conflict{Revision: kept.revision, Kept: kept.digest, Dropped: dropped.digest, Source: source}}
}
