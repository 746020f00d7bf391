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

func start(t *testing.T, vm string, feed func(context.Context, wire.FeedAsk) (wire.FeedAnswer, error)) (*Mesh, string) {
	t.Helper()
	m := New(Options{
		Self:   wire.Process{VM: vm, Role: wire.RoleEntry, DataCentre: "dc1", Incarnation: 1},
		Logger: slog.New(slog.DiscardHandler), Feed: feed, CheckInterval: 20 * time.Millisecond,
	})
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	t.Cleanup(m.Close)
	return m, strings.TrimPrefix(server.URL, "http://")
}

func TestAskIsAnsweredOverALink(t *testing.T) {
	a, _ := start(t, "front-a", nil)
	_, address := start(t, "front-b", func(_ context.Context, ask wire.FeedAsk) (wire.FeedAnswer, error) {
		return wire.FeedAnswer{Revision: ask.After + 1}, nil
	})
	a.SetPeers(map[string]string{"front-b": address})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for after := range uint64(3) {
		got, err := a.AskFeed(ctx, "front-b", wire.FeedAsk{After: after})
		if err != nil || got.Revision != after+1 {
			t.Fatalf("answer %+v, error %v", got, err)
		}
	}
	if a.Links() != 1 {
		t.Fatalf("%d links, want one that is used again", a.Links())
	}
}

func TestAskEndsWhenThePeerIsLost(t *testing.T) {
	a, _ := start(t, "front-a", nil)
	asked := make(chan struct{})
	b, address := start(t, "front-b", func(ctx context.Context, _ wire.FeedAsk) (wire.FeedAnswer, error) {
		close(asked)
		<-ctx.Done()
		return wire.FeedAnswer{}, ctx.Err()
	})
	a.SetPeers(map[string]string{"front-b": address})
	go func() {
		<-asked
		b.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	begun := time.Now()
	if _, err := a.AskFeed(ctx, "front-b", wire.FeedAsk{}); !errors.Is(err, ErrLinkLost) {
		t.Fatalf("error %v after %v, want that the link was lost", err, time.Since(begun))
	}
}

func TestUnknownPeerIsToldAtOnce(t *testing.T) {
	a, _ := start(t, "front-a", nil)
	if _, err := a.AskFeed(context.Background(), "front-z", wire.FeedAsk{}); err == nil {
		t.Fatal("an unknown peer was asked")
	}
}
