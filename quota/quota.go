// Package quota holds the requests of organisations to their quotas over all processes
// together. Processes count what they admit and report it to a coordinator, one of them, that
// keeps a token bucket for the organisation. While the bucket is full enough, processes admit
// by themselves; else they ask the coordinator.
//
// The package is pure: time and randomness are passed in, it does no I/O and has no locks.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Limit is the quota of an organisation: Rate requests per second and Burst beyond them.
type Limit struct{ Rate, Burst float64 }

// Bounds describes by how much all processes together may exceed a quota: in each span of
// Window, at most (Rate x Window + Burst) x (1 + Overshoot) + Slack requests run.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// DefaultBounds applies where the settings name none.
var DefaultBounds = Bounds{Window: 5 * time.Second, Overshoot: 0.25, Slack: 20}

// Limits of Bounds.
const (
	minWindow = 100 * time.Millisecond
	maxWindow = time.Hour
	maxBound  = 1e9 // of Overshoot and Slack
)

// Validate returns an error for the first bound that makes no sense.
func (b Bounds) Validate() error {
	if b.Window < minWindow || b.Window > maxWindow {
		return errors.NotValidf("quota window %v", b.Window)
	}
	if !(b.Overshoot >= 0 && b.Overshoot <= maxBound) {
		return errors.NotValidf("quota overshoot %v", b.Overshoot)
	}
	if !(b.Slack >= 0 && b.Slack <= maxBound) {
		return errors.NotValidf("quota slack %v", b.Slack)
	}
	return nil
}

// Most returns the largest number of requests that may run in a window.
func (b Bounds) Most(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overshoot) + b.Slack
}

// margin is the part of Most beyond the quota.
func (b Bounds) margin(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*b.Overshoot + b.Slack
}

// Division of the margin. The coordinator uses some of it so that requests which vary about
// the quota are not refused; the rest covers what processes admit while they can't ask.
const (
	// burstMarginPart of the margin is added to the burst: with a burst of 9 and random
	// arrivals at the rate of the quota, the bare bucket refuses one request in 19.
	burstMarginPart = 0.3
	// ratePart is the rate of the bucket, in multiples of that of the quota.
	ratePart = 1.03
	// freshMarginPart of the margin is what a coordinator grants that does not know what was
	// used before it.
	freshMarginPart = 0.2
	// freeMarginPart of the margin is what all processes together admit in a window without
	// the word of a coordinator. Half of them at most are without one while others use the
	// whole quota.
	freeMarginPart = 0.25
	// minorityPart of its part of the quota is what a coordinator grants that reaches less
	// than half of the processes.
	minorityPart = 0.1
)

// capacity returns the size of the bucket.
func (b Bounds) capacity(l Limit) float64 { return l.Burst + burstMarginPart*b.margin(l) }

// fresh returns the first level of a bucket whose past is not known.
func (b Bounds) fresh(l Limit) float64 {
	return min(b.capacity(l), freshMarginPart*b.margin(l))
}

// ID identifies an organisation in messages: the hash of its name.
type ID uint64

// IDOf returns the ID of the organisation with a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// fractionOf returns a number from 0 to less than 1 that is fixed for a pair of hashes.
func fractionOf(a, b uint64) float64 {
	return float64(mix(a^mix(b))>>11) / (1 << 53)
}
