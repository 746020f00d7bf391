package mesh

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// startMesh returns the Mesh of a process on the VM vm and the address of its server.
func startMesh(t *testing.T, vm string, serveFeed func(context.Context, wire.FeedRequest) (wire.FeedResponse, error)) (*Mesh, string) {
	t.Helper()
	m := New(Options{
		Self:   wire.Process{VM: vm, Role: wire.RoleEntry, DataCentre: "dc1", Incarnation: 1},
		Logger: slog.New(slog.DiscardHandler), ServeFeed: serveFeed, CheckInterval: 20 * time.Millisecond,
	})
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	t.Cleanup(m.Close)
	return m, strings.TrimPrefix(server.URL, "http://")
}

func TestRequestFeedReusesLink(t *testing.T) {
	a, _ := startMesh(t, "front-a", nil)
	_, address := startMesh(t, "front-b", func(_ context.Context, request wire.FeedRequest) (wire.FeedResponse, error) {
		return wire.FeedResponse{Revision: request.After + 1}, nil
	})
	a.SetPeers(map[string]string{"front-b": address}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for after := range uint64(3) {
		got, err := a.RequestFeed(ctx, "front-b", wire.FeedRequest{After: after})
		if err != nil || got.Revision != after+1 {
			t.Fatalf("response %+v, error %v, want revision %d", got, err, after+1)
		}
	}
	if a.LinkCount() != 1 {
		t.Fatalf("%d links after three requests, want 1", a.LinkCount())
	}
}

func TestRequestFeedFailsWhenLinkIsLost(t *testing.T) {
	a, _ := startMesh(t, "front-a", nil)
	received := make(chan struct{})
	b, address := startMesh(t, "front-b", func(ctx context.Context, _ wire.FeedRequest) (wire.FeedResponse, error) {
		close(received)
		<-ctx.Done()
		return wire.FeedResponse{}, ctx.Err()
	})
	a.SetPeers(map[string]string{"front-b": address}, nil)
	go func() {
		<-received
		b.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	started := time.Now()
	if _, err := a.RequestFeed(ctx, "front-b", wire.FeedRequest{}); !errors.Is(err, ErrLinkLost) {
		t.Fatalf("error %v after %v, want %v", err, time.Since(started), ErrLinkLost)
	}
}

func TestRequestFeedToUnknownPeerFails(t *testing.T) {
	a, _ := startMesh(t, "front-a", nil)
	if _, err := a.RequestFeed(context.Background(), "front-z", wire.FeedRequest{}); err == nil {
		t.Fatal("no error from a request to an unknown peer")
	}
}
