// Package catalog holds what operators and targets publish: routes, services,
// limits on callers, targets and evacuated data centres.
//
// State merges the published items into one consistent picture. It does no I/O
// and reads no clock. View is the immutable picture that requests are served by.
package catalog

import (
	"time"

	"github.com/juju/errors"
)

// Config is one version of what operators publish.
type Config struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version  uint64
	Routes   []*Route
	Services []*Service
	Limits   Limits
}

// Route tells how requests of one host and path prefix are served.
type Route struct {
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is worth most to its caller.
	LatencyObjective time.Duration `cbor:"Aim"`
	// MaxAttempts bounds the targets that one request, or each shard of one, is sent to.
	MaxAttempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Split are the services that requests are shared among. Empty if Shards is set.
	Split []WeightedService `cbor:"Parts"`
	// Shards are the services that each request is sent to, one target of each.
	Shards []string
	// TopK is the number of records in the answer of a sharded route.
	TopK int `cbor:"Top"`
	// MinShardFraction is the least share of shards, 0 to 1, that makes an answer.
	MinShardFraction float64 `cbor:"MinShare"`
}

// Sharded reports whether requests go to all shards of an index.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// WeightedService is one service of a traffic split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of targets that answer alike.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one target, from all callers.
	MaxConnections int
	// WarmupRate is the number of requests a second that a cold target bears;
	// zero if it is only slow while cold.
	WarmupRate float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time until a request's headers are complete.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// Target is one process that answers requests of a service.
type Target struct {
	// ID names the target; a request that names another is not run.
	ID         string
	Service    string
	Address    string // host and port
	DataCentre string
	Slots      int
	Draining   bool
	// WarmupRemaining is how much longer the target was cold when it said so.
	WarmupRemaining time.Duration `cbor:"ColdFor"`
	// Incarnation is the start of this incarnation in milliseconds since the Unix
	// epoch; zero if unknown.
	Incarnation int64 `cbor:"Born"`
	// Sequence counts what this incarnation has published.
	Sequence int64
}

// check reports the first fault that makes a configuration unusable.
func (c *Config) check() error {
	if c.Version == 0 {
		return errors.NotValidf("configuration without a version")
	}
	for _, r := range c.Routes {
		if err := r.check(); err != nil {
			return errors.Annotatef(err, "route %q", r.Name)
		}
	}
	return nil
}

func (r *Route) check() error {
	switch {
	case r.Host == "":
		return errors.NotValidf("empty host")
	case len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return errors.NotValidf("prefix %q: must begin and end with a slash; it", r.Prefix)
	case len(r.Shards) == 0 && len(r.Split) == 0:
		return errors.NotValidf("route without a service")
	case r.Sharded() && r.TopK <= 0:
		return errors.NotValidf("sharded route without a number of records")
	case r.MinShardFraction < 0 || r.MinShardFraction > 1:
		return errors.NotValidf("least share of shards %v", r.MinShardFraction)
	}
	return nil
}
