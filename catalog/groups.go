package catalog

import (
	"cmp"
	"slices"
)

// RouteGroup holds routes that share services, directly or by way of others of the group.
type RouteGroup struct {
	// Name is the first of the names of its routes.
	Name   string
	Routes []*Route // sorted by name
	// Priorities are the priorities that its requests may have, in ascending order.
	Priorities []int
}

// RouteGroups returns the groups of all routes, sorted by name.
func (v *View) RouteGroups() []RouteGroup {
	var all []*Route
	for _, byPrefix := range v.routes {
		for _, r := range byPrefix {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	// group[i] is the group of route i; merged groups take the lower number.
	group, byService := make([]int, len(all)), map[string]int{}
	for i, r := range all {
		group[i] = i
		for _, service := range r.services() {
			other, used := byService[service]
			if !used {
				byService[service] = i
				continue
			}
			from, to := max(group[other], group[i]), min(group[other], group[i])
			for j := range group[:i+1] {
				if group[j] == from {
					group[j] = to
				}
			}
		}
	}
	var out []RouteGroup
	for i := range all {
		if group[i] != i {
			continue
		}
		g := RouteGroup{Name: all[i].Name}
		for j := range all {
			if group[j] == i {
				g.Routes = append(g.Routes, all[j])
			}
		}
		g.Priorities = v.priorities(g.Routes)
		out = append(out, g)
	}
	return out
}

// services returns the services that requests of the route may need.
func (r *Route) services() []string {
	if r.Sharded() {
		return r.Shards
	}
	var out []string
	for _, s := range r.Split {
		out = append(out, s.Service)
	}
	return out
}

// priorities returns the priorities that requests of the routes may have, in ascending
// order. That of an organisation replaces that of the route.
func (v *View) priorities(routes []*Route) []int {
	var out []int
	byRoute := v.organisations.Len() == 0
	if v.organisations != nil {
		for _, o := range v.organisations.byName {
			if o.HasPriority {
				out = append(out, o.Priority)
			}
			byRoute = byRoute || !o.HasPriority
		}
	}
	for _, r := range routes {
		if byRoute || r.Public {
			out = append(out, r.Priority)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
