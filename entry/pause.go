package entry

import (
	"sync"
	"time"
)

// Times of a pauseDetector.
const (
	// maxTickGap is the time between two ticks from which the process counts as paused.
	maxTickGap = 300 * time.Millisecond
	// wakeUpTime is how long after a pause messages may have waited in buffers.
	wakeUpTime = 200 * time.Millisecond
)

// pauseDetector tells whether the process stood still until just now, so that what it
// reads may have waited for it. Its methods are safe for concurrent use.
type pauseDetector struct {
	mu       sync.Mutex
	tickedAt time.Time
	wokeAt   time.Time // end of the last pause
}

func newPauseDetector(now time.Time) *pauseDetector { return &pauseDetector{tickedAt: now} }

// tick must be called at short intervals.
func (d *pauseDetector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.tickedAt) > maxTickGap {
		d.wokeAt = now
	}
	d.tickedAt = now
}

// paused reports whether the process was paused until just now.
func (d *pauseDetector) paused(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.tickedAt) > maxTickGap || (!d.wokeAt.IsZero() && now.Sub(d.wokeAt) < wakeUpTime)
}
