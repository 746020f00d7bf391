package member

import "time"

// awareness tells whether this process may judge others. A process that was
// paused, or that misses nearly all of its peers, is more likely at fault itself.
type awareness struct {
	quiet time.Duration
	// since is when the process began to hear enough of its peers; zero while
	// it doesn't.
	since time.Time
}

// gap forgets what was known: the process has to listen anew.
func (a *awareness) gap() { a.since = time.Time{} }

// awareShare is the part of its peers, one in awareShare, that a process must
// hear to trust its view. It leaves room for the loss of a data centre.
const awareShare = 3

// tally counts peers and those that are heard.
type tally struct{ heard, peers int }

func (t *tally) add(heard bool) {
	t.peers++
	if heard {
		t.heard++
	}
}

// observe records how many of its peers the process hears. A process without
// peers is never aware.
func (a *awareness) observe(now time.Time, t tally) {
	if t.peers == 0 || t.heard*awareShare < t.peers {
		a.since = time.Time{}
		return
	}
	if a.since.IsZero() {
		a.since = now
	}
}

// aware tells whether the process has heard enough of its peers for long enough.
func (a *awareness) aware(now time.Time) bool {
	return !a.since.IsZero() && now.Sub(a.since) >= a.quiet
}
