// Package vmlist keeps a process's copy of the platform's VM list, and decides
// when to request a fresher copy from a peer.
//
// Every process reads the list from the platform. A process that cannot read it
// gets a copy from a peer. A copy is dated by the time at which it was requested
// from the platform, so that its age is never understated, however many
// processes have passed it on.
//
// The package starts no goroutines, opens no sockets and reads no clock. A
// Tracker is not safe for concurrent use.
package vmlist

import (
	"cmp"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Defaults of Options.
const (
	DefaultMaxAge         = 3 * time.Second
	DefaultRequestTimeout = 500 * time.Millisecond
)

// Options configures a Tracker. Zero durations mean the Default constants.
type Options struct {
	// MaxAge is the age from which a copy is no longer fresh. From half of MaxAge
	// on, a fresher copy is requested from peers. MaxAge must exceed the sum of
	// the interval between reads of the list and the interval between offers.
	MaxAge time.Duration
	// RequestTimeout is how long a peer has to respond before the copy of another
	// peer is requested. An offer expires after offerLifetime times as long.
	RequestTimeout time.Duration
}

// offerLifetime is the lifetime of an offer as a multiple of RequestTimeout.
const offerLifetime = 6

func (o Options) withDefaults() Options {
	o.MaxAge = cmp.Or(o.MaxAge, DefaultMaxAge)
	o.RequestTimeout = cmp.Or(o.RequestTimeout, DefaultRequestTimeout)
	return o
}

// minGainDivisor divides MaxAge to give the minimum gain: a peer's copy is
// requested only if it is younger than the local copy by more than that.
const minGainDivisor = 16

// Result is the outcome of an event.
type Result struct {
	// Peer is the peer to send Request to; empty if there is nothing to send.
	Peer    string
	Request wire.VMListRequest
	// Updated is true if the copy or its date was replaced.
	Updated bool
}

// Tracker holds a process's copy of the VM list and the offers of its peers.
type Tracker struct {
	opts    Options
	list    platformapi.VMList
	known   bool      // false before the first list
	asOf    time.Time // when list was requested from the platform
	offers  map[string]offer
	pending pendingRequest
	lastID  uint64
	// lastTick is when Tick was last called.
	lastTick time.Time
	// resumed is when this process last resumed after a pause.
	resumed time.Time
}

type offer struct {
	receivedAt time.Time
	age        time.Duration // of the peer's copy at receivedAt
}

// ageAt returns the age of the peer's copy at now, assuming that the peer has
// not read the list since the offer. A peer that has read it sends a new offer.
func (o offer) ageAt(now time.Time) time.Duration { return o.age + now.Sub(o.receivedAt) }

// pendingRequest is the latest request to a peer. Its peer is empty if there is
// none or a response was received.
type pendingRequest struct {
	peer   string
	id     uint64
	sentAt time.Time
}

// New returns a Tracker without a list.
func New(opts Options) *Tracker {
	return &Tracker{opts: opts.withDefaults(), offers: make(map[string]offer)}
}

// List returns the copy and the time at which it was requested from the platform;
// ok is false before the first list.
func (t *Tracker) List() (list platformapi.VMList, asOf time.Time, ok bool) {
	return t.list, t.asOf, t.known
}

// ReceiveList handles a list that was requested from the platform at asOf.
func (t *Tracker) ReceiveList(list platformapi.VMList, asOf time.Time) Result {
	return Result{Updated: t.update(list, asOf)}
}

// update replaces the copy unless the new one has a lower sequence or an
// earlier date, and reports whether it did.
func (t *Tracker) update(list platformapi.VMList, asOf time.Time) bool {
	if t.known && (list.Sequence < t.list.Sequence || asOf.Before(t.asOf)) {
		return false
	}
	t.list = list
	t.asOf = asOf
	t.known = true
	return true
}

// ReceiveOffer handles a peer's offer of its copy.
func (t *Tracker) ReceiveOffer(now time.Time, peer string, o wire.VMListOffer) {
	t.offers[peer] = offer{receivedAt: now, age: millis(o.AgeMillis)}
}

// Offer returns the offer to send to peers; ok is false before the first list.
func (t *Tracker) Offer(now time.Time) (o wire.VMListOffer, ok bool) {
	return wire.VMListOffer{Sequence: t.list.Sequence, AgeMillis: t.ageMillis(now)}, t.known
}

// ageMillis returns the copy's age in milliseconds, rounded up.
func (t *Tracker) ageMillis(now time.Time) uint32 {
	age := now.Sub(t.asOf) + time.Millisecond - 1
	return uint32(min(age.Milliseconds(), int64(^uint32(0))))
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// HandleRequest returns the response to a peer's request; ok is false before
// the first list.
func (t *Tracker) HandleRequest(now time.Time, req wire.VMListRequest) (resp wire.VMListResponse, ok bool) {
	resp = wire.VMListResponse{ID: req.ID, Sequence: t.list.Sequence, AgeMillis: t.ageMillis(now)}
	if req.Sequence != t.list.Sequence {
		for _, vm := range t.list.VMs {
			resp.VMs = append(resp.VMs, wire.VM(vm))
		}
	}
	return resp, t.known
}

// ReceiveResponse handles a peer's response. The peer computed the age after the
// request was sent, so subtracting it from the time of the request never
// understates the age of the copy.
func (t *Tracker) ReceiveResponse(peer string, resp wire.VMListResponse) Result {
	if peer != t.pending.peer || resp.ID != t.pending.id {
		return Result{}
	}
	asOf := t.pending.sentAt.Add(-millis(resp.AgeMillis))
	t.pending = pendingRequest{}
	if t.known && resp.Sequence == t.list.Sequence {
		return Result{Updated: t.update(t.list, asOf)}
	}
	list := platformapi.VMList{Sequence: resp.Sequence}
	for _, vm := range resp.VMs {
		list.VMs = append(list.VMs, platformapi.VM(vm))
	}
	return Result{Updated: t.update(list, asOf)}
}

// Tick requests the copy of the peer with the freshest offer if there is no
// local copy or it is at least half of MaxAge old.
func (t *Tracker) Tick(now time.Time) Result {
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > t.opts.MaxAge/2 {
		t.resumed = now
	}
	t.lastTick = now
	t.expireOffers(now)
	if t.known && now.Sub(t.asOf) < t.opts.MaxAge/2 {
		return Result{}
	}
	if t.pending.peer != "" && now.Sub(t.pending.sentAt) < t.opts.RequestTimeout {
		return Result{}
	}
	if t.pending.peer != "" {
		delete(t.offers, t.pending.peer)
	}
	peer := t.freshestPeer(now)
	t.pending = pendingRequest{peer: peer, sentAt: now}
	if peer == "" {
		return Result{}
	}
	t.lastID++
	t.pending.id = t.lastID
	return Result{Peer: peer, Request: wire.VMListRequest{ID: t.lastID, Sequence: t.list.Sequence}}
}

func (t *Tracker) expireOffers(now time.Time) {
	for peer, o := range t.offers {
		if now.Sub(o.receivedAt) > offerLifetime*t.opts.RequestTimeout {
			delete(t.offers, peer)
		}
	}
}

// freshestPeer returns the peer with the youngest copy, or "" if no peer's copy
// is fresh and younger than the local one by the minimum gain. Of equally young
// copies it chooses the peer whose name sorts first.
func (t *Tracker) freshestPeer(now time.Time) string {
	best := ""
	limit := t.opts.MaxAge
	if t.known {
		limit = min(limit, now.Sub(t.asOf)-t.opts.MaxAge/minGainDivisor)
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

// Fresh reports whether the copy is younger than MaxAge.
func (t *Tracker) Fresh(now time.Time) bool {
	return t.known && now.Sub(t.asOf) < t.opts.MaxAge
}

// Paused records that this process did not run for a while. The local copy and
// the offers may be old only because of that, so Down returns false for MaxAge.
// Tick detects a pause by itself, except one during which the monotonic clock
// did not advance.
func (t *Tracker) Paused(now time.Time) { t.resumed = now }

// Down reports whether no fresh copy is available: the local copy is not fresh,
// and no peer offers a fresh one. Down returns false before the first list. It
// also returns false for MaxAge after a pause of this process, because until
// then the local copy and the offers may be old only because of the pause.
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
