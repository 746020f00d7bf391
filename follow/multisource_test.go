package follow

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// failingStore fails each call.
type failingStore struct{}

func (failingStore) List(context.Context, bool) (Batch, error) {
	return Batch{}, errors.New("the store is down")
}

func (failingStore) Watch(context.Context, uint64, time.Duration) (Batch, error) {
	return Batch{}, errors.New("the store is down")
}

// unresponsivePeers never respond.
type unresponsivePeers struct{}

func (unresponsivePeers) RequestFeed(ctx context.Context, _ string, _ wire.FeedRequest) (wire.FeedResponse, error) {
	<-ctx.Done()
	return wire.FeedResponse{}, ctx.Err()
}

// A process that reads from a peer because the store has failed must soon return to
// the store, since the peer may be unreachable as well.
func TestUnresponsivePeerIsAbandonedSoon(t *testing.T) {
	selector := NewSelector(Process{Name: "a", DataCentre: "dc1"}, 3*time.Second, rand.New(rand.NewPCG(1, 1)))
	s := NewMultiSource(failingStore{}, unresponsivePeers{}, selector, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.SetPeers([]Process{{Name: "b", DataCentre: "dc2", Rank: 1}})
	ctx := context.Background()
	if _, err := s.Watch(ctx, 1, 2*time.Second); err == nil {
		t.Fatal("the store responded, want an error")
	}
	if s.PeerRequests() != 0 {
		t.Fatal("a request was sent to a peer before the store had failed")
	}
	started := time.Now()
	if _, err := s.Watch(ctx, 1, 2*time.Second); err == nil || s.PeerRequests() != 1 {
		t.Fatalf("error %v and %d requests to peers, want an error after one request", err, s.PeerRequests())
	}
	if took := time.Since(started); took > time.Second {
		t.Fatalf("the request to the unresponsive peer took %v, want at most 1s", took)
	}
}
