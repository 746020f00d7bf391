package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/juju/errors"
)

// configJSON is the JSON output of the check-config command. Counts are zero if the
// configuration is faulty.
type configJSON struct {
	Valid         bool     `json:"valid"`
	Fault         string   `json:"fault,omitempty"`
	Version       uint64   `json:"version"`
	Routes        int      `json:"routes"`
	PublicRoutes  int      `json:"public_routes"`
	Services      int      `json:"services"`
	Organisations int      `json:"organisations"`
	Keys          int      `json:"keys"`
	WithQuota     int      `json:"with_quota"`
	Notes         []string `json:"notes"`
}

// checkConfig checks a file with the platform's configuration. Processes keep the one in
// force if a published one is faulty.
func (c *command) checkConfig(_ context.Context, args []string) error {
	data, err := os.ReadFile(args[0])
	if err != nil {
		return errors.Annotate(err, "read the configuration")
	}
	config, err := platform.DecodeConfig(data)
	result := configJSON{Valid: err == nil, Notes: []string{}}
	if err != nil {
		result.Fault = err.Error()
	} else {
		result.count(config)
	}
	if c.json {
		if err := c.printJSON(result); err != nil {
			return err
		}
	} else {
		c.printConfig(&result)
	}
	if !result.Valid {
		return errReported
	}
	return nil
}

func (c *command) printConfig(r *configJSON) {
	if !r.Valid {
		fmt.Fprintf(c.stderr, "faulty: %s\n", r.Fault)
		return
	}
	fmt.Fprintf(c.stdout, "valid: version %d with %d routes, %d of them public, %d services, %d organisations with %d keys, %d with a quota\n",
		r.Version, r.Routes, r.PublicRoutes, r.Services, r.Organisations, r.Keys, r.WithQuota)
	for _, note := range r.Notes {
		fmt.Fprintf(c.stderr, "note: %s\n", note)
	}
}

// count counts the parts of a valid configuration, and notes what is allowed but rarely meant.
func (r *configJSON) count(config *catalog.Config) {
	r.Version, r.Routes, r.Services, r.Organisations = config.Version, len(config.Routes), len(config.Services), len(config.Organisations)
	known := map[string]bool{}
	for _, s := range config.Services {
		known[s.Name] = true
	}
	for _, route := range config.Routes {
		if route.Public {
			r.PublicRoutes++
		}
		services := append([]string(nil), route.Shards...)
		for _, part := range route.Split {
			services = append(services, part.Service)
		}
		for _, name := range services {
			if !known[name] {
				r.note("route %q: service %q is not configured", route.Name, name)
			}
		}
	}
	for _, o := range config.Organisations {
		r.Keys += len(o.Keys)
		if o.Limited() {
			r.WithQuota++
		}
		if len(o.Keys) == 0 {
			r.note("organisation %q has no key: it can't use routes that are not public", o.Name)
		}
		if o.Burst > 0 && !o.Limited() {
			r.note("organisation %q has a burst but no rate: it has no quota", o.Name)
		}
	}
	if r.Organisations == 0 {
		r.note("without organisations, no request needs a key")
	}
}

func (r *configJSON) note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}
