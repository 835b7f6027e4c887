package config

// These names occur in the operators' documents, which are stored on disk and sent between
// daemons. Their spelling must never change.

// Kinds of route, by how a request may be retried once it may have run.
const (
	OneShot    = "one-shot"   // one response; runs at most once
	Repeatable = "repeatable" // one response; may be run again on another server. Forwarded routes only
	Stream     = "stream"     // a stream of events; runs at most once
	Resumable  = "resumable"  // a stream that may be continued on another server from its text so far
	Batch      = "bundle"     // batch items; each may be run again on another server
)

// Values of a forwarded route's authentication.
const (
	// AuthenticationNone: keys are ignored; the headers that carry them are forwarded like others.
	AuthenticationNone = "none"
	// AuthenticationOptional: the route is public. A known key identifies the tenant.
	AuthenticationOptional = "optional"
	// AuthenticationRequired: a request without a tenant's key is rejected as unauthorised.
	AuthenticationRequired = "required"
)

// Names of the scorers whose weights a configuration may set; package scoring documents what
// each one does.
const (
	ScorerUtilization    = "fullness"
	ScorerPrefixAffinity = "prefix"
	ScorerSpeed          = "speed"
	ScorerSpread         = "spread"
	ScorerPrefill        = "reading"
	ScorerResponsiveness = "silence"
	ScorerRotation       = "turn"
	ScorerReliability    = "reliability"
	ScorerLocality       = "zone"
	ScorerQueue          = "queue"
)

// ScorerNames are the scorers whose weights a configuration may set.
var ScorerNames = []string{
	ScorerUtilization,
	ScorerPrefixAffinity,
	ScorerSpeed,
	ScorerSpread,
	ScorerPrefill,
	ScorerResponsiveness,
	ScorerRotation,
	ScorerReliability,
	ScorerLocality,
	ScorerQueue,
}

// patchableLists are the lists of a document whose entries have names and can be patched by them.
var patchableLists = []string{"classes", "customers", "pools", "routes"}

// Fields of a document's objects.
var (
	documentFields  = []string{"classes", "customers", "pools", "routes", "judges", "bounds"}
	classFields     = []string{"name", "rank", "allowance", "labels"}
	tenantFields    = []string{"name", "key", "keys", "class"}
	poolFields      = []string{"name", "labels", "servers", "autoscale"}
	autoscaleFields = []string{"min", "max", "boot_us"}
	routeFields     = []string{"name", "kind", "labels", "classes", "pools", "model", "adapter", "weights", "prefix", "max_tokens", "expiry_us", "most_items", "forward"}
	forwardFields   = []string{"host", "path_prefix", "tries", "aim_us", "gap_us", "due_us", "keep_us", "most_tokens", "split", "authentication", "rank"}
	splitFields     = []string{"pools", "share"}
	limitsFields    = []string{"header_bytes", "body_bytes", "header_wait_us", "idle_wait_us"}
)
