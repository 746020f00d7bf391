package catalog

import (
	"strings"
	"time"
)

// View is a consistent, immutable state of the published configuration and
// targets.
type View struct {
	// Version is the version of the configuration; zero if none has been applied.
	Version uint64
	Limits  Limits
	// Era is the era of the store that the state was read in.
	Era uint64

	routes        routes
	organisations *Organisations
	services      map[string]*Service
	targets       map[string][]*Entry // by service
	evacuated     map[string]bool     // by data centre
}

// Entry is a target as it was last published, with the state of its entry in
// the store.
type Entry struct {
	Target
	// ColdUntil is when the target no longer counts as cold: the end of its warm-up,
	// as last published, or a later time if its data centre was evacuated.
	ColdUntil time.Time
	// DrainingSince is when the target was first seen draining; zero if it is
	// not draining.
	DrainingSince time.Time
	// GraceEnd is the time from which a deregistered target must not receive
	// requests; zero while the target is registered.
	GraceEnd time.Time
	// Revision is the store revision of the entry.
	Revision uint64
}

// Deregistered reports whether the target's entry has disappeared from the store or
// become unreadable.
func (e *Entry) Deregistered() bool { return !e.GraceEnd.IsZero() }

// Configured reports whether a configuration has been applied. It accepts a nil
// View.
func (v *View) Configured() bool { return v != nil && v.Version > 0 }

// Route returns the route for a host and a raw (undecoded) path, or nil.
func (v *View) Route(host, path string) *Route { return v.routes.match(host, path) }

// RouteOfURI returns the route for a host and the path of a request URI, or nil.
func (v *View) RouteOfURI(host, uri string) *Route {
	path, _, _ := strings.Cut(uri, "?")
	return v.Route(host, path)
}

// Shards returns the services that are a shard of a route.
func (v *View) Shards() map[string]bool {
	shards := map[string]bool{}
	for _, byPrefix := range v.routes {
		for _, r := range byPrefix {
			for _, name := range r.Shards {
				shards[name] = true
			}
		}
	}
	return shards
}

// ShardsServed returns, by data centre, the fraction of the shards of all routes that have a
// registered target there. Evacuated data centres are left out.
func (v *View) ShardsServed() map[string]float64 {
	shards := v.Shards()
	served := map[string]float64{}
	for name := range shards {
		seen := map[string]bool{}
		for _, e := range v.targets[name] {
			if !seen[e.DataCentre] && !e.Draining && !e.Deregistered() && !v.evacuated[e.DataCentre] {
				seen[e.DataCentre] = true
				served[e.DataCentre] += 1 / float64(len(shards))
			}
		}
	}
	return served
}

// Organisations returns the organisations of the configuration, or nil if it has none:
// requests then need no key.
func (v *View) Organisations() *Organisations { return v.organisations }

// Service returns the named service, or nil if the configuration does not
// contain it.
func (v *View) Service(name string) *Service { return v.services[name] }

// ServiceCount returns the number of services.
func (v *View) ServiceCount() int { return len(v.services) }

// RouteCount returns the number of routes.
func (v *View) RouteCount() int {
	n := 0
	for _, byPrefix := range v.routes {
		n += len(byPrefix)
	}
	return n
}

// Targets returns the entries of a service, sorted by ID. They must not be
// modified.
func (v *View) Targets(service string) []*Entry { return v.targets[service] }

// EachTarget calls f for each entry of all services.
func (v *View) EachTarget(f func(*Entry)) {
	for _, entries := range v.targets {
		for _, e := range entries {
			f(e)
		}
	}
}

// Evacuated reports whether a data centre must not receive requests.
func (v *View) Evacuated(dataCentre string) bool { return v.evacuated[dataCentre] }
