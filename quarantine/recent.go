package quarantine

import "time"

// recentSlots is the number of requests whose last completion is remembered, for
// soundFor and the rates of requests of single VMs.
const recentSlots = 16384

// recent remembers when targets last completed requests, in bounded memory: a request may
// replace another one.
type recent struct {
	epoch time.Time
	slots [recentSlots]completion
}

// completion is the last completion of a request.
type completion struct {
	fingerprint uint64
	at          time.Duration // since the epoch
}

func (r *recent) add(now time.Time, k Key) {
	f := k.fingerprint()
	r.slots[f%recentSlots] = completion{f, now.Sub(r.epoch)}
}

// at returns when a target last completed a request, or zero if that is not remembered.
func (r *recent) at(k Key) time.Time {
	f := k.fingerprint()
	if c := r.slots[f%recentSlots]; c.fingerprint == f {
		return r.epoch.Add(c.at)
	}
	return time.Time{}
}
