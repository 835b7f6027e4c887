package durableupdates

import "strings"

// The unit and the kind of the records of updates. They are stored on disk and must not
// change.
const (
	unitUpdates = "listed"
	kindUpdate  = "rumour"
)

// The keys of the updates that are kept: those of model servers, as defined by package
// dataplane/endpoints, and that of the configuration in force, as defined by package state. They
// are stored on disk and are part of the gossip protocol, so they must not change.
const (
	serverPrefix     = "server/"
	configurationKey = "plan"
)

// IsKept reports whether updates with the key are kept.
func IsKept(key string) bool { return key == configurationKey || strings.HasPrefix(key, serverPrefix) }
