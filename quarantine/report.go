package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report tells another process what is known of a request. Times are ages, as the clocks of
// processes differ.
type Report struct {
	Key Key `cbor:"1,keyasint"`
	// Ends holds the latest ends of targets.
	Ends []EndReport `cbor:"2,keyasint,omitempty"`
	// SoundMillis is the age of the latest completion of the request, plus one; zero if
	// none is known.
	SoundMillis uint32 `cbor:"3,keyasint,omitempty"`
	// Quarantined is true if the request is not sent to targets. The fields below are set
	// only then. ConvictedMillis is for how long, TermMillis the time until it may be
	// tried, and TrialMillis the time in which a trial may still end.
	Quarantined     bool   `cbor:"4,keyasint,omitempty"`
	ConvictedMillis uint32 `cbor:"5,keyasint,omitempty"`
	TermMillis      uint32 `cbor:"6,keyasint,omitempty"`
	TrialMillis     uint32 `cbor:"7,keyasint,omitempty"`
	// FailedTrials is the number of trials in which the target ended.
	FailedTrials uint8 `cbor:"8,keyasint,omitempty"`
	// Caller and Path describe the request to operators.
	Caller string `cbor:"9,keyasint,omitempty"`
	Path   string `cbor:"10,keyasint,omitempty"`
}

// EndReport tells that a run of a target ended while it ran a request.
type EndReport struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
	// EndedMillis is the time since the end, and RanMillis how long the request ran.
	EndedMillis uint32 `cbor:"3,keyasint"`
	RanMillis   uint32 `cbor:"4,keyasint,omitempty"`
	// Caller identifies the caller if Report.Key stands for any.
	Caller []byte `cbor:"5,keyasint,omitempty"`
}

// Sizes of messages.
const (
	// maxReportedEnds bounds the ends in a report. They suffice for a verdict.
	maxReportedEnds = 4
	// maxReports bounds the reports in a message that is sent at once, and
	// maxRegularReports those that go with a regular one.
	maxReports        = 8
	maxRegularReports = 2
	// MaxInitialReports bounds the reports for a process that has just started.
	MaxInitialReports = 32
	// maxAge bounds the ages that are taken from other processes.
	maxAge = time.Hour
)

// How often news are sent at once, each time to a few processes. Regular messages repeat
// them.
const (
	pushesOfEnd     = 2
	pushesOfVerdict = 3
)

func millis(d time.Duration) uint32 { return uint32(max(min(d, maxAge), 0) / time.Millisecond) }

func age(ms uint32) time.Duration { return min(time.Duration(ms)*time.Millisecond, maxAge) }

// report returns the report of a request.
func (s *subject) report(now time.Time) Report {
	r := Report{Key: s.key, Quarantined: s.quarantined}
	if !s.soundAt.IsZero() && now.Sub(s.soundAt) < evidenceRetention {
		r.SoundMillis = millis(now.Sub(s.soundAt)) + 1
	}
	for i := len(s.ends) - 1; i >= 0 && len(r.Ends) < maxReportedEnds; i-- {
		e := &s.ends[i]
		if !e.confirmed || (!s.quarantined && !s.counts(now, e)) {
			continue // the ends that led to a quarantine are told for as long as it lasts
		}
		reported := EndReport{Target: e.Target, Incarnation: e.Incarnation, EndedMillis: millis(now.Sub(e.EndedAt)), RanMillis: millis(e.EndedAt.Sub(e.StartedAt))}
		if s.key.caller() == anyCaller {
			reported.Caller = e.caller[:]
		}
		r.Ends = append(r.Ends, reported)
	}
	s.told = s.told || len(r.Ends) > 0 || s.quarantined
	if s.quarantined {
		r.ConvictedMillis, r.TermMillis, r.TrialMillis = millis(now.Sub(s.convictedAt)), millis(s.until.Sub(now)), millis(s.trialEnds.Sub(now))
		r.FailedTrials = uint8(min(s.failedTrials, 255))
		r.Caller, r.Path = s.caller, s.path
	}
	return r
}

// telling reports whether a report of the request would tell anything.
func (s *subject) telling(now time.Time) bool {
	if s.quarantined || (s.told && now.Sub(s.soundAt) < soundRetention) {
		return true
	}
	return slices.ContainsFunc(s.ends, func(e end) bool { return e.confirmed && s.counts(now, &e) })
}

// Receive merges the reports of another process. It returns what that process does not
// know: completions that outweigh what it told.
func (s *State) Receive(now time.Time, reports []Report) (objections []Report) {
	for i := range reports[:min(len(reports), MaxInitialReports)] {
		r := &reports[i]
		if !r.Key.Known() {
			continue
		}
		if j := s.merge(now, r); j != nil && j.outweighs(now, r) {
			objections = append(objections, j.report(now))
		}
	}
	return objections
}

// merge merges a report. It returns what is known of its request now, or nil if nothing is.
func (s *State) merge(now time.Time, r *Report) *subject {
	if len(r.Ends) == 0 && !r.Quarantined && s.subjects[r.Key] == nil {
		return nil // a completion of a request that is not suspected here
	}
	j := s.subject(now, r.Key)
	j.describe(r.Caller, r.Path)
	j.told = true
	wasQuarantined := j.quarantined
	if r.SoundMillis > 0 {
		s.completed(now, j, now.Add(-age(r.SoundMillis-1)))
	}
	for _, e := range r.Ends[:min(len(r.Ends), maxReportedEnds)] {
		ended := now.Add(-age(e.EndedMillis))
		received := end{
			Run:    Run{Target: truncate(e.Target), Incarnation: e.Incarnation, StartedAt: ended.Add(-age(e.RanMillis)), EndedAt: ended},
			caller: r.Key.caller(), confirmed: true,
		}
		if len(e.Caller) == callerBytes {
			received.caller = callerID(e.Caller)
		}
		s.addEnd(now, j, received)
	}
	if r.Quarantined && len(j.ends) >= minEnds {
		s.mergeVerdict(now, j, r, wasQuarantined)
	}
	return j
}

