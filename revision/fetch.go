package revision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// read is one file that is read from the service.
type read struct {
	inFlight bool
	deadline time.Time
	failures int
	next     time.Time // not before
}

// reads paces the file reads of a process with a token bucket.
type reads struct {
	files    map[string]*read // by SHA-256
	tokens   float64
	refilled time.Time
	// starved is true if a file waits for a token.
	starved bool
}

func newReads(now time.Time) reads {
	return reads{files: map[string]*read{}, refilled: now}
}

func (r *reads) done(sha256 string) { delete(r.files, sha256) }

func (r *reads) forget(used map[string]bool) {
	maps.DeleteFunc(r.files, func(sha256 string, _ *read) bool { return !used[sha256] })
}

func (r *reads) failed(now time.Time, o *Options, sha256 string) {
	f := r.files[sha256]
	if f == nil || !f.inFlight {
		return
	}
	f.inFlight = false
	f.failures++
	f.next = now.Add(backoff(o.Rand, f.failures, o.RetryMin, o.RetryMax))
}

func (r *reads) expire(now time.Time, o *Options) {
	for _, sha256 := range slices.Sorted(maps.Keys(r.files)) {
		if f := r.files[sha256]; f.inFlight && !now.Before(f.deadline) {
			r.failed(now, o, sha256)
		}
	}
}

func (r *reads) inFlight() int {
	n := 0
	for _, f := range r.files {
		if f.inFlight {
			n++
		}
	}
	return n
}

// refill adds the tokens of the time since the last call. At most a second's
// worth is kept, and no more than burst, but always room for one.
func (r *reads) refill(now time.Time, rate float64, burst int) {
	full := max(1, min(rate, float64(burst)))
	r.tokens = min(r.tokens+now.Sub(r.refilled).Seconds()*rate, full)
	r.refilled = now
}

// take takes a token if there is one.
func (r *reads) take() bool {
	r.starved = r.tokens < 1
	if !r.starved {
		r.tokens--
	}
	return !r.starved
}

// readMissing reads files of the revision that the service named last.
func (s *State) readMissing(now time.Time) []Action {
	rate := float64(s.opts.FleetReadRate) / float64(s.processes)
	s.reads.refill(now, rate, s.opts.ReadBurst)
	s.reads.starved = false
	if s.latest == nil || s.candidates[s.latest.key] == nil {
		return nil
	}
	if !s.peersKnown && now.Sub(s.started) < s.opts.StartupWait {
		return nil // the share of the budget is unknown
	}
	var actions []Action
	for _, f := range s.missing(s.latest) {
		r := s.reads.files[f.SHA256]
		if r == nil {
			r = &read{}
			s.reads.files[f.SHA256] = r
		}
		if r.inFlight || now.Before(r.next) {
			continue
		}
		if s.reads.inFlight() >= s.opts.MaxParallelReads || !s.reads.take() {
			break
		}
		r.inFlight = true
		r.deadline = now.Add(s.opts.ReadTimeout)
		s.counts.Reads++
		actions = append(actions, ReadFile{Name: f.Name, SHA256: f.SHA256})
	}
	return actions
}

// readFails tells whether the service fails to give the content of k, or the
// budget for reads is used up.
func (s *State) readFails(k key) bool {
	c := s.candidates[k]
	if c == nil || s.latest == nil || s.latest.key != k || s.reads.starved {
		return true
	}
	for _, f := range s.missing(c) {
		if r := s.reads.files[f.SHA256]; r != nil && r.failures > 0 {
			return true
		}
	}
	return false
}

// ask is the search for one revision's content among the peers that have it.
type ask struct {
	peers    []string // the next to ask first
	asked    string   // the peer that is being asked, or empty
	deadline time.Time
	failures int
	next     time.Time // not before
}

type asks map[key]*ask

// offered notes that a peer has the content.
func (a asks) offered(k key, peer string) {
	q := a[k]
	if q == nil {
		q = &ask{}
		a[k] = q
	}
	if !slices.Contains(q.peers, peer) {
		q.peers = append(q.peers, peer)
	}
}

func (a asks) drop(k key) { delete(a, k) }

func (a asks) answered(peer string) {
	for _, q := range a {
		if q.asked == peer {
			q.asked = ""
		}
	}
}

func (a asks) expire(now time.Time, o *Options) {
	for _, k := range a.keys() {
		q := a[k]
		if q.asked == "" || now.Before(q.deadline) {
			continue
		}
		q.asked = ""
		q.failures++
		q.next = now.Add(backoff(o.Rand, q.failures, o.RetryMin, o.RetryMax))
	}
}

// keys returns the wanted contents, the highest revision first.
func (a asks) keys() []key {
	return slices.SortedFunc(maps.Keys(a), func(x, y key) int {
		return cmp.Or(cmp.Compare(y.revision, x.revision), cmp.Compare(y.digest, x.digest))
	})
}

// newest returns the highest revision that a peer offers and that isn't here yet.
func (a asks) newest() uint64 {
	newest := uint64(0)
	for k := range a {
		newest = max(newest, k.revision)
	}
	return newest
}

// askPeers asks, for each wanted content, one peer at a time.
func (s *State) askPeers(now time.Time) []Action {
	var actions []Action
	for _, k := range s.asks.keys() {
		q := s.asks[k]
		if !s.wants(k) {
			s.asks.drop(k)
			continue
		}
		if q.asked != "" || now.Before(q.next) || !s.readFails(k) {
			continue
		}
		q.asked = q.peers[0]
		q.peers = append(q.peers[1:], q.asked)
		q.deadline = now.Add(s.opts.PeerTimeout)
		q.next = now.Add(s.opts.RetryMin)
		actions = append(actions, s.askPeer(q.asked, k.revision))
	}
	return actions
}

func (s *State) askPeer(peer string, revision uint64) SendRequest {
	s.counts.PeerRequests++
	have := slices.Sorted(maps.Keys(s.contents))
	return SendRequest{Peer: peer, Request: wire.FolderRequest{Revision: revision, Have: have}}
}

// startup asks peers for whatever they have in force.
type startup struct {
	peers map[string]bool // those that told their revision
	asked map[string]bool
	next  time.Time
	ready bool
}

func newStartup() startup {
	return startup{peers: map[string]bool{}, asked: map[string]bool{}}
}

func (u *startup) answered(peer string) { u.peers[peer] = true }

// askAtStart asks as many peers as still must answer, and others after a timeout.
func (s *State) askAtStart(now time.Time) []Action {
	u := &s.startup
	need := min(s.opts.StartupPeers, len(s.peers)) - len(u.peers)
	if u.ready || need <= 0 || now.Before(u.next) {
		return nil
	}
	u.next = now.Add(s.opts.PeerTimeout / 2)
	var actions []Action
	for _, i := range s.opts.Rand.Perm(len(s.peers)) {
		peer := s.peers[i]
		if need == 0 {
			break
		}
		if u.peers[peer] || u.asked[peer] {
			continue
		}
		u.asked[peer] = true
		need--
		actions = append(actions, s.askPeer(peer, 0))
	}
	if len(actions) == 0 {
		clear(u.asked)
	}
	return actions
}
