package forward

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/reach"
	"github.com/goldcrestmux/goldcrestmux/share"
	"github.com/goldcrestmux/goldcrestmux/upstream"
)

// lostPath is a pool of which the targets accept connections, but never respond, until lose
// makes them refuse connections.
type lostPath struct {
	*upstream.Pool
	refuses, hangs atomic.Bool
}

func newLostPath(t *testing.T) *lostPath {
	p := &lostPath{}
	p.Pool = upstream.New(upstream.Options{Codec: pathCodec{}, DialTimeout: 5 * time.Second, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		switch {
		case p.refuses.Load():
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		case p.hangs.Load():
			<-ctx.Done()
			return nil, ctx.Err()
		}
		ours, theirs := net.Pipe()
		go io.Copy(io.Discard, theirs)
		return ours, nil
	}})
	t.Cleanup(p.Close)
	config := &catalog.Config{Version: 1}
	items := []catalog.Item{{Kind: catalog.KindConfig, Revision: 1, Config: config}}
	for i := range 6 {
		service := fmt.Sprint("s", i/2)
		config.Services = append(config.Services, &catalog.Service{Name: service, MaxConnections: 25})
		id := fmt.Sprint("t", i)
		items = append(items, catalog.Item{Kind: catalog.KindTarget, Name: id, Revision: 2, Target: &catalog.Target{ID: id, Service: service, Address: "127.0.0.1:1", Slots: 2}})
	}
	state := catalog.NewState(catalog.StateOptions{})
	state.Apply(time.Now(), items)
	p.SetFleet(share.Fleet{Self: "a", Members: []string{"a"}})
	p.Update(state.View())
	return p
}

// pathCodec encodes requests as one byte.
type pathCodec struct{ noCodec }

func (pathCodec) AppendCall(buf []byte, _ *upstream.Call) []byte { return append(buf, 'x') }

// lose waits until the pool knows that no target can be reached.
func (p *lostPath) lose(t *testing.T) {
	results := make(chan *upstream.Result, 64)
	p.hangs.Store(false)
	before := p.Stats().Busy
	silent := &upstream.Call{ID: "silent", Deadline: time.Now().Add(time.Minute)}
	p.Prepare(silent)
	p.Start(silent, 0, upstream.AttemptOptions{Service: "s2", Profile: balance.Profile{OverdueAfter: time.Millisecond}, Deadline: silent.Deadline}, results)
	for p.Stats().Busy == before {
		time.Sleep(time.Millisecond)
	}
	p.refuses.Store(true)
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if mode, _, _ := p.CheckPath(time.Now()); mode == reach.Cut {
			return
		}
		for i := range 3 {
			call := &upstream.Call{ID: "other", Deadline: time.Now().Add(time.Second)}
			p.Prepare(call)
			p.Start(call, 0, upstream.AttemptOptions{Service: fmt.Sprint("s", i), Deadline: call.Deadline}, results)
		}
		for len(results) > 0 {
			<-results
		}
	}
	t.Error("the pool does not notice that no target can be reached")
}

// Guards against requests in progress waiting for targets that cannot be reached any more, and
// against a peer sending them to more targets than their route allows, or their callers being
// told that they have not run.
func TestRequestInProgressIsGivenUpWhenPathIsLost(t *testing.T) {
	for name, c := range map[string]struct {
		route  catalog.Route
		hangs  bool // no connection can be opened from the start
		status int
		detour *Detour
	}{
		"safe, sent to one target": {
			catalog.Route{Split: []catalog.WeightedService{{Service: "s0", Weight: 1}}, Idempotent: true, MaxAttempts: 3},
			false,
			http.StatusBadGateway, &Detour{PathLost: true, Repeat: true, MaxTargets: 2},
		},
		"safe, sent to all that may run it": {
			catalog.Route{Split: []catalog.WeightedService{{Service: "s0", Weight: 1}}, Idempotent: true, MaxAttempts: 1},
			false,
			http.StatusBadGateway, nil,
		},
		"sharded": {
			catalog.Route{Shards: []string{"s0", "s1"}, MinShardFraction: 1, MaxAttempts: 2},
			false,
			http.StatusBadGateway, &Detour{PathLost: true, Repeat: true, MaxTargets: 1},
		},
		"safe, not sent": {
			catalog.Route{Split: []catalog.WeightedService{{Service: "s0", Weight: 1}}, Idempotent: true, MaxAttempts: 2},
			true,
			http.StatusServiceUnavailable, &Detour{PathLost: true, MaxTargets: 2},
		},
		"must not run twice": {
			catalog.Route{Split: []catalog.WeightedService{{Service: "s0", Weight: 1}}, MaxAttempts: 2},
			false,
			http.StatusGatewayTimeout, nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool := newLostPath(t)
			pool.hangs.Store(c.hangs)
			// Hedges are as late as the deadline, so that the number of targets is known.
			e := New(Options{Pool: pool.Pool, Logger: slog.New(slog.DiscardHandler), Budget: RetryBudget{Ratio: 0.2}, Hedge: hedge.Options{InitialDelay: 3 * time.Second, MinDelay: 3 * time.Second}, SingleHedge: hedge.Options{InitialDelay: 3 * time.Second, MinDelay: 3 * time.Second}})
			route := c.route
			route.Name, route.LatencyObjective = "r", 8*time.Second
			now := time.Now()
			response := make(chan Response, 1)
			go func() {
				response <- e.Do(context.Background(), &Request{Call: &upstream.Call{ID: "id", Deadline: now.Add(3 * time.Second)}, Route: &route, ReceivedAt: now})
			}()
			time.Sleep(100 * time.Millisecond)
			pool.lose(t)
			resp := <-response
			if resp.Status != c.status {
				t.Errorf("status %d (%s), want %d", resp.Status, resp.Reason, c.status)
			}
			switch {
			case c.detour == nil && resp.Detour != nil:
				t.Errorf("a peer may serve it: %+v", resp.Detour)
			case c.detour != nil && (resp.Detour == nil || *resp.Detour != *c.detour):
				t.Errorf("detour %+v, want %+v", resp.Detour, c.detour)
			}
			if took := time.Since(now); c.detour != nil && took > 2*time.Second {
				t.Errorf("given up after %v, its deadline is 3s", took)
			}
		})
	}
}
