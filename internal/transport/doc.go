// Package transport carries messages between the fleet's own processes over net/rpc
// (docs/DESIGN.md, section 2). A message (Send) is one-way and may be lost. A call (Call) has a
// response and a timeout.
//
// net/rpc knows neither timeouts nor cancellation. Every call therefore runs with a timeout here,
// and one that times out closes its connection, which ends whatever else was in flight on it; the
// next message or call dials again.
//
// # Connections
//
// Messages to one peer share an outbox: a bounded queue, one goroutine that sends what is in it
// (outbox.run), and that goroutine's connection. Calls to one peer share another connection
// (callConnection), so that a response that takes long delays no message. Both are made at the
// first use of an address. Outboxes end when Listen's stop function is called, or when they are
// empty and their number exceeds maxOutboxes; connections of calls end with the stop function or
// with a call that fails. The server's goroutines end with their connections, which the stop
// function closes (server).
//
// # Wire format
//
// The body of a message is an interface value that gob encodes with the name of its type, which
// every package registers for its messages (Register). The names of types and fields are on the
// wire; serviceName has the version of the protocol.
package transport
