// Package link connects the system's own processes by WebSocket connections that
// carry CBOR frames in both directions.
//
// A link merges queued frames into one per write. It limits the bytes in its send
// queue, and the outstanding sub-requests to the credit that the peer granted in
// the handshake. It is closed if nothing is received from its peer within a
// timeout.
package link

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

// Bounds of a link.
const (
	// DefaultCredit is the number of sub-requests that a process accepts at
	// once from one peer.
	DefaultCredit = 4096
	// maxQueuedBytes is the size of the send queue at which further frames are
	// rejected.
	maxQueuedBytes = 16 << 20
	// maxMergedBytes is the size up to which queued frames are merged.
	maxMergedBytes = 256 << 10
	// writeTimeout bounds the time of one write to the connection.
	writeTimeout = 5 * time.Second
	// maxReusedBufferBytes is the size up to which a read buffer is reused.
	maxReusedBufferBytes = 256 << 10
)

// Handler receives the events of links. Its methods are called without a lock of
// this package held. Except for Dropped, they are called by one goroutine at a
// time for each link.
type Handler interface {
	// Up is called once when the link is ready to use.
	Up(*Link)
	// Frame is called for each received frame. The deadlines of its batches are
	// computed from the time of receipt.
	Frame(*Link, *wire.Frame)
	// Dropped is called with a batch that was never written because its deadline
	// passed or the link was closed first. Its work did not run.
	Dropped(*Link, wire.Batch)
	// Down is called once when the link is closed.
	Down(*Link, error)
}

// UnresponsiveObserver is implemented by a Handler that is to be notified of
// unresponsive links.
type UnresponsiveObserver interface {
	// Unresponsive is called with true when the peer of a link with outstanding
	// sub-requests has not responded to a ping for a while. It is called with false
	// when a frame has been received or no sub-request is outstanding any more.
	Unresponsive(l *Link, unresponsive bool)
}

// Link is one connection to a peer. Its methods are safe for concurrent use.
// Lock order: no other lock is acquired while Link.mu is held.
type Link struct {
	peer    wire.Process
	dialled bool
	// former is true if the peer is of a build that decodes texts in UTF-8 only.
	former bool
	conn   *websocket.Conn
	pool   *Pool
	tomb   tomb.Tomb
	wake   chan struct{}
	// writeTimer closes the connection if a write takes longer than writeTimeout.
	writeTimer *time.Timer

	mu           sync.Mutex
	queue        []*wire.Frame
	queuedBytes  int
	closed       bool
	credit       int
	outstanding  int
	liveness     *Liveness
	unresponsive bool
	lastUsed     time.Time
}

func newLink(p *Pool, conn *websocket.Conn, peer wire.Hello, dialled bool) *Link {
	now := time.Now()
	l := &Link{
		peer:     peer.Process,
		dialled:  dialled,
		former:   !peer.Bytes,
		conn:     conn,
		pool:     p,
		wake:     make(chan struct{}, 1),
		credit:   int(peer.Credit),
		liveness: NewLiveness(p.opts.Liveness, now),
		lastUsed: now,
	}
	l.writeTimer = time.AfterFunc(writeTimeout, func() { _ = conn.CloseNow() })
	l.writeTimer.Stop()
	return l
}

// Peer returns the process at the other end.
func (l *Link) Peer() wire.Process { return l.peer }

// Dialled reports whether this process opened the link.
func (l *Link) Dialled() bool { return l.dialled }

// Outstanding returns the number of sub-requests that have no response yet.
func (l *Link) Outstanding() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outstanding
}

