package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/balance"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/reach"
	"github.com/goldcrestmux/goldcrestmux/share"
)

// newCutPool returns a pool of four services with a target each that has noticed that none
// can be reached, and a function that opens the path again.
func newCutPool(t *testing.T) (pool *Pool, reopen func()) {
	t.Helper()
	var refuses atomic.Bool
	pool = New(Options{Codec: byteCodec{}, DialTimeout: time.Second, Dial: func(context.Context, string, string) (net.Conn, error) {
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
