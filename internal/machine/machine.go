// Package machine has the inputs and outputs that all state machines of a daemon share
// (docs/DESIGN.md, section 2). A machine is given commands and the time, and hands out effects:
// it touches no goroutine, socket, file or clock, so that the simulator and the model checker run
// the same code as a daemon.
//
// The event loop (internal/daemon/eventloop) executes the effects in the order in which they were
// emitted, after the step that emitted them, and outside of the machine's lock. Where an effect
// has an answer, it comes back as a later step, never within the emitting one. The effects are
// grouped by who executes them: effects_disk.go, effects_network.go, effects_gossip.go, and
// effects.go for the event loop itself.
package machine

import "tuliprudder/internal/clock"

// Command is one input of a machine of type M.
type Command[M any] interface {
	Apply(machine M, now clock.Micros)
}

// Effect is one thing that a machine asks the event loop to do.
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
