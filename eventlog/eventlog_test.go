package eventlog

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	defer close(out.release)
	l := New(Options{Out: out, LinesPerSecond: 1e9, Burst: 1e9})
	log := slog.New(l)
	line := strings.Repeat("x", 1000)
	startedAt := time.Now()
	for range 5000 {
		log.Info(line)
	}
	if took := time.Since(startedAt); took > 5*time.Second {
		t.Fatalf("logging 5000 lines took %v, want at most 5 s", took)
	}
	if l.Dropped() == 0 {
		t.Fatal("no line was dropped although the writer is blocked")
	}
	l.Close(10 * time.Millisecond)
}

func TestLimitHasReserveForWarnings(t *testing.T) {
	var buf bytes.Buffer
	var mu sync.Mutex
	l := New(Options{Out: writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return buf.Write(p)
	}), LinesPerSecond: 0.001, Burst: 10})
	log := slog.New(l).With("process", "p1")
	for range 50 {
		log.Info("info")
	}
	log.Warn("warning")
	l.Close(time.Second)
	mu.Lock()
	defer mu.Unlock()
	lines := strings.Split(strings.TrimSpace(buf.String()), "\n")
	if len(lines) != 11 || l.Dropped() != 40 {
		t.Fatalf("%d lines, %d dropped, want 11 and 40", len(lines), l.Dropped())
	}
	var last struct{ Msg, Process string }
	if err := json.Unmarshal([]byte(lines[10]), &last); err != nil || last.Msg != "warning" || last.Process != "p1" {
		t.Fatalf("last line %s, error %v, want the warning of process p1", lines[10], err)
	}
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
