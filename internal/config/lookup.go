package config

import (
	"cmp"
	"slices"
	"strings"
)

// index holds the lookup maps of a configuration. Their pointers refer to elements of the
// configuration's slices.
type index struct {
	tenantsByKey    map[KeyDigest]*Tenant
	tenantsByName   map[string]*Tenant
	classesByName   map[string]*PriorityClass
	routesByName    map[string]*Route
	routesByID      map[RouteID]*Route
	forwardedByHost map[string][]*Route // forwarded routes, the longest path prefix first
}

// Index builds the lookup maps of a configuration that was not made by Parse, which calls Index
// itself. The configuration's slices must not be changed afterwards.
func (c *Configuration) Index() {
	c.index = index{
		tenantsByKey:    map[KeyDigest]*Tenant{},
		tenantsByName:   map[string]*Tenant{},
		classesByName:   map[string]*PriorityClass{},
		routesByName:    map[string]*Route{},
		routesByID:      map[RouteID]*Route{},
		forwardedByHost: map[string][]*Route{},
	}
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		for _, key := range tenant.Keys {
			c.index.tenantsByKey[key] = tenant
		}
		c.index.tenantsByName[tenant.Name] = tenant
	}
	for i := range c.Classes {
		c.index.classesByName[c.Classes[i].Name] = &c.Classes[i]
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		c.index.routesByName[route.Name] = route
		c.index.routesByID[route.ID()] = route
		if route.Forward != nil {
			host := route.Forward.Host
			c.index.forwardedByHost[host] = append(c.index.forwardedByHost[host], route)
		}
	}
	for _, routes := range c.index.forwardedByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Forward.PathPrefix), len(a.Forward.PathPrefix))
		})
	}
}

// MatchRoute returns the forwarded route of a host with the longest matching path prefix; nil if
// there is none.
func (c *Configuration) MatchRoute(host, path string) *Route {
	return c.matchRoute(host, path, func(*Route) bool { return true })
}

// matchRoute is MatchRoute among the eligible routes.
func (c *Configuration) matchRoute(host, path string, isEligible func(*Route) bool) *Route {
	for _, route := range c.index.forwardedByHost[host] {
		if route.Forward.Matches(host, path) && isEligible(route) {
			return route
		}
	}
	return nil
}

// Matches reports whether the route handles requests for a host and path.
func (f *Forward) Matches(host, path string) bool {
	return f.Host == host && strings.HasPrefix(path, f.PathPrefix)
}

// TenantByKey returns the tenant that has an API key sent by a caller; nil if no tenant has it. The
// lookup uses digests only, so its timing reveals nothing about the configured keys.
func (c *Configuration) TenantByKey(key string) *Tenant {
	return c.index.tenantsByKey[DigestKey(key)]
}

// ClassOfTenant returns the class of the named tenant; nil if the configuration has none.
func (c *Configuration) ClassOfTenant(tenant string) *PriorityClass {
	match := c.index.tenantsByName[tenant]
	if match == nil {
		return nil
	}
	return c.index.classesByName[match.Class]
}

// PriorityOf returns the priority of a tenant's requests to a forwarded route: that of the tenant's
// class, or the route's own if the tenant has no class. tenant is "" for requests without one.
func (c *Configuration) PriorityOf(forward *Forward, tenant string) int64 {
	if class := c.ClassOfTenant(tenant); class != nil {
		return class.Priority
	}
	return forward.Priority
}

// Route returns the named route. The names of forwarded routes don't identify them, see RouteID.
func (c *Configuration) Route(name string) (*Route, bool) {
	route := c.index.routesByName[name]
	return route, route != nil
}

// Serves reports whether a server with these labels serves the route.
func (c *Configuration) Serves(route *Route, labels Labels) bool {
	if route.Forward == nil || len(route.Forward.Split) == 0 {
		return c.Selects(route.Pools, labels)
	}
	for _, part := range route.Forward.Split {
		if part.Weight > 0 && c.Selects(part.Pools, labels) {
			return true
		}
	}
	return false
}

// Selects reports whether a server with these labels is in a pool that the selector
// matches.
func (c *Configuration) Selects(pools Selector, labels Labels) bool {
	for i := range c.Pools {
		if pools.Matches(c.Pools[i].Labels) && c.Pools[i].Servers.Matches(labels) {
			return true
		}
	}
	return false
}

// MaxConnections returns how many connections a server with these labels accepts from all
// daemons together: the lowest limit of its pools; 0 if none has a limit.
func (c *Configuration) MaxConnections(labels Labels) int64 {
	return c.lowestPoolLimit(labels, func(pool *Pool) int64 { return pool.MaxConnections })
}

// MemoryTokens returns how many tokens a server with these labels holds at a time: the lowest limit
// of its pools; 0 if none has a limit.
func (c *Configuration) MemoryTokens(labels Labels) int64 {
	return c.lowestPoolLimit(labels, func(pool *Pool) int64 { return pool.MemoryTokens })
}

// ScaledPoolOf returns the name of the first scaled pool that contains a server with these labels; ""
// if there is none.
func (c *Configuration) ScaledPoolOf(labels Labels) string {
	for i := range c.Pools {
		if pool := &c.Pools[i]; pool.Autoscale.IsEnabled() && pool.Servers.Matches(labels) {
			return pool.Name
		}
	}
	return ""
}

// ScaledPools returns the names of the scaled pools that serve a route: those that chosen matches, or
// all of the route's if chosen is nil.
func (c *Configuration) ScaledPools(route *Route, chosen Selector) []string {
	selectors := []Selector{chosen}
	if chosen == nil {
		selectors = route.poolSelectors()
	}
	var out []string
	for i := range c.Pools {
		pool := &c.Pools[i]
		isChosen := func(selector Selector) bool { return selector.Matches(pool.Labels) }
		if pool.Autoscale.IsEnabled() && slices.ContainsFunc(selectors, isChosen) {
			out = append(out, pool.Name)
		}
	}
	return out
}

// poolSelectors returns the selectors of the pools that serve a route.
func (r *Route) poolSelectors() []Selector {
	if r.Forward == nil || len(r.Forward.Split) == 0 {
		return []Selector{r.Pools}
	}
	var out []Selector
	for _, part := range r.Forward.Split {
		if part.Weight > 0 {
			out = append(out, part.Pools)
		}
	}
	return out
}

// lowestPoolLimit returns the lowest positive value among the pools that contain a server with these
// labels; 0 if there is none.
func (c *Configuration) lowestPoolLimit(labels Labels, value func(pool *Pool) int64) int64 {
	lowest := int64(0)
	for i := range c.Pools {
		pool := &c.Pools[i]
		limit := value(pool)
		if limit <= 0 || !pool.Servers.Matches(labels) {
			continue
		}
		if lowest == 0 || limit < lowest {
			lowest = limit
		}
	}
	return lowest
}
