// Package reach decides whether a process still reaches the targets. A VM may lose its
// path to all of them while callers, peers and the store still reach it; its callers are
// then served through peers.
//
// What a single target does tells nothing about the path: suspicion needs silence or failed
// connections at several targets, and only probes of others, all of which must fail, make
// it a verdict.
//
// The package is pure: time is passed in, and the calling code opens the connections. It is
// not safe for concurrent use.
package reach

import "time"

// Mode is what a process can do at targets.
type Mode int

// Modes.
const (
	Open   Mode = iota // it reaches targets, as far as it knows
	Narrow             // open connections work, but no new one can be opened
	Cut                // it reaches no target
)

var modeNames = [...]string{Open: "open", Narrow: "no new connections", Cut: "cut off"}

// String returns the name of the mode for logs.
func (m Mode) String() string { return modeNames[m] }

// Times and numbers of a State.
const (
	// minSilence is the shortest time without a response after which an attempt counts
	// as silent. Targets pause for 200 ms, but not all at once.
	minSilence = 150 * time.Millisecond
	// suspectTargets is the number of targets that must be silent or unreachable.
	suspectTargets = 2
	// loneFailures is the number of failed connections that count as much if all of them
	// are to the same target: a process may send all its requests to one.
	loneFailures = 4
	// evidenceTime is how long a failed connection counts.
	evidenceTime = 2 * time.Second
	// roundProbes is the number of targets that are probed at once. If all probes fail while
	// the mode is Open, confirmProbes more must fail as well: half of the targets may have
	// crashed at the same moment.
	roundProbes   = 3
	confirmProbes = 6
	// suspicionInterval is the shortest time between two rounds of probes while the mode
	// is Open: each probe that succeeds is a new connection.
	suspicionInterval = time.Second
	// reopenInterval is the time between two rounds in other modes.
	reopenInterval = 250 * time.Millisecond
	// maxRampTime bounds the time after a verdict has been lifted within which the share of
	// the requests that are sent directly rises from none to all: connections are opened
	// again, and targets may have become cold. It is as long as the verdict was in force.
	maxRampTime = 2 * time.Second
	// maxTickGap is the time between two ticks from which the process may have stood
	// still, so that responses wait for it.
	maxTickGap = 300 * time.Millisecond
)

// State is what a process knows of its path to targets. The zero value is Open.
type State struct {
	mode Mode
	// since is when the mode was entered.
	since time.Time
	// silent holds the attempts at different targets, since anything was last received,
	// that are the first to count as silent.
	silent [suspectTargets]waiting
	// refused holds the failed connections to different targets since one succeeded.
	refused [suspectTargets]failure
	// lone is the number of failed connections to any targets since one succeeded.
	lone int
	// probes is the number of probes in progress.
	probes int
	// void is true if the round in progress decides nothing.
	void bool
	// stage is how many rounds in succession have failed while the mode is Open.
	stage int
	// roundAt is when the last round began.
	roundAt time.Time
	// tickedAt is when Tick was last called.
	tickedAt time.Time
	// openedAt is when the mode became Open again; zero if it has always been. rampTime is
	// how long the share of direct requests rises from then on.
	openedAt time.Time
	rampTime time.Duration
	// credit is the number of requests that may be sent directly while the share rises.
	credit float64
	// recoveries is the number of times that the mode became Open again.
	recoveries int
}

// waiting is an attempt without a response.
type waiting struct {
	target   string
	silentAt time.Time // when it counts as silent
}

// failure is a failed connection.
type failure struct {
	target string
	at     time.Time
}

// Mode returns the current mode, and since when it is in force; zero if since the start.
func (s *State) Mode() (mode Mode, since time.Time) { return s.mode, s.since }

// Recoveries returns the number of times that targets could be reached again.
func (s *State) Recoveries() int { return s.recoveries }

// Sent records an attempt at a target, which usually responds within the given time.
func (s *State) Sent(now time.Time, target string, usual time.Duration) {
	s.await(target, now.Add(max(usual, minSilence)))
}

// Broke records that an attempt ended without any response.
func (s *State) Broke(now time.Time, target string) { s.await(target, now) }

// await keeps the attempts at different targets that are the first to count as silent.
func (s *State) await(target string, silentAt time.Time) {
	latest := &s.silent[0]
	for i := range s.silent {
		w := &s.silent[i]
		switch {
		case w.target == target:
			if silentAt.Before(w.silentAt) {
				w.silentAt = silentAt
			}
			return
		case w.target == "":
			latest = w
		case latest.target != "" && w.silentAt.After(latest.silentAt):
			latest = w
		}
	}
	if latest.target == "" || silentAt.Before(latest.silentAt) {
		*latest = waiting{target, silentAt}
	}
}

