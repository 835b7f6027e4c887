package batchshare

import "tuliprudder/internal/transport"

// Demand is the message that announces how many items a store has to run and on which servers its
// running items are. The names of its type and fields are on the wire.
type Demand struct {
	ID      string // the store's ID
	Items   int    // items without a result
	Overdue int    // queued items among these that cannot complete in time
	Tokens  int    // prompt and output tokens of all items
	Running []ServerItems
}

// ServerItems is the number of a store's items that run on a server. The server's name is hashed to
// keep these frequent messages small; the wrong count after a hash collision does little harm.
type ServerItems struct {
	Server uint32
	Items  uint8
}

func init() { transport.Register(Demand{}) }
