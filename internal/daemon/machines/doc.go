// Package machines implements the state machine of each daemon role (DESIGN §2): Edge, Store
// and Core implement the event loop's Machine interface. Each combines the components of its
// role, which are state machines themselves (packages controlplane, batchstore and those
// below dataplane): it dispatches messages, calls, updates and ticks to them, and returns the
// effects of a step together, in the order in which the components emitted them.
//
// A machine is called by one goroutine at a time (eventloop.Machine); other goroutines read
// its components only within eventloop.Loop.WithMachine.
package machines
