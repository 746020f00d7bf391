//go:build review

package main

import (
	"fmt"
	"time"
)

// routeHost is the host of the routes.
const routeHost = "pupu76.example"

// Doses of the site's own days: big_config with count = 380, config_storm with gap_s = 0.08 and
// for_s = 2.0.
const (
	bigConfig   = 380
	stormLength = 2 * time.Second
	stormGap    = 80 * time.Millisecond
)

// Bounds of the small deployments.
const (
	contact     = 4 * time.Second
	configApply = 3 * time.Second
)

// grownConfig returns a configuration with one route that all versions have, of which the service
// changes, and many routes to all shards of an index, as they come with "big_config".
func (f *fleet) grownConfig(service string, more int) map[string]any {
	f.version++
	shards, services := []string{}, []map[string]any{}
	for i := range 30 {
		name := fmt.Sprintf("lepu%02dh", i)
		shards = append(shards, name)
		services = append(services, map[string]any{"name": name, "max_connections": 26, "health_check_path": "/healthz", "warmup_per_s": 0})
	}
	for _, name := range []string{"gowu98c", "nylo40d"} {
		services = append(services, map[string]any{"name": name, "max_connections": 45, "health_check_path": "/healthz", "warmup_per_s": 0})
	}
	routes := []map[string]any{{
		"name": "r-timi402", "host": routeHost, "prefix": "/timi402/", "route_type": "idempotent", "timeout_ms": 6000,
		"target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 2,
	}}
	for i := range more {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-kz%05d", i), "host": routeHost, "prefix": fmt.Sprintf("/bapu%05d/", i), "route_type": "idempotent",
			"timeout_ms": 1500, "target_latency_ms": 100, "priority": 1, "fanout_services": shards, "max_attempts": 2, "top_k": 10, "min_shard_share": 0.89,
		})
	}
	return map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
