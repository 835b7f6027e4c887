package endpoints

// Prefixes of the keys of updates about servers. The updates are gossiped, and the cores store
// those under ServerPrefix on disk, so the spelling must not change.
const (
	ServerKind   = "server"         // first part of the key of a server's entry
	ServerPrefix = ServerKind + "/" // followed by the server's name
	LoadKind     = "load"           // first part of the key of a server's load
	LoadPrefix   = LoadKind + "/"   // followed by the server's name
)
