package durableupdates

import "strings"

// The unit and the kind of the records of updates. These spellings are on disk; they
// never change.
const (
	unitUpdates = "listed"
	kindUpdate  = "rumour"
)

// The keys of the updates that are kept: those of model servers, as package dataplane/endpoints
// has them, and of the configuration in force, as package state has it. These spellings are on disk
// and gossiped; they never change.
const (
	serverPrefix     = "server/"
	configurationKey = "plan"
)

// IsKept tells whether updates of a key are kept.
func IsKept(key string) bool { return key == configurationKey || strings.HasPrefix(key, serverPrefix) }
