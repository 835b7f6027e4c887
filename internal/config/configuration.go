package config

import (
	"maps"

	"tuliprudder/internal/clock"
)

// Configuration is a complete configuration. The comment on each field gives the name of the
// document's field in parentheses, and its range and default if it has them.
type Configuration struct {
	Classes []PriorityClass // (classes) at least one, at most 64
	Tenants []Tenant        // (customers) at most 10,000
	Pools   []Pool          // (pools) at most 256
	Routes  []Route         // (routes) at most 20,000
	// ScorerWeights are the scorers' weights by name (judges), 0 to 1000 each; default:
	// DefaultScorerWeights, and 0 for the others.
	ScorerWeights map[string]float64
	Limits        Limits // (bounds)
	// DocumentVersion is the version given in the document itself; 0 if it gives none.
	DocumentVersion uint64
	// Version is the version under which the configuration was confirmed; 0 before that.
	Version uint64

	index index
}

// The range of priorities; higher goes first.
const (
	MinPriority = 1
	MaxPriority = 1000
)

// PriorityClass is a service class that tenants pay for.
type PriorityClass struct {
	Name string // (name) unique
	// Priority orders requests (rank): 1 to 1000, higher goes first.
	Priority int64
	// Quota is how many live requests and batch items of one tenant of this class may be queued
	// (allowance): 1 to 1,000,000.
	Quota  int64
	Labels Labels // (labels) matched by the routes' selectors
}

// Tenant is a customer, identified by its API keys.
type Tenant struct {
	Name string // (name) unique
	// Keys are the digests of its API keys (key, keys): at most 64 keys of at most 256 bytes, none
	// shared with another tenant. A tenant without keys is valid, but nobody can call on its behalf.
	Keys []KeyDigest
	// Class is the name of a PriorityClass (class). Documents read by Parse must have it; if it
	// is "", the tenant's forwarded requests get the priorities of their routes.
	Class string
}

// Pool is a set of servers, selected by their labels.
type Pool struct {
	Name    string   // (name) unique
	Labels  Labels   // (labels) matched by the routes' selectors
	Servers Selector // (servers) on the servers' labels
	// MaxConnections is how many connections one of its servers accepts from all daemons
	// together; 0: unlimited. Documents read by Parse have no field for it.
	MaxConnections int64
	// MemoryTokens is how many tokens of prompts and outputs one of its servers holds at a time
	// (its KV cache); 0: unknown. Documents read by Parse have no field for it.
	MemoryTokens int64
	// Autoscale bounds how many servers the pool has (autoscale); the zero value disables scaling.
	Autoscale Autoscale
}

// Autoscale bounds how many servers a pool has in each zone that it runs in.
type Autoscale struct {
	Min int64 // (min) 1 to 100,000
	Max int64 // (max) at least Min, at most 100,000
	// BootTime is how long a new server takes until it is ready (boot_us): up to 1 h; default 0.
	BootTime clock.Micros
}

// IsEnabled reports whether the pool's servers are scaled.
func (a Autoscale) IsEnabled() bool { return a.Min > 0 && a.Max >= a.Min }

// Clamp returns the number within the bounds that is nearest to the given number of servers.
func (a Autoscale) Clamp(servers int64) int64 { return min(max(servers, a.Min), a.Max) }

// Route is a kind of request that callers may send.
type Route struct {
	Name    string   // (name) unique; of a forwarded route, only shown to operators (RouteID)
	Kind    string   // (kind) OneShot, Repeatable, Stream, Resumable or Batch
	Labels  Labels   // (labels)
	Classes Selector // (classes) selects the classes that may use it, by their labels
	Pools   Selector // (pools) selects the pools that serve it, by their labels; nil if Forward.Split is set
	Model   string   // (model) at most 128 bytes; required unless Forward is set
	Adapter string   // (adapter) "" for none
	Weights string   // (weights) model weights that the server must have loaded; "" for any
	Prefix  string   // (prefix) text before every prompt, at most 64 KiB
	// MaxTokens is the maximum number of tokens of a response (max_tokens): 1 to 100,000;
	// default 256.
	MaxTokens int64
	// Timeout is how long a request may take (expiry_us): 10 ms to 1 h; default 30 s.
	Timeout clock.Micros
	// MaxItems is how many items a batch may have (most_items): 1 to 10,000; default 1000.
	MaxItems int64
	// Forward is set if requests are forwarded unchanged (forward; docs/DESIGN.md
	// section 12.1).
	Forward *Forward
}

// Forward is the part of a route whose requests are matched by host and path and
// forwarded to servers unchanged.
type Forward struct {
	Host       string // (host) lower case; required
	PathPrefix string // (path_prefix) begins and ends with a slash; required
	// MaxAttempts is how many servers may be tried for one request, or how many attempts one
	// batch item gets (tries): 1 to 100; default 1.
	MaxAttempts int64
	// LatencyTarget is the time within which a response has its full value (aim_us): 1 ms
	// to 24 h; 0, the default: none.
	LatencyTarget clock.Micros
	// MaxEventGap is the longest pause between two events of a stream that still counts as on
	// time (gap_us): 1 ms to 24 h; 0, the default: none.
	MaxEventGap clock.Micros
	// CompletionWindow is the time within which a batch's results are due (due_us): 1 ms
	// to 365 days; 0, the default: none.
	CompletionWindow clock.Micros
	// ItemRetention is the time after which a batch item may be abandoned (keep_us): 1 ms
	// to 365 days; 0, the default: never.
	ItemRetention clock.Micros
	// MaxQueuedTokens is how many tokens of batch items may be queued on the route
	// (most_tokens): 0 to 2^53; 0, the default: unlimited.
	MaxQueuedTokens int64
	// Split, if set, gives the pools that serve the route and replaces Route.Pools (split).
	Split []WeightedPools
	// Authentication is whether requests must carry a tenant's API key (authentication):
	// AuthenticationNone, AuthenticationOptional or AuthenticationRequired; default: none.
	Authentication string
	// Priority applies to requests without a tenant or of a tenant without a class (rank): 1 to
	// 1000, higher goes first; default 1.
	Priority int64
}

// WeightedPools is one part of a split route.
type WeightedPools struct {
	Pools  Selector // (pools) selects pools by their labels
	Weight int64    // (share) 0 to 1,000,000: its share of the requests, relative to the sum of all weights
}

// Limits bound the size and timing of callers' requests; 0, the default of each, keeps the
// daemon's own limit.
type Limits struct {
	MaxHeaderBytes int64        // (header_bytes) 1 KiB to 1 MiB
	MaxBodyBytes   int64        // (body_bytes) 1 KiB to 256 MiB
	HeaderTimeout  clock.Micros // (header_wait_us) 10 ms to 1 h
	IdleTimeout    clock.Micros // (idle_wait_us) 10 ms to 1 h
}

var defaultScorerWeights = map[string]float64{
	ScorerUtilization:    4,
	ScorerPrefixAffinity: 6,
	ScorerSpeed:          1,
	ScorerSpread:         1,
}

// DefaultScorerWeights returns a copy of the weights used for scorers that a configuration omits.
func DefaultScorerWeights() map[string]float64 { return maps.Clone(defaultScorerWeights) }
