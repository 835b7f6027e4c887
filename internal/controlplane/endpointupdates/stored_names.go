package endpointupdates

// The unit and the kind of the records of endpoints. These spellings are on disk; they
// never change.
const (
	unitEndpoints = "listed"
	kindEndpoint  = "rumour"
)

// keyPrefix begins the keys of the updates that are written down: those of model servers, as
// package dataplane/endpoints has them. This spelling is on disk and gossiped; it never changes.
const keyPrefix = "server/"
