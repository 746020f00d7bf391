// Package view decides which copy of the platform's VM list a process goes by,
// and how old that copy is.
//
// Every process reads the list itself. One that can't reads it from a peer: a
// copy keeps the time at which the platform was asked, so that its age is never
// told as less than it is, however many processes it passed through.
//
// The package is pure: no goroutine, socket or clock. The caller serialises all
// calls on a Tracker.
package view

import (
	"cmp"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Defaults of Options.
const (
	DefaultMaxAge     = 3 * time.Second
	DefaultAskTimeout = 500 * time.Millisecond
)

// Options configures a Tracker. Zero durations mean the Default constants.
type Options struct {
	// MaxAge is the age above which a copy is not fresh. Peers are asked from
	// half of it on. It must exceed the interval between reads of the list and
	// that between offers together.
	MaxAge time.Duration
	// AskTimeout is how long a peer has to answer before another is asked, and
	// how long an offer counts, in multiples of offerLife.
	AskTimeout time.Duration
}

// offerLife is the number of ask timeouts for which an offer counts.
const offerLife = 6

func (o Options) withDefaults() Options {
	o.MaxAge = cmp.Or(o.MaxAge, DefaultMaxAge)
	o.AskTimeout = cmp.Or(o.AskTimeout, DefaultAskTimeout)
	return o
}

// minGain is the part of MaxAge by which a peer's copy must be younger for it
// to be asked for.
const minGain = 16

// Result is what the caller has to do after an event.
type Result struct {
	// Ask names a peer to send Question to; empty for none.
	Ask      string
	Question wire.ViewAsk
	// Adopted is true if the copy was replaced or became fresher.
	Adopted bool
}

// Tracker holds the copy of the VM list that a process goes by.
type Tracker struct {
	opts   Options
	list   platformapi.VMList
	known  bool
	asOf   time.Time
	offers map[string]offer
	asked  ask
	seq    uint64
	ticked time.Time // when Tick was called last
	// resumed is when this process ran again after a pause.
	resumed time.Time
}

type offer struct {
	at  time.Time // when it arrived
	age time.Duration
}

// ageAt returns the age of the peer's copy at now if the peer has not read the
// list since. A peer that does read it offers a younger one in time.
func (o offer) ageAt(now time.Time) time.Duration { return o.age + now.Sub(o.at) }

type ask struct {
	peer string
	seq  uint64
	at   time.Time
}

// New returns a tracker without a list.
func New(opts Options) *Tracker {
	return &Tracker{opts: opts.withDefaults(), offers: make(map[string]offer)}
}

// List returns the copy and when the platform was asked for it; ok is false
// before the first one.
func (t *Tracker) List() (list platformapi.VMList, asOf time.Time, ok bool) {
	return t.list, t.asOf, t.known
}

// Read takes an answer of the platform that was asked for at asOf.
func (t *Tracker) Read(list platformapi.VMList, asOf time.Time) Result {
	return Result{Adopted: t.adopt(list, asOf)}
}

// adopt replaces the copy by one that is not older in either respect.
func (t *Tracker) adopt(list platformapi.VMList, asOf time.Time) bool {
	if t.known && (list.Sequence < t.list.Sequence || asOf.Before(t.asOf)) {
		return false
	}
	t.list = list
	t.asOf = asOf
	t.known = true
	return true
}

// Offered takes what a peer tells about its copy.
func (t *Tracker) Offered(now time.Time, peer string, o wire.ViewOffer) {
	t.offers[peer] = offer{at: now, age: millis(o.AgeMillis)}
}

// Offer returns what to tell peers; ok is false before the first list.
func (t *Tracker) Offer(now time.Time) (o wire.ViewOffer, ok bool) {
	return wire.ViewOffer{Sequence: t.list.Sequence, AgeMillis: t.age(now)}, t.known
}

// age returns the copy's age in milliseconds, rounded up.
func (t *Tracker) age(now time.Time) uint32 {
	age := now.Sub(t.asOf) + time.Millisecond - 1
	return uint32(min(age.Milliseconds(), int64(^uint32(0))))
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// Asked answers a peer's question; ok is false before the first list.
func (t *Tracker) Asked(now time.Time, q wire.ViewAsk) (a wire.ViewAnswer, ok bool) {
	a = wire.ViewAnswer{Seq: q.Seq, Sequence: t.list.Sequence, AgeMillis: t.age(now)}
	if q.Sequence != t.list.Sequence {
		for _, vm := range t.list.VMs {
			a.VMs = append(a.VMs, wire.VM(vm))
		}
	}
	return a, t.known
}

// Answered takes a peer's copy. The peer read its clock after the question was
// sent, so the copy is dated from then.
func (t *Tracker) Answered(peer string, a wire.ViewAnswer) Result {
	if peer != t.asked.peer || a.Seq != t.asked.seq {
		return Result{}
	}
	asOf := t.asked.at.Add(-millis(a.AgeMillis))
	t.asked = ask{}
	if t.known && a.Sequence == t.list.Sequence {
		return Result{Adopted: t.adopt(t.list, asOf)}
	}
	list := platformapi.VMList{Sequence: a.Sequence}
	for _, vm := range a.VMs {
		list.VMs = append(list.VMs, platformapi.VM(vm))
	}
	return Result{Adopted: t.adopt(list, asOf)}
}

// Tick asks the peer with the freshest offer if the copy gets old.
func (t *Tracker) Tick(now time.Time) Result {
	if !t.ticked.IsZero() && now.Sub(t.ticked) > t.opts.MaxAge/2 {
		t.resumed = now
	}
	t.ticked = now
	t.expire(now)
	if t.known && now.Sub(t.asOf) < t.opts.MaxAge/2 {
		return Result{}
	}
	if t.asked.peer != "" && now.Sub(t.asked.at) < t.opts.AskTimeout {
		return Result{}
	}
	if t.asked.peer != "" {
		delete(t.offers, t.asked.peer)
	}
	peer := t.freshest(now)
	t.asked = ask{peer: peer, at: now}
	if peer == "" {
		return Result{}
	}
	t.seq++
	t.asked.seq = t.seq
	return Result{Ask: peer, Question: wire.ViewAsk{Seq: t.seq, Sequence: t.list.Sequence}}
}

func (t *Tracker) expire(now time.Time) {
	for peer, o := range t.offers {
		if now.Sub(o.at) > offerLife*t.opts.AskTimeout {
			delete(t.offers, peer)
		}
	}
}

// freshest returns the peer whose copy is fresh and younger than this process's
// own, or "".
func (t *Tracker) freshest(now time.Time) string {
	best := ""
	limit := t.opts.MaxAge
	if t.known {
		limit = min(limit, now.Sub(t.asOf)-t.opts.MaxAge/minGain)
	}
	for peer, o := range t.offers {
		age := o.ageAt(now)
		if age < limit || age == limit && best != "" && peer < best {
			best = peer
			limit = age
		}
	}
	return best
}

// Fresh reports whether the copy is young enough to act on.
func (t *Tracker) Fresh(now time.Time) bool {
	return t.known && now.Sub(t.asOf) < t.opts.MaxAge
}

// Gap tells that this process was paused, also where Tick could not see it
// because the monotonic clock stood still.
func (t *Tracker) Gap(now time.Time) { t.resumed = now }

// Down reports whether nobody within reach has a fresh copy: the list can't be
// read here, and no peer offers a fresh one. It is false before the first list,
// and for MaxAge after a pause of this process: until then its silence about the
// list is its own.
func (t *Tracker) Down(now time.Time) bool {
	if !t.known || t.Fresh(now) {
		return false
	}
	if !t.resumed.IsZero() && now.Sub(t.resumed) < t.opts.MaxAge {
		return false
	}
	for _, o := range t.offers {
		if o.ageAt(now) < t.opts.MaxAge {
			return false
		}
	}
	return true
}
