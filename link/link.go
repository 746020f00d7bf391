// Package link connects the system's own processes: WebSocket connections that
// carry CBOR frames in both directions.
//
// A link merges what is queued into one frame per write, bounds what is queued,
// grants credit for sub-requests, and is closed when its peer is silent.
package link

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

// Bounds of a link.
const (
	// DefaultCredit is the number of sub-requests that a process accepts at
	// once from one peer.
	DefaultCredit = 4096
	// maxQueued is the number of bytes that may wait for the writer.
	maxQueued = 16 << 20
	// mergeSize is the size in bytes up to which queued frames are merged.
	mergeSize = 256 << 10
	// writeTimeout bounds one write to the connection.
	writeTimeout = 5 * time.Second
	// maxKeptBuffer is the size in bytes up to which a read buffer is reused.
	maxKeptBuffer = 256 << 10
)

// Handler receives what happens on links. Its methods are called without any
// lock held, for one link by one goroutine at a time except Dropped.
type Handler interface {
	// Up is called once when the link is ready to use.
	Up(*Link)
	// Frame is called for each received frame, pings excepted. Deadlines of
	// batches are set from the time of receipt.
	Frame(*Link, *wire.Frame)
	// Dropped is called with a batch that was never written: its deadline had
	// passed, or the link closed first. Its work did not run.
	Dropped(*Link, wire.Batch)
	// Down is called once when the link is closed.
	Down(*Link, error)
}

// UnresponsiveObserver is a Handler that wants to know of links that may be silent.
type UnresponsiveObserver interface {
	// Unresponsive is called when a link with outstanding sub-requests has not been
	// heard for a while, and again when it is heard or idle.
	Unresponsive(l *Link, unresponsive bool)
}

// Link is one connection to a peer. Its methods may be called concurrently.
// Lock order: Link.mu is a leaf lock; no other lock is taken while it is held.
type Link struct {
	peer    wire.Process
	dialled bool
	conn    *websocket.Conn
	pool    *Pool
	tomb    tomb.Tomb
	wake    chan struct{}
	stalled *time.Timer // closes the connection if a write takes too long

	mu          sync.Mutex
	queue       []*wire.Frame
	queued      int
	closed      bool
	credit      int
	outstanding int
	live        *Liveness
	quiet       bool
	used        time.Time
}

func newLink(p *Pool, conn *websocket.Conn, peer wire.Hello, dialled bool) *Link {
	now := time.Now()
	l := &Link{
		peer:    peer.Process,
		dialled: dialled,
		conn:    conn,
		pool:    p,
		wake:    make(chan struct{}, 1),
		credit:  int(peer.Credit),
		live:    NewLiveness(p.opts.Liveness, now),
		used:    now,
	}
	l.stalled = time.AfterFunc(writeTimeout, func() { _ = conn.CloseNow() })
	l.stalled.Stop()
	return l
}

// Peer returns the process at the other end.
func (l *Link) Peer() wire.Process { return l.peer }

// Dialled reports whether this process opened the link.
func (l *Link) Dialled() bool { return l.dialled }

// Outstanding returns the number of sub-requests that wait for a reply.
func (l *Link) Outstanding() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outstanding
}

// Send queues a frame. It fails with ErrClosed, ErrFull or ErrNoCredit; then
// nothing of the frame is sent. It does not wait for the network.
func (l *Link) Send(f *wire.Frame) error {
	subs := countSubs(f)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	if l.queued >= maxQueued {
		return ErrFull
	}
	if subs > 0 && l.outstanding+subs > l.credit {
		return ErrNoCredit
	}
	now := time.Now()
	l.outstanding += subs
	if subs > 0 {
		l.live.SetBusy(now, true)
	}
	l.used = now
	l.queue = append(l.queue, f)
	l.queued += size(f)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// Close closes the link. Down is called with err.
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

// finish reports the batches that were never written, then the end of the link.
func (l *Link) finish(err error) {
	l.mu.Lock()
	l.closed = true
	queue := l.queue
	l.queue = nil
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
		l.receive(f)
	}
}

