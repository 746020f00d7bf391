package catalog

import (
	"net"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// routes indexes routes by host, then by path prefix.
type routes map[string]map[string]*Route

func newRoutes(c *Config) routes {
	table := routes{}
	for _, r := range c.Routes {
		byPrefix := table[r.Host]
		if byPrefix == nil {
			byPrefix = map[string]*Route{}
			table[r.Host] = byPrefix
		}
		byPrefix[r.Prefix] = r
	}
	return table
}

// match returns the route with the longest prefix of path for the host, or nil.
func (t routes) match(host, path string) *Route {
	byPrefix := t[normalHost(host)]
	if byPrefix == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// normalHost returns the host name in lower case, without port and trailing dot.
func normalHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Pick returns the service of the route's split that serves the request with
// the given id, or "" if the route has no split. The choice depends on a hash of
// the id; each service receives requests in proportion to its weight.
func (r *Route) Pick(id string) string {
	if len(r.Split) == 0 {
		return ""
	}
	var sum float64
	for _, p := range r.Split {
		sum += p.Weight
	}
	at := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * sum
	for _, p := range r.Split {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
