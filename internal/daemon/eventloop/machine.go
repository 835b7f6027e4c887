package eventloop

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// Machine is the state machine of a daemon's role, as the event loop drives it. Its methods
// are called by one goroutine at a time; each returns the effects that the event loop
// executes next, in order. Bodies of messages and calls have the types that packages
// register with the transport: the machine dispatches on them.
type Machine interface {
	// Message handles a one-way message of another daemon, which is named by its address.
	Message(from string, body any, now clock.Micros) []machine.Effect
	// Persisted tells that a write (machine.Persist, machine.Archive) is durable.
	Persisted(token uint64, now clock.Micros) []machine.Effect
	// UpdateReceived handles an update that is new here.
	UpdateReceived(update machine.Update, now clock.Micros) []machine.Effect
	// Call handles a request; it is answered with machine.Reply under the same number, now
	// or in a later step.
	Call(callNumber uint64, body any, now clock.Micros) []machine.Effect
	// ReplyReceived handles the answer to a machine.Request, or the error it ended with.
	ReplyReceived(token uint64, body any, err error, now clock.Micros) []machine.Effect
	// FreshnessAdvanced tells up to when this daemon's updates are complete.
	FreshnessAdvanced(at, now clock.Micros) []machine.Effect
	// Tick runs what is due.
	Tick(now clock.Micros) []machine.Effect
	// DiskStateChanged tells whether the disk takes writes.
	DiskStateChanged(state machine.DiskState, now clock.Micros) []machine.Effect
	// CompactAgain asks for a snapshot of now, since the last one could not be written.
	CompactAgain(now clock.Micros) []machine.Effect
}
