package reader

// feedPrefix begins the scope of a token for a tenant's feed. A digest of the scope is in
// the tokens that callers hold; this spelling never changes.
const feedPrefix = "feed/"
