package upstream

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/reach"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// newCutPool returns a pool of four services with a target each that has noticed that none
// can be reached, and a function that opens the path again.
func newCutPool(t *testing.T) (pool *Pool, reopen func()) {
	t.Helper()
	var refuses atomic.Bool
	guard := quarantine.NewGuard(quarantine.Options{Self: "a", StartedAt: time.Now()}, slog.New(slog.DiscardHandler))
	pool = New(Options{Guard: guard, Codec: byteCodec{}, DialTimeout: time.Second, Dial: func(context.Context, string, string) (net.Conn, error) {
		if refuses.Load() {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		ours, theirs := net.Pipe()
		go io.Copy(io.Discard, theirs)
		return ours, nil
	}})
	t.Cleanup(pool.Close)
	config := &catalog.Config{Version: 1}
	items := []catalog.Item{{Kind: catalog.KindConfig, Revision: 1, Config: config}}
	for i := range 4 {
		name := fmt.Sprint("s", i)
		config.Services = append(config.Services, &catalog.Service{Name: name, MaxConnections: 25})
		items = append(items, catalog.Item{Kind: catalog.KindTarget, Name: "t" + name, Revision: 2, Target: &catalog.Target{ID: "t" + name, Service: name, Address: "127.0.0.1:1", Slots: 2}})
	}
	state := catalog.NewState(catalog.StateOptions{})
	state.Apply(time.Now(), items)
	pool.SetFleet(share.Fleet{Self: "a", Members: []string{"a"}})
	pool.Update(state.View())
	startAttempt(pool, 0)
	for pool.Stats().Busy == 0 {
		time.Sleep(time.Millisecond)
	}
	refuses.Store(true)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if mode, _, _ := pool.CheckPath(time.Now()); mode == reach.Cut {
			return pool, func() { refuses.Store(false) }
		}
		if time.Now().After(deadline) {
			t.Fatal("the cut is not noticed")
		}
		startAttempt(pool, 1)
		startAttempt(pool, 2)
	}
}

// startAttempt starts an attempt at a service.
func startAttempt(pool *Pool, service int) {
	call := &Call{ID: "id", Deadline: time.Now().Add(time.Minute)}
	pool.Prepare(call)
	pool.Start(call, 0, AttemptOptions{Service: fmt.Sprint("s", service), Profile: balance.Profile{OverdueAfter: time.Millisecond}, Deadline: call.Deadline}, make(chan *Result, 1))
}

// byteCodec encodes requests as one byte.
type byteCodec struct{ testCodec }

func (byteCodec) AppendCall(buf []byte, _ *Call) []byte { return append(buf, 'x') }

// Guards against requests being withdrawn from targets that can be reached again, because those
// who wait for the loss of the path are told of the former one.
func TestLossOfPathEndsWithTheNextConnection(t *testing.T) {
	pool, reopen := newCutPool(t)
	select {
	case <-pool.PathLost():
	default:
		t.Fatal("the loss of the path is not told")
	}
	reopen()
	startAttempt(pool, 3)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if mode, _ := pool.Path(); mode == reach.Open {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the return of the path is not noticed")
		}
	}
	select {
	case <-pool.PathLost():
		t.Error("the loss of the path is still told after a connection was opened")
	default:
	}
}

// Guards against ends of targets going unnoticed if all end at once, which looks like a lost
// path, and against targets being taken for ended because the path was lost.
func TestEndsDuringLossOfPathAreToldOnceTheStoreSaysSo(t *testing.T) {
	for name, replaced := range map[string]bool{"targets start again": true, "the path comes back": false} {
		t.Run(name, func(t *testing.T) {
			pool, reopen := newCutPool(t)
			now := time.Now()
			request := &quarantine.Request{Keys: quarantine.KeysOf("c", "GET", "h", "/x", nil), ID: "id", Caller: "c", Path: "/x", Service: "s1"}
			run := quarantine.Run{Target: "ts1", StartedAt: now.Add(-30 * time.Millisecond), EndedAt: now}
			pool.mu.Lock()
			pool.keepBroken(brokenRun{request: request, run: run})
			pool.mu.Unlock()
			pool.opts.Guard.Broke(now, request, run)
			pool.confirmEnd("ts1", 0, true)
			pool.CheckPath(time.Now())
			if ends := confirmedEnds(pool); ends != 0 {
				t.Fatalf("%d ends are told while no target can be reached", ends)
			}
			if replaced {
				state := catalog.NewState(catalog.StateOptions{})
				state.Apply(time.Now(), []catalog.Item{
					{Kind: catalog.KindConfig, Revision: 1, Config: &catalog.Config{Version: 1, Services: []*catalog.Service{{Name: "s1", MaxConnections: 25}}}},
					{Kind: catalog.KindTarget, Name: "ts1", Revision: 3, Target: &catalog.Target{ID: "ts1", Service: "s1", Address: "127.0.0.1:1", Slots: 2, Incarnation: 7}},
				})
				pool.Update(state.View())
			}
			reopen()
			for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
				if mode, _, _ := pool.CheckPath(time.Now()); mode == reach.Open {
					break
				}
			}
			pool.CheckPath(time.Now())
			want := 0
			if replaced {
				want = 1
			}
			if ends := confirmedEnds(pool); ends != want {
				t.Errorf("%d ends are told, want %d", ends, want)
			}
		})
	}
}

// confirmedEnds returns the number of ends that the guard of a pool tells others.
func confirmedEnds(pool *Pool) (n int) {
	for _, s := range pool.opts.Guard.States(time.Now()) {
		n += len(s.Ends)
	}
	return n
}
