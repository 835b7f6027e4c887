// Package transport carries messages between the daemons of a fleet over net/rpc
// (docs/DESIGN.md, section 2). A message (Send) is one-way and may be lost. A call (Call) has a
// response and a timeout.
//
// net/rpc supports neither timeouts nor cancellation. This package therefore adds a timeout to every
// call. A call that times out closes its connection, which fails all other calls in flight on it;
// the next message or call dials again.
//
// # Connections
//
// Messages to one peer share an outbox: a bounded queue, one goroutine that sends the queued
// messages (outbox.run), and that goroutine's connection. Calls to one peer share another connection
// (callConnection), so that a slow response does not delay messages. Both are created at the first
// use of an address. Listen's stop function closes all outboxes; an empty one is also closed when a
// new one would exceed maxOutboxes. The connection for calls is closed by the stop function, or when
// a call on it fails. The server's goroutines end with their connections, which the stop function
// closes (server).
//
// # Wire format
//
// The body of a message is an interface value that gob encodes with the name of its type, which
// every package registers for its messages (Register). The names of types and fields are on the
// wire; serviceName contains the version of the protocol.
package transport
