// Package entry assembles the process that faces callers and targets at once:
// it follows what is published, forwards requests, and finds its peers.
package entry

import (
	"net"
	"time"

	"github.com/goldcrestmux/goldcrestmux/forward"
	"github.com/goldcrestmux/goldcrestmux/upstream"
	"github.com/juju/errors"
)

// Settings are what a process is started with.
type Settings struct {
	// Name is the process's own, unique in the system.
	Name       string
	DataCentre string
	Region     string
	// CallerListen, ReadyListen and PeerListen are hosts and ports.
	CallerListen string
	ReadyListen  string
	PeerListen   string
	// Seeds are the peers' addresses to begin with; they may be stale.
	Seeds []string
	// StoreAddress is the host and port of the store to follow.
	StoreAddress string
	// MaxConfigDelay is the time within which published changes must be in force.
	MaxConfigDelay time.Duration
	// MemoryLimit is the memory in bytes above which the process is killed.
	MemoryLimit int64
	// DrainGrace is how long after its word that it drains a target may still
	// get requests.
	DrainGrace time.Duration
	// StopTimeout is how long after a stop was asked for the process is ended.
	StopTimeout time.Duration
	RetryBudget forward.RetryBudget
	Cold        upstream.ColdBound
	// MetricsListen is the host and port of the metrics; empty for none.
	MetricsListen string
}

// Validate reports the first setting that is missing or not valid.
func (s *Settings) Validate() error {
	if s.Name == "" {
		return errors.NotValidf("empty name of the process")
	}
	if s.DataCentre == "" {
		return errors.NotValidf("empty data centre")
	}
	for _, a := range []struct{ what, address string }{
		{"address for callers", s.CallerListen},
		{"address of the ready page", s.ReadyListen},
		{"address of the store", s.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return errors.NotValidf("%s %q", a.what, a.address)
		}
	}
	if s.RetryBudget.Ratio < 0 || s.RetryBudget.Slack < 0 {
		return errors.NotValidf("retry budget below zero")
	}
	if s.StopTimeout <= 0 {
		return errors.NotValidf("bound of the stop %v", s.StopTimeout)
	}
	return nil
}
