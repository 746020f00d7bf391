package revision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// fileRead is the state of reading one file from the configuration service.
type fileRead struct {
	inProgress bool
	deadline   time.Time
	failures   int       // consecutive
	notBefore  time.Time // earliest time of the next read
}

// readScheduler limits the rate of a process's file reads with a token bucket.
type readScheduler struct {
	files    map[string]*fileRead // by SHA-256
	tokens   float64
	refilled time.Time
	// exhausted is true if a file waits for a token.
	exhausted bool
}

func newReadScheduler(now time.Time) readScheduler {
	return readScheduler{files: map[string]*fileRead{}, refilled: now}
}

func (r *readScheduler) done(sha256 string) { delete(r.files, sha256) }

// retain forgets the files whose hash is not in used.
func (r *readScheduler) retain(used map[string]bool) {
	maps.DeleteFunc(r.files, func(sha256 string, _ *fileRead) bool { return !used[sha256] })
}

func (r *readScheduler) failed(now time.Time, o *Options, sha256 string) {
	f := r.files[sha256]
	if f == nil || !f.inProgress {
		return
	}
	f.inProgress = false
	f.failures++
	f.notBefore = now.Add(backoff(o.Rand, f.failures, o.RetryMin, o.RetryMax))
}

// expire fails the reads whose deadline has passed.
func (r *readScheduler) expire(now time.Time, o *Options) {
	for _, sha256 := range slices.Sorted(maps.Keys(r.files)) {
		if f := r.files[sha256]; f.inProgress && !now.Before(f.deadline) {
			r.failed(now, o, sha256)
		}
	}
}

func (r *readScheduler) inProgress() int {
	n := 0
	for _, f := range r.files {
		if f.inProgress {
			n++
		}
	}
	return n
}

// refill adds the tokens for the time since the last call. The bucket holds
// the tokens of one second, at most burst, and at least one.
func (r *readScheduler) refill(now time.Time, rate float64, burst int) {
	full := max(1, min(rate, float64(burst)))
	r.tokens = min(r.tokens+now.Sub(r.refilled).Seconds()*rate, full)
	r.refilled = now
}

// takeToken takes a token and reports whether there was one.
func (r *readScheduler) takeToken() bool {
	r.exhausted = r.tokens < 1
	if !r.exhausted {
		r.tokens--
	}
	return !r.exhausted
}

// readMissing starts reads of the files that the service candidate lacks, as far
// as the limits on parallel reads and on the rate of reads allow.
func (s *State) readMissing(now time.Time) []Action {
	rate := float64(s.opts.FleetReadRate) / float64(s.processes)
	s.reads.refill(now, rate, s.opts.ReadBurst)
	s.reads.exhausted = false
	if s.serviceCandidate == nil || s.candidates[s.serviceCandidate.key] == nil {
		return nil
	}
	if !s.peersKnown && now.Sub(s.started) < s.opts.StartupWait {
		return nil // The fleet size, and with it this process's share of the rate, is unknown.
	}
	var actions []Action
	for _, f := range s.missing(s.serviceCandidate) {
		r := s.reads.files[f.SHA256]
		if r == nil {
			r = &fileRead{}
			s.reads.files[f.SHA256] = r
		}
		if r.inProgress || now.Before(r.notBefore) {
			continue
		}
		if s.reads.inProgress() >= s.opts.MaxParallelReads || !s.reads.takeToken() {
			break
		}
		r.inProgress = true
		r.deadline = now.Add(s.opts.ReadTimeout)
		s.counts.Reads++
		actions = append(actions, ReadFile{Name: f.Name, SHA256: f.SHA256})
	}
	return actions
}

// needsPeers reports whether the content of k must come from peers: it is not
// what the service names, a read of it failed, or the read rate is used up.
func (s *State) needsPeers(k key) bool {
	c := s.candidates[k]
	if c == nil || s.serviceCandidate == nil || s.serviceCandidate.key != k || s.reads.exhausted {
		return true
	}
	for _, f := range s.missing(c) {
		if r := s.reads.files[f.SHA256]; r != nil && r.failures > 0 {
			return true
		}
	}
	return false
}

