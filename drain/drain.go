// Package drain decides the course of the graceful stop of a process: when it closes what, which
// requests it still takes, and when it answers those that have not ended.
//
// The package is pure: time is passed in.
package drain

import "time"

// Steps of a stop, as fractions of its timeout. Callers move their connections to other
// processes once the process has been seen not ready twice, one second apart.
const (
	disableKeepAlivesAt = 0.40
	closeListenerAt     = 0.60
	// answerAt leaves time to write the responses before abortAt, also to a VM that gets a
	// fraction of a core.
	answerAt = 0.92
	abortAt  = 0.95
	// writeFraction is left to write responses if the process did not run when they were due.
	writeFraction = 0.02
)

// Schedule holds the times of the steps of a stop, in their order.
type Schedule struct {
	// DisableKeepAlives is when connections of callers begin to be closed after their next
	// response.
	DisableKeepAlives time.Time
	// CloseListener is when new connections are no longer accepted, and idle ones closed.
	CloseListener time.Time
	// Answer is when requests that have not ended are answered with what is known of them.
	Answer time.Time
	// Abort is when connections whose response is not written are closed.
	Abort time.Time
	// WriteTime is how long responses may take to be written if they were due only just before
	// Abort.
	WriteTime time.Duration
}

// NewSchedule returns the schedule of a stop that starts at start. The process is killed when
// timeout has passed.
func NewSchedule(start time.Time, timeout time.Duration) Schedule {
	at := func(fraction float64) time.Time {
		return start.Add(time.Duration(fraction * float64(timeout)))
	}
	return Schedule{
		DisableKeepAlives: at(disableKeepAlivesAt), CloseListener: at(closeListenerAt), Answer: at(answerAt), Abort: at(abortAt),
		WriteTime: time.Duration(writeFraction * float64(timeout)),
	}
}

// Request is what is known of a request when its headers have been read.
type Request struct {
	// Deadline is when the caller stops waiting or the timeout of the route expires,
	// whichever is earlier.
	Deadline time.Time
	// Usual is how long requests like this one take at most, as far as is known.
	Usual time.Duration
}

// Takes reports whether a request that is read at now is taken: it ends before the others are
// answered, by its deadline or by what is usual. Otherwise it is better refused at once, while
// the caller has time to go elsewhere.
func (s *Schedule) Takes(now time.Time, r Request) bool {
	return !r.Deadline.After(s.Answer) || !now.Add(r.Usual).After(s.Answer)
}
