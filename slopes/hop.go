package main

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Sizes of the measurement of a hop.
const (
	hopExchanges   = 1500 // exchanges of the smallest frame
	hopOutstanding = 4    // exchanges in progress
	hopTimeout     = 20 * time.Second
)

// frameSizes are the numbers of sub-requests in one frame.
var frameSizes = []int{1, 20, 100, 920}

// recordCounts are the numbers of records in one reply.
var recordCounts = []int{0, 5, 20}

// echo answers each batch with one frame of replies, or counts replies.
type echo struct {
	records []wire.Record
	up      chan *link.Link
	replies chan int
}

func newEcho(records int) *echo {
	e := &echo{up: make(chan *link.Link, 1024), replies: make(chan int, hopOutstanding)}
	for i := range records {
		e.records = append(e.records, wire.Record{
			Key: fmt.Sprintf("entry-%05d", i), Score: 0.75,
			Fields: wire.RawJSON(`{"title":"owl at dusk","category":"nature"}`),
		})
	}
	return e
}

func (e *echo) Up(l *link.Link)                { e.up <- l }
func (e *echo) Down(*link.Link, error)         {}
func (e *echo) Dropped(*link.Link, wire.Batch) {}

func (e *echo) Frame(l *link.Link, f *wire.Frame) {
	if len(f.SubResponses) > 0 {
		e.replies <- len(f.SubResponses)
	}
	for i := range f.Batches {
		_ = l.Send(&wire.Frame{SubResponses: e.answer(&f.Batches[i])})
	}
}

func (e *echo) answer(b *wire.Batch) []wire.SubResponse {
	replies := make([]wire.SubResponse, len(b.SubRequests))
	for i, s := range b.SubRequests {
		replies[i] = wire.SubResponse{
			ID: s.ID, QueryID: b.QueryID, Version: b.Version, Shard: s.Shard, Target: s.Target,
			Code: code.OK, Run: code.Ran, Records: e.records, Matched: uint32(len(e.records)), ServiceMicros: 2000,
		}
	}
	return replies
}

// quiet discards the logs of the measured parts.
var quiet = slog.New(slog.DiscardHandler)

// linked is a pair of processes with a link, both inside this process.
type linked struct {
	gateway, relay *link.Pool
	server         *httptest.Server
	echo           *echo
	link           *link.Link
}

func newLinked(records int) (*linked, error) {
	p := &linked{echo: newEcho(records)}
	p.relay = link.NewPool(link.Options{
		Self: wire.Process{VM: "vm1", Role: wire.RoleRelay, Incarnation: 1}, Handler: newEcho(records), Logger: quiet,
	})
	p.server = httptest.NewServer(p.relay)
	p.gateway = link.NewPool(link.Options{
		Self: wire.Process{VM: "vm2", Role: wire.RoleGateway, Incarnation: 1}, Handler: p.echo, Logger: quiet,
	})
	address := strings.TrimPrefix(p.server.URL, "http://")
	p.gateway.SetPeers(map[string]link.Peer{"vm1/relay": {Address: address, Persistent: true}})
	select {
	case p.link = <-p.echo.up:
		return p, nil
	case <-time.After(hopTimeout):
		p.close()
		return nil, errors.Timeoutf("link")
	}
}

func (p *linked) close() {
	p.gateway.Close()
	p.relay.Close()
	p.server.Close()
}

// exchange sends n batches of the given number of sub-requests and awaits all
// replies, a few batches at a time.
func (p *linked) exchange(n, subs int) error {
	batch := wire.Batch{QueryID: 1, Search: "judges", Version: "v1", Payload: bytes.Repeat([]byte("x"), 60)}
	for i := range subs {
		batch.SubRequests = append(batch.SubRequests, wire.SubRequest{
			ID: 1<<20 | uint64(i), Shard: fmt.Sprintf("s%03d", i), Target: fmt.Sprintf("judges-%03d-a", i),
		})
	}
	waiting := 0
	for n > 0 || waiting > 0 {
		for ; n > 0 && waiting < hopOutstanding*subs; n-- {
			b := batch
			b.Deadline = time.Now().Add(hopTimeout)
			if err := p.link.Send(&wire.Frame{Batches: []wire.Batch{b}}); err != nil {
				return errors.Trace(err)
			}
			waiting += subs
		}
		select {
		case answered := <-p.echo.replies:
			waiting -= answered
		case <-time.After(hopTimeout):
			return errors.Timeoutf("replies")
		}
	}
	return nil
}

// measureHops takes the processor time of exchanges between a gateway and a
// relay, both ends together: a frame with sub-requests and the replies to it.
func measureHops() ([]slope, error) {
	var slopes []slope
	for _, records := range recordCounts {
		var points []point
		for _, subs := range frameSizes {
			cost, err := exchangeTime(records, subs)
			if err != nil {
				return nil, err
			}
			points = append(points, point{float64(subs), cost})
		}
		name := fmt.Sprintf("hop, both ends, replies of %d records", records)
		slopes = append(slopes, newSlope(name, "us of processor", "sub-request in a frame", points))
	}
	return slopes, nil
}

// exchangeTime returns the processor time of one exchange in microseconds.
func exchangeTime(records, subs int) (float64, error) {
	p, err := newLinked(records)
	if err != nil {
		return 0, err
	}
	defer p.close()
	n := max(20, hopExchanges/(1+subs/20))
	if err := p.exchange(n/5, subs); err != nil { // warms up
		return 0, err
	}
	before := ownTime()
	if err := p.exchange(n, subs); err != nil {
		return 0, err
	}
	return float64((ownTime() - before).Microseconds()) / float64(n), nil
}
