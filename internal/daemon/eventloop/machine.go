package eventloop

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// Machine is the state machine of a daemon's role, driven by the event loop. Its methods are
// called by one goroutine at a time; each returns the effects that the event loop executes
// next, in order. Bodies of messages and calls have the types that packages register with the
// transport; the machine dispatches on these types.
type Machine interface {
	// Message handles a one-way message from another daemon, identified by its address.
	Message(from string, body any, now clock.Micros) []machine.Effect
	// Persisted handles the report that a write (machine.Persist, machine.Archive) is durable.
	Persisted(token uint64, now clock.Micros) []machine.Effect
	// UpdateReceived handles an update that is new to this daemon.
	UpdateReceived(update machine.Update, now clock.Micros) []machine.Effect
	// Call handles a request; it is answered with machine.Reply under the same number, now
	// or in a later step.
	Call(callNumber uint64, body any, now clock.Micros) []machine.Effect
	// ReplyReceived handles the reply to a machine.Request, or the error that it ended with.
	ReplyReceived(token uint64, body any, err error, now clock.Micros) []machine.Effect
	// FreshnessAdvanced handles an advance of the time up to which this daemon's updates are
	// complete.
	FreshnessAdvanced(at, now clock.Micros) []machine.Effect
	// Tick runs the work that is due.
	Tick(now clock.Micros) []machine.Effect
	// DiskStateChanged handles a change of whether the disk accepts writes.
	DiskStateChanged(state machine.DiskState, now clock.Micros) []machine.Effect
	// CompactAgain requests a snapshot of the current state, since the last one could not be
	// written.
	CompactAgain(now clock.Micros) []machine.Effect
}
