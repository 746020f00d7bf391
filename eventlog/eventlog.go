// Package eventlog implements a slog.Handler that never blocks and limits the
// rate of lines.
package eventlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of Options.
const (
	// DefaultLinesPerSecond keeps the cost of logs to a few percent of a small VM's
	// processor.
	DefaultLinesPerSecond = 40
	// DefaultBurst is enough to log a reload or an outage in full.
	DefaultBurst = 400
	// maxBufferedBytes bounds the bytes that wait for a slow reader.
	maxBufferedBytes = 1 << 20
	// flushInterval is how long lines are collected into one write.
	flushInterval = 200 * time.Millisecond
)

// Options configures a Handler.
type Options struct {
	// Out receives the lines, as JSON.
	Out   io.Writer
	Level slog.Leveler
	// LinesPerSecond and Burst limit all lines. Lines of level warn and above may
	// exceed the limit by another Burst. Zero means the default.
	LinesPerSecond float64
	Burst          float64
}

// Handler is a slog.Handler with a limited rate of lines. Lines above the limit
// are dropped and counted. Methods are safe for concurrent use.
type Handler struct {
	slog.Handler
	sink *sink
}

// sink limits, buffers and writes the lines of a Handler and of all handlers
// derived from it.
type sink struct {
	opts     Options
	dropped  atomic.Int64
	accepted atomic.Int64

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	buffer     []byte
	spare      []byte // empty; becomes the buffer at the next flush
	wake       chan struct{}
	closing    chan struct{}
	done       chan struct{}
}

// New returns a Handler that writes in the background until Close.
func New(opts Options) *Handler {
	if opts.LinesPerSecond == 0 {
		opts.LinesPerSecond = DefaultLinesPerSecond
	}
	if opts.Burst == 0 {
		opts.Burst = DefaultBurst
	}
	s := &sink{
		opts: opts, tokens: opts.Burst, wake: make(chan struct{}, 1),
		closing: make(chan struct{}), done: make(chan struct{}),
	}
	go s.flushLoop()
	return &Handler{Handler: slog.NewJSONHandler(s, &slog.HandlerOptions{Level: opts.Level}), sink: s}
}

// Handle formats and buffers a record, or drops it if the limit is reached.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.sink.allow(r.Time, r.Level) {
		h.sink.dropped.Add(1)
		return nil
	}
	h.sink.accepted.Add(1)
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with more attributes and the same limit.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), sink: h.sink}
}

// WithGroup returns a handler with a group and the same limit.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), sink: h.sink}
}

// Dropped returns the number of lines that were dropped.
func (h *Handler) Dropped() int64 { return h.sink.dropped.Load() }

// Lines returns the number of lines that were within the limit.
func (h *Handler) Lines() int64 { return h.sink.accepted.Load() }

// Close writes the buffered lines. It waits for at most the given time and must be
// called only once.
func (h *Handler) Close(within time.Duration) {
	close(h.sink.closing)
	select {
	case <-h.sink.done:
	case <-time.After(within):
	}
}

// allow reports whether a line is within the limit and takes a token for it.
// Lines of level warn and above may bring the tokens down to minus the burst.
func (s *sink) allow(now time.Time, level slog.Level) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if elapsed := now.Sub(s.lastRefill); elapsed > 0 {
		if !s.lastRefill.IsZero() {
			s.tokens = min(s.tokens+elapsed.Seconds()*s.opts.LinesPerSecond, s.opts.Burst)
		}
		s.lastRefill = now
	}
	minTokens := 1.0
	if level >= slog.LevelWarn {
		minTokens = -s.opts.Burst
	}
	if s.tokens < minTokens {
		return false
	}
	s.tokens--
	return true
}

// Write buffers one formatted line, or drops it if the buffer is full.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.buffer)+len(line) > maxBufferedBytes {
		s.mu.Unlock()
		s.dropped.Add(1)
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (s *sink) flushLoop() {
	defer close(s.done)
	for {
		select {
		case <-s.wake:
		case <-s.closing:
			s.flush()
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-s.closing:
		}
		s.flush()
	}
}

func (s *sink) flush() {
	s.mu.Lock()
	out := s.buffer
	s.buffer, s.spare = s.spare[:0], nil
	s.mu.Unlock()
	if len(out) > 0 {
		if _, err := s.opts.Out.Write(out); err != nil {
			s.dropped.Add(1) // the error cannot be logged anywhere
		}
	}
	s.mu.Lock()
	s.spare = out[:0]
	s.mu.Unlock()
}
