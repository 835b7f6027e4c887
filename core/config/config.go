// Package config reads and checks the operators' plans by hand (DESIGN §8):
// every fault is reported with its path and its remedy, and unknown fields are
// faults.
package config

import (
	"encoding/json"
	"sort"
	"strings"

	"tuliprudder/kernel/clock"
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
	Bundle     = "bundle"
)

// Class is a priority class: what customers pay for.
type Class struct {
	Name      string
	Rank      int64
	Allowance int64 // waiting work of one customer of this class
	Labels    Labels
}

// Customer is who calls, by its key.
type Customer struct {
	Name  string
	Key   string
	Class string
}

// Pool is a set of servers, chosen by their labels.
type Pool struct {
	Name    string
	Labels  Labels
	Servers Selector
	// MostOpen is how many connections one of its servers takes from all daemons
	// together; 0: no bound is known.
	MostOpen int64
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
	Expiry    clock.Micros
	MostItems int64
	Forward   *Forward // set where requests are passed on unchanged (DESIGN §12.1)
}

// Forward is what a route says whose requests are matched by host and path and
// passed on to servers unchanged.
type Forward struct {
	Host       string
	PathPrefix string       // begins and ends with a slash
	Tries      int64        // most servers that one request, or attempts that one item, may take
	Aim        clock.Micros // within which an answer is worth most
	Gap        clock.Micros // longest pause between events of a stream that is in time
	Due        clock.Micros // within which a bundle's results are due
	Keep       clock.Micros // after which an item of a bundle may be given up
	MostTokens int64        // tokens of bundles that may wait on the route; 0: no limit
	Split      []Share      // where requests go instead of Pools, by share
}

// Share is one part of a split route.
type Share struct {
	Pools Selector
	Share int64
}

// Bounds are what the operator allows callers' requests; 0 leaves the daemon's own.
type Bounds struct {
	HeaderBytes, BodyBytes int64
	HeaderWait, IdleWait   clock.Micros
}

// Reader turns an operator's document into a plan; Parse is the product's own.
type Reader func(document []byte) (*Plan, error)

// Plan is a whole configuration.
type Plan struct {
	Classes   []Class
	Customers []Customer
	Pools     []Pool
	Routes    []Route
	Judges    map[string]float64
	Bounds    Bounds
	Number    uint64 // the version the document itself names; 0: it names none
	Version   uint64

	byKey   map[string]*Customer
	byName  map[string]*Customer
	byClass map[string]*Class
	byRoute map[string]*Route
	byHost  map[string][]*Route // forwarded routes, longest prefix first
}

// Match finds the forwarded route of a host whose path prefix is the longest that
// begins the path; nil when there is none.
func (p *Plan) Match(host, path string) *Route {
	for _, route := range p.byHost[host] {
		if strings.HasPrefix(path, route.Forward.PathPrefix) {
			return route
		}
	}
	return nil
}

// CustomerOf finds a customer and its class by the key it carries.
func (p *Plan) CustomerOf(key string) (*Customer, *Class, bool) {
	customer := p.byKey[key]
	if customer == nil {
		return nil, nil, false
	}
	return customer, p.byClass[customer.Class], true
}

// ClassOf is the class of a customer by name; nil when the plan has none.
func (p *Plan) ClassOf(customer string) *Class {
	found := p.byName[customer]
	if found == nil {
		return nil
	}
	return p.byClass[found.Class]
}

// Lookup finds a route and a customer's class by their names; nil for what is not
// in the plan.
func (p *Plan) Lookup(route, customer string) (*Route, *Class) {
	return p.byRoute[route], p.ClassOf(customer)
}

// Route finds a route by name.
func (p *Plan) Route(name string) (*Route, bool) {
	route := p.byRoute[name]
	return route, route != nil
}

// Serves tells whether a server with these labels serves the route.
func (p *Plan) Serves(route *Route, labels Labels) bool {
	if route.Forward != nil && len(route.Forward.Split) > 0 {
		for _, part := range route.Forward.Split {
			if part.Share > 0 && p.Selects(part.Pools, labels) {
				return true
			}
		}
		return false
	}
	return p.Selects(route.Pools, labels)
}

// MostOpen is how many connections a server with these labels takes from all daemons
// together; 0: no bound is known.
func (p *Plan) MostOpen(labels Labels) int64 {
	most := int64(0)
	for i := range p.Pools {
		if pool := &p.Pools[i]; pool.MostOpen > 0 && pool.Servers.Matches(labels) && (most == 0 || pool.MostOpen < most) {
			most = pool.MostOpen
		}
	}
	return most
}

// Selects tells whether a server with these labels is in a pool that the selector
// matches.
func (p *Plan) Selects(pools Selector, labels Labels) bool {
	for i := range p.Pools {
		if pools.Matches(p.Pools[i].Labels) && p.Pools[i].Servers.Matches(labels) {
			return true
		}
	}
	return false
}

// JudgeNames are the judges a plan may weigh.
var JudgeNames = []string{"fullness", "prefix", "speed", "spread", "reading", "silence", "turn"}

// DefaultJudges are the judges' weights where a plan names none.
func DefaultJudges() map[string]float64 {
	return map[string]float64{"fullness": 4, "prefix": 6, "speed": 1, "spread": 1}
}

// Parse reads a plan and reports every fault in it.
func Parse(data []byte) (*Plan, error) {
	r := &reader{}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		r.fault("$", "write one JSON object; %v", err)
		return nil, r.err()
	}
	plan := r.plan(tree)
	if err := r.err(); err != nil {
		return nil, err
	}
	plan.Index()
	return plan, nil
}

// Check is Parse for those who only want the faults.
func Check(data []byte) error {
	_, err := Parse(data)
	return err
}

// Index prepares a plan that was put together by hand for look-ups.
func (p *Plan) Index() {
	p.byKey, p.byName = map[string]*Customer{}, map[string]*Customer{}
	p.byClass, p.byRoute = map[string]*Class{}, map[string]*Route{}
	for i := range p.Customers {
		p.byKey[p.Customers[i].Key], p.byName[p.Customers[i].Name] = &p.Customers[i], &p.Customers[i]
	}
	for i := range p.Classes {
		p.byClass[p.Classes[i].Name] = &p.Classes[i]
	}
	for i := range p.Routes {
		p.byRoute[p.Routes[i].Name] = &p.Routes[i]
	}
	p.byHost = map[string][]*Route{}
	for i := range p.Routes {
		if route := &p.Routes[i]; route.Forward != nil {
			p.byHost[route.Forward.Host] = append(p.byHost[route.Forward.Host], route)
		}
	}
	for _, routes := range p.byHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Forward.PathPrefix) > len(routes[j].Forward.PathPrefix)
		})
	}
}