// readFrame reads one frame through buf, of which the frame keeps nothing. A
// context that can be canceled would cost the library several allocations a
// frame; closing the connection ends the read as well.
func (l *Link) readFrame(buf *bytes.Buffer) (*wire.Frame, error) {
	_, r, err := l.conn.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	if buf.Cap() > maxKeptBuffer {
		*buf = bytes.Buffer{}
	}
	buf.Reset()
	if _, err := buf.ReadFrom(r); err != nil {
		return nil, err
	}
	return wire.Decode(buf.Bytes())
}

func (l *Link) receive(f *wire.Frame) {
	now := time.Now()
	l.mu.Lock()
	l.live.Received(now)
	l.outstanding = max(0, l.outstanding-len(f.SubResponses))
	l.live.SetBusy(now, l.outstanding > 0)
	l.mu.Unlock()
	if f.Ping != nil {
		_ = l.Send(&wire.Frame{Pong: f.Ping})
	}
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

func (l *Link) write() error {
	for {
		select {
		case <-l.tomb.Dying():
			return tomb.ErrDying
		case <-l.wake:
		}
		for {
			frames := l.take()
			if len(frames) == 0 {
				break
			}
			if err := l.writeFrame(merge(frames)); err != nil {
				return err
			}
		}
	}
}

// take removes the next frames to be merged from the queue.
func (l *Link) take() []*wire.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, bytes := 0, 0
	for n < len(l.queue) && bytes < mergeSize {
		bytes += size(l.queue[n])
		n++
	}
	frames := l.queue[:n:n]
	l.queue = l.queue[n:]
	l.queued -= bytes
	return frames
}

func (l *Link) writeFrame(f *wire.Frame) error {
	l.stampDeadlines(f)
	data, err := wire.Encode(f)
	if err != nil {
		return errors.Annotate(ErrClosed, err.Error())
	}
	l.stalled.Reset(writeTimeout)
	defer l.stalled.Stop()
	if err := l.conn.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		return errors.Annotate(ErrClosed, err.Error())
	}
	metrics.framesSent.Add(1)
	metrics.bytesSent.Add(int64(len(data)))
	return nil
}

// stampDeadlines turns deadlines into the time left and drops batches whose
// deadline has passed: a process that wakes up late sends nothing.
func (l *Link) stampDeadlines(f *wire.Frame) {
	if len(f.Batches) == 0 {
		return
	}
	now := time.Now()
	kept := f.Batches[:0:0]
	for _, b := range f.Batches {
		left := b.Deadline.Sub(now)
		if left <= 0 {
			l.settle(len(b.SubRequests))
			l.pool.opts.Handler.Dropped(l, b)
			continue
		}
		b.DeadlineMicros = uint32(min(left.Microseconds(), int64(^uint32(0))))
		kept = append(kept, b)
	}
	f.Batches = kept
}

// settle takes back the credit of sub-requests that were not sent.
func (l *Link) settle(subs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outstanding = max(0, l.outstanding-subs)
	l.live.SetBusy(time.Now(), l.outstanding > 0)
}

// check applies the liveness rules. It is called by the pool at a fixed interval.
func (l *Link) check(now time.Time) {
	l.mu.Lock()
	verdict := l.live.Check(now)
	quiet := l.live.Unresponsive(now)
	changed := quiet != l.quiet
	l.quiet = quiet
	l.mu.Unlock()
	if observer, ok := l.pool.opts.Handler.(UnresponsiveObserver); ok && changed {
		observer.Unresponsive(l, quiet)
	}
	switch verdict {
	case DecisionPing:
		_ = l.Send(&wire.Frame{Ping: &wire.Ping{Seq: uint64(now.UnixNano())}})
	case DecisionClose:
		metrics.silent.Add(1)
		l.Close(ErrSilent)
	}
}
