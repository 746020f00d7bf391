package member

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Member is what is known of one process.
type Member struct {
	Entry
	Status      wire.MemberStatus
	Incarnation uint64
	// Revision is the folder revision that the member has in force; 0 if
	// unknown. Neighbours know it within an interval, others within about a minute.
	Revision uint64
	// LastDirectContact is when this process last heard from the member directly.
	LastDirectContact time.Time
	// LastContact is when any process did, as far as known.
	LastContact time.Time
	// Peer is true if this process exchanges heartbeats with the member.
	Peer bool
}

// region is what is known of a region as a whole.
type region struct {
	// contact is the last contact that any process elsewhere had with it.
	contact time.Time
	// witness is the member that the contact was with.
	witness *record
	// silent is true if the contact was too long ago.
	silent bool
}

// record is the state kept for one listed process.
type record struct {
	entry       Entry
	region      *region
	incarnation uint64
	revision    uint64
	// leaving is true if the member itself told that it leaves.
	leaving bool
	// heard is the last direct contact; contact the last that anyone had.
	heard   time.Time
	contact time.Time
	// evidence is the last sign of life of any kind.
	evidence   time.Time
	accusation *suspicion
	// suspected is when the accusation's window passed; zero if it hasn't.
	suspected time.Time
	gone      bool
	// refuted counts own accusations that were refuted since the last direct contact.
	refuted int
	// tell is true if the member must be told that it is accused.
	tell bool
	// status is the status last reported.
	status wire.MemberStatus
}

// accused tells whether the member is accused by the process with the given hash.
func (r *record) accused(by uint32) bool {
	if r.accusation == nil {
		return false
	}
	for _, a := range r.accusation.accusers {
		if a == by {
			return true
		}
	}
	return false
}

func (r *record) clear() {
	r.accusation = nil
	r.suspected = time.Time{}
	r.gone = false
}

// judge moves an accused member on to suspect and gone; one that told that it
// leaves is gone at once.
func (r *record) judge(now time.Time, o *Options) {
	if r.accusation == nil {
		return
	}
	if r.suspected.IsZero() {
		if r.accusation.expired(now, o) {
			r.suspected = now
			r.gone = r.leaving
		}
		return
	}
	if !r.region.silent && now.Sub(r.suspected) >= o.GoneAfter {
		r.gone = true
	}
}

// hold moves the deadlines of an accusation on, for a time in which this
// process could not judge.
func (r *record) hold(d time.Duration) {
	if r.accusation != nil {
		r.accusation.started = r.accusation.started.Add(d)
	}
	if !r.suspected.IsZero() {
		r.suspected = r.suspected.Add(d)
	}
}

func (r *record) current() wire.MemberStatus {
	switch {
	case r.gone:
		return wire.MemberGone
	case r.leaving || r.entry.Leaving:
		return wire.MemberLeaving
	case r.region.silent || !r.suspected.IsZero():
		return wire.MemberSuspect
	default:
		return wire.MemberAlive
	}
}

// update returns the gossip entry for the member.
func (r *record) update(now time.Time) wire.MemberUpdate {
	u := wire.MemberUpdate{
		Name:        r.entry.Name,
		Incarnation: r.incarnation,
		Status:      wire.MemberAlive,
		Revision:    r.revision,
	}
	if !r.contact.IsZero() {
		u.SeenMillis = seenMillis(now.Sub(r.contact))
	}
	switch {
	case r.accusation != nil:
		u.Status = wire.MemberSuspect
		u.Accusers = append([]uint32(nil), r.accusation.accusers...)
	case r.leaving:
		u.Status = wire.MemberLeaving
	}
	return u
}

// maxSeen is the greatest age of a contact that is passed on.
const maxSeen = time.Minute

func seenMillis(age time.Duration) uint32 {
	if age > maxSeen {
		return 0
	}
	return uint32(max(age, 0)/time.Millisecond) + 1
}
