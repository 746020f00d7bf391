// Package catalog models what operators and targets publish: routes, services,
// limits on callers, targets and evacuated data centres.
//
// State merges the published items into one consistent state. It does no I/O
// and reads no clock. View is the immutable state that requests are served from.
package catalog

import (
	"time"

	"github.com/juju/errors"
)

// ConfigSchema identifies the fields of Config that this build knows and enforces. It is
// raised whenever a field is added that changes which requests may run: an earlier build
// drops such a field without notice, so that what it passes on is incomplete. Zero is the
// schema without organisations and public routes.
const ConfigSchema = 1

// Config is one version of the configuration that operators publish.
type Config struct {
	// Schema is the ConfigSchema of the build that has read the configuration from the
	// store, or that of this build if it is lower.
	Schema uint32 `cbor:"-"`
	// Version orders configurations: a higher version replaces a lower one.
	Version  uint64
	Routes   []*Route
	Services []*Service
	Limits   Limits
	// Organisations are the customers whose keys callers must send. Without any, requests
	// need no key.
	Organisations []*Organisation `cbor:",omitempty"`
}

// supersedes reports whether the configuration replaces another one: it has a later version,
// or it is the same version with fields that the other one lacks.
func (c *Config) supersedes(other *Config) bool {
	return c.Version > other.Version || (c.Version == other.Version && c.Schema > other.Schema)
}

// Route defines how requests for one host and path prefix are served.
type Route struct {
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent reports whether a request may be executed more than once.
	Idempotent bool
	// Timeout bounds the time until the final response.
	Timeout time.Duration
	// LatencyObjective is the time within which a response is worth most to
	// the caller.
	LatencyObjective time.Duration `cbor:"Aim"`
	// MaxAttempts is the maximum number of targets that a request, or each
	// shard of a sharded request, is sent to.
	MaxAttempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Split lists the services that requests are distributed over. It is empty
	// if Shards is set.
	Split []WeightedService `cbor:"Parts"`
	// Shards lists the services that each request is sent to, to one target of
	// each.
	Shards []string
	// TopK is the number of records in the response of a sharded route.
	TopK int `cbor:"Top"`
	// MinShardFraction is the minimum fraction of shards, 0 to 1, that must have
	// responded for the request to succeed.
	MinShardFraction float64 `cbor:"MinShare"`
	// Public is true if requests need no key although organisations are configured.
	Public bool `cbor:",omitempty"`
}

// Sharded reports whether each request is sent to all shards of an index.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// WeightedService is one service of a traffic split, with its weight relative
// to the others.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one target, summed over the fleet.
	MaxConnections int
	// WarmupRate is the number of requests per second that a cold target can
	// handle. Zero means that a cold target is slow but not limited.
	WarmupRate float64
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time until the headers of a request are complete.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
}

// Target is one process that serves requests of a service, as it describes
// itself.
type Target struct {
	// ID names the target. A target does not run a request that names another ID.
	ID         string
	Service    string
	Address    string // host and port
	DataCentre string
	Slots      int // maximum number of concurrent requests; zero if not published
	Draining   bool
	// WarmupRemaining is how much longer the target stays cold, counted from the
	// time at which it published this.
	WarmupRemaining time.Duration `cbor:"ColdFor"`
	// Incarnation identifies this run of the target by its start time in
	// milliseconds since the Unix epoch; zero if unknown.
	Incarnation int64 `cbor:"Born"`
	// Sequence counts the updates that this incarnation has published.
	Sequence int64
}

// validate returns an error that describes the first fault that makes the
// configuration unusable, or nil.
func (c *Config) validate() error {
	if c.Version == 0 {
		return errors.NotValidf("configuration version 0")
	}
	for i, r := range c.Routes {
		if r == nil {
			return errors.NotValidf("empty route %d", i)
		}
		if err := r.validate(); err != nil {
			return errors.Annotatef(err, "route %q", r.Name)
		}
	}
	for i, s := range c.Services {
		if s == nil {
			return errors.NotValidf("empty service %d", i)
		}
	}
	return c.validateOrganisations()
}

func (r *Route) validate() error {
	switch {
	case r.Host == "":
		return errors.NotValidf("empty host")
	case len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return errors.NotValidf("prefix %q (must begin and end with a slash)", r.Prefix)
	case len(r.Shards) == 0 && len(r.Split) == 0:
		return errors.NotValidf("route without services")
	case r.Sharded() && r.TopK <= 0:
		return errors.NotValidf("number of records %d (must be positive on a sharded route)", r.TopK)
	case r.MinShardFraction < 0 || r.MinShardFraction > 1:
		return errors.NotValidf("minimum fraction of shards %v (must be from 0 to 1)", r.MinShardFraction)
	}
	return nil
}
