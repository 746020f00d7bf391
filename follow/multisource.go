package follow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// FeedClient asks a peer for what it read from the store.
type FeedClient interface {
	RequestFeed(ctx context.Context, peer string, ask wire.FeedRequest) (wire.FeedResponse, error)
}

// Timings of asking peers.
const (
	// peerWait is how long a peer may hold an ask: asking again costs little, and
	// a peer that is paused is noticed after it.
	peerWait = 1500 * time.Millisecond
	// peerSlack is how long its answer may take beyond.
	peerSlack = 700 * time.Millisecond
	// insteadWait and insteadSlack are the same for a process that reads the
	// store and asks a peer only since the store has failed: the peer may be cut
	// off or stopping, and the store back any moment.
	insteadWait  = 200 * time.Millisecond
	insteadSlack = 300 * time.Millisecond
)

// MultiSource is a Source that reads the store or asks a peer, as its Route decides.
type MultiSource struct {
	direct Source
	asker  FeedClient
	logger *slog.Logger

	mu    sync.Mutex
	route *Selector
	last  string
	asks  int64
}

// NewMultiSource returns a Switch.
func NewMultiSource(direct Source, asker FeedClient, route *Selector, logger *slog.Logger) *MultiSource {
	return &MultiSource{direct: direct, asker: asker, route: route, logger: logger, last: "the store"}
}

// SetPeers takes the other processes.
func (s *MultiSource) SetPeers(peers []Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.route.SetPeers(peers)
}

// PeerRequests returns the number of asks that went to peers.
func (s *MultiSource) PeerRequests() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asks
}

// next picks whom to ask, and tells when that changes. Instead is true if a peer
// is asked only since the store has failed.
func (s *MultiSource) next() (peer string, instead bool) {
	s.mu.Lock()
	peer = s.route.Next(time.Now())
	instead = peer != "" && s.route.reads()
	name, before := peer, s.last
	if peer == "" {
		name = "the store"
	} else {
		s.asks++
	}
	s.last = name
	s.mu.Unlock()
	if (name == "the store") != (before == "the store") {
		s.logger.Info("published state is read elsewhere", "from", name, "before", before)
	}
	return peer, instead
}

func (s *MultiSource) failed(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.route.Failed(time.Now(), peer)
}

// List reads all items from the store or a peer.
func (s *MultiSource) List(ctx context.Context, stale bool) (Batch, error) {
	peer, instead := s.next()
	var b Batch
	var err error
	if peer == "" {
		b, err = s.direct.List(ctx, stale)
	} else {
		b, err = s.ask(ctx, peer, wire.FeedRequest{List: true}, 0, instead)
	}
	if err != nil {
		s.failed(peer)
	}
	return b, err
}

// Watch waits for changes at the store or a peer.
func (s *MultiSource) Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error) {
	peer, instead := s.next()
	var b Batch
	var err error
	if peer == "" {
		b, err = s.direct.Watch(ctx, after, wait)
	} else {
		b, err = s.ask(ctx, peer, wire.FeedRequest{After: after}, wait, instead)
	}
	if err != nil && !errors.Is(err, ErrCompacted) {
		s.failed(peer)
	}
	return b, err
}

func (s *MultiSource) ask(ctx context.Context, peer string, ask wire.FeedRequest, wait time.Duration, instead bool) (Batch, error) {
	most, slack := peerWait, peerSlack
	if instead {
		most, slack = insteadWait, insteadSlack
	}
	wait = min(wait, most)
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	ask.WaitMillis = uint32(wait.Milliseconds())
	a, err := s.asker.RequestFeed(ctx, peer, ask)
	if err != nil {
		return Batch{}, errors.Annotatef(err, "ask %s", peer)
	}
	age := time.Duration(a.AgeMillis) * time.Millisecond
	if age > MaxPeerAge {
		return Batch{}, errors.Errorf("%s has not heard from the store for %v", peer, age)
	}
	b, err := open(&a)
	b.Age = age
	return b, err
}
