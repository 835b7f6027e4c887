package batchshare

import "tuliprudder/internal/transport"

// Demand is the message that tells how many items a store has to run, and where some run. Its type
// and fields are on the wire.
type Demand struct {
	ID      string // of the store
	Items   int    // that have no result
	Overdue int    // of these, queued ones that can't be ready in time
	Tokens  int    // of the items, prompts and outputs together
	Running []ServerItems
}

// ServerItems is how many items of a store run on a server. The server's name is hashed: these
// messages are frequent, and a wrong count does little.
type ServerItems struct {
	Server uint32
	Items  uint8
}

func init() { transport.Register(Demand{}) }