// fetch is the state of fetching one revision's content from the peers that have
// it, one peer at a time.
type fetch struct {
	peers     []string // in the order of requests; a requested peer moves to the end
	pending   string   // the peer whose response is awaited, or empty
	deadline  time.Time
	failures  int       // consecutive
	notBefore time.Time // earliest time of the next request
}

// fetches maps each content that is fetched from peers to its state.
type fetches map[key]*fetch

// addPeer records that a peer has the content.
func (f fetches) addPeer(k key, peer string) {
	entry := f[k]
	if entry == nil {
		entry = &fetch{}
		f[k] = entry
	}
	if !slices.Contains(entry.peers, peer) {
		entry.peers = append(entry.peers, peer)
	}
}

func (f fetches) drop(k key) { delete(f, k) }

// responded ends the requests in progress to a peer.
func (f fetches) responded(peer string) {
	for _, entry := range f {
		if entry.pending == peer {
			entry.pending = ""
		}
	}
}

// expire fails the requests whose deadline has passed.
func (f fetches) expire(now time.Time, o *Options) {
	for _, k := range f.keys() {
		entry := f[k]
		if entry.pending == "" || now.Before(entry.deadline) {
			continue
		}
		entry.pending = ""
		entry.failures++
		entry.notBefore = now.Add(backoff(o.Rand, entry.failures, o.RetryMin, o.RetryMax))
	}
}

// keys returns the contents being fetched, highest revision first.
func (f fetches) keys() []key {
	return slices.SortedFunc(maps.Keys(f), func(a, b key) int {
		return cmp.Or(cmp.Compare(b.revision, a.revision), cmp.Compare(b.digest, a.digest))
	})
}

// highestRevision returns the highest revision being fetched, or 0.
func (f fetches) highestRevision() uint64 {
	highest := uint64(0)
	for k := range f {
		highest = max(highest, k.revision)
	}
	return highest
}

// requestFromPeers sends, for each content that peers must provide, a request
// to one peer at a time.
func (s *State) requestFromPeers(now time.Time) []Action {
	var actions []Action
	for _, k := range s.fetches.keys() {
		f := s.fetches[k]
		if !s.eligible(k) {
			s.fetches.drop(k)
			continue
		}
		if f.pending != "" || now.Before(f.notBefore) || !s.needsPeers(k) {
			continue
		}
		f.pending = f.peers[0]
		f.peers = append(f.peers[1:], f.pending)
		f.deadline = now.Add(s.opts.PeerTimeout)
		f.notBefore = now.Add(s.opts.RetryMin)
		actions = append(actions, s.newRequest(f.pending, k.revision))
	}
	return actions
}

func (s *State) newRequest(peer string, revision uint64) SendRequest {
	s.counts.PeerRequests++
	have := slices.Sorted(maps.Keys(s.contents))
	return SendRequest{Peer: peer, Request: wire.FolderRequest{Revision: revision, Have: have}}
}

// startup tracks the requests of a new process for the revision that its peers
// have in force.
type startup struct {
	responded map[string]bool // peers that reported their revision
	requested map[string]bool
	notBefore time.Time
	ready     bool
}

func newStartup() startup {
	return startup{responded: map[string]bool{}, requested: map[string]bool{}}
}

func (u *startup) addResponded(peer string) { u.responded[peer] = true }

// requestAtStartup sends requests to as many random peers as are still needed,
// and to further ones after half of PeerTimeout.
func (s *State) requestAtStartup(now time.Time) []Action {
	u := &s.startup
	need := min(s.opts.StartupPeers, len(s.peers)) - len(u.responded)
	if u.ready || need <= 0 || now.Before(u.notBefore) {
		return nil
	}
	u.notBefore = now.Add(s.opts.PeerTimeout / 2)
	var actions []Action
	for _, i := range s.opts.Rand.Perm(len(s.peers)) {
		peer := s.peers[i]
		if need == 0 {
			break
		}
		if u.responded[peer] || u.requested[peer] {
			continue
		}
		u.requested[peer] = true
		need--
		actions = append(actions, s.newRequest(peer, 0))
	}
	if len(actions) == 0 {
		clear(u.requested)
	}
	return actions
}
