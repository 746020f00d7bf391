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

// deadStore fails each call.
type deadStore struct{}

func (deadStore) List(context.Context, bool) (Batch, error) {
	return Batch{}, errors.New("the store is down")
}

func (deadStore) Watch(context.Context, uint64, time.Duration) (Batch, error) {
	return Batch{}, errors.New("the store is down")
}

// silentPeers never answer.
type silentPeers struct{}

func (silentPeers) RequestFeed(ctx context.Context, _ string, _ wire.FeedRequest) (wire.FeedResponse, error) {
	<-ctx.Done()
	return wire.FeedResponse{}, ctx.Err()
}

// A process that reads the store and asks a peer in its place, which may be cut
// off as well, is back at the store soon.
func TestSilentPeerInPlaceOfTheStoreIsLeftSoon(t *testing.T) {
	route := NewSelector(Process{Name: "a", DataCentre: "dc1"}, 3*time.Second, rand.New(rand.NewPCG(1, 1)))
	s := NewMultiSource(deadStore{}, silentPeers{}, route, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.SetPeers([]Process{{Name: "b", DataCentre: "dc2", Rank: 1}})
	ctx := context.Background()
	if _, err := s.Watch(ctx, 1, 2*time.Second); err == nil {
		t.Fatal("the store answered")
	}
	if s.PeerRequests() != 0 {
		t.Fatal("a peer was asked before the store had failed")
	}
	begun := time.Now()
	if _, err := s.Watch(ctx, 1, 2*time.Second); err == nil || s.PeerRequests() != 1 {
		t.Fatalf("error %v and %d asks, want that a peer was asked and did not answer", err, s.PeerRequests())
	}
	if took := time.Since(begun); took > time.Second {
		t.Fatalf("the silent peer held the process for %v", took)
	}
}
