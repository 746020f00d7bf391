// Package revision decides which revision of the operators' folder is in force
// in one process, and how the process gets it: from the configuration service,
// or from peers while the service is down or stale.
//
// The state machine does no I/O and reads no clock. It is not safe for
// concurrent use: calls must be serialised, and the times passed to them must
// not go back.
package revision

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Counts holds the numbers of events since the start.
type Counts struct {
	// Accepted, Rejected and Conflicts count revisions.
	Accepted  uint64 `json:"accepted"`
	Rejected  uint64 `json:"rejected"`
	Conflicts uint64 `json:"conflicts"`
	// HashMismatches counts file contents that did not match their hash.
	HashMismatches uint64 `json:"torn"`
	// Outdated counts manifests and responses with a revision below the one in
	// force, and manifests of the service with a revision below an earlier one.
	Outdated uint64 `json:"older"`
	// Malformed counts manifests that are invalid in themselves: without a
	// revision, or with a bad hash, an empty name or a duplicate name.
	Malformed uint64 `json:"malformed"`
	// Reads counts file reads, PeerRequests requests to peers.
	Reads        uint64 `json:"reads"`
	PeerRequests uint64 `json:"asks"`
}

// Status describes the revision in force. Revision is 0 if there is none.
type Status struct {
	Revision uint64
	Digest   string
	Source   Source
	// Since is the time at which the revision came into force in this process.
	Since  time.Time
	Counts Counts
}

// State is the state machine of one process. Its methods return the actions that
// an event leads to.
type State struct {
	opts             Options
	started          time.Time
	processes        int
	peers            []string
	peersKnown       bool
	inForce          *candidate
	since            time.Time
	candidates       map[key]*candidate
	rejected         map[key]bool
	conflicting      map[key]bool
	contents         map[string][]byte // by SHA-256
	serviceCandidate *candidate        // revision whose files are read from the service
	reads            readScheduler
	fetches          fetches
	startup          startup
	counts           Counts
}

// New returns a State with no revision in force.
func New(now time.Time, opts Options) *State {
	opts = opts.withDefaults()
	return &State{
		opts:        opts,
		started:     now,
		processes:   1,
		candidates:  map[key]*candidate{},
		rejected:    map[key]bool{},
		conflicting: map[key]bool{},
		contents:    map[string][]byte{hashOf(nil): nil},
		reads:       newReadScheduler(now),
		fetches:     fetches{},
		startup:     newStartup(),
	}
}

// SetPeers sets the peers that requests can be sent to, and the number of
// processes that share FleetReadRate.
func (s *State) SetPeers(now time.Time, peers []string, processes int) []Action {
	s.peers = slices.Clone(peers)
	s.peersKnown = true
	s.processes = max(processes, 1)
	return s.advance(now)
}

// ManifestReceived handles a manifest from a source.
func (s *State) ManifestReceived(now time.Time, source Source, m platformapi.Manifest) []Action {
	c := newCandidate(&m, source)
	if c == nil {
		s.counts.Malformed++
		return nil
	}
	actions := s.addCandidate(c)
	return append(actions, s.advance(now)...)
}

// FileRead handles the content of a file that a ReadFile required.
func (s *State) FileRead(now time.Time, name, sha256 string, data []byte) []Action {
	if hashOf(data) != sha256 {
		s.counts.HashMismatches++
		return s.ReadFailed(now, name, sha256)
	}
	s.reads.done(sha256)
	s.contents[sha256] = data
	return s.advance(now)
}

// ReadFailed handles the failure of a ReadFile.
func (s *State) ReadFailed(now time.Time, _, sha256 string) []Action {
	s.reads.failed(now, &s.opts, sha256)
	return s.advance(now)
}

// OfferReceived handles a peer's offer of its revision in force; revision 0 means
// none.
func (s *State) OfferReceived(now time.Time, peer string, offer wire.FolderOffer) []Action {
	s.startup.addResponded(peer)
	k := key{offer.Revision, offer.Digest}
	if s.eligible(k) {
		s.fetches.addPeer(k, peer)
	}
	return s.advance(now)
}

// ResponseReceived handles a peer's response to a SendRequest.
func (s *State) ResponseReceived(now time.Time, peer string, response wire.FolderResponse) []Action {
	s.startup.addResponded(peer)
	s.fetches.responded(peer)
	if response.Revision == 0 {
		return s.advance(now)
	}
	m := platformapi.Manifest{Revision: response.Revision}
	for _, f := range response.Files {
		m.Files = append(m.Files, platformapi.ManifestFile{Name: f.Name, SHA256: f.SHA256})
	}
	c := newCandidate(&m, Source{Peer: peer})
	if c == nil {
		s.counts.Malformed++
		return s.advance(now)
	}
	actions := s.addCandidate(c)
	if s.candidates[c.key] != nil {
		s.addContents(response.Files)
		s.fetches.addPeer(c.key, peer)
	}
	return append(actions, s.advance(now)...)
}