// Heard records that something was received from a target.
func (s *State) Heard() {
	s.silent = [suspectTargets]waiting{}
}

// Connected records that a connection to a target was opened.
func (s *State) Connected(now time.Time) {
	s.refused, s.lone = [suspectTargets]failure{}, 0
	s.silent = [suspectTargets]waiting{}
	if s.mode != Open {
		s.rampTime = min(now.Sub(s.since), maxRampTime)
		s.mode, s.since, s.openedAt, s.credit = Open, now, now, 0
		s.recoveries++
	}
	s.void, s.stage = true, 0
}

// Unreachable records that no connection to a target could be opened.
func (s *State) Unreachable(now time.Time, target string) {
	oldest := 0
	for i := range s.refused {
		f := &s.refused[i]
		if f.target == target {
			f.at = now
			s.lone++
			return
		}
		if f.at.Before(s.refused[oldest].at) {
			oldest = i
		}
	}
	s.refused[oldest] = failure{target, now}
	s.lone++
}

// Doubtful reports whether the path may be at fault, so that nothing may be concluded from
// what targets do: probes are in progress, or they have failed. Tick begins the probes that
// are due.
func (s *State) Doubtful() bool { return s.mode != Open || s.Undecided() }

// Undecided reports whether probes are in progress that may change the mode.
func (s *State) Undecided() bool { return (s.probes > 0 || s.stage > 0) && !s.void }

func (s *State) suspicious(now time.Time) bool {
	refused := 0
	for i := range s.refused {
		if f := &s.refused[i]; f.target != "" && now.Sub(f.at) <= evidenceTime {
			refused++
		}
	}
	return refused >= suspectTargets || (refused > 0 && s.lone >= loneFailures) || s.silentTargets(now) >= suspectTargets
}

// silentTargets returns the number of targets, up to suspectTargets, that are silent while
// nothing is received from any other.
func (s *State) silentTargets(now time.Time) (n int) {
	for i := range s.silent {
		if w := &s.silent[i]; w.target != "" && !now.Before(w.silentAt) {
			n++
		}
	}
	return n
}

// Tick returns the number of targets to probe now. It must be called at short intervals.
func (s *State) Tick(now time.Time) (probes int) {
	stoodStill := !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > maxTickGap
	s.tickedAt = now
	if stoodStill {
		s.silent, s.refused, s.lone = [suspectTargets]waiting{}, [suspectTargets]failure{}, 0
		s.void, s.stage = true, 0
		return 0
	}
	interval := reopenInterval
	if s.mode == Open {
		if s.stage == 0 && !s.suspicious(now) {
			return 0
		}
		interval = suspicionInterval
	}
	switch {
	case s.probes > 0:
		return 0
	case s.stage > 0 && !s.void:
		return confirmProbes
	case !s.roundAt.IsZero() && now.Sub(s.roundAt) < interval:
		return 0
	}
	s.roundAt, s.void, s.stage = now, false, 0
	return roundProbes
}

// Abort ends a round for which there are no targets to probe. It decides nothing.
func (s *State) Abort() { s.void, s.stage = true, 0 }

// Probing records that a probe of a target begins.
func (s *State) Probing() { s.probes++ }

// Probed records the result of a probe.
func (s *State) Probed(now time.Time, connected bool) {
	s.probes--
	if connected {
		s.Connected(now)
		return
	}
	if s.probes > 0 || s.void {
		return
	}
	if s.mode == Open && s.stage == 0 {
		s.stage = 1
		return
	}
	s.stage = 0
	mode := Narrow
	if s.silentTargets(now) > 0 {
		mode = Cut
	}
	if mode != s.mode {
		s.mode, s.since = mode, now
	}
}

// Direct reports whether a request may be sent to targets by this process. Connected is
// true if there is a free connection to a target of each service that it needs.
func (s *State) Direct(now time.Time, connected bool) bool {
	switch {
	case s.mode == Narrow:
		return connected
	case s.mode == Cut:
		return false
	case s.openedAt.IsZero() || now.Sub(s.openedAt) >= s.rampTime:
		return true
	}
	if s.credit += float64(now.Sub(s.openedAt)) / float64(s.rampTime); s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// Helps reports whether the process may serve requests of peers that reach no target.
func (s *State) Helps(now time.Time) bool {
	return s.mode == Open && !s.suspicious(now) && (s.openedAt.IsZero() || now.Sub(s.openedAt) >= s.rampTime)
}
