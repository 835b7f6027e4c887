// Package config reads and checks the operators' configurations by hand (DESIGN §8):
// every fault is reported with its path and its remedy, and unknown fields are
// faults.
package config

import (
	"encoding/json"
	"sort"
	"strings"

	"tuliprudder/internal/clock"
)

// Labels are names and values that selectors match.
type Labels map[string]string

// Selector matches labels: each name must have one of the values.
type Selector map[string][]string

// Matches tells whether the labels satisfy the selector.
func (s Selector) Matches(labels Labels) bool {
	for name, values := range s {
		found := false
		for _, value := range values {
			if labels[name] == value {
				found = true
			}
		}
		if !found {
			return false
		}
	}
	return true
}

// Kinds of route. A one-shot order and a stream run at most once; a repeatable
// order and a resumable stream may run again elsewhere.
const (
	OneShot    = "one-shot"
	Repeatable = "repeatable"
	Stream     = "stream"
	Resumable  = "resumable"
	Batch      = "bundle"
)

// PriorityClass is a priority class: what tenants pay for.
type PriorityClass struct {
	Name     string
	Priority int64
	Quota    int64 // waiting work of one tenant of this class
	Labels   Labels
}

// Tenant is who calls, by its key.
type Tenant struct {
	Name  string
	Key   string
	Class string
}

// Pool is a set of servers, chosen by their labels.
type Pool struct {
	Name    string
	Labels  Labels
	Servers Selector
	// MaxConnections is how many connections one of its servers takes from all daemons
	// together; 0: no bound is known.
	MaxConnections int64
}

// Route is a way callers may go.
type Route struct {
	Name      string
	Kind      string
	Labels    Labels
	Classes   Selector // classes that may use it
	Pools     Selector // pools that serve it
	Model     string
	Adapter   string
	Weights   string
	Prefix    string
	MaxTokens int64
	Timeout   clock.Micros
	MaxItems  int64
	Forward   *Forward // set where requests are passed on unchanged (DESIGN §12.1)
}

// Forward is what a route says whose requests are matched by host and path and
// passed on to servers unchanged.
type Forward struct {
	Host             string
	PathPrefix       string          // begins and ends with a slash
	MaxAttempts      int64           // most servers that one request, or attempts that one item, may take
	LatencyTarget    clock.Micros    // within which an answer is worth most
	MaxEventGap      clock.Micros    // longest pause between events of a stream that is in time
	CompletionWindow clock.Micros    // within which a batch's results are due
	ItemRetention    clock.Micros    // after which an item of a batch may be given up
	MaxQueuedTokens  int64           // tokens of batches that may wait on the route; 0: no limit
	Split            []WeightedPools // where requests go instead of Pools, by share
}

// WeightedPools is one part of a split route.
type WeightedPools struct {
	Pools  Selector
	Weight int64
}

// Limits are what the operator allows callers' requests; 0 leaves the daemon's own.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   clock.Micros
}

// ParseFunc turns an operator's document into a configuration; Parse is the product's own.
type ParseFunc func(document []byte) (*Configuration, error)

// Configuration is a whole configuration.
type Configuration struct {
	Classes         []PriorityClass
	Tenants         []Tenant
	Pools           []Pool
	Routes          []Route
	ScorerWeights   map[string]float64
	Limits          Limits
	DocumentVersion uint64 // the version the document itself names; 0: it names none
	Version         uint64

	tenantsByKey    map[string]*Tenant
	tenantsByName   map[string]*Tenant
	classesByName   map[string]*PriorityClass
	routesByName    map[string]*Route
	forwardedByHost map[string][]*Route // forwarded routes, longest prefix first
}

// MatchRoute finds the forwarded route of a host whose path prefix is the longest that
// begins the path; nil when there is none.
func (c *Configuration) MatchRoute(host, path string) *Route {
	for _, route := range c.forwardedByHost[host] {
		if strings.HasPrefix(path, route.Forward.PathPrefix) {
			return route
		}
	}
	return nil
}