// addContents stores the contents of files that match their hashes.
func (s *State) addContents(files []wire.FolderFile) {
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

// Respond returns the response to a peer's request: the revision in force, or
// revision 0 if there is none. Contents that do not fit into one response are
// left out; the peer requests them again.
func (s *State) Respond(request wire.FolderRequest) wire.FolderResponse {
	if s.inForce == nil {
		return wire.FolderResponse{}
	}
	response := wire.FolderResponse{Revision: s.inForce.revision}
	size := 0
	for _, f := range s.inForce.files {
		file := wire.FolderFile{Name: f.Name, SHA256: f.SHA256}
		data := s.contents[f.SHA256]
		if !slices.Contains(request.Have, f.SHA256) && (size == 0 || size+len(data) <= maxResponseBytes) {
			file.Data = data
			size += len(data)
		}
		response.Files = append(response.Files, file)
	}
	return response
}

// Tick handles timeouts. It must be called several times a second.
func (s *State) Tick(now time.Time) []Action {
	s.reads.expire(now, &s.opts)
	s.fetches.expire(now, &s.opts)
	return s.advance(now)
}

// Paused handles a pause of this process. Startup begins again, with requests to
// peers; reads and requests in progress count as failed.
func (s *State) Paused(now time.Time) []Action {
	s.reads.expire(now.Add(s.opts.ReadTimeout), &s.opts)
	s.fetches.expire(now.Add(s.opts.PeerTimeout), &s.opts)
	s.startup = newStartup()
	s.started = now
	return s.advance(now)
}

// CurrentOffer returns the offer to send with heartbeats: the revision in force,
// or revision 0 if there is none.
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

// Ready reports whether the process may serve and, if not, the reason. A process
// that is ready stays so until Paused is called.
func (s *State) Ready(now time.Time) (ready bool, reason string) {
	waited := now.Sub(s.started) >= s.opts.StartupWait
	switch {
	case s.startup.ready:
		return true, ""
	case s.inForce == nil:
		return false, "no folder revision is in force"
	case !waited && !s.peersKnown:
		return false, "the peers are not known"
	case !waited && len(s.startup.responded) < min(s.opts.StartupPeers, len(s.peers)):
		return false, "too few peers have told their folder revision"
	case !waited && s.fetches.highestRevision() > s.inForce.revision:
		return false, fmt.Sprintf("folder revision %d is being fetched", s.fetches.highestRevision())
	}
	s.startup.ready = true
	return true, ""
}

// eligible reports whether the content could come into force.
func (s *State) eligible(k key) bool {
	if k.revision == 0 || s.rejected[k] {
		return false
	}
	if s.inForce == nil || k.revision != s.inForce.revision {
		return s.inForce == nil || k.revision > s.inForce.revision
	}
	return k.digest != s.inForce.digest && !s.conflicting[k]
}

// addCandidate adds c to the candidates if it can come into force. Otherwise it
// counts an outdated revision or records a conflict.
func (s *State) addCandidate(c *candidate) []Action {
	if c.confirmed {
		s.markConfirmed(c)
	}
	if !s.eligible(c.key) {
		if s.inForce != nil && c.revision < s.inForce.revision {
			s.counts.Outdated++
		}
		return nil
	}
	if s.inForce != nil && c.revision == s.inForce.revision && !c.supersedes(s.inForce) {
		return s.recordConflict(s.inForce, c, c.source)
	}
	if s.candidates[c.key] == nil {
		s.candidates[c.key] = c
	}
	if c.confirmed {
		s.setServiceCandidate(c)
	}
	return nil
}

// markConfirmed records that the service itself names the content of c, which may
// be known from peers already. A conflict that it lost to content from a peer is
// decided again.
func (s *State) markConfirmed(c *candidate) {
	if s.inForce != nil && s.inForce.key == c.key {
		s.inForce.confirmed = true
	}
	if known := s.candidates[c.key]; known != nil {
		known.confirmed = true
	}
	if s.inForce != nil && !s.inForce.confirmed {
		delete(s.conflicting, c.key)
	}
}

// setServiceCandidate makes c the revision whose files are read from the service.
// A lower revision, from a stale replica, does not replace a higher one unless
// that one was rejected.
func (s *State) setServiceCandidate(c *candidate) {
	if s.serviceCandidate != nil && s.serviceCandidate.revision > c.revision && !s.rejected[s.serviceCandidate.key] {
		s.counts.Outdated++
		return
	}
	s.serviceCandidate = s.candidates[c.key]
}

// recordConflict counts and reports a conflict, and excludes the content that was
// dropped.
func (s *State) recordConflict(kept, dropped *candidate, source Source) []Action {
	s.conflicting[dropped.key] = true
	s.fetches.drop(dropped.key)
	s.counts.Conflicts++
	return []Action{Conflict{Revision: kept.revision, Kept: kept.digest, Dropped: dropped.digest, Source: source}}
}
