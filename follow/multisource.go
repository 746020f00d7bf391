package follow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// FeedClient requests from peers what they have read from the store.
type FeedClient interface {
	RequestFeed(ctx context.Context, peer string, request wire.FeedRequest) (wire.FeedResponse, error)
}

// Time limits of requests to peers.
const (
	// peerWait is the maximum time that a peer may wait for changes. Repeating a
	// request is cheap, and an unresponsive peer is noticed after this time.
	peerWait = 1500 * time.Millisecond
	// peerSlack is the additional time allowed for the response.
	peerSlack = 700 * time.Millisecond
	// fallbackWait and fallbackSlack replace them in a process that reads from a
	// peer only because the store has failed: the peer may be unreachable or
	// stopping, and the store may recover at any moment.
	fallbackWait  = 200 * time.Millisecond
	fallbackSlack = 300 * time.Millisecond
)

// MultiSource is a Source that reads from the store or from a peer, as its Selector
// decides.
type MultiSource struct {
	store  Source
	client FeedClient
	logger *slog.Logger

	mu           sync.Mutex
	selector     *Selector
	eras         Eras
	last         string // source of the last read
	peerRequests int64
}

// NewMultiSource returns a MultiSource that reads from the store until it has
// peers.
func NewMultiSource(store Source, client FeedClient, selector *Selector, logger *slog.Logger) *MultiSource {
	return &MultiSource{store: store, client: client, selector: selector, logger: logger, last: "the store"}
}

// SetPeers sets the other processes that are alive.
func (s *MultiSource) SetPeers(peers []Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.SetPeers(peers)
}

// PeerRequests returns the number of requests to peers.
func (s *MultiSource) PeerRequests() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerRequests
}

// next returns the peer to read from, or "" for the store, and logs each change
// between the store and peers. Fallback is true if a peer is used only because the
// store has failed.
func (s *MultiSource) next() (peer string, fallback bool) {
	s.mu.Lock()
	peer = s.selector.Next(time.Now())
	fallback = peer != "" && s.selector.readsStore()
	name, previous := peer, s.last
	if peer == "" {
		name = "the store"
	} else {
		s.peerRequests++
	}
	s.last = name
	s.mu.Unlock()
	if (name == "the store") != (previous == "the store") {
		s.logger.Info("source of published state changed", "from", name, "before", previous)
	}
	return peer, fallback
}

func (s *MultiSource) failed(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.Failed(time.Now(), peer)
}

// List reads all items from the store or from a peer.
func (s *MultiSource) List(ctx context.Context, stale bool) (Batch, error) {
	peer, fallback := s.next()
	var b Batch
	var err error
	if peer == "" {
		b, err = s.store.List(ctx, stale)
		b.Stale = stale
		setSchema(b.Items)
	} else {
		b, err = s.request(ctx, peer, wire.FeedRequest{List: true}, 0, fallback)
	}
	if err == nil {
		err = s.checkEra(b.Era, peer, func(now time.Time) error { return s.eras.CheckList(now, b.Era, peer == "", stale) })
	}
	if err != nil {
		s.failed(peer)
	}
	return b, err
}

// Era returns the current era of the store; zero if it is not known.
func (s *MultiSource) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	era, _ := s.eras.Current()
	return era
}

// checkEra applies a check of Eras to an answer and logs one that is not of the current
// era.
func (s *MultiSource) checkEra(era uint64, peer string, check func(now time.Time) error) error {
	s.mu.Lock()
	before, known := s.eras.Current()
	err := check(time.Now())
	s.mu.Unlock()
	from := peer
	if from == "" {
		from = "the store"
	}
	switch {
	case errors.Is(err, ErrFormerEra):
		s.logger.Warn("answer of a former era of the store ignored", "era", era, "current", before, "from", from)
	case known && era != before:
		s.logger.Warn("store restored from a copy", "era", era, "before", before, "from", from)
	}
	return err
}

// Watch waits for changes from the store or from a peer.
func (s *MultiSource) Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error) {
	peer, fallback := s.next()
	var b Batch
	var err error
	if peer == "" {
		b, err = s.store.Watch(ctx, after, wait)
		setSchema(b.Items)
	} else {
		b, err = s.request(ctx, peer, wire.FeedRequest{Era: s.Era(), After: after}, wait, fallback)
	}
	if err == nil {
		err = s.checkEra(b.Era, peer, func(now time.Time) error { return s.eras.CheckWatch(now, b.Era, peer == "") })
	}
	if err != nil && !needsListing(err) {
		s.failed(peer)
	}
	if err != nil {
		return Batch{}, err
	}
	return b, nil
}

// setSchema marks configurations that this build has read from the store.
func setSchema(items []catalog.Item) {
	for i := range items {
		if c := items[i].Config; c != nil {
			c.Schema = catalog.ConfigSchema
		}
	}
}

// request sends a request to a peer, which may wait for changes for at most wait,
// and decodes the response.
func (s *MultiSource) request(ctx context.Context, peer string, request wire.FeedRequest, wait time.Duration, fallback bool) (Batch, error) {
	maxWait, slack := peerWait, peerSlack
	if fallback {
		maxWait, slack = fallbackWait, fallbackSlack
	}
	wait = min(wait, maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	request.WaitMillis = uint32(wait.Milliseconds())
	response, err := s.client.RequestFeed(ctx, peer, request)
	if err != nil {
		return Batch{}, errors.Annotatef(err, "request to peer %s", peer)
	}
	age := time.Duration(response.AgeMillis) * time.Millisecond
	if age > MaxPeerAge {
		return Batch{}, errors.Errorf("data of peer %s is %v old, want at most %v", peer, age, MaxPeerAge)
	}
	b, err := decodeBatch(&response)
	b.Age = age
	return b, err
}
