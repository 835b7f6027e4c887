package endpoints

// These begin the keys of updates about servers. They are gossiped, and the cores keep
// those of ServerPrefix on disk; their spelling never changes.
const (
	ServerKind   = "server"         // first part of the key of a server's entry
	ServerPrefix = ServerKind + "/" // followed by the server's name
	LoadKind     = "load"           // first part of the key of a server's load
	LoadPrefix   = LoadKind + "/"   // followed by the server's name
)
