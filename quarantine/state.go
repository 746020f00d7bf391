package quarantine

import (
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// Bounds of what is remembered.
const (
	// maxSubjects is the number of requests that are remembered, and maxPerCaller that
	// of one caller: a caller with many requests that fail must not displace those of
	// others.
	maxSubjects  = 512
	maxPerCaller = 64
	// maxDescription bounds the caller and the path that are kept of a request, in bytes.
	maxDescription = 96
)

// Request is a request at one service, which may be one of many.
type Request struct {
	Keys Keys
	// ID is the ID of this repeat of the request.
	ID string
	// Caller and Path describe the request to operators.
	Caller, Path string
	// Service is the service that the request, or this part of it, is sent to.
	Service string
	// Sharded is true if the request is sent to many services.
	Sharded bool
}

// Verdict is what to do with an attempt of a request.
type Verdict int

// Verdicts.
const (
	Send   Verdict = iota // send it
	Wait                  // ask again soon: another attempt or an objection may decide
	Refuse                // do not send it
)

// Options configures a State.
type Options struct {
	// Self is the name of this process.
	Self string
	// StartedAt is when the process started.
	StartedAt time.Time
}

// State is what one process knows of requests under which targets have ended. It is not
// safe for concurrent use.
type State struct {
	opts     Options
	recent   recent
	subjects map[Key]*subject
	// byContent and perCaller index subjects.
	byContent map[contentID][]*subject
	perCaller map[callerID]int
	changes   []Change
	bandwidth bandwidth
	turn      int // of the subjects in regular messages
}

// Change is a request that was quarantined or released.
type Change struct {
	Report
	// Released is true if the quarantine has ended.
	Released bool
}

// New returns a State that knows nothing.
func New(opts Options) *State {
	return &State{
		opts: opts, recent: recent{epoch: opts.StartedAt}, subjects: map[Key]*subject{},
		byContent: map[contentID][]*subject{}, perCaller: map[callerID]int{},
		bandwidth: bandwidth{available: burstBytes, at: opts.StartedAt},
	}
}

// Watching reports whether any request is suspected. If not, completions need only be
// remembered once for each request.
func (s *State) Watching() bool { return len(s.subjects) > 0 }

// Broke records that the connection to a target ended while the target ran a request.
// Confirm must tell later whether the target has ended.
func (s *State) Broke(now time.Time, r *Request, run Run) {
	for _, k := range r.Keys.all() {
		e := end{Run: run, caller: k.caller(), repeat: r.ID}
		whole := s.subject(now, k)
		whole.describe(r.Caller, r.Path)
		s.addEnd(now, whole, e)
		if r.Sharded && !whole.soundAt.IsZero() {
			// Targets of other services complete the request: those of this one may not.
			part := s.subject(now, k.At(r.Service))
			part.describe(r.Caller, r.Path+" at "+r.Service)
			s.addEnd(now, part, e)
		}
	}
}

// addEnd adds an end to what is known of a request of one caller, and of the same content
// from any caller if several callers sent it.
func (s *State) addEnd(now time.Time, j *subject, e end) {
	if !j.add(e) {
		return
	}
	s.judge(now, j)
	related := s.byContent[j.key.content()]
	if j.key.caller() == anyCaller || len(related) < minCallers {
		return
	}
	pooled := s.subject(now, j.key.ofAny())
	pooled.describe("", j.path)
	for _, other := range slices.Clone(related) {
		if other == pooled {
			continue
		}
		for i := range other.ends {
			if pooled.add(other.ends[i]) {
				s.judge(now, pooled)
			}
		}
	}
}

// Confirm records whether the run of a target has ended.
func (s *State) Confirm(now time.Time, target string, incarnation int64, ended bool) {
	for _, j := range s.subjects {
		if j.confirm(target, incarnation, ended) {
			s.judge(now, j)
		}
	}
}

// judge quarantines a request, the ends of which have changed, if enough speaks against it.
func (s *State) judge(now time.Time, j *subject) {
	j.changedAt = now
	if found := j.evidence(now, false); found.ends <= minEnds || found.depth > j.toldDepth {
		j.pushes, j.toldDepth = max(j.pushes, pushesOfEnd), found.depth
	}
	switch {
	case j.quarantined && j.trial != "" && j.trialFailed():
		j.failedTrials++
		s.convict(now, j)
	case !j.quarantined && j.suffices(j.evidence(now, false)):
		s.convict(now, j)
	}
}

// trialFailed reports whether a target has ended in the trial.
func (s *subject) trialFailed() bool {
	for i := range s.ends {
		if e := &s.ends[i]; e.confirmed && e.EndedAt.After(s.trialEnds.Add(-trialTime)) {
			return true
		}
	}
	return false
}

// convict begins a term of quarantine.
func (s *State) convict(now time.Time, j *subject) {
	j.quarantined, j.convictedAt, j.until, j.trial = true, now, now.Add(j.term()), ""
	j.pushes = pushesOfVerdict
	s.changes = append(s.changes, Change{Report: j.report(now)})
}

// Completed records that a target has completed a request at a service.
func (s *State) Completed(now time.Time, r *Request) {
	for _, k := range r.Keys.all() {
		s.recent.add(now, k)
		s.recent.add(now, k.ofAny())
	}
	s.eachSubject(r, func(j *subject) { s.completed(now, j, now) })
}

// completed records a completion of a request that is suspected.
func (s *State) completed(now time.Time, j *subject, at time.Time) {
	suspected := len(j.ends) > 0 || j.quarantined
	if j.setSound(at) && suspected {
		j.changedAt = now
		j.pushes = max(j.pushes, pushesOfEnd)
		s.releaseSound(now, j)
	}
}

// releaseSound ends the quarantine of a request if too little speaks against it since it
// was last completed.
func (s *State) releaseSound(now time.Time, j *subject) {
	if !j.quarantined || len(j.ends) >= minEnds {
		return
	}
	j.quarantined, j.failedTrials, j.trial = false, 0, ""
	j.pushes = pushesOfVerdict
	s.changes = append(s.changes, Change{Report: j.report(now), Released: true})
}

// Refusal returns how long a request is refused, or zero if it may be sent.
func (s *State) Refusal(now time.Time, r *Request) time.Duration {
	var wait time.Duration
	s.eachSubject(r, func(j *subject) {
		if j.quarantined && !j.objectionOpen(now) && j.trial != r.ID && !s.trialDue(now, j) {
			wait = max(wait, j.waitFor(now))
		}
	})
	if wait > 0 {
		s.countRefusal(now, r)
	}
	return wait
}

// Blocked reports whether a request must not reach a target. A process that sends requests
// on behalf of those that decide on trials goes by it.
func (s *State) Blocked(now time.Time, r *Request) (blocked bool) {
	s.eachSubject(r, func(j *subject) {
		blocked = blocked || (j.quarantined && !j.objectionOpen(now) && now.Before(j.until) && now.After(j.trialEnds))
	})
	return blocked
}

func (s *State) countRefusal(now time.Time, r *Request) {
	s.eachSubject(r, func(j *subject) {
		if j.quarantined {
			j.refused++
			j.changedAt = now
		}
	})
}

// eachSubject calls f with what is known of a request: from its caller and from any, and at
// its service if that is one of many.
func (s *State) eachSubject(r *Request, f func(*subject)) {
	if !s.Watching() {
		return
	}
	one := func(k Key) {
		if j := s.subjects[k]; j != nil {
			f(j)
		}
	}
	for _, k := range r.Keys.all() {
		one(k)
		one(k.ofAny())
		if r.Sharded && r.Service != "" {
			part := k.At(r.Service)
			one(part)
			one(part.ofAny())
		}
	}
}

// objectionOpen reports whether a process may still object to the quarantine of a
// request.
func (s *subject) objectionOpen(now time.Time) bool {
	return s.failedTrials == 0 && now.Sub(s.convictedAt) < objectionTime
}

// waitFor returns how long a quarantined request is refused at least.
func (s *subject) waitFor(now time.Time) time.Duration {
	return max(s.until.Sub(now), s.trialEnds.Sub(now), trialSpread)
}

// trialDue reports whether this process may try a quarantined request at one target.
func (s *State) trialDue(now time.Time, j *subject) bool {
	spread := time.Duration(float64(trialSpread) * phase(s.opts.Self, j.key))
	return !now.Before(j.until.Add(spread)) && now.After(j.trialEnds)
}

// Check returns what to do with an attempt of a request of which inProgress attempts are in
// progress. If it returns Send for a quarantined request, the attempt is its trial.
func (s *State) Check(now time.Time, r *Request, inProgress int) Verdict {
	verdict := Send
	var due []*subject
	s.eachSubject(r, func(j *subject) {
		v, trial := s.check(now, j, r, inProgress)
		if trial {
			due = append(due, j)
		}
		verdict = max(verdict, v)
	})
	if verdict == Send {
		if suspected, turnAt := s.relatedSuspected(now, r); suspected && (inProgress > 0 || now.Before(turnAt)) {
			verdict = Wait
		}
	}
	if verdict != Send {
		return verdict
	}
	for _, j := range due {
		j.trial, j.trialEnds = r.ID, now.Add(trialTime)
		j.changedAt, j.pushes = now, pushesOfVerdict
	}
	return Send
}

// check judges an attempt by one subject. Trial is true if the attempt would be its trial.
func (s *State) check(now time.Time, j *subject, r *Request, inProgress int) (v Verdict, trial bool) {
	switch {
	case !j.quarantined:
		least := suspectEnds
		if r.Sharded && r.isWhole(j.key) {
			least = suspectEndsSharded
			if inProgress == 0 && j.endsUnder(now, r.ID) >= minEnds {
				return Refuse, false
			}
		}
		if found := j.evidence(now, true); j.suffices(found) || (inProgress > 0 && found.ends >= least) {
			return Wait, false
		}
		return Send, false
	case j.objectionOpen(now):
		return Wait, false
	case j.trial == r.ID && now.Before(j.trialEnds):
		return Wait, false
	case s.trialDue(now, j):
		return Send, true
	}
	return Refuse, false
}

// isWhole reports whether a key stands for the whole request rather than for its part at one
// service.
func (r *Request) isWhole(k Key) bool {
	return slices.ContainsFunc(r.Keys.all(), func(own Key) bool { return own.content() == k.content() })
}

// relatedSuspected reports whether a request with the same content from another caller is
// quarantined, or suspected of ending targets, while no target has completed this one. It is
// then sent to one target at a time: callers repeat requests from other addresses, too. The
// processes take turns with a sharded one, so that few shards lose their last target before
// the others know; turnAt is the time from which this one may send it.
func (s *State) relatedSuspected(now time.Time, r *Request) (suspected bool, turnAt time.Time) {
	for _, k := range r.Keys.all() {
		sound := now.Sub(s.recent.at(k)) <= soundFor
		for _, j := range s.byContent[k.content()] {
			if !j.quarantined && (sound || !j.suspected(now)) {
				continue
			}
			suspected = true
			if n := len(j.ends); n > 0 && r.Sharded && !sound && j.key.caller() != k.caller() {
				at := j.ends[n-1].EndedAt.Add(time.Duration(phase(s.opts.Self, k.ofAny()) * float64(turnSpread)))
				if at.After(turnAt) {
					turnAt = at
				}
			}
		}
	}
	return suspected, turnAt
}

// Tick forgets what is too old to count.
func (s *State) Tick(now time.Time) {
	for _, j := range s.subjects {
		if j.expired(now) {
			s.forget(j)
		}
	}
}

// subject returns what is known of a request, which it begins to remember.
func (s *State) subject(now time.Time, k Key) *subject {
	if j := s.subjects[k]; j != nil {
		return j
	}
	s.makeRoom(k.caller())
	j := &subject{key: k, changedAt: now, soundAt: s.recent.at(k)}
	s.subjects[k] = j
	s.byContent[k.content()] = append(s.byContent[k.content()], j)
	s.perCaller[k.caller()]++
	return j
}

// makeRoom forgets the request that matters least if there is no room for another one of
// the caller.
func (s *State) makeRoom(caller callerID) {
	ofCaller := caller != anyCaller && s.perCaller[caller] >= maxPerCaller
	if !ofCaller && len(s.subjects) < maxSubjects {
		return
	}
	var least *subject
	for _, j := range s.subjects {
		if (!ofCaller || j.key.caller() == caller) && (least == nil || lighter(j, least) < 0) {
			least = j
		}
	}
	s.forget(least)
}

func (s *State) forget(j *subject) {
	delete(s.subjects, j.key)
	content := j.key.content()
	related := slices.DeleteFunc(s.byContent[content], func(other *subject) bool { return other == j })
	if len(related) == 0 {
		delete(s.byContent, content)
	} else {
		s.byContent[content] = related
	}
	if s.perCaller[j.key.caller()]--; s.perCaller[j.key.caller()] == 0 {
		delete(s.perCaller, j.key.caller())
	}
}

// describe keeps a description of the request for operators.
func (s *subject) describe(caller, path string) {
	if s.caller == "" {
		s.caller = truncate(caller)
	}
	if s.path == "" {
		s.path = truncate(path)
	}
}

// truncate returns the start of a text, without a part of a character at its end. Bytes that
// are not UTF-8 are replaced: builds up to link protocol 1 refuse a whole message with them.
func truncate(text string) string {
	text = strings.ToValidUTF8(text[:min(len(text), maxDescription+utf8.UTFMax)], "\uFFFD")
	end := min(len(text), maxDescription)
	for end < len(text) && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end]
}

// TakeChanges returns the requests that were quarantined or released since the last call.
func (s *State) TakeChanges() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}