// Send queues a frame. It does not wait for the network. If it returns ErrClosed,
// ErrFull, ErrNoCredit or ErrUnreadable, no part of the frame is sent.
func (l *Link) Send(f *wire.Frame) error {
	if l.former {
		for i := range f.Queries {
			if !f.Queries[i].ReadableByFormer() {
				return ErrUnreadable
			}
		}
	}
	n, size := countSubRequests(f), estimateSize(f)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	if l.queuedBytes >= maxQueuedBytes || l.pool.queueFull(size) {
		return ErrFull
	}
	if n > 0 && l.outstanding+n > l.credit {
		return ErrNoCredit
	}
	now := time.Now()
	l.outstanding += n
	if n > 0 {
		l.liveness.SetBusy(now, true)
	}
	l.lastUsed = now
	l.queue = append(l.queue, f)
	l.queuedBytes += size
	l.pool.queuedBytes.Add(int64(size))
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// Close closes the link. Handler.Down is called with err.
func (l *Link) Close(err error) {
	l.tomb.Kill(err)
	_ = l.conn.CloseNow()
}

func (l *Link) start() {
	l.tomb.Go(func() error {
		l.pool.opts.Handler.Up(l)
		l.tomb.Go(l.write)
		return l.read()
	})
	go func() {
		<-l.tomb.Dying()
		_ = l.conn.CloseNow()
		err := l.tomb.Wait()
		l.finish(err)
	}()
}

// finish passes the batches that were never written to the Handler, and then
// reports that the link is closed.
func (l *Link) finish(err error) {
	l.mu.Lock()
	l.closed = true
	queue := l.queue
	l.queue = nil
	l.pool.queuedBytes.Add(-int64(l.queuedBytes))
	l.queuedBytes = 0
	l.mu.Unlock()
	for _, f := range queue {
		for _, b := range f.Batches {
			l.pool.opts.Handler.Dropped(l, b)
		}
	}
	l.pool.remove(l, err)
	l.pool.opts.Handler.Down(l, err)
}

// read receives frames until the connection is closed.
func (l *Link) read() error {
	var buf bytes.Buffer
	for {
		f, err := l.readFrame(&buf)
		if err != nil {
			return errors.Annotate(ErrClosed, err.Error())
		}
		metrics.framesReceived.Add(1)
		if f != nil {
			l.receive(f)
		}
	}
}

// readFrame reads one frame by way of buf, to which the frame does not refer. It returns nil
// if the frame cannot be decoded. It
// uses a context that cannot be canceled, because a cancelable one costs the
// library several allocations per frame; closing the connection ends the read.
func (l *Link) readFrame(buf *bytes.Buffer) (*wire.Frame, error) {
	_, r, err := l.conn.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	buf.Reset()
	if _, err := buf.ReadFrom(r); err != nil {
		return nil, err
	}
	if buf.Cap() > maxReusedBufferBytes {
		defer func() { *buf = bytes.Buffer{} }()
	}
	return l.decode(buf.Bytes()), nil
}

// decode returns a frame without the messages that cannot be decoded, or nil if none can be:
// the others, and those that follow on the link, must not be lost with them.
func (l *Link) decode(data []byte) *wire.Frame {
	f, err := wire.Decode(data)
	if err == nil {
		return f
	}
	f, skipped, partsErr := wire.DecodeParts(data)
	skipped = max(skipped, 1)
	metrics.undecodable.Add(int64(skipped))
	l.pool.opts.Logger.Warn("messages of a peer could not be decoded; skipped",
		"peer", l.peer.Name(), "skipped", skipped, "all", partsErr != nil, "error", err)
	return f
}

func (l *Link) receive(f *wire.Frame) {
	now := time.Now()
	l.mu.Lock()
	l.liveness.Received(now)
	l.outstanding = max(0, l.outstanding-len(f.SubResponses)-len(f.QueryResponses))
	l.liveness.SetBusy(now, l.outstanding > 0)
	l.mu.Unlock()
	if f.Ping != nil {
		_ = l.Send(&wire.Frame{Pong: f.Ping})
	}
	l.refuseUndecodable(f)
	for i := range f.Batches {
		b := &f.Batches[i]
		b.Deadline = now.Add(time.Duration(b.DeadlineMicros) * time.Microsecond)
	}
	if f.Refusal != nil {
		l.Close(&RefusedError{Code: f.Refusal.Code, Detail: f.Refusal.Detail})
		return
	}
	l.pool.opts.Handler.Frame(l, f)
}

// refuseUndecodable removes the batches that cannot be decoded and responds to them.
func (l *Link) refuseUndecodable(f *wire.Frame) {
	var refused []wire.SubResponse
	f.Batches = slices.DeleteFunc(f.Batches, func(b wire.Batch) bool {
		if b.Undecodable {
			for _, s := range b.SubRequests {
				refused = append(refused, wire.SubResponse{
					ID: s.ID, QueryID: b.QueryID, Shard: s.Shard, Target: s.Target,
					Code: code.NotReady, Run: code.NotRun, Detail: "the request cannot be decoded",
				})
			}
		}
		return b.Undecodable
	})
	if len(refused) > 0 {
		_ = l.Send(&wire.Frame{SubResponses: refused}) // a lost link ends them as well
	}
}

func (l *Link) write() error {
	for {
		select {
		case <-l.tomb.Dying():
			return tomb.ErrDying
		case <-l.wake:
		}
		for {
			frames, size := l.dequeue()
			if len(frames) == 0 {
				break
			}
			if err := l.writeFrame(merge(frames)); err != nil {
				return err
			}
			l.written(size)
		}
	}
}

// dequeue removes from the queue the next frames to merge into one, and returns their
// estimated size. They count as queued until they have been written.
func (l *Link) dequeue() ([]*wire.Frame, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < len(l.queue) {
		next := estimateSize(l.queue[n])
		if n > 0 && size+next > maxMergedBytes {
			break
		}
		size += next
		n++
	}
	frames := slices.Clone(l.queue[:n])
	clear(l.queue[:n])
	l.queue = l.queue[n:]
	return frames, size
}

// written records that dequeued frames are no longer held.
func (l *Link) written(size int) {
	l.mu.Lock()
	l.queuedBytes -= size
	l.mu.Unlock()
	l.pool.queuedBytes.Add(-int64(size))
}

func (l *Link) writeFrame(f *wire.Frame) error {
	l.convertDeadlines(f)
	data, err := l.encode(f)
	if err != nil {
		return errors.Annotate(ErrClosed, err.Error())
	}
	l.writeTimer.Reset(writeTimeout)
	defer l.writeTimer.Stop()
	if err := l.conn.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		return errors.Annotate(ErrClosed, err.Error())
	}
	metrics.framesSent.Add(1)
	metrics.bytesSent.Add(int64(len(data)))
	if l.peer.DataCentre == l.pool.opts.Self.DataCentre {
		l.pool.sentLocal.Add(int64(len(data)))
	} else {
		l.pool.sentRemote.Add(int64(len(data)))
	}
	return nil
}

