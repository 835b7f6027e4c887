package state

// MapKey, ConfigurationKey and CoreKey are the keys of the updates that the primary core publishes.
// These spellings are gossiped; they never change.
const (
	MapKey           = "map"
	ConfigurationKey = "plan"
	CoreKey          = "core"
)

// The kinds of changes. These spellings are on disk; they never change.
const (
	kindBootstrap        = "found"
	kindPutConfiguration = "put-plan"
	kindRegisterStore    = "enrol-store"
	kindAssignShards     = "pair"
	kindRetire           = "retire"
	kindUpdateActs       = "acts"
)

// What a snapshot begins with, and what the snapshots of all formats begin with.
// These spellings are on disk; they never change.
const (
	snapshotMagic       = "TRS1"
	snapshotMagicPrefix = "TRS"
)
