// Package machines has the state machine of each role of daemon (DESIGN §2): Edge, Store and
// Core implement the event loop's Machine interface. Each joins the parts of its role, which
// are state machines themselves (packages controlplane, batchstore and those below
// dataplane): it dispatches messages, calls, updates and ticks to them, and returns the
// effects of a step together, in the order in which the parts emitted them.
//
// A machine is called by one goroutine at a time (eventloop.Machine); others read its parts
// within eventloop.Loop.WithMachine only.
package machines
