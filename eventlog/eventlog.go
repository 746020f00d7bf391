// Package eventlog writes structured logs that never block their writer and
// whose volume is bounded.
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
	// DefaultLinesPerSecond keeps the cost of logs to a few percent of a small
	// VM's processor.
	DefaultLinesPerSecond = 40
	// DefaultBurst lets a reload or an outage be told in full.
	DefaultBurst = 400
	// maxBuffered bounds the bytes that wait for a slow reader.
	maxBuffered = 1 << 20
	// flushInterval gathers lines into one write.
	flushInterval = 200 * time.Millisecond
)

// Options configures a Log.
type Options struct {
	// Out is where lines go, as JSON.
	Out   io.Writer
	Level slog.Leveler
	// LinesPerSecond and Burst bound the lines below the level warn; those
	// have twice the burst.
	LinesPerSecond float64
	Burst          float64
}

// Handler is a slog.Handler with a bounded volume.
type Handler struct {
	slog.Handler
	shared *shared
}

// shared is what the handlers derived from one Log share.
type shared struct {
	opts    Options
	dropped atomic.Int64
	lines   atomic.Int64

	mu      sync.Mutex
	tokens  float64
	filled  time.Time
	buffer  []byte
	spare   []byte
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
}

// New returns a Log that writes until Close.
func New(opts Options) *Handler {
	if opts.LinesPerSecond == 0 {
		opts.LinesPerSecond = DefaultLinesPerSecond
	}
	if opts.Burst == 0 {
		opts.Burst = DefaultBurst
	}
	s := &shared{
		opts: opts, tokens: opts.Burst, wake: make(chan struct{}, 1),
		closing: make(chan struct{}), done: make(chan struct{}),
	}
	go s.write()
	return &Handler{Handler: slog.NewJSONHandler(s, &slog.HandlerOptions{Level: opts.Level}), shared: s}
}

// Handle formats a record unless the bound on lines is reached.
func (l *Handler) Handle(ctx context.Context, r slog.Record) error {
	if !l.shared.take(r.Time, r.Level) {
		l.shared.dropped.Add(1)
		return nil
	}
	l.shared.lines.Add(1)
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with more attributes and the same bound.
func (l *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: l.Handler.WithAttrs(attrs), shared: l.shared}
}

// WithGroup returns a handler with a group and the same bound.
func (l *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: l.Handler.WithGroup(name), shared: l.shared}
}

// Dropped returns the number of lines that were left out.
func (l *Handler) Dropped() int64 { return l.shared.dropped.Load() }

// Lines returns the number of lines that were written or wait to be.
func (l *Handler) Lines() int64 { return l.shared.lines.Load() }

// Close writes what waits, for at most the given time.
func (l *Handler) Close(within time.Duration) {
	close(l.shared.closing)
	select {
	case <-l.shared.done:
	case <-time.After(within):
	}
}

// take grants a line. Warnings may use a reserve that others may not.
func (s *shared) take(now time.Time, level slog.Level) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gone := now.Sub(s.filled); gone > 0 {
		if !s.filled.IsZero() {
			s.tokens = min(s.tokens+gone.Seconds()*s.opts.LinesPerSecond, s.opts.Burst)
		}
		s.filled = now
	}
	least := 1.0
	if level >= slog.LevelWarn {
		least = -s.opts.Burst
	}
	if s.tokens < least {
		return false
	}
	s.tokens--
	return true
}

// Write takes one formatted line.
func (s *shared) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.buffer)+len(line) > maxBuffered {
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

func (s *shared) write() {
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

func (s *shared) flush() {
	s.mu.Lock()
	out := s.buffer
	s.buffer, s.spare = s.spare[:0], nil
	s.mu.Unlock()
	if len(out) > 0 {
		if _, err := s.opts.Out.Write(out); err != nil {
			s.dropped.Add(1) // there is nowhere else to tell it
		}
	}
	s.mu.Lock()
	s.spare = out[:0]
	s.mu.Unlock()
}
