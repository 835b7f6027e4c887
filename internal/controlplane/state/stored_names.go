package state

// MapKey, ConfigurationKey and CoreKey are the keys of the updates that the primary core publishes.
// They are part of the gossip protocol and must not change.
const (
	MapKey           = "map"
	ConfigurationKey = "plan"
	CoreKey          = "core"
)

// The kinds of entries. They are stored on disk and must not change.
const (
	kindBootstrap        = "found"
	kindPutConfiguration = "put-plan"
	kindRegisterStore    = "enrol-store"
	kindAssignShards     = "pair"
	kindRetire           = "retire"
	kindUpdateActs       = "acts"
)

// snapshotMagic is the header of the current snapshot format, snapshotMagicPrefix the start of
// the headers of all formats. They are stored on disk and must not change.
const (
	snapshotMagic       = "TRS1"
	snapshotMagicPrefix = "TRS"
)