// TenantByKey finds a tenant and its class by the key it carries.
func (c *Configuration) TenantByKey(key string) (*Tenant, *PriorityClass, bool) {
	tenant := c.tenantsByKey[key]
	if tenant == nil {
		return nil, nil, false
	}
	return tenant, c.classesByName[tenant.Class], true
}

// ClassOfTenant is the class of a tenant by name; nil when the configuration has none.
func (c *Configuration) ClassOfTenant(tenant string) *PriorityClass {
	found := c.tenantsByName[tenant]
	if found == nil {
		return nil
	}
	return c.classesByName[found.Class]
}

// Lookup finds a route and a tenant's class by their names; nil for what is not
// in the configuration.
func (c *Configuration) Lookup(route, tenant string) (*Route, *PriorityClass) {
	return c.routesByName[route], c.ClassOfTenant(tenant)
}

// Route finds a route by name.
func (c *Configuration) Route(name string) (*Route, bool) {
	route := c.routesByName[name]
	return route, route != nil
}

// Serves tells whether a server with these labels serves the route.
func (c *Configuration) Serves(route *Route, labels Labels) bool {
	if route.Forward != nil && len(route.Forward.Split) > 0 {
		for _, weighted := range route.Forward.Split {
			if weighted.Weight > 0 && c.Selects(weighted.Pools, labels) {
				return true
			}
		}
		return false
	}
	return c.Selects(route.Pools, labels)
}

// MaxConnections is how many connections a server with these labels takes from all daemons
// together; 0: no bound is known.
func (c *Configuration) MaxConnections(labels Labels) int64 {
	maximum := int64(0)
	for i := range c.Pools {
		if pool := &c.Pools[i]; pool.MaxConnections > 0 && pool.Servers.Matches(labels) && (maximum == 0 || pool.MaxConnections < maximum) {
			maximum = pool.MaxConnections
		}
	}
	return maximum
}

// Selects tells whether a server with these labels is in a pool that the selector
// matches.
func (c *Configuration) Selects(pools Selector, labels Labels) bool {
	for i := range c.Pools {
		if pools.Matches(c.Pools[i].Labels) && c.Pools[i].Servers.Matches(labels) {
			return true
		}
	}
	return false
}

// ScorerNames are the judges a configuration may weigh.
var ScorerNames = []string{"fullness", "prefix", "speed", "spread", "reading", "silence", "turn"}

// DefaultScorerWeights are the judges' weights where a configuration names none.
func DefaultScorerWeights() map[string]float64 {
	return map[string]float64{"fullness": 4, "prefix": 6, "speed": 1, "spread": 1}
}

// Parse reads a configuration and reports every fault in it.
func Parse(data []byte) (*Configuration, error) {
	p := &parser{}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		p.addFault("$", "write one JSON object; %v", err)
		return nil, p.err()
	}
	configuration := p.configuration(tree)
	if err := p.err(); err != nil {
		return nil, err
	}
	configuration.Index()
	return configuration, nil
}

// Validate is Parse for those who only want the faults.
func Validate(data []byte) error {
	_, err := Parse(data)
	return err
}

// Index prepares a configuration that was put together by hand for look-ups.
func (c *Configuration) Index() {
	c.tenantsByKey, c.tenantsByName = map[string]*Tenant{}, map[string]*Tenant{}
	c.classesByName, c.routesByName = map[string]*PriorityClass{}, map[string]*Route{}
	for i := range c.Tenants {
		c.tenantsByKey[c.Tenants[i].Key], c.tenantsByName[c.Tenants[i].Name] = &c.Tenants[i], &c.Tenants[i]
	}
	for i := range c.Classes {
		c.classesByName[c.Classes[i].Name] = &c.Classes[i]
	}
	for i := range c.Routes {
		c.routesByName[c.Routes[i].Name] = &c.Routes[i]
	}
	c.forwardedByHost = map[string][]*Route{}
	for i := range c.Routes {
		if route := &c.Routes[i]; route.Forward != nil {
			c.forwardedByHost[route.Forward.Host] = append(c.forwardedByHost[route.Forward.Host], route)
		}
	}
	for _, routes := range c.forwardedByHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Forward.PathPrefix) > len(routes[j].Forward.PathPrefix)
		})
	}
}
