// Package permit decides which relay may use which permit of a target group.
//
// Each group of targets has numbered permits. Every relay computes from the VM
// list which relay owns a permit (rendezvous hashing, spread over data
// centres). Views of the list differ for a while, so a relay that gains a
// permit first collects the release of each relay that may still hold it, or
// waits until such a relay must have stopped by itself. See
// docs/design/permits.md for the bound and its proof.
//
// The package is pure: no goroutine, socket or clock. The caller serialises
// all calls on a Table.
package permit

import (
	"cmp"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Key names one permit: number Index of a target group.
type Key struct {
	Group string
	Index int
}

// Relay is a relay of the VM list.
type Relay struct {
	// Name is the process name, as of wire.Process.Name.
	Name       string
	DataCentre string
	// Leaving is true once the platform has decided to stop the VM. A leaving
	// relay owns nothing.
	Leaving bool
}

// VMList is the VM list as one relay has read it.
type VMList struct {
	// Sequence grows with each change of the list. A lower one is ignored.
	Sequence uint64
	// AsOf is when the read was sent; zero means the time of the event.
	AsOf   time.Time
	Relays []Relay
}

// Default times. They satisfy the conditions that Options.Check states.
const (
	DefaultFencingDelay = 15 * time.Second
	DefaultVMListMaxAge = 3 * time.Second
	DefaultVMListLag    = 4 * time.Second
	DefaultHandoverWait = 5 * time.Second
	DefaultQuietPeriod  = 2 * time.Second
)

// Intervals between repeated asks.
const (
	minAskInterval = 100 * time.Millisecond
	maxAskInterval = 2 * time.Second
)

// maxAskAll is the number of listed relays up to which a relay that can't be
// sure who holds a permit asks all of them. In a larger fleet it waits instead.
const maxAskAll = 16

// clockRateMargin is the divisor that gives the share of a delay by which two
// clocks may drift apart over that delay: 1%.
const clockRateMargin = 100

// Options configures a Table. Zero durations mean the Default constants.
type Options struct {
	// Self is the process name of this relay.
	Self string
	// FencingDelay is how long after it was first seen dropped from the list a
	// relay may still use permits. Also the age from which a relay's own
	// history of views suffices to know who may hold a permit.
	FencingDelay time.Duration
	// VMListMaxAge is the age of the view above which all use is suspended.
	VMListMaxAge time.Duration
	// VMListLag bounds how far the platform's answer lags behind its own list.
	VMListLag time.Duration
	// HandoverWait is how long a relay goes on using a permit that the list
	// gives to another relay which hasn't asked for it yet.
	HandoverWait time.Duration
	// QuietPeriod bounds how long work runs at a target after it was sent. A
	// started process waits as long for the work of its former run.
	QuietPeriod time.Duration
	// StartDelay is how long a relay waits that can't be sure who holds a
	// permit, as at the start of a whole fleet; zero means FencingDelay. A lower
	// value risks that a relay that was dropped shortly before is still at work.
	StartDelay time.Duration
}

// ErrInvalidOptions is the error of options that break the conditions of the fencing proof.
const ErrInvalidOptions = errors.ConstError("permit options break the fencing conditions")

func (o Options) withDefaults() Options {
	o.FencingDelay = cmp.Or(o.FencingDelay, DefaultFencingDelay)
	o.VMListMaxAge = cmp.Or(o.VMListMaxAge, DefaultVMListMaxAge)
	o.VMListLag = cmp.Or(o.VMListLag, DefaultVMListLag)
	o.HandoverWait = cmp.Or(o.HandoverWait, DefaultHandoverWait)
	o.QuietPeriod = cmp.Or(o.QuietPeriod, DefaultQuietPeriod)
	o.StartDelay = cmp.Or(o.StartDelay, o.FencingDelay)
	return o
}

// Validate returns ErrOptions unless a relay that is dropped, or that the list no
// longer names, has surely stopped before another may take its permits.
func (o Options) Validate() error {
	fence := o.FencingDelay - o.FencingDelay/clockRateMargin
	stop := o.VMListLag + o.VMListMaxAge + o.HandoverWait + o.QuietPeriod
	if fence < stop {
		return errors.Annotatef(ErrInvalidOptions, "fencing delay %v, stop within %v", o.FencingDelay, stop)
	}
	resume := 2 * (o.VMListLag + o.VMListMaxAge)
	if fence < resume {
		return errors.Annotatef(ErrInvalidOptions, "fencing delay %v, resume within %v", o.FencingDelay, resume)
	}
	return nil
}

// Action is something that the caller of a Table has to do: SendReleaseRequest,
// SendReleaseResponse, Acquired or Draining.
type Action interface{ action() }

// SendReleaseRequest sends an ask to a relay.
type SendReleaseRequest struct {
	To      string
	Request wire.ReleaseRequest
}

// SendReleaseResponse sends the final answer to an earlier ask.
type SendReleaseResponse struct {
	To       string
	Response wire.ReleaseResponse
}

// Acquired tells that the permit is usable from now on. Warm lists targets that
// former holders handed over as warm.
type Acquired struct {
	Key  Key
	Warm []wire.WarmTarget
}

// Draining tells to start no more work on the permit and to call
// Table.Returned when the work in progress has ended.
type Draining struct{ Key Key }

func (SendReleaseRequest) action()  {}
func (SendReleaseResponse) action() {}
func (Acquired) action()            {}
func (Draining) action()            {}
