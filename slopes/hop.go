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

// Parameters of the measurement of a hop, which is one exchange of frames between
// a gateway and a relay.
const (
	maxExchanges        = 1500 // for the smallest frame; larger frames get fewer
	exchangesInProgress = 4
	exchangeTimeout     = 20 * time.Second
)

// subRequestCounts are the numbers of sub-requests per frame.
var subRequestCounts = []int{1, 20, 100, 920}

// recordCounts are the numbers of records per sub-response.
var recordCounts = []int{0, 5, 20}

// echoHandler is a link handler that responds to each batch with one frame of
// sub-responses. It sends the number of sub-responses of each frame that it
// receives to responses, and each link that opens to established.
type echoHandler struct {
	records     []wire.Record
	established chan *link.Link
	responses   chan int
}

func newEchoHandler(records int) *echoHandler {
	e := &echoHandler{established: make(chan *link.Link, 1024), responses: make(chan int, exchangesInProgress)}
	for i := range records {
		e.records = append(e.records, wire.Record{
			Key: fmt.Sprintf("entry-%05d", i), Score: 0.75,
			Fields: wire.RawJSON(`{"title":"owl at dusk","category":"nature"}`),
		})
	}
	return e
}

func (e *echoHandler) Up(l *link.Link)                { e.established <- l }
func (e *echoHandler) Down(*link.Link, error)         {}
func (e *echoHandler) Dropped(*link.Link, wire.Batch) {}

func (e *echoHandler) Frame(l *link.Link, f *wire.Frame) {
	if len(f.SubResponses) > 0 {
		e.responses <- len(f.SubResponses)
	}
	for i := range f.Batches {
		_ = l.Send(&wire.Frame{SubResponses: e.respond(&f.Batches[i])})
	}
}

func (e *echoHandler) respond(b *wire.Batch) []wire.SubResponse {
	responses := make([]wire.SubResponse, len(b.SubRequests))
	for i, s := range b.SubRequests {
		responses[i] = wire.SubResponse{
			ID: s.ID, QueryID: b.QueryID, Version: b.Version, Shard: s.Shard, Target: s.Target,
			Code: code.OK, Run: code.Ran, Records: e.records, Matched: uint32(len(e.records)), ServiceMicros: 2000,
		}
	}
	return responses
}

// discardLogger is the logger of the measured components.
var discardLogger = slog.New(slog.DiscardHandler)

// linkPair is a gateway's and a relay's link pool inside this process, with a
// link between them.
type linkPair struct {
	gateway, relay *link.Pool
	server         *httptest.Server
	echo           *echoHandler
	link           *link.Link
}

func newLinkPair(records int) (*linkPair, error) {
	p := &linkPair{echo: newEchoHandler(records)}
	p.relay = link.NewPool(link.Options{
		Self: wire.Process{VM: "vm1", Role: wire.RoleRelay, Incarnation: 1}, Handler: newEchoHandler(records), Logger: discardLogger,
	})
	p.server = httptest.NewServer(p.relay)
	p.gateway = link.NewPool(link.Options{
		Self: wire.Process{VM: "vm2", Role: wire.RoleGateway, Incarnation: 1}, Handler: p.echo, Logger: discardLogger,
	})
	address := strings.TrimPrefix(p.server.URL, "http://")
	p.gateway.SetPeers(map[string]link.Peer{"vm1/relay": {Address: address, Persistent: true}})
	select {
	case p.link = <-p.echo.established:
		return p, nil
	case <-time.After(exchangeTimeout):
		p.close()
		return nil, errors.Timeoutf("link setup")
	}
}

func (p *linkPair) close() {
	p.gateway.Close()
	p.relay.Close()
	p.server.Close()
}

// exchange sends n batches of subs sub-requests each and waits for all
// sub-responses. At most exchangesInProgress batches are in progress at a time.
func (p *linkPair) exchange(n, subs int) error {
	batch := wire.Batch{QueryID: 1, Search: "judges", Version: "v1", Payload: bytes.Repeat([]byte("x"), 60)}
	for i := range subs {
		batch.SubRequests = append(batch.SubRequests, wire.SubRequest{
			ID: 1<<20 | uint64(i), Shard: fmt.Sprintf("s%03d", i), Target: fmt.Sprintf("judges-%03d-a", i),
		})
	}
	pending := 0 // sub-requests
	for n > 0 || pending > 0 {
		for ; n > 0 && pending < exchangesInProgress*subs; n-- {
			b := batch
			b.Deadline = time.Now().Add(exchangeTimeout)
			if err := p.link.Send(&wire.Frame{Batches: []wire.Batch{b}}); err != nil {
				return errors.Trace(err)
			}
			pending += subs
		}
		select {
		case received := <-p.echo.responses:
			pending -= received
		case <-time.After(exchangeTimeout):
			return errors.Timeoutf("wait for sub-responses")
		}
	}
	return nil
}

// measureHops measures the CPU time of exchanges between a gateway and a relay,
// both ends together. An exchange is a frame with sub-requests and the frame with
// their sub-responses.
func measureHops() ([]measurement, error) {
	var measurements []measurement
	for _, records := range recordCounts {
		var points []point
		for _, subs := range subRequestCounts {
			cost, err := exchangeTime(records, subs)
			if err != nil {
				return nil, err
			}
			points = append(points, point{float64(subs), cost})
		}
		name := fmt.Sprintf("hop, both ends, replies of %d records", records)
		measurements = append(measurements, newMeasurement(name, "us of processor", "sub-request in a frame", points))
	}
	return measurements, nil
}

// exchangeTime returns the mean CPU time of one exchange in microseconds.
func exchangeTime(records, subs int) (float64, error) {
	p, err := newLinkPair(records)
	if err != nil {
		return 0, err
	}
	defer p.close()
	n := max(20, maxExchanges/(1+subs/20))
	if err := p.exchange(n/5, subs); err != nil { // warms up
		return 0, err
	}
	before := selfCPUTime()
	if err := p.exchange(n, subs); err != nil {
		return 0, err
	}
	return float64((selfCPUTime() - before).Microseconds()) / float64(n), nil
}
