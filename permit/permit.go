// Package permit decides which relay may use which permit of a target group.
//
// Each group of targets has numbered permits. Every relay computes from the VM
// list which relay owns a permit (rendezvous hashing, spread over data
// centres). After a change, the relays' copies of the list differ for a while,
// so a relay that becomes the owner of a permit first collects the release of
// each relay that may still hold it, or waits until such a relay must have
// stopped by itself. See docs/design/permits.md for the bound and its proof.
//
// The package uses no goroutines, sockets or clocks: the current time is passed
// in. A Table is not safe for concurrent use.
package permit

import (
	"cmp"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Key identifies one permit: number Index of a target group.
type Key struct {
	Group string
	Index int
}

// Relay is a relay that the VM list names.
type Relay struct {
	// Name is the process name, as returned by wire.Process.Name.
	Name       string
	DataCentre string
	// Leaving is true once the platform has decided to stop the VM. A leaving
	// relay owns no permits.
	Leaving bool
}

// VMList is one relay's copy of the VM list.
type VMList struct {
	// Sequence increases with each change of the list. A copy with a lower
	// sequence than the current one is ignored.
	Sequence uint64
	// AsOf is when the read was sent; zero means the time of the call to
	// SetVMList.
	AsOf   time.Time
	Relays []Relay
}

// Default values of Options. They satisfy the conditions of Options.Validate.
const (
	DefaultFencingDelay = 15 * time.Second
	DefaultVMListMaxAge = 3 * time.Second
	DefaultVMListLag    = 4 * time.Second
	DefaultHandoverWait = 5 * time.Second
	DefaultQuietPeriod  = 2 * time.Second
)

// Bounds of the interval between repeated release requests to one relay.
const (
	minRequestInterval = 100 * time.Millisecond
	maxRequestInterval = 2 * time.Second
)

// maxRequestAll is the number of listed relays up to which a relay that cannot
// tell who holds a permit requests its release from all of them. In a larger
// fleet it waits for StartDelay instead.
const maxRequestAll = 16

// clockDriftDivisor is the divisor of a delay that yields how far two clocks may
// drift apart during that delay: 1%.
const clockDriftDivisor = 100

// Options configures a Table. A zero duration selects its default.
type Options struct {
	// Self is the process name of this relay.
	Self string
	// FencingDelay is how long a relay may still use permits after another relay
	// has first seen that the VM list no longer names it. Unless StartDelay is set,
	// it is also how long a relay must have followed the VM list before its history
	// of lists names every relay that may hold a permit.
	FencingDelay time.Duration
	// VMListMaxAge is the age of the copy of the VM list above which no permit may be
	// used, except as SetVMListDown allows.
	VMListMaxAge time.Duration
	// VMListLag bounds how far the list that the platform serves lags behind its
	// current one.
	VMListLag time.Duration
	// HandoverWait is how long a relay goes on using a permit that the VM list
	// assigns to another relay which has not requested its release yet.
	HandoverWait time.Duration
	// QuietPeriod bounds how long a request runs at a target after it was sent. A
	// process that starts waits as long for the requests of its previous
	// incarnation to end.
	QuietPeriod time.Duration
	// StartDelay is how long a relay waits before it acquires a permit whose
	// possible holders it does not know, as when a whole fleet starts; zero means
	// FencingDelay. With a lower value, a relay that was removed from the list
	// shortly before may still use the permit.
	StartDelay time.Duration
}

// ErrInvalidOptions is returned for options that violate the conditions of the
// fencing proof.
const ErrInvalidOptions = errors.ConstError("permit options violate the fencing conditions")

func (o Options) withDefaults() Options {
	o.FencingDelay = cmp.Or(o.FencingDelay, DefaultFencingDelay)
	o.VMListMaxAge = cmp.Or(o.VMListMaxAge, DefaultVMListMaxAge)
	o.VMListLag = cmp.Or(o.VMListLag, DefaultVMListLag)
	o.HandoverWait = cmp.Or(o.HandoverWait, DefaultHandoverWait)
	o.QuietPeriod = cmp.Or(o.QuietPeriod, DefaultQuietPeriod)
	o.StartDelay = cmp.Or(o.StartDelay, o.FencingDelay)
	return o
}

// Validate returns ErrInvalidOptions unless the options guarantee that a relay
// that is removed from the VM list, or no longer owns a permit, has stopped
// using its permits before another relay may acquire them.
func (o Options) Validate() error {
	wait := o.FencingDelay - o.FencingDelay/clockDriftDivisor
	stop := o.VMListLag + o.VMListMaxAge + o.HandoverWait + o.QuietPeriod
	if wait < stop {
		return errors.Annotatef(ErrInvalidOptions, "fencing delay %v, less 1%% for clock drift, is below the %v within which a relay stops", o.FencingDelay, stop)
	}
	resume := 2 * (o.VMListLag + o.VMListMaxAge)
	if wait < resume {
		return errors.Annotatef(ErrInvalidOptions, "fencing delay %v, less 1%% for clock drift, is below the %v within which a relay resumes", o.FencingDelay, resume)
	}
	return nil
}

// Action is what the user of a Table has to do after an event. It is one of
// SendReleaseRequest, SendReleaseResponse, Acquired and Draining.
type Action interface{ action() }

// SendReleaseRequest requires a release request to be sent to relay To.
type SendReleaseRequest struct {
	To      string
	Request wire.ReleaseRequest `json:"Ask"`
}

// SendReleaseResponse requires the final response to an earlier release request
// to be sent to relay To.
type SendReleaseResponse struct {
	To       string
	Response wire.ReleaseResponse `json:"Answer"`
}

// Acquired reports that the permit is usable from now on. Warm lists the targets
// that a former holder handed over as warm.
type Acquired struct {
	Key  Key
	Warm []wire.WarmTarget
}

// Draining requires that no more requests are sent under the permit, and that
// Table.Drained is called when those in progress have ended.
type Draining struct{ Key Key }

func (SendReleaseRequest) action()  {}
func (SendReleaseResponse) action() {}
func (Acquired) action()            {}
func (Draining) action()            {}
