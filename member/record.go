package member

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Member is what this process knows of one process.
type Member struct {
	Entry
	Status      wire.MemberStatus
	Incarnation uint64
	// Revision is the folder revision that the member has in force; 0 if
	// unknown. Its peers know it within a heartbeat interval, others within
	// about a minute.
	Revision uint64
	// LastDirectContact is when this process last received a heartbeat of the member.
	LastDirectContact time.Time
	// LastContact is when any process did, as far as this one knows.
	LastContact time.Time
	// Peer is true if this process exchanges heartbeats with the member.
	Peer bool
}

// region is what this process knows of a region as a whole.
type region struct {
	// lastContact is the last contact that any process outside the region had
	// with it.
	lastContact time.Time
	// contacted is the member that lastContact was with.
	contacted *record
	// silent is true if lastContact is too long ago.
	silent bool
}

// record is the state kept for one listed process.
type record struct {
	entry       Entry
	region      *region
	incarnation uint64
	revision    uint64
	// leaving is true if the member itself announced that it leaves.
	leaving bool
	// pathChanges is how often the incarnation has lost and regained its path to targets.
	pathChanges uint32
	// lastDirectContact is when this process last received a heartbeat of the
	// member; lastContact is when any process did, as far as this one knows.
	lastDirectContact time.Time
	lastContact       time.Time
	// incarnationSince is when this process learned the incarnation.
	incarnationSince time.Time
	accusation       *accusation
	// suspectSince is when the accusation's timeout passed; zero if it has not.
	suspectSince time.Time
	gone         bool
	// refutations counts the accusations by this process that were refuted
	// since the last direct contact.
	refutations int
	// promptRefutation is true if the next heartbeat to the member must report
	// it as suspect, so that it raises its incarnation.
	promptRefutation bool
	// status is the status last reported.
	status wire.MemberStatus
}

// accusedBy reports whether the process with the given hash accuses the member.
func (r *record) accusedBy(hash uint32) bool {
	if r.accusation == nil {
		return false
	}
	for _, a := range r.accusation.accusers {
		if a == hash {
			return true
		}
	}
	return false
}

// clearAccusation removes the accusation and what followed from it.
func (r *record) clearAccusation() {
	r.accusation = nil
	r.suspectSince = time.Time{}
	r.gone = false
}

// advance makes an accused member suspect, and then gone, when the timeouts
// have passed. A member that announced that it leaves is gone when it becomes
// suspect.
func (r *record) advance(now time.Time, o *Options) {
	if r.accusation == nil {
		return
	}
	if r.suspectSince.IsZero() {
		if r.accusation.expired(now, o) {
			r.suspectSince = now
			r.gone = r.leaving
		}
		return
	}
	if !r.region.silent && now.Sub(r.suspectSince) >= o.GoneAfter {
		r.gone = true
	}
}

// postpone extends the timeouts of an accusation by d, a time in which this
// process was not healthy enough to accuse.
func (r *record) postpone(d time.Duration) {
	if r.accusation != nil {
		r.accusation.started = r.accusation.started.Add(d)
	}
	if !r.suspectSince.IsZero() {
		r.suspectSince = r.suspectSince.Add(d)
	}
}

func (r *record) currentStatus() wire.MemberStatus {
	switch {
	case r.gone:
		return wire.MemberGone
	case r.leaving || r.entry.Leaving:
		return wire.MemberLeaving
	case r.region.silent || !r.suspectSince.IsZero():
		return wire.MemberSuspect
	case pathLost(r.pathChanges):
		return wire.MemberCutOff
	default:
		return wire.MemberAlive
	}
}

// memberUpdate returns the update that gossip carries about the member.
func (r *record) memberUpdate(now time.Time) wire.MemberUpdate {
	u := wire.MemberUpdate{
		Name:        r.entry.Name,
		Incarnation: r.incarnation,
		Status:      wire.MemberAlive,
		Revision:    r.revision,
		PathChanges: r.pathChanges,
	}
	if !r.lastContact.IsZero() {
		u.SeenMillis = seenMillis(now.Sub(r.lastContact))
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

// maxContactAge is the greatest age of a contact that is sent to peers.
const maxContactAge = time.Minute

// seenMillis returns the age of a contact as wire.MemberUpdate encodes it; 0
// if it is older than maxContactAge.
func seenMillis(age time.Duration) uint32 {
	if age > maxContactAge {
		return 0
	}
	return uint32(max(age, 0)/time.Millisecond) + 1
}
