package forward

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/share"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

type noCodec struct{}

func (noCodec) AppendCall(buf []byte, _ *upstream.Call) []byte { return buf }
func (noCodec) AppendAttempt(buf []byte, _ time.Duration, _ string) []byte {
	return buf
}

func (noCodec) DecodeResponse(http.Header, int) upstream.Response { return upstream.Response{} }

// newUnservedEngine returns an Engine for a route with 20 shards, of which only the
// given number have a target, and the number of connections that it opens.
func newUnservedEngine(t *testing.T, served int) (*Engine, *catalog.Route, chan struct{}) {
	t.Helper()
	dials := make(chan struct{}, 100)
	pool := upstream.New(upstream.Options{
		Codec: noCodec{}, DialTimeout: time.Second,
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	route := &catalog.Route{Name: "r", Host: "a", Prefix: "/", Idempotent: true, TopK: 1, MinShardFraction: 0.75, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2}
	config := &catalog.Config{Version: 1, Routes: []*catalog.Route{route}}
	items := []catalog.Item{{Kind: catalog.KindConfig, Revision: 1, Config: config}}
	for i := range 20 {
		name := fmt.Sprint("s", i)
		route.Shards = append(route.Shards, name)
		config.Services = append(config.Services, &catalog.Service{Name: name, MaxConnections: 25})
		if i < served {
			items = append(items, catalog.Item{Kind: catalog.KindTarget, Name: "t" + name, Revision: 2, Target: &catalog.Target{
				ID: "t" + name, Service: name, Address: "127.0.0.1:1", Slots: 2,
			}})
		}
	}
	state := catalog.NewState(catalog.StateOptions{})
	state.Apply(time.Now(), items)
	pool.SetFleet(share.Fleet{Self: "a", Members: []string{"a"}})
	pool.Update(state.View())
	e := New(Options{Pool: pool, Logger: slog.New(slog.DiscardHandler), Budget: RetryBudget{Ratio: 0.2, Slack: 10}, Hedge: hedge.Options{InitialDelay: 60 * time.Millisecond}})
	return e, route, dials
}

// Pattern: all processes start again while the store is back but most targets have not
// registered again. A request whose shards cannot reach the least coverage must be
// refused at once, with no work at the targets that are there.
func TestRequestWithoutEnoughTargetsIsRefusedAtOnce(t *testing.T) {
	e, route, dials := newUnservedEngine(t, 14)
	var waits []time.Duration
	for i := range 20 {
		now := time.Now()
		resp := e.Do(context.Background(), &Request{
			Call: &upstream.Call{ID: fmt.Sprint("id", i), Deadline: now.Add(1500 * time.Millisecond)}, Route: route, ReceivedAt: now,
		})
		if resp.Status != http.StatusServiceUnavailable || resp.Reason != ReasonUnserved || resp.RetryAfter <= 0 {
			t.Fatalf("response %+v, want 503 with Retry-After", resp)
		}
		if took := time.Since(now); took > 20*time.Millisecond {
			t.Fatalf("refused after %v, want at once: the objective is 100ms", took)
		}
		waits = append(waits, resp.RetryAfter)
	}
	if len(dials) > 0 {
		t.Errorf("%d connections were opened for requests that cannot succeed", len(dials))
	}
	distinct := map[time.Duration]bool{}
	for _, w := range waits {
		distinct[w] = true
	}
	if len(distinct) < len(waits)/2 {
		t.Errorf("%d requests were told %d different times to return, want them spread", len(waits), len(distinct))
	}
}

// With enough shards the request is sent, although some shards have no target.
func TestRequestWithEnoughTargetsIsSent(t *testing.T) {
	e, route, dials := newUnservedEngine(t, 15)
	now := time.Now()
	e.Do(context.Background(), &Request{
		Call: &upstream.Call{ID: "id", Deadline: now.Add(300 * time.Millisecond)}, Route: route, ReceivedAt: now,
	})
	if len(dials) < 15 {
		t.Errorf("%d connections were opened, want one for each of the 15 shards with a target", len(dials))
	}
}

// A configuration may allow any number of targets for a request.
func TestAbsurdMaxAttemptsIsBounded(t *testing.T) {
	e, route, _ := newUnservedEngine(t, 20)
	route.MaxAttempts = 1 << 60
	now := time.Now()
	e.Do(context.Background(), &Request{
		Call: &upstream.Call{ID: "id", Deadline: now.Add(100 * time.Millisecond)}, Route: route, ReceivedAt: now,
	})
}
