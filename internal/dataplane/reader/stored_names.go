package reader

// feedPrefix is the prefix of the scope of a token for a tenant's feed. Tokens held by callers
// contain a digest of the scope, so this value must never change.
const feedPrefix = "feed/"
