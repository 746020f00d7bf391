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

func start(t *testing.T, vm string, feed func(context.Context, wire.FeedRequest) (wire.FeedResponse, error)) (*Mesh, string) {
	t.Helper()
	m := New(Options{
		Self:   wire.Process{VM: vm, Role: wire.RoleEntry, DataCentre: "dc1", Incarnation: 1},
		Logger: slog.New(slog.DiscardHandler), ServeFeed: feed, CheckInterval: 20 * time.Millisecond,
	})
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	t.Cleanup(m.Close)
	return m, strings.TrimPrefix(server.URL, "http://")
}

func TestAskIsAnsweredOverALink(t *testing.T) {
	a, _ := start(t, "front-a", nil)
	_, address := start(t, "front-b", func(_ context.Context, ask wire.FeedRequest) (wire.FeedResponse, error) {
		return wire.FeedResponse{Revision: ask.After + 1}, nil
	})
	a.SetPeers(map[string]string{"front-b": address})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for after := range uint64(3) {
		got, err := a.RequestFeed(ctx, "front-b", wire.FeedRequest{After: after})
		if err != nil || got.Revision != after+1 {
			t.Fatalf("answer %+v, error %v", got, err)
		}
	}
	if a.LinkCount() != 1 {
		t.Fatalf("%d links, want one that is used again", a.LinkCount())
	}
}

func TestAskEndsWhenThePeerIsLost(t *testing.T) {
	a, _ := start(t, "front-a", nil)
	asked := make(chan struct{})
	b, address := start(t, "front-b", func(ctx context.Context, _ wire.FeedRequest) (wire.FeedResponse, error) {
		close(asked)
		<-ctx.Done()
		return wire.FeedResponse{}, ctx.Err()
	})
	a.SetPeers(map[string]string{"front-b": address})
	go func() {
		<-asked
		b.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	begun := time.Now()
	if _, err := a.RequestFeed(ctx, "front-b", wire.FeedRequest{}); !errors.Is(err, ErrLinkLost) {
		t.Fatalf("error %v after %v, want that the link was lost", err, time.Since(begun))
	}
}

func TestUnknownPeerIsToldAtOnce(t *testing.T) {
	a, _ := start(t, "front-a", nil)
	if _, err := a.RequestFeed(context.Background(), "front-z", wire.FeedRequest{}); err == nil {
		t.Fatal("an unknown peer was asked")
	}
}
