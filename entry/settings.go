// Package entry assembles the process that forwards requests of callers to
// targets: it follows the configuration and the targets in the store, serves
// requests, and finds its peers.
package entry

import (
	"net"
	"time"

	"github.com/goldcrestmux/goldcrestmux/forward"
	"github.com/goldcrestmux/goldcrestmux/quota"
	"github.com/goldcrestmux/goldcrestmux/upstream"
	"github.com/juju/errors"
)

// Settings holds what a process is started with.
type Settings struct {
	// Name is the name of the process, unique in the system.
	Name       string
	DataCentre string
	Region     string
	// CallerListen, ReadyListen and PeerListen are the addresses to listen on, as
	// host and port. Without PeerListen the process has no peers.
	CallerListen string
	ReadyListen  string
	PeerListen   string
	// Seeds are the addresses of the first peers to contact; they may be stale.
	Seeds []string
	// StoreAddress is the host and port of the store.
	StoreAddress string
	// MaxConfigDelay is the time within which published changes must be in force.
	MaxConfigDelay time.Duration
	// MemoryLimit is the memory in bytes above which the process is killed; zero if
	// there is no limit.
	MemoryLimit int64
	// Capacity is the processor share of the process, in thousandths of a core; zero if
	// unknown.
	Capacity uint32
	// DataCentres holds the region of each data centre.
	DataCentres map[string]string
	// DrainGrace is the time after the start of draining during which a target may
	// still get requests.
	DrainGrace time.Duration
	// StopTimeout is the time after the stop signal at which the process is killed.
	StopTimeout time.Duration
	RetryBudget forward.RetryBudget
	// Cold bounds the rate of requests from all processes to a cold target.
	Cold upstream.ColdBound
	// MaxKeyAge is the age of the last confirmation of the configuration by the store above
	// which requests that need a key are refused; zero if they are then served.
	MaxKeyAge time.Duration
	// Quota bounds by how much all processes together may exceed the quota of an organisation.
	Quota quota.Bounds
	// MetricsListen is the address on which metrics are served, as host and port;
	// empty if they are not.
	MetricsListen string
}

// Validate returns an error for the first setting that is missing or not valid.
func (s *Settings) Validate() error {
	if s.Name == "" {
		return errors.NotValidf("empty name of the process")
	}
	if s.DataCentre == "" {
		return errors.NotValidf("empty data centre")
	}
	for _, a := range []struct{ what, address string }{
		{"address for callers", s.CallerListen},
		{"address for readiness checks", s.ReadyListen},
		{"address of the store", s.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return errors.NotValidf("%s %q", a.what, a.address)
		}
	}
	if s.RetryBudget.Ratio < 0 || s.RetryBudget.Slack < 0 {
		return errors.NotValidf("negative retry budget")
	}
	if err := s.Quota.Validate(); err != nil {
		return errors.Trace(err)
	}
	if s.StopTimeout <= 0 {
		return errors.NotValidf("stop timeout %v", s.StopTimeout)
	}
	return nil
}
