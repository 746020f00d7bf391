package entry

import (
	"testing"
	"time"
)

func TestPauseIsNoticedBeforeAndAfterTheFirstTick(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	d := newPauseDetector(start)
	for ms := 100; ms <= 1000; ms += 100 {
		d.tick(at(ms))
		if d.paused(at(ms + 50)) {
			t.Fatalf("paused at %d ms, want running", ms+50)
		}
	}
	// The process stands still until 3000 ms and reads a message before it ticks.
	if !d.paused(at(3000)) {
		t.Error("not paused at the wake-up")
	}
	d.tick(at(3001))
	if !d.paused(at(3150)) {
		t.Error("not paused right after the wake-up: messages may still wait")
	}
	d.tick(at(3101))
	d.tick(at(3201))
	if d.paused(at(3250)) {
		t.Error("paused 250 ms after the wake-up")
	}
}
