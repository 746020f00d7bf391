package member

import "time"

// awareness tells whether this process may judge others. A process that was
// paused, or that misses most of its peers, is more likely at fault itself.
type awareness struct {
	quiet time.Duration
	// since is when the process began to hear most of its peers; zero while
	// it doesn't.
	since time.Time
}

// gap forgets what was known: the process has to listen anew.
func (a *awareness) gap() { a.since = time.Time{} }

// observe records how many of its peers the process hears. A process without
// peers is never aware.
func (a *awareness) observe(now time.Time, heard, peers int) {
	if peers == 0 || 2*heard < peers {
		a.since = time.Time{}
		return
	}
	if a.since.IsZero() {
		a.since = now
	}
}

// aware tells whether the process has heard most of its peers for long enough.
func (a *awareness) aware(now time.Time) bool {
	return !a.since.IsZero() && now.Sub(a.since) >= a.quiet
}