// mergeVerdict merges the quarantine that a report tells of a request that was quarantined
// before its ends were merged, or was not.
func (s *State) mergeVerdict(now time.Time, j *subject, r *Report, wasQuarantined bool) {
	until, trialEnds := now.Add(age(r.TermMillis)), now.Add(age(r.TrialMillis))
	failed := int(r.FailedTrials)
	switch {
	case !wasQuarantined || failed > j.failedTrials:
		j.quarantined, j.failedTrials, j.until, j.trial = true, failed, until, ""
		j.convictedAt = now.Add(-age(r.ConvictedMillis))
		j.changedAt, j.pushes = now, pushesOfVerdict
		s.changes = slices.DeleteFunc(s.changes, func(c Change) bool { return c.Key == j.key && !c.Released })
		s.changes = append(s.changes, Change{Report: j.report(now)})
	case failed == j.failedTrials && until.After(j.until.Add(time.Second)):
		j.until = until
	}
	if r.TrialMillis > 0 && failed == j.failedTrials && trialEnds.After(j.trialEnds.Add(time.Second)) {
		j.trialEnds = trialEnds
		j.pushes = max(j.pushes, pushesOfEnd)
	}
}

// outweighs reports whether a completion is known that the sender of a report did not know,
// and that outweighs what it told.
func (s *subject) outweighs(now time.Time, r *Report) bool {
	if s.soundAt.IsZero() || s.quarantined {
		return false
	}
	told := r.SoundMillis > 0 && s.soundAt.Sub(now.Add(-age(r.SoundMillis))) < time.Second
	return !told && (r.Quarantined || slices.ContainsFunc(r.Ends, func(e EndReport) bool {
		return !now.Add(-age(e.EndedMillis)).After(s.soundAt.Add(soundFor))
	}))
}

// phase returns a number from 0 to less than 1, which differs between processes.
func phase(self string, k Key) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(self) // never fails, like the next one
	_, _ = d.Write(k[:])
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Urgent returns the reports to send at once to fanout processes, if any, within the
// bandwidth.
func (s *State) Urgent(now time.Time, fanout int) []Report {
	var news []*subject
	for _, j := range s.subjects {
		if j.pushes > 0 && j.telling(now) {
			news = append(news, j)
		}
	}
	slices.SortFunc(news, func(a, b *subject) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), b.changedAt.Compare(a.changedAt))
	})
	var reports []Report
	for _, j := range news[:min(len(news), maxReports)] {
		r := j.report(now)
		reserve := 0
		if j.weight() < minEnds {
			reserve = verdictBytes
		}
		if !s.bandwidth.take(now, fanout*r.size(), reserve) {
			break
		}
		j.pushes--
		reports = append(reports, r)
	}
	return reports
}

// Regular returns the reports that go with a regular message: half of them of the quarantined
// requests that were active last, the others of all requests by turns, quarantined ones first.
func (s *State) Regular(now time.Time, most int) []Report {
	if !s.Watching() {
		return nil
	}
	var quarantined, others []*subject
	for _, j := range s.subjects {
		switch {
		case !j.telling(now):
		case j.quarantined:
			quarantined = append(quarantined, j)
		default:
			others = append(others, j)
		}
	}
	slices.SortFunc(quarantined, func(a, b *subject) int { return b.changedAt.Compare(a.changedAt) })
	slices.SortFunc(others, byKey)
	active := min(max(most/2, 1), len(quarantined))
	rest := slices.Clone(quarantined[active:])
	slices.SortFunc(rest, byKey)
	s.turn++
	told := append(slices.Clone(quarantined[:active]), rotate(rest, s.turn)...)
	told = append(told, rotate(others, s.turn)...)
	var reports []Report
	for _, j := range told[:min(len(told), most)] {
		reports = append(reports, j.report(now))
	}
	return reports
}

func byKey(a, b *subject) int { return slices.Compare(a.key[:], b.key[:]) }

// rotate returns the subjects, beginning with another one in each turn.
func rotate(all []*subject, turn int) []*subject {
	if len(all) == 0 {
		return nil
	}
	from := turn % len(all)
	return append(all[from:len(all):len(all)], all[:from]...)
}

// size estimates the size of a report in bytes.
func (r *Report) size() int {
	const fixed, perEnd = 40, 20
	n := fixed + len(r.Caller) + len(r.Path)
	for i := range r.Ends {
		n += perEnd + len(r.Ends[i].Target)
	}
	return n
}

// Bounds of the news that a process sends at once, in bytes. What exceeds them goes with
// regular messages.
const (
	burstBytes     = 16 << 10
	bytesPerSecond = 1000
	// verdictBytes is the part of burstBytes that is kept for requests under which several
	// targets have ended: many others lose an attempt at the same targets.
	verdictBytes = burstBytes / 2
)

// bandwidth is a token bucket of bytes.
type bandwidth struct {
	available float64
	at        time.Time
}

// take takes n bytes if more than reserve remain.
func (b *bandwidth) take(now time.Time, n, reserve int) bool {
	b.available = min(b.available+bytesPerSecond*max(now.Sub(b.at), 0).Seconds(), burstBytes)
	b.at = now
	if b.available < float64(n+reserve) {
		return false
	}
	b.available -= float64(n)
	return true
}
