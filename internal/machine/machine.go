// Package machine defines the inputs and outputs that all state machines of a daemon share
// (docs/DESIGN.md, section 2). A machine takes commands and the time, and returns effects. It uses
// no goroutine, socket, file or clock, so that the simulator and the model checker run the same code
// as a daemon.
//
// The event loop (internal/daemon/eventloop) executes the effects in the order in which they were
// emitted, after the step that emitted them, and outside of the machine's lock. The answer to an
// effect, if it has one, arrives as a later step, never within the emitting one. The effects are
// grouped by what executes them: effects_disk.go, effects_network.go, effects_gossip.go, and
// effects.go for the event loop itself.
package machine

import "tuliprudder/internal/clock"

// Command is one input of a machine of type M.
type Command[M any] interface {
	// Apply performs the command as one step of the machine at the time now.
	Apply(machine M, now clock.Micros)
}

// Effect is one action that a machine requests of the event loop.
type Effect interface{ effect() }

// Effects collects the effects of one step. Machines embed it.
type Effects struct{ list []Effect }

// Emit adds an effect.
func (e *Effects) Emit(effect Effect) { e.list = append(e.list, effect) }

// Drain returns the effects collected since the last Drain.
func (e *Effects) Drain() []Effect {
	out := e.list
	e.list = nil
	return out
}
