package catalog

import "time"

// View is one consistent picture of what is published. It is immutable.
type View struct {
	// Version is the configuration's version; zero if none is known.
	Version uint64
	Limits  Limits

	routes    routes
	services  map[string]*Service
	targets   map[string][]*Entry // by service
	evacuated map[string]bool     // by data centre
}

// Entry is a target as it was published, with what has become of its entry.
type Entry struct {
	Target
	// ColdUntil is when the target's cold start ends as it was last told.
	ColdUntil time.Time
	// DrainingSince is when the target was first seen draining; zero if it isn't.
	DrainingSince time.Time
	// GraceEnd is when a target whose entry disappeared may get nothing more;
	// zero while it is published.
	GraceEnd time.Time
	// Revision is the store's revision of the entry.
	Revision uint64
}

// Deregistered reports whether the target's entry has disappeared.
func (e *Entry) Deregistered() bool { return !e.GraceEnd.IsZero() }

// Configured reports whether a configuration is in force.
func (v *View) Configured() bool { return v != nil && v.Version > 0 }

// Route returns the route of a request, or nil. Path is the raw path.
func (v *View) Route(host, path string) *Route { return v.routes.match(host, path) }

// Service returns a service, or nil if the configuration doesn't name it.
func (v *View) Service(name string) *Service { return v.services[name] }

// ServiceCount returns the number of services.
func (v *View) ServiceCount() int { return len(v.services) }

// RouteCount returns the number of hosts that have routes.
func (v *View) RouteCount() int {
	n := 0
	for _, byPrefix := range v.routes {
		n += len(byPrefix)
	}
	return n
}

// Targets returns the entries of a service. The caller must not change them.
func (v *View) Targets(service string) []*Entry { return v.targets[service] }

// EachTarget calls f for each entry.
func (v *View) EachTarget(f func(*Entry)) {
	for _, entries := range v.targets {
		for _, e := range entries {
			f(e)
		}
	}
}

// Evacuated reports whether a data centre is to get nothing.
func (v *View) Evacuated(dataCentre string) bool { return v.evacuated[dataCentre] }