func (l *Link) encode(f *wire.Frame) ([]byte, error) {
	if !l.former {
		return wire.EncodeBytes(f)
	}
	f, err := wire.ForFormer(f)
	if err != nil {
		return nil, err
	}
	return wire.Encode(f)
}

// convertDeadlines sets DeadlineMicros of batches from their deadlines, and drops
// batches whose deadline has passed, for example during a pause of this process.
func (l *Link) convertDeadlines(f *wire.Frame) {
	if len(f.Batches) == 0 {
		return
	}
	now := time.Now()
	kept := f.Batches[:0:0]
	for _, b := range f.Batches {
		left := b.Deadline.Sub(now)
		if left <= 0 {
			l.returnCredit(len(b.SubRequests))
			l.pool.opts.Handler.Dropped(l, b)
			continue
		}
		b.DeadlineMicros = uint32(min(left.Microseconds(), int64(^uint32(0))))
		kept = append(kept, b)
	}
	f.Batches = kept
}

// returnCredit returns the credit of n sub-requests that were not sent.
func (l *Link) returnCredit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outstanding = max(0, l.outstanding-n)
	l.liveness.SetBusy(time.Now(), l.outstanding > 0)
}

// check pings the link, closes it, or reports a change of its responsiveness, as
// l.liveness decides. The pool calls it at a fixed interval.
func (l *Link) check(now time.Time) {
	l.mu.Lock()
	decision := l.liveness.Check(now)
	unresponsive := l.liveness.Unresponsive(now)
	changed := unresponsive != l.unresponsive
	l.unresponsive = unresponsive
	l.mu.Unlock()
	if observer, ok := l.pool.opts.Handler.(UnresponsiveObserver); ok && changed {
		observer.Unresponsive(l, unresponsive)
	}
	switch decision {
	case DecisionPing:
		_ = l.Send(&wire.Frame{Ping: &wire.Ping{Seq: uint64(now.UnixNano())}})
	case DecisionClose:
		metrics.silent.Add(1)
		l.Close(ErrSilent)
	}
}
